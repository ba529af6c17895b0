// EvacuationTable: the failure domains that an operator has evacuated.
//
// No request may reach a backend server of an evacuated failure domain. The
// table holds the whole set as it was stored on the platform at one position. A
// newer position replaces the set, so a lost message has no lasting effect.
//
// The platform may be restored from an older copy, which raises its restore
// epoch. The operator then writes again what the copy does not hold. An
// evacuation that was in force before and is missing in the newer epoch
// therefore stays in force until it is seen again, for at most RestoreGrace.
// Does no I/O and reads no clock.

#ifndef CYCLAMENWIND_MESH_EVACUATION_TABLE_H
#define CYCLAMENWIND_MESH_EVACUATION_TABLE_H

#include "cyclamenwind/base/time.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <tuple>

namespace cyclamenwind {

// A state of the platform's store: its restore epoch and its revision.
struct StorePosition {
  uint64_t Epoch = 0;
  uint64_t Revision = 0;

  bool isNewerThan(const StorePosition &Other) const {
    return std::tie(Epoch, Revision) > std::tie(Other.Epoch, Other.Revision);
  }
};

class EvacuationTable {
public:
  // Evacuations are used on this daemon (HostSettings::EvacuationLimit).
  void enable() { Enabled = true; }
  bool enabled() const { return Enabled; }

  // Whether the table is not used, or was read from the platform or a peer.
  bool isKnown() const { return !Enabled || Received; }

  // Replaces the set if At is newer than its position, or if there is none yet.
  // Returns whether it was replaced.
  bool update(const StorePosition &At, std::set<std::string> NewDomains,
              TimePoint Now);

  // Ends evacuations that have been missing for RestoreGrace after a restore of
  // the platform. Returns whether there were any.
  bool expire(TimePoint Now);

  bool isEvacuated(const std::string &Domain) const {
    return Domains.count(Domain) != 0 || Retained.count(Domain) != 0;
  }

  // The evacuated failure domains as stored at position().
  const std::set<std::string> &stored() const { return Domains; }
  const StorePosition &position() const { return Position; }

  // Number of failure domains that are evacuated.
  size_t size() const { return Domains.size() + Retained.size(); }

private:
  bool Enabled = false;
  bool Received = false;
  StorePosition Position;
  std::set<std::string> Domains;
  // Evacuations of an earlier epoch that are not in Domains, and their ends.
  std::map<std::string, TimePoint> Retained;
};

} // namespace cyclamenwind

#endif
