#include "cyclamenwind/config/document_watch.h"

#include "cyclamenwind/base/backoff.h"
#include "cyclamenwind/base/log.h"
#include "cyclamenwind/config/keys.h"

namespace cyclamenwind {
namespace {

constexpr Duration WatchTimeout = 2s;
constexpr Duration RetryDelayBase = 100ms;
constexpr Duration RetryDelayLimit = 1s;

} // namespace

void DocumentWatch::start() {
  if (running())
    return;
  Running = std::make_shared<bool>(true);
  Failures = 0;
  readDocument();
}

void DocumentWatch::stop() {
  RetryTimer.reset();
  if (Running)
    *Running = false;
}

void DocumentWatch::readDocument() {
  Platform.list(
      DocumentKey,
      [this, Alive = Running](Result<PlatformListing, PlatformError> Listing) {
        if (!*Alive)
          return;
        if (!Listing) {
          retryLater(Listing.error());
          return;
        }
        Failures = 0;
        for (const PlatformObject &Object : Listing.value().Objects)
          if (Object.Key == DocumentKey)
            Deliver(Object.Value);
        if (Synchronised)
          Synchronised();
        watchFrom(Listing.value().Revision);
      });
}

void DocumentWatch::watchFrom(uint64_t Revision) {
  Platform.watch(
      DocumentKey, Revision, WatchTimeout,
      [this, Alive = Running](Result<WatchBatch, PlatformError> Batch) {
        if (!*Alive)
          return;
        if (!Batch) {
          retryLater(Batch.error());
          return;
        }
        applyChanges(Batch.value());
        watchFrom(Batch.value().Revision);
      });
}

void DocumentWatch::applyChanges(const WatchBatch &Batch) {
  for (const PlatformChange &Change : Batch.Changes)
    if (!Change.Removed && Change.Object.Key == DocumentKey)
      Deliver(Change.Object.Value);
}

void DocumentWatch::retryLater(PlatformError Error) {
  ++Failures;
  logWarning("config_source_unavailable",
             {{"cause", nameOf(Error)}, {"failures", Failures}});
  RetryTimer =
      Timers.after(backoffDelay(Failures, RetryDelayBase, RetryDelayLimit, Rng),
                   [this] { readDocument(); });
}

} // namespace cyclamenwind
