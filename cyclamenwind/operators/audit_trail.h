// AuditTrail: stores the audit trail on the platform.
//
// Entries are queued in memory for BatchDelay and written in batches; a batch
// adds entries to the object of their hour by a conditional update. After a
// conflict or a lost response the object is read again, and the operation ids
// in it show which entries it already contains. While the platform is
// unreachable entries stay queued, up to MaxPendingAuditEntries; further
// entries, and those of an hour whose object is malformed, are dropped, counted
// and logged.
//
// The daemon that creates the object of a new hour starts a roll-up of the
// oldest hours.

#ifndef CYCLAMENWIND_OPERATORS_AUDIT_TRAIL_H
#define CYCLAMENWIND_OPERATORS_AUDIT_TRAIL_H

#include "cyclamenwind/operators/audit_objects.h"
#include "cyclamenwind/operators/audit_roll_up.h"
#include "cyclamenwind/store/client.h"

#include <deque>

namespace cyclamenwind {

// Limit of the entries queued in memory.
constexpr size_t MaxPendingAuditEntries = 2000;

class AuditTrail final : public Service, public AuditSink {
public:
  std::string_view name() const override { return "audit"; }
  void start(Kernel &TheKernel) override;
  void stop() override;

  void record(const std::string &OperationId, const AuditEntry &Entry) override;

  // Entries that have not been written to the platform.
  size_t pending() const { return Pending.size(); }
  const std::deque<AuditRecord> &pendingRecords() const { return Pending; }

  // Entries written, and entries dropped, by this daemon since its start.
  uint64_t written() const { return Written; }
  uint64_t dropped() const { return Dropped; }

private:
  // The last known content of one hour's object.
  struct CachedHour {
    std::string Key;
    uint64_t Version = 0;
    AuditHour Hour;
  };

  WallTime hourFor(const AuditRecord &Record) const;
  void flushAfter(Duration Delay);
  void flush();
  void readHour(const std::string &Key);
  void writeBatch();
  void completeBatch(const std::set<std::string> &Operations);
  void retryLater(PlatformError Error);
  void dropBatch(const std::string &Key);

  PlatformClient *Platform = nullptr;
  Clock *Time = nullptr;
  Scheduler *Timers = nullptr;
  Random *Jitter = nullptr;
  std::unique_ptr<AuditRollUp> RollUp;
  std::deque<AuditRecord> Pending;
  std::optional<CachedHour> Cached;
  TimerHandle FlushTimer;
  int Failures = 0;
  bool FlushInProgress = false;
  uint64_t Written = 0;
  uint64_t Dropped = 0;
};

} // namespace cyclamenwind

#endif
