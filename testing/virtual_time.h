// VirtualTime: a clock and a scheduler whose time advances only by advance().

#ifndef CYCLAMENWIND_TESTING_VIRTUAL_TIME_H
#define CYCLAMENWIND_TESTING_VIRTUAL_TIME_H

#include "cyclamenwind/base/scheduler.h"

#include <map>

namespace cyclamenwind::testing {

class VirtualTime final : public Clock, public Scheduler {
public:
  TimePoint now() const override { return Now; }
  WallTime wallNow() const override {
    return WallTime(Now.time_since_epoch() + WallOffset);
  }
  TimerHandle after(Duration Delay, std::function<void()> Action) override;
  TimerHandle every(Duration Period, std::function<void()> Action) override;
  void defer(std::function<void()> Action) override;

  // Advances the clock by Span and runs all timers due until then, in order.
  void advance(Duration Span);

  // Runs deferred actions and due timers without advancing the clock.
  void settle() { advance(Duration::zero()); }

private:
  class VirtualTimer;
  using Key = std::pair<TimePoint, uint64_t>;

  Key schedule(Duration Delay, std::function<void()> Action);

  static constexpr Duration WallOffset = std::chrono::hours(24 * 365 * 56);

  TimePoint Now{};
  uint64_t NextId = 0;
  std::map<Key, std::function<void()>> Scheduled;
};

} // namespace cyclamenwind::testing

#endif
