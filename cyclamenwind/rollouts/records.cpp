#include "cyclamenwind/rollouts/records.h"

namespace cyclamenwind {

bool RolloutRecords::Entry::stopped() const {
  if (Record && Record->final())
    return Record->Phase == RolloutPhase::RolledBack;
  return Stop.has_value();
}

bool RolloutRecords::merge(const RolloutRecord &Record) {
  Entry *Existing = entryFor(Record.Name);
  if (Existing == nullptr || Existing->revision() >= Record.Revision)
    return false;
  Existing->Record = Record;
  return true;
}

bool RolloutRecords::stop(const std::string &Name, const RolloutFault &Fault) {
  Entry *Existing = entryFor(Name);
  if (Existing == nullptr || Existing->Stop ||
      (Existing->Record && Existing->Record->final()))
    return false;
  Existing->Stop = Fault;
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

double effectiveShare(const RolloutRecords::Entry &Entry, bool Idempotent) {
  if (!Entry.Record || Entry.stopped())
    return 0;
  return Entry.Record->share(Idempotent);
}

} // namespace cyclamenwind
