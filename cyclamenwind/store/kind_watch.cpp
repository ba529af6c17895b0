#include "cyclamenwind/store/kind_watch.h"

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
PlatformDone<T>
KindWatch::guarded(std::function<void(Result<T, PlatformError>)> Done) {
  return [Done = std::move(Done), Guard = this->Alive, this,
          Begun = this->Round](Result<T, PlatformError> Outcome) {
    if (*Guard && Begun == Round)
      Done(std::move(Outcome));
  };
}

void KindWatch::list(bool Stale) {
  PlatformDone<PlatformListing> Done = guarded<PlatformListing>(
      [this](Result<PlatformListing, PlatformError> Outcome) {
        listed(std::move(Outcome));
      });
  if (Stale)
    Platform.listStale(Options.Prefix, std::move(Done));
  else
    Platform.list(Options.Prefix, std::move(Done));
}

void KindWatch::listed(Result<PlatformListing, PlatformError> Outcome) {
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

void KindWatch::follow() {
  FollowMode Mode = Options.Mode ? Options.Mode() : FollowMode::Watch;
  if (Mode == FollowMode::Pushed && !Probing) {
    Next = Timers.after(Options.ModePeriod, [this] { follow(); });
    return;
  }
  if (Mode != FollowMode::ListStale) {
    wait(Mode == FollowMode::WatchStale);
    return;
  }
  NextListPeriod = std::clamp(2 * NextListPeriod, Options.FirstListPeriod,
                              Options.ListPeriod);
  Next = Timers.after(Dice.jittered(NextListPeriod, ListSpread), [this] {
    if (Options.Mode() == FollowMode::ListStale)
      list(/*Stale=*/true);
    else
      follow();
  });
}

void KindWatch::wait(bool Stale) {
  Waiting = !Probing;
  Duration Longest = Stale ? Options.StaleWait : Options.Wait;
  if (Probing)
    Longest = ProbeWait;
  PlatformDone<WatchBatch> Done =
      guarded<WatchBatch>([this](Result<WatchBatch, PlatformError> Outcome) {
        changed(std::move(Outcome));
      });
  if (Stale)
    Platform.watchStale(Options.Prefix, Revision, Longest, std::move(Done));
  else
    Platform.watch(Options.Prefix, Revision, Longest, std::move(Done));
}

void KindWatch::changed(Result<WatchBatch, PlatformError> Outcome) {
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

void KindWatch::failed(PlatformError Error) {
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
  Next = Timers.after(backoffDelay(Failures, RetryBase, RetryLimit, Dice),
                      [this] { proceed(); });
}

void KindWatch::proceed() {
  bool Lists = Options.Mode && Options.Mode() == FollowMode::ListStale;
  if (!Known)
    list(/*Stale=*/false);
  else if (Lists)
    list(/*Stale=*/true);
  else
    follow();
}

void KindWatch::revalidate() {
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

void KindWatch::resume() {
  if (!Suspended)
    return;
  Suspended = false;
  proceed();
}

void KindWatch::succeeded() {
  Failures = 0;
  Probing = false;
  if (!Lost)
    return;
  Lost = false;
  logInfo("platform_regained", {{"prefix", Options.Prefix}});
  Notify.Reachability(true);
}

} // namespace cyclamenwind
