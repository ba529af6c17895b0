// Kernel: the registry in which services look each other up by name, with the
// clock, the scheduler and the random number generator that they share.
//
// A program creates one Kernel, registers its services in start order, calls
// start() and runs the event loop. Services start in the order of registration
// and stop in reverse order. A service looks up the services it needs in its
// start(). A missing name or a wrong type is a programming error: the process
// logs it and aborts.

#ifndef CYCLAMENWIND_BASE_KERNEL_H
#define CYCLAMENWIND_BASE_KERNEL_H

#include "cyclamenwind/base/random.h"
#include "cyclamenwind/base/scheduler.h"
#include "cyclamenwind/base/time.h"

#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace cyclamenwind {

class Kernel;

class Service {
public:
  virtual ~Service() = default;
  virtual std::string_view name() const = 0;

  // Called once, after all services are registered.
  virtual void start(Kernel &TheKernel) = 0;

  // Called once after start(), before any service is destroyed.
  virtual void stop() {}
};

class Kernel {
public:
  Kernel(Clock &TheClock, Scheduler &TheScheduler, Random &TheRandom)
      : TheClock(TheClock), TheScheduler(TheScheduler), TheRandom(TheRandom) {}

  Clock &clock() const { return TheClock; }
  Scheduler &scheduler() const { return TheScheduler; }
  Random &random() const { return TheRandom; }

  // Registers a service under its name(). Aborts if the name is already taken.
  void add(std::unique_ptr<Service> NewService);

  // Starts all services.
  void start();

  // Stops all services; does nothing if they are not started.
  void stop();

  // Returns the service registered under Name. Aborts if there is none or it is
  // not a T.
  template <typename T> T &find(std::string_view Name) const {
    T *Found = dynamic_cast<T *>(lookup(Name));
    if (Found == nullptr)
      fail(Name);
    return *Found;
  }

private:
  Service *lookup(std::string_view Name) const;
  [[noreturn]] static void fail(std::string_view Name);

  Clock &TheClock;
  Scheduler &TheScheduler;
  Random &TheRandom;
  std::vector<std::unique_ptr<Service>> Services;
  std::map<std::string, Service *, std::less<>> ByName;
  bool Started = false;
};

} // namespace cyclamenwind

#endif
