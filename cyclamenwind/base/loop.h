// Loop: Clock and Scheduler on the libevent event loop. The constructor makes
// the process ignore SIGPIPE.

#ifndef CYCLAMENWIND_BASE_LOOP_H
#define CYCLAMENWIND_BASE_LOOP_H

#include "cyclamenwind/base/scheduler.h"

#include <vector>

#include <event2/event.h>

namespace cyclamenwind {

// Precise timers cost one system call per iteration of the event loop; coarse
// timers may fire some milliseconds off.
enum class TimerPrecision { Coarse, Precise };

class Loop final : public Clock, public Scheduler {
public:
  explicit Loop(TimerPrecision Precision = TimerPrecision::Coarse);
  ~Loop() override;
  Loop(const Loop &) = delete;
  Loop &operator=(const Loop &) = delete;

  TimePoint now() const override;
  WallTime wallNow() const override;
  Duration sinceBoot() const override;
  TimerHandle after(Duration Delay, std::function<void()> Action) override;
  TimerHandle every(Duration Period, std::function<void()> Action) override;
  void defer(std::function<void()> Action) override;

  // Calls Action whenever Signal is delivered, until the handle is destroyed.
  [[nodiscard]] TimerHandle onSignal(int Signal, std::function<void()> Action);

  // Runs the event loop until stop() is called.
  void run();
  void stop();

  event_base *base() const { return Base; }

private:
  static void runDeferred(evutil_socket_t, short, void *Self);

  event_base *Base;
  event *DeferredEvent;
  std::vector<std::function<void()>> Deferred;
};

} // namespace cyclamenwind

#endif
