// AuditTrail: keeps the audit trail on the platform.
//
// Entries wait in memory for a short time and are written in batches, each into
// the object of its hour by a conditional update. After a lost race or a lost
// answer the object is read anew, and the operation ids in it tell which
// entries it holds already. While the platform is away entries wait, up to a
// bound; entries beyond it are dropped, counted and logged.
//
// The daemon that begins a new hour starts a roll-up of the oldest.

#ifndef CYCLAMENWIND_OPERATORS_AUDIT_TRAIL_H
#define CYCLAMENWIND_OPERATORS_AUDIT_TRAIL_H

#include "cyclamenwind/operators/audit_objects.h"
#include "cyclamenwind/operators/audit_roll_up.h"
#include "cyclamenwind/store/client.h"

#include <deque>

namespace cyclamenwind {

// Entries that wait in memory at most.
constexpr size_t MaxPendingAudit = 2000;

class AuditTrail final : public Service, public AuditSink {
public:
  std::string_view name() const override { return "audit"; }
  void start(Kernel &TheKernel) override;
  void stop() override;

  void record(const std::string &OperationId, const AuditEntry &Entry) override;

  // Entries that are not on the platform yet.
  size_t pending() const { return Pending.size(); }
  const std::deque<AuditRecord> &pendingRecords() const { return Pending; }

  // Entries written by this daemon, and entries lost by it, since its start.
  uint64_t written() const { return Written; }
  uint64_t dropped() const { return Dropped; }

private:
  // What is known of one hour's object.
  struct Known {
    std::string Key;
    uint64_t Version = 0;
    AuditHour Hour;
  };

  WallTime placeOf(const AuditRecord &Record) const;
  void flushAfter(Duration Delay);
  void flush();
  void readHour(const std::string &Key);
  void writeBatch();
  void settle(const std::set<std::string> &Operations);
  void failed(PlatformError Error);
  void dropBatch(const std::string &Key);

  PlatformClient *Platform = nullptr;
  Clock *Time = nullptr;
  Scheduler *Timers = nullptr;
  Random *Jitter = nullptr;
  std::unique_ptr<AuditRollUp> RollUp;
  std::deque<AuditRecord> Pending;
  std::optional<Known> Cached;
  TimerHandle FlushTimer;
  int Failures = 0;
  bool Busy = false;
  uint64_t Written = 0;
  uint64_t Dropped = 0;
};

} // namespace cyclamenwind

#endif
