// RolloutRecordWatch: receives rollout records from the platform through one
// long-polling watch.
//
// Only WatcherCount daemons (service.cpp) watch; the others receive the records
// from them by gossip.

#ifndef CYCLAMENWIND_ROLLOUTS_RECORD_WATCH_H
#define CYCLAMENWIND_ROLLOUTS_RECORD_WATCH_H

#include "cyclamenwind/base/random.h"
#include "cyclamenwind/base/scheduler.h"
#include "cyclamenwind/rollouts/record.h"
#include "cyclamenwind/store/client.h"

namespace cyclamenwind {

class RolloutRecordWatch {
public:
  RolloutRecordWatch(PlatformClient &Platform, Clock &Time, Scheduler &Timers,
                     Random &Rng,
                     std::function<void(const RolloutRecord &)> OnRecord)
      : Platform(Platform), Time(Time), Timers(Timers), Rng(Rng),
        OnRecord(std::move(OnRecord)) {}
  ~RolloutRecordWatch() { *Alive = false; }
  RolloutRecordWatch(const RolloutRecordWatch &) = delete;
  RolloutRecordWatch &operator=(const RolloutRecordWatch &) = delete;

  // Starts the watch, or stops it when the pending request returns.
  void setEnabled(bool Enable);

  // When the platform last answered. Returns nothing if it never has.
  const std::optional<TimePoint> &lastAnswer() const { return LastAnswer; }

private:
  void list();
  void watchFrom(uint64_t Revision);
  void retryLater();
  void deliver(const PlatformObject &Object);

  PlatformClient &Platform;
  Clock &Time;
  Scheduler &Timers;
  Random &Rng;
  std::function<void(const RolloutRecord &)> OnRecord;
  bool Enabled = false;
  bool Running = false;
  int Failures = 0;
  std::optional<TimePoint> LastAnswer;
  TimerHandle Retry;
  std::shared_ptr<bool> Alive = std::make_shared<bool>(true);
};

} // namespace cyclamenwind

#endif
