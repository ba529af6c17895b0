#include "cyclamenwind/rollouts/record_writer.h"

#include "cyclamenwind/base/log.h"

#include <set>

namespace cyclamenwind {
namespace {

const RolloutSpec *moveIn(const SnapshotPtr &Current, const std::string &Name) {
  if (Current)
    for (const RolloutSpec &Each : Current->document().Rollouts)
      if (Each.Name == Name)
        return &Each;
  return nullptr;
}

std::string keyOf(const std::string &Name) {
  return RolloutRecordPrefix + Name;
}

} // namespace

void RolloutRecordWriter::turn(LeaseEpoch Lease, WallTime Now) {
  if (Lease.Epoch != Present.Epoch) {
    // What another holder did since is not known.
    Present = Lease;
    Loaded = false;
  }
  SnapshotPtr Current = Inputs.snapshot();
  if (Present.Epoch == 0 || !Current)
    return;
  if (!Loaded) {
    load();
    return;
  }
  std::set<std::string> Names;
  for (const RolloutSpec &Each : Current->document().Rollouts)
    Names.insert(Each.Name);
  for (const auto &[Name, Place] : Slots)
    Names.insert(Name);
  for (const std::string &Name : Names)
    turnOf(Name, Now);
}

void RolloutRecordWriter::load() {
  if (Loading)
    return;
  Loading = true;
  Platform.list(
      RolloutRecordPrefix, [this, Alive = Alive, Epoch = Present.Epoch](
                               Result<PlatformListing, PlatformError> Found) {
        if (!*Alive)
          return;
        Loading = false;
        if (!Found || Epoch != Present.Epoch)
          return;
        Loaded = true;
        for (const PlatformObject &Each : Found.value().Objects)
          hold(Slots[Each.Key.substr(sizeof(RolloutRecordPrefix) - 1)], Each);
      });
}

void RolloutRecordWriter::turnOf(const std::string &Name, WallTime Now) {
  Slot &Place = Slots[Name];
  if (Place.Busy)
    return;
  if (Place.NeedsReading) {
    read(Name);
    return;
  }
  RolloutContext Context = contextFor(Name);
  if (Place.Record) {
    if (std::optional<RolloutRecord> Next =
            nextRecord(*Place.Record, Context, Now))
      write(Name, *Next);
    return;
  }
  // An object that does not parse is left alone.
  if (Place.ObjectVersion != 0 || Context.Spec == nullptr ||
      Context.Target == nullptr)
    return;
  write(Name, firstRecord(*Context.Spec, *Context.Target,
                          planSteps(Inputs.snapshot()->document(),
                                    Context.Spec->Service),
                          Context, Now));
}

RolloutContext RolloutRecordWriter::contextFor(const std::string &Name) {
  SnapshotPtr Current = Inputs.snapshot();
  RolloutContext Context;
  Context.Spec = moveIn(Current, Name);
  if (Context.Spec != nullptr) {
    Context.Target = Current->service(Context.Spec->Service);
    Context.ServersReady = Inputs.serversReady(*Context.Spec);
  }
  Context.Standing = Inputs.standing(Name);
  Context.Fault = Inputs.fault(Name);
  Context.DocumentVersion = Current->version();
  Context.Epoch = Present.Epoch;
  Context.Holder = Holder;
  Context.OperationId = Holder + "-" + std::to_string(Rng.next());
  return Context;
}

void RolloutRecordWriter::write(const std::string &Name,
                                const RolloutRecord &Next) {
  Slot &Place = Slots[Name];
  Place.Busy = true;
  Platform.write(keyOf(Name), formatRolloutRecord(Next), Place.ObjectVersion,
                 [this, Alive = Alive, Name,
                  Next](Result<uint64_t, PlatformError> Outcome) {
                   if (*Alive)
                     writeEnded(Name, Next, Outcome);
                 });
}

void RolloutRecordWriter::writeEnded(const std::string &Name,
                                     const RolloutRecord &Next,
                                     Result<uint64_t, PlatformError> Outcome) {
  Slot &Place = Slots[Name];
  Place.Busy = false;
  if (Outcome) {
    Place.Record = Next;
    Place.ObjectVersion = Outcome.value();
    Inputs.recorded(Next, /*Written=*/true);
    return;
  }
  switch (Outcome.error()) {
  case PlatformError::Conflict:
  case PlatformError::NotFound:
  case PlatformError::NoAnswer:
  case PlatformError::Malformed:
    Place.LostOperation = Next.OperationId;
    Place.NeedsReading = true;
    return;
  default:
    return; // Not written; the next turn tries again.
  }
}

void RolloutRecordWriter::read(const std::string &Name) {
  Slots[Name].Busy = true;
  Platform.read(keyOf(Name), [this, Alive = Alive, Name](
                                 Result<PlatformObject, PlatformError> Read) {
    if (*Alive)
      readEnded(Name, std::move(Read));
  });
}

void RolloutRecordWriter::readEnded(
    const std::string &Name, Result<PlatformObject, PlatformError> Outcome) {
  Slot &Place = Slots[Name];
  Place.Busy = false;
  if (Outcome) {
    Place.NeedsReading = false;
    hold(Place, Outcome.value());
    return;
  }
  if (Outcome.error() == PlatformError::NotFound)
    Place = {};
}

void RolloutRecordWriter::hold(Slot &Place, const PlatformObject &Object) {
  Place.ObjectVersion = Object.Version;
  Place.Record = parseRolloutRecord(Object.Value);
  if (!Place.Record) {
    logWarning("move_record_unreadable", {{"key", Object.Key}});
    return;
  }
  bool Own = !Place.LostOperation.empty() &&
             Place.Record->OperationId == Place.LostOperation;
  Place.LostOperation.clear();
  Inputs.recorded(*Place.Record, Own);
}

} // namespace cyclamenwind
