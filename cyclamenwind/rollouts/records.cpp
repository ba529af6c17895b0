#include "cyclamenwind/rollouts/records.h"

namespace cyclamenwind {

bool RolloutRecords::Entry::stopped() const {
  if (Record && Record->final())
    return Record->State == RolloutPhase::RolledBack;
  return Stop.has_value();
}

bool RolloutRecords::learn(const RolloutRecord &Record) {
  Entry *Known = entryFor(Record.Name);
  if (Known == nullptr || Known->revision() >= Record.Revision)
    return false;
  Known->Record = Record;
  return true;
}

bool RolloutRecords::stop(const std::string &Name, const RolloutFault &Why) {
  Entry *Known = entryFor(Name);
  if (Known == nullptr || Known->Stop ||
      (Known->Record && Known->Record->final()))
    return false;
  Known->Stop = Why;
  return true;
}

const RolloutRecords::Entry *
RolloutRecords::find(const std::string &Name) const {
  auto Found = Entries.find(Name);
  return Found == Entries.end() ? nullptr : &Found->second;
}

RolloutRecords::Entry *RolloutRecords::entryFor(const std::string &Name) {
  auto Found = Entries.find(Name);
  if (Found != Entries.end())
    return &Found->second;
  if (Entries.size() >= MaxEntries)
    return nullptr;
  return &Entries[Name];
}

double shareBy(const RolloutRecords::Entry &Entry, bool Idempotent) {
  if (!Entry.Record || Entry.stopped())
    return 0;
  return Entry.Record->share(Idempotent);
}

} // namespace cyclamenwind
