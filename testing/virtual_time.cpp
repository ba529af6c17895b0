#include "testing/virtual_time.h"

namespace cyclamenwind::testing {

class VirtualTime::VirtualTimer final : public Timer {
public:
  VirtualTimer(VirtualTime &Time, Duration Period, std::function<void()> Action)
      : Time(Time), Period(Period), Action(std::move(Action)) {}
  ~VirtualTimer() override { Time.Scheduled.erase(Position); }
  VirtualTimer(const VirtualTimer &) = delete;
  VirtualTimer &operator=(const VirtualTimer &) = delete;

  void schedule(Duration Delay) {
    Position = Time.schedule(Delay, [this] { fire(); });
  }

private:
  void fire() {
    if (Period > Duration::zero())
      schedule(Period);
    std::function<void()> Copy = Action;
    Copy();
  }

  VirtualTime &Time;
  Duration Period;
  std::function<void()> Action;
  Key Position;
};

TimerHandle VirtualTime::after(Duration Delay, std::function<void()> Action) {
  auto NewTimer = std::make_unique<VirtualTimer>(*this, Duration::zero(),
                                                 std::move(Action));
  NewTimer->schedule(Delay);
  return NewTimer;
}

TimerHandle VirtualTime::every(Duration Period, std::function<void()> Action) {
  auto NewTimer =
      std::make_unique<VirtualTimer>(*this, Period, std::move(Action));
  NewTimer->schedule(Period);
  return NewTimer;
}

void VirtualTime::defer(std::function<void()> Action) {
  schedule(Duration::zero(), std::move(Action));
}

void VirtualTime::advance(Duration Span) {
  TimePoint End = Now + Span;
  while (!Scheduled.empty() && Scheduled.begin()->first.first <= End) {
    auto First = Scheduled.begin();
    Now = std::max(Now, First->first.first);
    std::function<void()> Action = std::move(First->second);
    Scheduled.erase(First);
    Action();
  }
  Now = End;
}

VirtualTime::Key VirtualTime::schedule(Duration Delay,
                                       std::function<void()> Action) {
  Key Position = {Now + std::max(Delay, Duration::zero()), NextId++};
  Scheduled[Position] = std::move(Action);
  return Position;
}

} // namespace cyclamenwind::testing
