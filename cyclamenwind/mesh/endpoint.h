// Endpoint: a backend server as the mesh knows it.
//
// A server's incarnation is identified by its id and the time of its start.
// Records of one incarnation are ordered by the server's own sequence number,
// and at the same number by state, so that records may arrive in any order.

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

// In the order in which a server passes through them.
enum class EndpointState {
  Ready,
  // The daemon beside it is stopping; the server itself may go on.
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
  Address DaemonAddress; // Of the daemon beside it, for other daemons.
  Address Server;        // Reached only by that daemon.
  EndpointState State = EndpointState::Ready;
  int Slots = 0;        // Requests that it runs at once.
  int64_t Born = 0;     // Start of the incarnation, Unix milliseconds.
  int64_t Sequence = 0; // Of the server's report that this is from.

  // Whether this is later than Other, a record of the same id.
  bool supersedes(const MeshEndpoint &Other) const {
    return std::tie(Born, Sequence, State) >
           std::tie(Other.Born, Other.Sequence, Other.State);
  }
};

wire::EndpointRecord recordOf(const MeshEndpoint &Value);

// Nothing if the record is incomplete.
std::optional<MeshEndpoint> endpointOf(const wire::EndpointRecord &Record);

// The form in which endpoints are kept on the platform.
std::string formatEndpoint(const MeshEndpoint &Value);

// Nothing if Text is not of that form.
std::optional<MeshEndpoint> parseEndpoint(const std::string &Text);

} // namespace cyclamenwind

#endif
