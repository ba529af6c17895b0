// RolloutRecords: what this daemon knows of the moves.
//
// Of two records of a move the one with the higher revision counts. A stop is
// kept until the move is recorded as done or taken back, and no record in
// between lifts it.

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

    // Whether calls may go to the new version at all.
    bool stopped() const;
  };

  // Each says whether it was new.
  bool learn(const RolloutRecord &Record);
  bool stop(const std::string &Name, const RolloutFault &Why);

  const std::map<std::string, Entry> &entries() const { return Entries; }

  // The entry of a move; null if nothing is known of it.
  const Entry *find(const std::string &Name) const;

private:
  // Bound against a flood of names.
  static constexpr size_t MaxEntries = 2000;

  Entry *entryFor(const std::string &Name);

  std::map<std::string, Entry> Entries;
};

// The share of calls on a route that go to the new version by Entry.
double shareBy(const RolloutRecords::Entry &Entry, bool Idempotent);

} // namespace cyclamenwind

#endif
