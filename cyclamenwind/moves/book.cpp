#include "cyclamenwind/moves/book.h"

namespace cyclamenwind {

bool MoveBook::Entry::stopped() const {
  if (Record && Record->final())
    return Record->State == MoveState::TakenBack;
  return Stop.has_value();
}

bool MoveBook::learn(const MoveRecord &Record) {
  Entry *Known = entryFor(Record.Name);
  if (Known == nullptr || Known->revision() >= Record.Revision)
    return false;
  Known->Record = Record;
  return true;
}

bool MoveBook::stop(const std::string &Name, const MoveFault &Why) {
  Entry *Known = entryFor(Name);
  if (Known == nullptr || Known->Stop ||
      (Known->Record && Known->Record->final()))
    return false;
  Known->Stop = Why;
  return true;
}

const MoveBook::Entry *MoveBook::find(const std::string &Name) const {
  auto Found = Entries.find(Name);
  return Found == Entries.end() ? nullptr : &Found->second;
}

MoveBook::Entry *MoveBook::entryFor(const std::string &Name) {
  auto Found = Entries.find(Name);
  if (Found != Entries.end())
    return &Found->second;
  if (Entries.size() >= MaxEntries)
    return nullptr;
  return &Entries[Name];
}

double shareBy(const MoveBook::Entry &Entry, bool Repeatable) {
  if (!Entry.Record || Entry.stopped())
    return 0;
  return Entry.Record->share(Repeatable);
}

} // namespace cyclamenwind
