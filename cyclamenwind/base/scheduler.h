// Scheduler: timers on the event loop of the process.
//
// The interface is abstract so that tests can run services in virtual time.

#ifndef CYCLAMENWIND_BASE_SCHEDULER_H
#define CYCLAMENWIND_BASE_SCHEDULER_H

#include "cyclamenwind/base/time.h"

#include <functional>
#include <memory>

namespace cyclamenwind {

// A pending timer; destroying it cancels the timer.
class Timer {
public:
  virtual ~Timer() = default;
};

using TimerHandle = std::unique_ptr<Timer>;

class Scheduler {
public:
  virtual ~Scheduler() = default;

  // Runs Action once, after Delay.
  [[nodiscard]] virtual TimerHandle after(Duration Delay,
                                          std::function<void()> Action) = 0;

  // Runs Action once per Period, first after one Period.
  [[nodiscard]] virtual TimerHandle every(Duration Period,
                                          std::function<void()> Action) = 0;

  // Runs Action on the event loop after the current callback returns.
  virtual void defer(std::function<void()> Action) = 0;
};

} // namespace cyclamenwind

#endif
