// Lease: a right that one process at a time holds through an object on the
// platform.
//
// The object names the holder; each renewal is an update conditional on the
// version before it. A contender takes the lease over once it has seen one
// version for a whole term on its own clock, so that no clocks are compared.
// The holder counts its term from when it sent the last confirmed renewal, less
// a margin: it knows that the lease lapsed before another can gain it, even if
// it was paused. That holds while clocks run at rates within the margin.
//
// A write that was sent before a pause can still arrive after it. What must not
// be changed by a former holder carries epoch() in a conditional update.

#ifndef CYCLAMENWIND_STORE_LEASE_H
#define CYCLAMENWIND_STORE_LEASE_H

#include "cyclamenwind/base/random.h"
#include "cyclamenwind/base/scheduler.h"
#include "cyclamenwind/store/client.h"

namespace cyclamenwind {

// What a lease object's value says; Holder is empty once it was released.
struct LeaseRecord {
  std::string Holder;
  // Differs between processes and between writes, so that a process recognises
  // its own write when the answer was lost.
  std::string Token;
};

std::string formatLeaseRecord(const LeaseRecord &Record);

// An unreadable value counts as released.
LeaseRecord parseLeaseRecord(const std::string &Value);

class Lease {
public:
  // Holder is stored in the object; Term is how long a silent holder keeps it.
  Lease(PlatformClient &Platform, Clock &Time, Scheduler &Timers, Random &Rng,
        std::string Key, std::string Holder, Duration Term);
  ~Lease();
  Lease(const Lease &) = delete;
  Lease &operator=(const Lease &) = delete;

  // Begins to contend for the lease.
  void start();

  // Stops contending; a lease that is held is released.
  void stop();

  // Whether the lease is certainly held at Now.
  bool held(TimePoint Now) const;

  // Grows with every new holder of this key; 0 before it was first held.
  uint64_t epoch() const { return Epoch; }

  // The holder last seen on the platform; empty if none.
  const std::string &observedHolder() const { return ObservedHolder; }

  void onGained(std::function<void()> Handler) { Gained = std::move(Handler); }
  void onLost(std::function<void()> Handler) { Lost = std::move(Handler); }

private:
  enum class Phase { Stopped, Contending, Holding };

  void contend();
  void observe(Result<PlatformObject, PlatformError> Read);
  bool mayTake(const PlatformObject &Object, const LeaseRecord &Record,
               TimePoint Now);
  void write(uint64_t IfVersion);
  void writeEnded(Result<uint64_t, PlatformError> Outcome, TimePoint Sent);
  void readBack(TimePoint Sent);
  void confirm(uint64_t NewVersion, TimePoint Sent);
  void lose();
  void scheduleNext(Duration Delay);
  void renew();
  void checkExpiry();
  Duration margin() const { return Term / 5; }

  PlatformClient &Platform;
  Clock &Time;
  Scheduler &Timers;
  Random &Rng;
  std::string Key;
  std::string Holder;
  Duration Term;
  std::string Instance; // Begins the tokens of this process.
  std::string Token;    // Of the last write.
  uint64_t Writes = 0;
  Phase State = Phase::Stopped;
  uint64_t Version = 0; // Of the object, as last seen or written.
  uint64_t Epoch = 0;
  TimePoint Confirmed; // When the last confirmed write was sent.
  TimePoint VersionSince;
  bool Seen = false;
  std::string ObservedHolder;
  std::function<void()> Gained;
  std::function<void()> Lost;
  TimerHandle Next;
  TimerHandle Expiry;
  // Replaced by stop() and lose(), so that answers to earlier calls are
  // dropped.
  std::shared_ptr<bool> Running;
};

} // namespace cyclamenwind

#endif
