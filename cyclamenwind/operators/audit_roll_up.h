// AuditRollUp: replaces old hours of the audit trail by counts in their days.
//
// A cursor on the platform stores the first hour that has not been rolled up. A
// run starts there and processes the hours that are older than
// AuditEntryRetention, at most MaxHoursPerRun of them: it seals the hour, adds
// its counts to its day, and removes it. Every step is an idempotent
// conditional update, so any number of daemons may run at the same time and a
// run may stop after any step.

#ifndef CYCLAMENWIND_OPERATORS_AUDIT_ROLL_UP_H
#define CYCLAMENWIND_OPERATORS_AUDIT_ROLL_UP_H

#include "cyclamenwind/operators/audit_objects.h"
#include "cyclamenwind/store/client.h"

namespace cyclamenwind {

// How long single entries are kept.
constexpr Duration AuditEntryRetention = std::chrono::hours(24 * 7);
// How long the counts of a day are kept.
constexpr Duration AuditSummaryRetention = std::chrono::hours(24 * 60);

class AuditRollUp {
public:
  explicit AuditRollUp(PlatformClient &Platform) : Platform(Platform) {}
  ~AuditRollUp() { *Alive = false; }
  AuditRollUp(const AuditRollUp &) = delete;
  AuditRollUp &operator=(const AuditRollUp &) = delete;

  // Starts a run unless one is in progress.
  void run(WallTime Now);

  bool running() const { return Running; }

private:
  // Returns a callback that calls OnDone unless this object was destroyed.
  template <typename T>
  PlatformCallback<T> guarded(PlatformCallback<T> OnDone) {
    return [OnDone = std::move(OnDone), Alive = this->Alive](auto Outcome) {
      if (*Alive)
        OnDone(std::move(Outcome));
    };
  }

  void readCursor();
  void createCursor();
  void processNextHour();
  void readHour();
  void seal(const PlatformObject &Object, AuditHour Hour);
  void readFollowingHour(const AuditHour &Hour, uint64_t HourVersion);
  void readDay(const AuditHour &Hour, uint64_t HourVersion,
               const AuditHour &FollowingHour);
  void writeDay(const AuditDay &Day, uint64_t DayVersion, uint64_t HourVersion);
  void removeHour(uint64_t HourVersion);
  void removeOldDay();
  void removeDayVersion(const std::string &Key, uint64_t Version);
  void advanceCursor();
  void writeCursor();
  void finish() { Running = false; }

  PlatformClient &Platform;
  WallTime Now;
  WallTime Cursor; // The next hour to roll up.
  uint64_t CursorVersion = 0;
  int HoursLeft = 0;
  bool Running = false;
  std::shared_ptr<bool> Alive = std::make_shared<bool>(true);
};

} // namespace cyclamenwind

#endif
