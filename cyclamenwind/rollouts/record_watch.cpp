#include "cyclamenwind/rollouts/record_watch.h"

#include "cyclamenwind/base/backoff.h"

namespace cyclamenwind {
namespace {

// Short enough that each answer shows that the platform is there.
constexpr Duration WatchTime = 5s;
constexpr Duration RetryBase = 200ms;
constexpr Duration RetryLimit = 5s;

} // namespace

void RolloutRecordWatch::setWanted(bool Asked) {
  Wanted = Asked;
  if (!Wanted || Running)
    return;
  Running = true;
  list();
}

void RolloutRecordWatch::list() {
  if (!Wanted) {
    Running = false;
    return;
  }
  Platform.list(
      RolloutRecordPrefix,
      [this, Alive = Alive](Result<PlatformListing, PlatformError> Found) {
        if (!*Alive)
          return;
        if (!Found) {
          retryLater();
          return;
        }
        Failures = 0;
        LastAnswer = Time.now();
        for (const PlatformObject &Each : Found.value().Objects)
          take(Each);
        watchFrom(Found.value().Revision);
      });
}

void RolloutRecordWatch::watchFrom(uint64_t Revision) {
  if (!Wanted) {
    Running = false;
    return;
  }
  Platform.watch(
      RolloutRecordPrefix, Revision, WatchTime,
      [this, Alive = Alive](Result<WatchBatch, PlatformError> Batch) {
        if (!*Alive)
          return;
        if (!Batch) {
          retryLater();
          return;
        }
        LastAnswer = Time.now();
        for (const PlatformChange &Each : Batch.value().Changes)
          if (!Each.Removed)
            take(Each.Object);
        watchFrom(Batch.value().Revision);
      });
}

void RolloutRecordWatch::retryLater() {
  ++Failures;
  Retry = Timers.after(backoffDelay(Failures, RetryBase, RetryLimit, Rng),
                       [this] { list(); });
}

void RolloutRecordWatch::take(const PlatformObject &Object) {
  if (std::optional<RolloutRecord> Record = parseRolloutRecord(Object.Value))
    OnRecord(*Record);
}

} // namespace cyclamenwind
