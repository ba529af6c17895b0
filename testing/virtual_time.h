// VirtualTime: a clock and timers that advance only when told to.

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

  // Runs all timers that fall due within Span, in order.
  void advance(Duration Span);

  // Runs deferred actions and timers that are due now.
  void settle() { advance(Duration::zero()); }

private:
  class VirtualTimer;
  using Key = std::pair<TimePoint, uint64_t>;

  Key schedule(Duration Delay, std::function<void()> Action);

  static constexpr Duration WallOffset = std::chrono::hours(24 * 365 * 56);

  TimePoint Now{};
  uint64_t NextId = 0;
  std::map<Key, std::function<void()>> Due;
};

} // namespace cyclamenwind::testing

#endif
