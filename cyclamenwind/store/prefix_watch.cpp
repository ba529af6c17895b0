#include "cyclamenwind/store/prefix_watch.h"

#include "cyclamenwind/base/backoff.h"
#include "cyclamenwind/base/log.h"

namespace cyclamenwind {
namespace {

constexpr Duration BackoffBase = 150ms;
// Spreads the listings of daemons that start at the same time.
constexpr double ListJitter = 0.2;
// Server records must be available again about 2 s after the platform recovers.
constexpr Duration BackoffLimit = 800ms;
// Duration of a watch that only checks whether the platform answers.
constexpr Duration ProbeWait = 5ms;

} // namespace

template <typename T>
PlatformCallback<T>
PrefixWatch::guarded(std::function<void(Result<T, PlatformError>)> OnDone) {
  return [OnDone = std::move(OnDone), Guard = this->Alive, this,
          Generation = this->CallGeneration](Result<T, PlatformError> Outcome) {
    if (*Guard && Generation == CallGeneration)
      OnDone(std::move(Outcome));
  };
}

void PrefixWatch::start() {
  Platform.onRestored([this, Guard = this->Alive] {
    if (*Guard)
      onRestored();
  });
  list(Options.StartStale);
}

void PrefixWatch::onRestored() {
  Revision = 0;
  ListAgain = HasListing;
  WatchMode Mode = Options.Mode ? Options.Mode() : WatchMode::Watch;
  // The next call is a listing anyway.
  if (!HasListing || Idle || Suspended || Mode == WatchMode::ListStale)
    return;
  ++CallGeneration;
  WatchPending = false;
  NextCallTimer = Timers.after(Duration(0), [this] { startNextCall(); });
}

void PrefixWatch::list(bool Stale) {
  PlatformCallback<PlatformListing> OnDone = guarded<PlatformListing>(
      [this](Result<PlatformListing, PlatformError> Outcome) {
        onListFinished(std::move(Outcome));
      });
  if (Stale)
    Platform.listStale(Options.Prefix, std::move(OnDone));
  else
    Platform.list(Options.Prefix, std::move(OnDone));
}

void PrefixWatch::onListFinished(
    Result<PlatformListing, PlatformError> Outcome) {
  if (!Outcome) {
    onFailure(Outcome.error());
    return;
  }
  Revision = std::max(Revision, Outcome.value().Revision);
  HasListing = true;
  ListAgain = false;
  onSuccess();
  Notify.Listed(Outcome.value());
  continueWatch();
}

void PrefixWatch::setChecking(bool Value) {
  if (ProbeNext == Value)
    return;
  ProbeNext = Value;
  if (Notify.CheckingChanged)
    Notify.CheckingChanged();
}

void PrefixWatch::pollMode() {
  if (!Idle)
    return;
  NextCallTimer.reset();
  continueWatch();
}

void PrefixWatch::continueWatch() {
  WatchMode Mode = Options.Mode ? Options.Mode() : WatchMode::Watch;
  bool WasIdle = Idle;
  Idle = Mode == WatchMode::Pushed && !ProbeNext;
  if (WasIdle && !Idle)
    setChecking(true);
  if (Idle) {
    NextCallTimer =
        Timers.after(Options.ModePollPeriod, [this] { continueWatch(); });
    return;
  }
  if (Mode != WatchMode::ListStale && ListAgain) {
    list(/*Stale=*/false);
    return;
  }
  if (Mode != WatchMode::ListStale) {
    startWatch(Mode == WatchMode::WatchStale);
    return;
  }
  scheduleListing();
}

void PrefixWatch::scheduleListing() {
  NextListPeriod = std::clamp(2 * NextListPeriod, Options.InitialListPeriod,
                              Options.MaxListPeriod);
  NextCallTimer =
      Timers.after(Rng.jittered(NextListPeriod, ListJitter), [this] {
        if (Options.Mode() == WatchMode::ListStale)
          list(/*Stale=*/true);
        else
          continueWatch();
      });
}

void PrefixWatch::startWatch(bool Stale) {
  WatchPending = !ProbeNext;
  Duration MaxWait = Options.Wait;
  if (Stale)
    MaxWait = Options.StaleWait ? Options.StaleWait()
                                : PrefixWatchOptions::DefaultStaleWait;
  if (ProbeNext)
    MaxWait = ProbeWait;
  PlatformCallback<WatchBatch> OnDone =
      guarded<WatchBatch>([this](Result<WatchBatch, PlatformError> Outcome) {
        onWatchFinished(std::move(Outcome));
      });
  if (Stale)
    Platform.watchStale(Options.Prefix, Revision, MaxWait, std::move(OnDone));
  else
    Platform.watch(Options.Prefix, Revision, MaxWait, std::move(OnDone));
}

void PrefixWatch::onWatchFinished(Result<WatchBatch, PlatformError> Outcome) {
  WatchPending = false;
  if (!Outcome) {
    onFailure(Outcome.error());
    return;
  }
  onSuccess();
  Revision = std::max(Revision, Outcome.value().Revision);
  for (const PlatformChange &Change : Outcome.value().Changes)
    Notify.Changed(Change);
  bool HasChanges = !Outcome.value().Changes.empty();
  NextCallTimer = Timers.after(HasChanges ? Options.Collect : Duration(0),
                               [this] { continueWatch(); });
}

void PrefixWatch::onFailure(PlatformError Error) {
  if (Error == PlatformError::WatchGap) {
    HasListing = false;
    Revision = 0;
    NextCallTimer =
        Timers.after(Duration(0), [this] { list(/*Stale=*/false); });
    return;
  }
  ++Failures;
  setChecking(true);
  if (!UnreachableReported) {
    UnreachableReported = true;
    logWarning("platform_lost",
               {{"prefix", Options.Prefix}, {"error", nameOf(Error)}});
    Notify.Reachability(false);
  }
  if (Notify.MayRetry && !Notify.MayRetry()) {
    Suspended = true;
    return;
  }
  // Periodic listings only complement what the owner learns by other means, and
  // a fleet makes many of them.
  if (HasListing && Options.Mode && Options.Mode() == WatchMode::ListStale) {
    if (Failures == 1)
      NextListPeriod = Duration::zero();
    scheduleListing();
    return;
  }
  bool Slow = Options.RetriesSlowly && Options.RetriesSlowly();
  Duration Delay = Slow
                       ? Rng.jittered(Options.SlowRetryPeriod, ListJitter)
                       : backoffDelay(Failures, BackoffBase, BackoffLimit, Rng);
  NextCallTimer = Timers.after(Delay, [this] { startNextCall(); });
}

void PrefixWatch::startNextCall() {
  bool ListsOnly = Options.Mode && Options.Mode() == WatchMode::ListStale;
  if (!HasListing || ListAgain)
    list(/*Stale=*/false);
  else if (ListsOnly)
    list(/*Stale=*/true);
  else
    continueWatch();
}

void PrefixWatch::revalidate() {
  if (!WatchPending)
    return;
  WatchPending = false;
  setChecking(true);
  ++CallGeneration;
  if (Notify.MayRetry && !Notify.MayRetry())
    Suspended = true;
  else
    startNextCall();
}

void PrefixWatch::resume() {
  if (!Suspended)
    return;
  Suspended = false;
  startNextCall();
}

void PrefixWatch::onSuccess() {
  Failures = 0;
  setChecking(false);
  if (!UnreachableReported)
    return;
  UnreachableReported = false;
  logInfo("platform_regained", {{"prefix", Options.Prefix}});
  Notify.Reachability(true);
}

} // namespace cyclamenwind
