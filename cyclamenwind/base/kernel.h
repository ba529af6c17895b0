// Kernel: the registry through which services find each other by name.
//
// A program makes one Kernel, registers its services in the order in which
// they are to start, and runs the loop. Services are started in that order and
// stopped in the reverse one. A service looks up the others it needs in
// start(); a name that is missing or of another type is a programming error and
// ends the process with a message.

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

  // Called once, after all services have been registered.
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

  // Registers a service under its name(), which must be new.
  void add(std::unique_ptr<Service> Added);

  void start();

  // Stops the services if they were started.
  void stop();

  // The service called Name as a T.
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
