#include "cyclamenwind/rollouts/record_watch.h"

#include "cyclamenwind/base/backoff.h"

namespace cyclamenwind {
namespace {

// Short, because each answer also proves that the platform is reachable.
constexpr Duration WatchTimeout = 5s;
constexpr Duration RetryBase = 200ms;
constexpr Duration RetryLimit = 5s;

} // namespace

void RolloutRecordWatch::setEnabled(bool Enable) {
  Enabled = Enable;
  if (!Enabled || Running)
    return;
  Running = true;
  list();
}

void RolloutRecordWatch::list() {
  if (!Enabled) {
    Running = false;
    return;
  }
  Platform.list(
      RolloutRecordPrefix,
      [this, Alive = Alive](Result<PlatformListing, PlatformError> Listing) {
        if (!*Alive)
          return;
        if (!Listing) {
          retryLater();
          return;
        }
        Failures = 0;
        LastAnswer = Time.now();
        for (const PlatformObject &Object : Listing.value().Objects)
          deliver(Object);
        watchFrom(Listing.value().Revision);
      });
}

void RolloutRecordWatch::watchFrom(uint64_t Revision) {
  if (!Enabled) {
    Running = false;
    return;
  }
  Platform.watch(
      RolloutRecordPrefix, Revision, WatchTimeout,
      [this, Alive = Alive](Result<WatchBatch, PlatformError> Batch) {
        if (!*Alive)
          return;
        if (!Batch) {
          retryLater();
          return;
        }
        LastAnswer = Time.now();
        for (const PlatformChange &Change : Batch.value().Changes)
          if (!Change.Removed)
            deliver(Change.Object);
        watchFrom(Batch.value().Revision);
      });
}

void RolloutRecordWatch::retryLater() {
  ++Failures;
  Retry = Timers.after(backoffDelay(Failures, RetryBase, RetryLimit, Rng),
                       [this] { list(); });
}

void RolloutRecordWatch::deliver(const PlatformObject &Object) {
  if (std::optional<RolloutRecord> Record = parseRolloutRecord(Object.Value))
    OnRecord(*Record);
}

} // namespace cyclamenwind
