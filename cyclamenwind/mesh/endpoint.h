// MeshEndpoint: the record of a backend server that daemons exchange and store.
//
// An incarnation of a server is identified by the server's id and start time.
// An incarnation that leaves does not return: its records that say so are newer
// than all others. Otherwise records of one incarnation are ordered by the
// server's own sequence number, and records with equal numbers by state, so
// they may arrive in any order.

#ifndef CYCLAMENWIND_MESH_ENDPOINT_H
#define CYCLAMENWIND_MESH_ENDPOINT_H

#include "cyclamenwind/base/address.h"
#include "cyclamenwind/base/time.h"

#include <optional>
#include <string>
#include <string_view>
#include <tuple>

namespace cyclamenwind {

namespace wire {
class EndpointRecord;
}

// Listed in the order in which a server passes through the states.
enum class EndpointState {
  Ready,
  // Its daemon is stopping, or the server's reports to it timed out; the server
  // itself may still be running.
  Unreachable,
  Draining,
  Gone,
};

std::string_view nameOf(EndpointState State);

struct MeshEndpoint {
  std::string Id;
  std::string Service;
  std::string Version;
  std::string FailureDomain;
  Address DaemonAddress; // Where other daemons reach the server's daemon.
  Address ServerAddress; // Where its own daemon, and no other, reaches it.
  EndpointState State = EndpointState::Ready;
  int Slots = 0;           // Requests that the server runs concurrently.
  int64_t StartedAtMs = 0; // Start time of the incarnation, Unix milliseconds.
  int64_t Sequence = 0;    // Number of the server's report behind this record.

  // Whether the server leaves or has left.
  bool leaves() const { return State > EndpointState::Unreachable; }

  // Whether this record is newer than Other, a record of the same id.
  bool supersedes(const MeshEndpoint &Other) const {
    return std::tuple(StartedAtMs, leaves(), Sequence, State) >
           std::tuple(Other.StartedAtMs, Other.leaves(), Other.Sequence,
                      Other.State);
  }
};

wire::EndpointRecord toWire(const MeshEndpoint &Endpoint);

// Returns nothing if Record is incomplete or malformed, or if one of its texts
// is not UTF-8.
std::optional<MeshEndpoint> fromWire(const wire::EndpointRecord &Record);

// Encodes Endpoint as the JSON text that is stored on the platform. All its
// texts must be UTF-8.
std::string formatEndpoint(const MeshEndpoint &Endpoint);

// Returns nothing if Text is not such an encoding of a complete record.
std::optional<MeshEndpoint> parseEndpoint(const std::string &Text);

} // namespace cyclamenwind

#endif
