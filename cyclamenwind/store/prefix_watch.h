// PrefixWatch: keeps up with all objects under a prefix of the platform.
//
// Reads the listing, then follows changes from its revision on. After a
// failure it waits with backoff and continues; after a gap in the history it
// reads the listing anew. Changes are collected for a short time between two
// waits, so that a burst costs few calls.
//
// A wait may be lost without a sign: nothing tells a platform that has nothing
// to say from a connection that died. The owner therefore asks for revalidation
// when there is reason for it: the platform is called anew, and answers at
// once.

#ifndef CYCLAMENWIND_STORE_PREFIX_WATCH_H
#define CYCLAMENWIND_STORE_PREFIX_WATCH_H

#include "cyclamenwind/base/random.h"
#include "cyclamenwind/base/scheduler.h"
#include "cyclamenwind/store/client.h"

namespace cyclamenwind {

// How changes are found, from the dearest to the cheapest.
enum class WatchMode {
  Watch,      // Waits for changes.
  WatchStale, // Waits for changes that may be shown seconds late.
  ListStale,  // Reads the listing from time to time, seconds late.
  Pushed,     // Makes no calls: the owner is sent changes in another way.
};

struct PrefixWatchOptions {
  std::string Prefix;
  // How long a wait for changes lasts at most.
  Duration Wait = 29s;
  // The same in WatchMode::WatchStale. These waits are cheap, and their ends
  // are what shows an outage soon.
  Duration StaleWait = 4s;
  // Pause after changes came, before the next wait.
  Duration Collect = 200ms;
  // Between listings in WatchMode::ListStale; doubled from the first to the
  // second, since most changes come while a fleet starts.
  Duration FirstListPeriod = 1500ms;
  Duration ListPeriod = 15s;
  // How often Mode is asked in WatchMode::Pushed.
  Duration ModePeriod = 2s;
  // Asked before each wait. Empty: always Watch.
  std::function<WatchMode()> Mode = {};
};

class PrefixWatch {
public:
  // What the owner is told.
  struct Handlers {
    std::function<void(const PlatformListing &)> Listed;
    std::function<void(const PlatformChange &)> Changed;
    // The platform was lost, or answers again.
    std::function<void(bool Reachable)> Reachability;
    // Whether to try again after a failure, or to wait for resume(). Empty:
    // always.
    std::function<bool()> MayRetry = {};
  };

  PrefixWatch(PlatformClient &Platform, Scheduler &Timers, Random &Rng,
              const PrefixWatchOptions &Options, Handlers Notify)
      : Platform(Platform), Timers(Timers), Rng(Rng), Options(Options),
        Notify(std::move(Notify)) {}
  ~PrefixWatch() { *Alive = false; }
  PrefixWatch(const PrefixWatch &) = delete;
  PrefixWatch &operator=(const PrefixWatch &) = delete;

  void start() { list(/*Stale=*/false); }

  // Tries again now if a failure was left to resume().
  void resume();

  // The owner has learned of all up to Revision in another way.
  void advanceTo(uint64_t Upto) { Revision = std::max(Revision, Upto); }

  // A wait that is under way may have been lost: asks anew.
  void revalidate();

  // The newest revision that this has kept up to.
  uint64_t revision() const { return Revision; }

  // Whether the platform did not answer the last time.
  bool lost() const { return Lost; }

  bool reachable() const { return Failures == 0 && Known; }

private:
  void list(bool Stale);
  void follow();
  void listed(Result<PlatformListing, PlatformError> Outcome);
  void wait(bool Stale);
  void changed(Result<WatchBatch, PlatformError> Outcome);
  void failed(PlatformError Error);
  void succeeded();
  void proceed();
  // Done, unless the call that it belongs to has been given up by then.
  template <typename T>
  PlatformCallback<T>
  guarded(std::function<void(Result<T, PlatformError>)> OnDone);

  PlatformClient &Platform;
  Scheduler &Timers;
  Random &Rng;
  PrefixWatchOptions Options;
  Handlers Notify;
  uint64_t Revision = 0;
  bool Known = false;     // A listing was read and its history is not lost.
  bool Suspended = false; // Waits for resume().
  bool Lost = false;    // The owner was told that the platform is unreachable.
  bool Waiting = false; // For changes, in a call that the platform holds.
  bool Probing = false; // The next call is to be answered at once.
  uint64_t Round = 0;   // Of calls; answers to earlier ones do not count.
  int Failures = 0;
  Duration NextListPeriod{};
  TimerHandle Next;
  std::shared_ptr<bool> Alive = std::make_shared<bool>(true);
};

} // namespace cyclamenwind

#endif
