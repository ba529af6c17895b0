#include "cyclamenwind/operators/audit_trail.h"

#include "cyclamenwind/base/backoff.h"
#include "cyclamenwind/base/log.h"

namespace cyclamenwind {
namespace {

constexpr Duration BatchDelay = 200ms;
constexpr Duration InitialRetryDelay = 200ms;
constexpr Duration MaxRetryDelay = 30s;
// Tolerance for clock differences between hosts where an entry's time is
// compared with the current time and with the start of the retention period.
constexpr Duration ClockMargin = std::chrono::hours(1);

} // namespace

void AuditTrail::start(Kernel &TheKernel) {
  Platform = &TheKernel.find<PlatformClient>("platform");
  Time = &TheKernel.clock();
  Timers = &TheKernel.scheduler();
  Jitter = &TheKernel.random();
  RollUp = std::make_unique<AuditRollUp>(*Platform);
}

void AuditTrail::stop() {
  FlushTimer.reset();
  RollUp.reset();
  if (!Pending.empty())
    logWarning("audit_dropped",
               {{"entries", Pending.size()}, {"cause", "stopped"}});
}

void AuditTrail::record(const std::string &OperationId,
                        const AuditEntry &Entry) {
  for (const AuditRecord &Record : Pending)
    if (Record.OperationId == OperationId)
      return;
  logInfo("audit", {{"operation", OperationId},
                    {"actor", Entry.Actor},
                    {"action", Entry.Action},
                    {"subject", Entry.Subject},
                    {"from", Entry.From},
                    {"to", Entry.To},
                    {"outcome", Entry.Outcome}});
  if (Pending.size() >= MaxPendingAuditEntries) {
    ++Dropped;
    logWarning("audit_dropped", {{"entries", 1}, {"cause", "queue full"}});
    return;
  }
  Pending.push_back({OperationId, Entry});
  if (!FlushInProgress && !FlushTimer)
    flushAfter(BatchDelay);
}

// Returns the hour to store an entry in: the hour of its time, or the current
// hour if the former may have been rolled up or is in the future because of a
// wrong clock.
WallTime AuditTrail::hourFor(const AuditRecord &Record) const {
  WallTime Now = Time->wallNow();
  WallTime EntryTime = Record.Entry.Time;
  bool InRange = EntryTime > Now - AuditEntryRetention + ClockMargin &&
                 EntryTime < Now + ClockMargin;
  return auditHourOf(InRange ? EntryTime : Now);
}

void AuditTrail::flushAfter(Duration Delay) {
  FlushTimer = Timers->after(Delay, [this] {
    TimerHandle FiredTimer = std::move(FlushTimer);
    flush();
  });
}

void AuditTrail::flush() {
  if (FlushInProgress || Pending.empty())
    return;
  FlushInProgress = true;
  std::string Key = auditHourKey(hourFor(Pending.front()));
  if (Cached && Cached->Key == Key)
    writeBatch();
  else
    readHour(Key);
}

void AuditTrail::readHour(const std::string &Key) {
  Cached.reset();
  Platform->read(Key, [this, Key](Result<PlatformObject, PlatformError> Read) {
    if (!Read && Read.error() != PlatformError::NotFound) {
      retryLater(Read.error());
      return;
    }
    CachedHour Found{Key, 0, {}};
    if (Read) {
      Result<AuditHour, AuditObjectError> Parsed =
          AuditHour::parse(Read.value().Value);
      if (!Parsed) {
        logError("audit_hour_malformed", {{"key", Key}});
        dropBatch(Key);
        return;
      }
      Found.Version = Read.value().Version;
      Found.Hour = std::move(Parsed.value());
    }
    Cached = std::move(Found);
    writeBatch();
  });
}

// Adds the pending entries of the cached hour to it, and writes the hour if
// this changed it.
void AuditTrail::writeBatch() {
  AuditHour UpdatedHour = Cached->Hour;
  std::set<std::string> Batch;
  bool Changed = false;
  for (AuditRecord &Record : Pending) {
    if (auditHourKey(hourFor(Record)) != Cached->Key)
      continue;
    AuditAppend Appended = UpdatedHour.append(Record);
    if (Appended == AuditAppend::Sealed) {
      Record.Entry.Time = Time->wallNow();
      continue;
    }
    Batch.insert(Record.OperationId);
    Changed = Changed || Appended != AuditAppend::Duplicate;
  }
  if (!Changed) {
    completeBatch(Batch);
    return;
  }
  bool NewHour = Cached->Version == 0;
  Platform->write(Cached->Key, UpdatedHour.format(), Cached->Version,
                  [this, UpdatedHour, Batch,
                   NewHour](Result<uint64_t, PlatformError> Outcome) {
                    if (!Outcome) {
                      retryLater(Outcome.error());
                      return;
                    }
                    Cached->Version = Outcome.value();
                    Cached->Hour = UpdatedHour;
                    if (NewHour)
                      RollUp->run(Time->wallNow());
                    Written += Batch.size();
                    completeBatch(Batch);
                  });
}

void AuditTrail::completeBatch(const std::set<std::string> &Operations) {
  std::erase_if(Pending, [&](const AuditRecord &Record) {
    return Operations.count(Record.OperationId) != 0;
  });
  Failures = 0;
  FlushInProgress = false;
  if (!Pending.empty())
    flushAfter(BatchDelay);
}

void AuditTrail::retryLater(PlatformError Error) {
  Cached.reset();
  FlushInProgress = false;
  ++Failures;
  if (Error != PlatformError::Conflict)
    logWarning("audit_delayed", {{"entries", Pending.size()},
                                 {"cause", nameOf(Error)},
                                 {"failures", Failures}});
  flushAfter(backoffDelay(Failures, InitialRetryDelay, MaxRetryDelay, *Jitter));
}

// Drops the pending entries of an hour whose object is malformed.
void AuditTrail::dropBatch(const std::string &Key) {
  std::set<std::string> Unwritable;
  for (const AuditRecord &Record : Pending)
    if (auditHourKey(hourFor(Record)) == Key)
      Unwritable.insert(Record.OperationId);
  Dropped += Unwritable.size();
  logWarning("audit_dropped",
             {{"entries", Unwritable.size()}, {"cause", "malformed hour"}});
  completeBatch(Unwritable);
}

} // namespace cyclamenwind
