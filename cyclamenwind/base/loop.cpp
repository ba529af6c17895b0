#include "cyclamenwind/base/loop.h"

#include <csignal>

namespace cyclamenwind {
namespace {

timeval timevalOf(Duration Span) {
  if (Span < Duration::zero())
    Span = Duration::zero();
  timeval Value;
  Value.tv_sec = Span.count() / 1000000;
  Value.tv_usec = Span.count() % 1000000;
  return Value;
}

// Owns a libevent event and the action that it runs.
class LoopTimer final : public Timer {
public:
  LoopTimer(event_base *Base, int Descriptor, short Flags,
            std::function<void()> Action)
      : Action(std::move(Action)) {
    Event = event_new(Base, Descriptor, Flags, &LoopTimer::fire, this);
  }
  ~LoopTimer() override { event_free(Event); }
  LoopTimer(const LoopTimer &) = delete;
  LoopTimer &operator=(const LoopTimer &) = delete;

  void add(Duration Span) {
    timeval Value = timevalOf(Span);
    event_add(Event, &Value);
  }
  void addSignal() { event_add(Event, nullptr); }

private:
  // Runs a copy, because the action may destroy this timer.
  static void fire(evutil_socket_t, short, void *Self) {
    std::function<void()> Copy = static_cast<LoopTimer *>(Self)->Action;
    Copy();
  }

  event *Event;
  std::function<void()> Action;
};

} // namespace

Loop::Loop(TimerPrecision Precision) {
  std::signal(SIGPIPE, SIG_IGN);
  event_config *Config = event_config_new();
  if (Precision == TimerPrecision::Precise)
    event_config_set_flag(Config, EVENT_BASE_FLAG_PRECISE_TIMER);
  event_config_set_flag(Config, EVENT_BASE_FLAG_EPOLL_USE_CHANGELIST);
  Base = event_base_new_with_config(Config);
  event_config_free(Config);
  DeferredEvent = event_new(Base, -1, 0, &Loop::runDeferred, this);
}

Loop::~Loop() {
  Deferred.clear();
  event_free(DeferredEvent);
  event_base_free(Base);
}

TimePoint Loop::now() const {
  return std::chrono::time_point_cast<Duration>(
      std::chrono::steady_clock::now());
}

Duration Loop::sinceBoot() const {
  timespec Time = {};
  clock_gettime(CLOCK_BOOTTIME, &Time);
  return std::chrono::seconds(Time.tv_sec) +
         std::chrono::duration_cast<Duration>(
             std::chrono::nanoseconds(Time.tv_nsec));
}

WallTime Loop::wallNow() const {
  return std::chrono::time_point_cast<Duration>(
      std::chrono::system_clock::now());
}

TimerHandle Loop::after(Duration Delay, std::function<void()> Action) {
  auto Result = std::make_unique<LoopTimer>(Base, -1, 0, std::move(Action));
  Result->add(Delay);
  return Result;
}

TimerHandle Loop::every(Duration Period, std::function<void()> Action) {
  auto Result =
      std::make_unique<LoopTimer>(Base, -1, EV_PERSIST, std::move(Action));
  Result->add(Period);
  return Result;
}

void Loop::defer(std::function<void()> Action) {
  Deferred.push_back(std::move(Action));
  event_active(DeferredEvent, EV_TIMEOUT, 0);
}

void Loop::runDeferred(evutil_socket_t, short, void *Self) {
  std::vector<std::function<void()>> Actions;
  Actions.swap(static_cast<Loop *>(Self)->Deferred);
  for (std::function<void()> &Action : Actions)
    Action();
}

TimerHandle Loop::onSignal(int Signal, std::function<void()> Action) {
  auto Result = std::make_unique<LoopTimer>(
      Base, Signal, EV_SIGNAL | EV_PERSIST, std::move(Action));
  Result->addSignal();
  return Result;
}

void Loop::run() { event_base_loop(Base, EVLOOP_NO_EXIT_ON_EMPTY); }

void Loop::stop() { event_base_loopbreak(Base); }

} // namespace cyclamenwind
