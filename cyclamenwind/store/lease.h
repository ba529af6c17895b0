// Lease: a lease that at most one process holds at a time, stored as an object
// on the platform.
//
// The object names the holder; each renewal is a write conditional on the
// object's previous version. A contender takes over the lease once it has
// observed the same version for a whole term on its own clock, so clocks of
// different hosts are never compared. The holder's own term starts when it sent
// the last confirmed renewal and is shorter by margin(): it considers the lease
// expired before another process can acquire it, even if it was paused. This is
// correct as long as clock rates differ by less than the margin.
//
// If the platform is restored from an older copy, a lease granted before is
// lost at once. The object may then be missing or name an earlier holder, while
// the real one has not yet heard of the restore. So an object that was not
// written in the current restore epoch, or that is missing, counts as held by
// another process until a term has passed since it was first observed.
//
// A write sent before a pause can still reach the platform after it. Data that
// a former holder must not change carries epoch() as a fencing token in a
// conditional update.

#ifndef CYCLAMENWIND_STORE_LEASE_H
#define CYCLAMENWIND_STORE_LEASE_H

#include "cyclamenwind/base/random.h"
#include "cyclamenwind/base/scheduler.h"
#include "cyclamenwind/store/client.h"

namespace cyclamenwind {

// The value of a lease object. Holder is empty after a release.
struct LeaseRecord {
  std::string Holder;
  // Unique to each process and each write, so that a process recognises its own
  // write when the response was lost.
  std::string Token;
  // Restore epoch in which it was written; left out of the object if 0.
  uint64_t RestoreEpoch = 0;
};

std::string formatLeaseRecord(const LeaseRecord &Record);

// Treats a malformed value as a released lease.
LeaseRecord parseLeaseRecord(const std::string &Value);

class Lease {
public:
  // Holder is stored in the object. Term is the time without a renewal after
  // which another process may take over the lease.
  Lease(PlatformClient &Platform, Clock &Time, Scheduler &Timers, Random &Rng,
        std::string Key, std::string Holder, Duration Term);
  ~Lease();
  Lease(const Lease &) = delete;
  Lease &operator=(const Lease &) = delete;

  // Starts contending for the lease.
  void start();

  // Stops contending and releases the lease if it is held.
  void stop();

  // Whether the lease is guaranteed to be held at Now.
  bool held(TimePoint Now) const;

  // Increases with every new holder of this key, also over restores of the
  // platform; 0 before this process first held the lease.
  uint64_t epoch() const { return Epoch; }

  // The holder in the last observed object; empty if there was none.
  const std::string &observedHolder() const { return ObservedHolder; }

  void onGained(std::function<void()> Handler) {
    GainedHandler = std::move(Handler);
  }
  void onLost(std::function<void()> Handler) {
    LostHandler = std::move(Handler);
  }

private:
  enum class Phase { Stopped, Contending, Holding };

  void onRestored();
  void contend();
  void onRead(Result<PlatformObject, PlatformError> Response);
  bool mayAcquire(const PlatformObject &Object, const LeaseRecord &Record,
                  TimePoint Now);
  void write(uint64_t IfVersion);
  void onWriteFinished(Result<uint64_t, PlatformError> Outcome,
                       TimePoint SentAt);
  void readBack(TimePoint SentAt);
  void confirmWrite(uint64_t NewVersion, TimePoint SentAt);
  void lose();
  void scheduleAttempt(Duration Delay);
  void renew();
  void armExpiryTimer();
  Duration margin() const { return Term / 5; }

  PlatformClient &Platform;
  Clock &Time;
  Scheduler &Timers;
  Random &Rng;
  std::string Key;
  std::string Holder;
  Duration Term;
  std::string TokenPrefix; // Identifies tokens of this process.
  std::string LastToken;   // Token of the last write.
  uint64_t WriteCount = 0;
  Phase State = Phase::Stopped;
  uint64_t ObservedVersion = 0; // Last version observed or written.
  uint64_t Epoch = 0;
  uint64_t GrantedIn = 0;       // Restore epoch of the last confirmed write.
  TimePoint ConfirmedWriteSent; // Send time of the last confirmed write.
  TimePoint VersionFirstSeen;   // When ObservedVersion was first observed.
  bool HasObserved = false;
  std::string ObservedHolder;
  std::function<void()> GainedHandler;
  std::function<void()> LostHandler;
  TimerHandle AttemptTimer;
  TimerHandle ExpiryTimer;
  // Captured by pending calls; stop() and lose() set the flag to false, so that
  // responses to earlier calls are dropped.
  std::shared_ptr<bool> CallGuard;
  std::shared_ptr<bool> Alive = std::make_shared<bool>(true);
};

} // namespace cyclamenwind

#endif
