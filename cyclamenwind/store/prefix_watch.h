// PrefixWatch: reports all objects under a prefix of the platform's store, and
// every change to them, to its owner.
//
// Lists the prefix, then watches for changes after the listing's revision.
// After a failure it retries with backoff from the same revision; after a gap
// in the history (WatchGap) it lists again, and so it does when the platform
// was restored from an older copy: the pending call is abandoned, since its
// revision means something else now. Without calls (WatchMode::Pushed) and in
// WatchMode::ListStale it keeps its schedule and lists when its next call is
// due. Between a watch that returned changes and the next one it pauses for
// PrefixWatchOptions::Collect, so that a burst of changes costs few calls.
//
// A watch without changes cannot be told apart from a watch whose connection
// was lost. An owner that has reason to suspect a loss therefore calls
// revalidate(), which abandons the pending watch and sends a call that the
// platform answers immediately.

#ifndef CYCLAMENWIND_STORE_PREFIX_WATCH_H
#define CYCLAMENWIND_STORE_PREFIX_WATCH_H

#include "cyclamenwind/base/random.h"
#include "cyclamenwind/base/scheduler.h"
#include "cyclamenwind/store/client.h"

namespace cyclamenwind {

// How changes are detected, from the most to the least expensive for the
// platform.
enum class WatchMode {
  Watch,      // Watches for changes.
  WatchStale, // Watches for changes, which may be reported seconds late.
  ListStale,  // Lists periodically; the data may be seconds old.
  Pushed,     // Makes no calls; the owner receives changes by other means.
};

struct PrefixWatchOptions {
  std::string Prefix;
  // Maximum duration of one watch call.
  Duration Wait = 29s;
  // Maximum duration of one watch call in WatchMode::WatchStale, called before
  // each. If empty, DefaultStaleWait. Short because these calls are cheap and
  // an outage is detected when the next one fails.
  std::function<Duration()> StaleWait = {};
  static constexpr Duration DefaultStaleWait = 4s;
  // Pause between a watch that returned changes and the next watch.
  Duration Collect = 200ms;
  // Whether the first listing may be seconds old.
  bool StartStale = false;
  // Time between listings in WatchMode::ListStale. It doubles from the initial
  // to the maximum period, since most changes occur while a fleet starts. After
  // a failure it begins anew.
  Duration InitialListPeriod = 1500ms;
  Duration MaxListPeriod = 15s;
  // How often Mode is called in WatchMode::Pushed.
  Duration ModePollPeriod = 2s;
  // Called after a failure: whether many others have failed too, so that this
  // watch retries only every SlowRetryPeriod. If empty, it never does.
  std::function<bool()> RetriesSlowly = {};
  Duration SlowRetryPeriod = 5s;
  // Called before each watch and before each periodic listing. If empty, the
  // mode is always Watch.
  std::function<WatchMode()> Mode = {};
};

class PrefixWatch {
public:
  // Callbacks to the owner.
  struct Handlers {
    std::function<void(const PlatformListing &)> Listed;
    std::function<void(const PlatformChange &)> Changed;
    // The platform became unreachable, or reachable again.
    std::function<void(bool Reachable)> Reachability;
    // Whether to retry after a failure (true) or to wait for resume() (false).
    // If empty, always retries.
    std::function<bool()> MayRetry = {};
    // checking() has changed.
    std::function<void()> CheckingChanged = {};
  };

  PrefixWatch(PlatformClient &Platform, Scheduler &Timers, Random &Rng,
              const PrefixWatchOptions &Options, Handlers Notify)
      : Platform(Platform), Timers(Timers), Rng(Rng), Options(Options),
        Notify(std::move(Notify)) {}
  ~PrefixWatch() { *Alive = false; }
  PrefixWatch(const PrefixWatch &) = delete;
  PrefixWatch &operator=(const PrefixWatch &) = delete;

  void start();

  // Retries now if the watch was suspended because MayRetry returned false.
  void resume();

  // Called when the owner has received all changes up to NewRevision by other
  // means.
  void advanceTo(uint64_t NewRevision) {
    Revision = std::max(Revision, NewRevision);
  }

  // Calls Mode now if it is polled, in WatchMode::Pushed.
  void pollMode();

  // Replaces a pending watch, which may have been lost, by a new call.
  void revalidate();

  // Whether it is not known that the platform answers: a call failed, or the
  // call that shows it has not returned yet. After WatchMode::Pushed, the first
  // call shows it.
  bool checking() const { return ProbeNext; }

  // Whether it makes no calls, in WatchMode::Pushed.
  bool idle() const { return Idle; }

  // The revision up to which all changes are known.
  uint64_t revision() const { return Revision; }

  // Whether the platform was reported unreachable and has not answered since.
  bool lost() const { return UnreachableReported; }

  // Whether there is a listing (see HasListing) and no call has failed since
  // the last success.
  bool reachable() const { return Failures == 0 && HasListing; }

private:
  void list(bool Stale);
  void onRestored();
  void setChecking(bool Value);
  void continueWatch();
  void scheduleListing();
  void onListFinished(Result<PlatformListing, PlatformError> Outcome);
  void startWatch(bool Stale);
  void onWatchFinished(Result<WatchBatch, PlatformError> Outcome);
  void onFailure(PlatformError Error);
  void onSuccess();
  void startNextCall();
  // Wraps OnDone so that it does nothing once the call has been abandoned or
  // this watch destroyed.
  template <typename T>
  PlatformCallback<T>
  guarded(std::function<void(Result<T, PlatformError>)> OnDone);

  PlatformClient &Platform;
  Scheduler &Timers;
  Random &Rng;
  PrefixWatchOptions Options;
  Handlers Notify;
  uint64_t Revision = 0;
  // A listing was read and there was no gap in the history since.
  bool HasListing = false;
  // The platform was restored after that listing: Revision is 0, and no watch
  // continues from it.
  bool ListAgain = false;
  bool Suspended = false; // Waits for resume().
  // The owner was notified that the platform is unreachable.
  bool UnreachableReported = false;
  bool WatchPending = false; // A watch call is waiting for changes.
  bool ProbeNext = false;    // The next watch must return immediately.
  bool Idle = false;         // In WatchMode::Pushed.
  // Incremented to abandon a pending call; its response is then dropped.
  uint64_t CallGeneration = 0;
  int Failures = 0;
  Duration NextListPeriod{};
  TimerHandle NextCallTimer;
  std::shared_ptr<bool> Alive = std::make_shared<bool>(true);
};

} // namespace cyclamenwind

#endif
