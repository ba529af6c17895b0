#include "cyclamenwind/store/prefix_watch.h"

#include "cyclamenwind/base/backoff.h"
#include "cyclamenwind/base/log.h"

namespace cyclamenwind {
namespace {

constexpr Duration RetryBase = 150ms;
// Daemons that start together do not list together.
constexpr double ListSpread = 0.2;
// Records of servers have to be back about two seconds after the platform
// returns.
constexpr Duration RetryLimit = 800ms;
// A wait that is over before anything is likely to change.
constexpr Duration ProbeWait = 5ms;

} // namespace

template <typename T>
PlatformCallback<T>
PrefixWatch::guarded(std::function<void(Result<T, PlatformError>)> OnDone) {
  return [OnDone = std::move(OnDone), Guard = this->Alive, this,
          Begun = this->Round](Result<T, PlatformError> Outcome) {
    if (*Guard && Begun == Round)
      OnDone(std::move(Outcome));
  };
}

void PrefixWatch::list(bool Stale) {
  PlatformCallback<PlatformListing> OnDone = guarded<PlatformListing>(
      [this](Result<PlatformListing, PlatformError> Outcome) {
        listed(std::move(Outcome));
      });
  if (Stale)
    Platform.listStale(Options.Prefix, std::move(OnDone));
  else
    Platform.list(Options.Prefix, std::move(OnDone));
}

void PrefixWatch::listed(Result<PlatformListing, PlatformError> Outcome) {
  if (!Outcome) {
    failed(Outcome.error());
    return;
  }
  Revision = std::max(Revision, Outcome.value().Revision);
  Known = true;
  succeeded();
  Notify.Listed(Outcome.value());
  follow();
}

void PrefixWatch::follow() {
  WatchMode Mode = Options.Mode ? Options.Mode() : WatchMode::Watch;
  if (Mode == WatchMode::Pushed && !Probing) {
    Next = Timers.after(Options.ModePeriod, [this] { follow(); });
    return;
  }
  if (Mode != WatchMode::ListStale) {
    wait(Mode == WatchMode::WatchStale);
    return;
  }
  NextListPeriod = std::clamp(2 * NextListPeriod, Options.FirstListPeriod,
                              Options.ListPeriod);
  Next = Timers.after(Rng.jittered(NextListPeriod, ListSpread), [this] {
    if (Options.Mode() == WatchMode::ListStale)
      list(/*Stale=*/true);
    else
      follow();
  });
}

void PrefixWatch::wait(bool Stale) {
  Waiting = !Probing;
  Duration Longest = Stale ? Options.StaleWait : Options.Wait;
  if (Probing)
    Longest = ProbeWait;
  PlatformCallback<WatchBatch> OnDone =
      guarded<WatchBatch>([this](Result<WatchBatch, PlatformError> Outcome) {
        changed(std::move(Outcome));
      });
  if (Stale)
    Platform.watchStale(Options.Prefix, Revision, Longest, std::move(OnDone));
  else
    Platform.watch(Options.Prefix, Revision, Longest, std::move(OnDone));
}

void PrefixWatch::changed(Result<WatchBatch, PlatformError> Outcome) {
  Waiting = false;
  if (!Outcome) {
    failed(Outcome.error());
    return;
  }
  succeeded();
  Revision = std::max(Revision, Outcome.value().Revision);
  for (const PlatformChange &Each : Outcome.value().Changes)
    Notify.Changed(Each);
  bool Any = !Outcome.value().Changes.empty();
  Next =
      Timers.after(Any ? Options.Collect : Duration(0), [this] { follow(); });
}

void PrefixWatch::failed(PlatformError Error) {
  if (Error == PlatformError::WatchGap) {
    Known = false;
    Revision = 0;
    Next = Timers.after(Duration(0), [this] { list(/*Stale=*/false); });
    return;
  }
  ++Failures;
  Probing = true;
  if (!Lost) {
    Lost = true;
    logWarning("platform_lost",
               {{"prefix", Options.Prefix}, {"error", nameOf(Error)}});
    Notify.Reachability(false);
  }
  if (Notify.MayRetry && !Notify.MayRetry()) {
    Suspended = true;
    return;
  }
  Next = Timers.after(backoffDelay(Failures, RetryBase, RetryLimit, Rng),
                      [this] { proceed(); });
}

void PrefixWatch::proceed() {
  bool Lists = Options.Mode && Options.Mode() == WatchMode::ListStale;
  if (!Known)
    list(/*Stale=*/false);
  else if (Lists)
    list(/*Stale=*/true);
  else
    follow();
}

void PrefixWatch::revalidate() {
  if (!Waiting)
    return;
  Waiting = false;
  Probing = true;
  ++Round;
  if (Notify.MayRetry && !Notify.MayRetry())
    Suspended = true;
  else
    proceed();
}

void PrefixWatch::resume() {
  if (!Suspended)
    return;
  Suspended = false;
  proceed();
}

void PrefixWatch::succeeded() {
  Failures = 0;
  Probing = false;
  if (!Lost)
    return;
  Lost = false;
  logInfo("platform_regained", {{"prefix", Options.Prefix}});
  Notify.Reachability(true);
}

} // namespace cyclamenwind
