#include "cyclamenwind/operators/audit_trail.h"

#include "cyclamenwind/base/backoff.h"
#include "cyclamenwind/base/log.h"

namespace cyclamenwind {
namespace {

constexpr Duration BatchDelay = 200ms;
constexpr Duration RetryBase = 200ms;
constexpr Duration RetryLimit = 30s;
// How far an entry's time may lie from the ends of the detail that is kept, for
// clocks that differ.
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
  for (const AuditRecord &Each : Pending)
    if (Each.OperationId == OperationId)
      return;
  logInfo("audit", {{"operation", OperationId},
                    {"actor", Entry.Actor},
                    {"action", Entry.Action},
                    {"subject", Entry.Subject},
                    {"from", Entry.From},
                    {"to", Entry.To},
                    {"outcome", Entry.Outcome}});
  if (Pending.size() >= MaxPendingAudit) {
    ++Dropped;
    logWarning("audit_dropped", {{"entries", 1}, {"cause", "queue full"}});
    return;
  }
  Pending.push_back({OperationId, Entry});
  if (!Busy && !FlushTimer)
    flushAfter(BatchDelay);
}

// The hour that holds an entry: that of its time, or the present one if its
// own may have been rolled up or its clock was wrong.
WallTime AuditTrail::placeOf(const AuditRecord &Record) const {
  WallTime Now = Time->wallNow();
  WallTime Made = Record.Entry.Time;
  bool Kept =
      Made > Now - AuditDetailTime + ClockMargin && Made < Now + ClockMargin;
  return auditHourOf(Kept ? Made : Now);
}

void AuditTrail::flushAfter(Duration Delay) {
  FlushTimer = Timers->after(Delay, [this] {
    TimerHandle Fired = std::move(FlushTimer);
    flush();
  });
}

void AuditTrail::flush() {
  if (Busy || Pending.empty())
    return;
  Busy = true;
  std::string Key = auditHourKey(placeOf(Pending.front()));
  if (Cached && Cached->Key == Key)
    writeBatch();
  else
    readHour(Key);
}

void AuditTrail::readHour(const std::string &Key) {
  Cached.reset();
  Platform->read(Key, [this, Key](Result<PlatformObject, PlatformError> Read) {
    if (!Read && Read.error() != PlatformError::NotFound) {
      failed(Read.error());
      return;
    }
    Known Found{Key, 0, {}};
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

// Adds the entries of the cached hour to it and writes it if that changed it.
void AuditTrail::writeBatch() {
  AuditHour Next = Cached->Hour;
  std::set<std::string> Batch;
  bool Changed = false;
  for (AuditRecord &Each : Pending) {
    if (auditHourKey(placeOf(Each)) != Cached->Key)
      continue;
    AuditAppend Appended = Next.append(Each);
    if (Appended == AuditAppend::Sealed) {
      Each.Entry.Time = Time->wallNow();
      continue;
    }
    Batch.insert(Each.OperationId);
    Changed = Changed || Appended != AuditAppend::Present;
  }
  if (!Changed) {
    settle(Batch);
    return;
  }
  bool NewHour = Cached->Version == 0;
  Platform->write(
      Cached->Key, Next.format(), Cached->Version,
      [this, Next, Batch, NewHour](Result<uint64_t, PlatformError> Outcome) {
        if (!Outcome) {
          failed(Outcome.error());
          return;
        }
        Cached->Version = Outcome.value();
        Cached->Hour = Next;
        if (NewHour)
          RollUp->run(Time->wallNow());
        Written += Batch.size();
        settle(Batch);
      });
}

void AuditTrail::settle(const std::set<std::string> &Operations) {
  std::erase_if(Pending, [&](const AuditRecord &Each) {
    return Operations.count(Each.OperationId) != 0;
  });
  Failures = 0;
  Busy = false;
  if (!Pending.empty())
    flushAfter(BatchDelay);
}

void AuditTrail::failed(PlatformError Error) {
  Cached.reset();
  Busy = false;
  ++Failures;
  if (Error != PlatformError::Conflict)
    logWarning("audit_delayed", {{"entries", Pending.size()},
                                 {"cause", nameOf(Error)},
                                 {"failures", Failures}});
  flushAfter(backoffDelay(Failures, RetryBase, RetryLimit, *Jitter));
}

// Gives up the entries of an hour whose object cannot be read.
void AuditTrail::dropBatch(const std::string &Key) {
  std::set<std::string> Lost;
  for (const AuditRecord &Each : Pending)
    if (auditHourKey(placeOf(Each)) == Key)
      Lost.insert(Each.OperationId);
  Dropped += Lost.size();
  logWarning("audit_dropped",
             {{"entries", Lost.size()}, {"cause", "malformed hour"}});
  settle(Lost);
}

} // namespace cyclamenwind
