#include "cyclamenwind/config/watcher.h"

#include "cyclamenwind/base/backoff.h"
#include "cyclamenwind/base/log.h"
#include "cyclamenwind/config/keys.h"

namespace cyclamenwind {
namespace {

constexpr Duration WatchTime = 30s;
constexpr Duration RetryBase = 100ms;
constexpr Duration RetryLimit = 5s;

} // namespace

void PlatformWatcher::start(Kernel &Host) {
  Platform = &Host.find<PlatformClient>("platform");
  Store = &Host.find<ConfigStore>("config");
  Timers = &Host.scheduler();
  Jitter = &Host.random();
  readDocument();
}

void PlatformWatcher::readDocument() {
  Platform->list(DocumentKey,
                 [this](Result<PlatformListing, PlatformError> Listing) {
                   if (!Listing) {
                     retryLater(Listing.error());
                     return;
                   }
                   Failures = 0;
                   for (const PlatformObject &Each : Listing.value().Objects)
                     if (Each.Key == DocumentKey)
                       Store->apply(Each.Value);
                   Synchronised = true;
                   watchFrom(Listing.value().Revision);
                 });
}

void PlatformWatcher::watchFrom(uint64_t Revision) {
  Platform->watch(DocumentKey, Revision, WatchTime,
                  [this](Result<WatchBatch, PlatformError> Batch) {
                    if (!Batch) {
                      retryLater(Batch.error());
                      return;
                    }
                    applyChanges(Batch.value());
                    watchFrom(Batch.value().Revision);
                  });
}

void PlatformWatcher::applyChanges(const WatchBatch &Batch) {
  for (const PlatformChange &Each : Batch.Changes)
    if (!Each.Removed && Each.Object.Key == DocumentKey)
      Store->apply(Each.Object.Value);
}

void PlatformWatcher::retryLater(PlatformError Error) {
  ++Failures;
  logWarning("config_source_unavailable",
             {{"cause", nameOf(Error)}, {"failures", Failures}});
  Retry = Timers->after(backoffDelay(Failures, RetryBase, RetryLimit, *Jitter),
                        [this] { readDocument(); });
}

} // namespace cyclamenwind
