// RolloutRecords: this daemon's copy of the rollout records, and the stops.
//
// Of two records of a rollout the one with the higher revision is kept. A stop
// stays until the rollout is recorded as done or rolled back; other records do
// not lift it.

#ifndef CYCLAMENWIND_ROLLOUTS_RECORDS_H
#define CYCLAMENWIND_ROLLOUTS_RECORDS_H

#include "cyclamenwind/rollouts/state_machine.h"

#include <map>

namespace cyclamenwind {

class RolloutRecords {
public:
  struct Entry {
    std::optional<RolloutRecord> Record;
    std::optional<RolloutFault> Stop;

    uint64_t revision() const { return Record ? Record->Revision : 0; }

    // Whether no calls may go to the new version.
    bool stopped() const;
  };

  // Each returns true if it changed the entry.
  bool merge(const RolloutRecord &Record);
  bool stop(const std::string &Name, const RolloutFault &Fault);

  const std::map<std::string, Entry> &entries() const { return Entries; }

  // The entry of the rollout Name; null if there is none.
  const Entry *find(const std::string &Name) const;

private:
  // Bounds memory if peers or the platform send many different names.
  static constexpr size_t MaxEntries = 2000;

  Entry *entryFor(const std::string &Name);

  std::map<std::string, Entry> Entries;
};

// Share of calls on a route that go to the new version; 0 if stopped.
double effectiveShare(const RolloutRecords::Entry &Entry, bool Idempotent);

} // namespace cyclamenwind

#endif
