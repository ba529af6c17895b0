// MoveFeed: records of moves from the platform, by one waiting watch.
//
// Only a bounded number of daemons watch; the others learn from them.

#ifndef CYCLAMENWIND_MOVES_FEED_H
#define CYCLAMENWIND_MOVES_FEED_H

#include "cyclamenwind/base/random.h"
#include "cyclamenwind/base/scheduler.h"
#include "cyclamenwind/moves/record.h"
#include "cyclamenwind/store/client.h"

namespace cyclamenwind {

class MoveFeed {
public:
  MoveFeed(PlatformClient &Platform, Clock &Time, Scheduler &Timers,
           Random &Dice, std::function<void(const MoveRecord &)> OnRecord)
      : Platform(Platform), Time(Time), Timers(Timers), Dice(Dice),
        OnRecord(std::move(OnRecord)) {}
  ~MoveFeed() { *Alive = false; }
  MoveFeed(const MoveFeed &) = delete;
  MoveFeed &operator=(const MoveFeed &) = delete;

  // Starts watching, or stops when the watch under way returns.
  void setWanted(bool Wanted);

  // When the platform last answered; nothing before the first answer.
  const std::optional<TimePoint> &lastAnswer() const { return LastAnswer; }

private:
  void list();
  void watchFrom(uint64_t Revision);
  void retryLater();
  void take(const PlatformObject &Object);

  PlatformClient &Platform;
  Clock &Time;
  Scheduler &Timers;
  Random &Dice;
  std::function<void(const MoveRecord &)> OnRecord;
  bool Wanted = false;
  bool Running = false;
  int Failures = 0;
  std::optional<TimePoint> LastAnswer;
  TimerHandle Retry;
  std::shared_ptr<bool> Alive = std::make_shared<bool>(true);
};

} // namespace cyclamenwind

#endif
