#include "cyclamenwind/rollouts/record_writer.h"

#include "cyclamenwind/base/log.h"

#include <set>

namespace cyclamenwind {
namespace {

const RolloutSpec *findRollout(const SnapshotPtr &Current,
                               const std::string &Name) {
  if (Current)
    for (const RolloutSpec &Spec : Current->document().Rollouts)
      if (Spec.Name == Name)
        return &Spec;
  return nullptr;
}

std::string recordKey(const std::string &Name) {
  return RolloutRecordPrefix + Name;
}

} // namespace

void RolloutRecordWriter::tick(LeaseEpoch NewLease, WallTime Now) {
  if (NewLease.Epoch != Lease.Epoch) {
    // Another holder may have changed the records in the meantime.
    Lease = NewLease;
    Loaded = false;
  }
  SnapshotPtr Current = Inputs.snapshot();
  if (Lease.Epoch == 0 || !Current)
    return;
  if (!Loaded) {
    load();
    return;
  }
  std::set<std::string> Names;
  for (const RolloutSpec &Spec : Current->document().Rollouts)
    Names.insert(Spec.Name);
  for (const auto &[Name, Cached] : Cache)
    Names.insert(Name);
  for (const std::string &Name : Names)
    updateRollout(Name, Now);
}

void RolloutRecordWriter::load() {
  if (Loading)
    return;
  Loading = true;
  Platform.list(
      RolloutRecordPrefix, [this, Alive = Alive, Epoch = Lease.Epoch](
                               Result<PlatformListing, PlatformError> Listing) {
        if (!*Alive)
          return;
        Loading = false;
        if (!Listing || Epoch != Lease.Epoch)
          return;
        Loaded = true;
        for (const PlatformObject &Object : Listing.value().Objects)
          updateCached(
              Cache[Object.Key.substr(sizeof(RolloutRecordPrefix) - 1)],
              Object);
      });
}

void RolloutRecordWriter::updateRollout(const std::string &Name, WallTime Now) {
  CachedRecord &Cached = Cache[Name];
  if (Cached.RequestPending)
    return;
  if (Cached.NeedsRead) {
    read(Name);
    return;
  }
  RolloutContext Context = contextFor(Name);
  if (Cached.Record) {
    if (std::optional<RolloutRecord> Next =
            nextRecord(*Cached.Record, Context, Now))
      write(Name, *Next);
    return;
  }
  // An object that does not parse is never overwritten.
  if (Cached.ObjectVersion != 0 || Context.Spec == nullptr ||
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
  Context.Spec = findRollout(Current, Name);
  if (Context.Spec != nullptr) {
    Context.Target = Current->service(Context.Spec->Service);
    Context.ServersReady = Inputs.serversReady(*Context.Spec);
  }
  Context.Progress = Inputs.progress(Name);
  Context.Fault = Inputs.fault(Name);
  Context.DocumentVersion = Current->version();
  Context.Epoch = Lease.Epoch;
  Context.Holder = Holder;
  Context.OperationId = Holder + "-" + std::to_string(Rng.next());
  return Context;
}

void RolloutRecordWriter::write(const std::string &Name,
                                const RolloutRecord &Next) {
  CachedRecord &Cached = Cache[Name];
  Cached.RequestPending = true;
  Platform.write(recordKey(Name), formatRolloutRecord(Next),
                 Cached.ObjectVersion,
                 [this, Alive = Alive, Name,
                  Next](Result<uint64_t, PlatformError> Outcome) {
                   if (*Alive)
                     onWriteResult(Name, Next, Outcome);
                 });
}

void RolloutRecordWriter::onWriteResult(
    const std::string &Name, const RolloutRecord &Next,
    Result<uint64_t, PlatformError> Outcome) {
  CachedRecord &Cached = Cache[Name];
  Cached.RequestPending = false;
  if (Outcome) {
    Cached.Record = Next;
    Cached.ObjectVersion = Outcome.value();
    Inputs.onRecorded(Next, /*Written=*/true);
    return;
  }
  switch (Outcome.error()) {
  case PlatformError::Conflict:
  case PlatformError::NotFound:
  case PlatformError::NoAnswer:
  case PlatformError::Restored:
  case PlatformError::Malformed:
    Cached.UnconfirmedOperation = Next.OperationId;
    Cached.NeedsRead = true;
    return;
  default:
    return; // Not written; the next tick retries.
  }
}

void RolloutRecordWriter::read(const std::string &Name) {
  Cache[Name].RequestPending = true;
  Platform.read(
      recordKey(Name),
      [this, Alive = Alive, Name](Result<PlatformObject, PlatformError> Read) {
        if (*Alive)
          onReadResult(Name, std::move(Read));
      });
}

void RolloutRecordWriter::onReadResult(
    const std::string &Name, Result<PlatformObject, PlatformError> Outcome) {
  CachedRecord &Cached = Cache[Name];
  Cached.RequestPending = false;
  if (Outcome) {
    Cached.NeedsRead = false;
    updateCached(Cached, Outcome.value());
    return;
  }
  if (Outcome.error() == PlatformError::NotFound)
    Cached = {};
}

void RolloutRecordWriter::updateCached(CachedRecord &Cached,
                                       const PlatformObject &Object) {
  Cached.ObjectVersion = Object.Version;
  Cached.Record = parseRolloutRecord(Object.Value);
  if (!Cached.Record) {
    logWarning("move_record_unreadable", {{"key", Object.Key}});
    return;
  }
  bool OwnWrite = !Cached.UnconfirmedOperation.empty() &&
                  Cached.Record->OperationId == Cached.UnconfirmedOperation;
  Cached.UnconfirmedOperation.clear();
  Inputs.onRecorded(*Cached.Record, OwnWrite);
}

} // namespace cyclamenwind
