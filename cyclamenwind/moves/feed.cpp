#include "cyclamenwind/moves/feed.h"

#include "cyclamenwind/base/backoff.h"

namespace cyclamenwind {
namespace {

// Short enough that each answer shows that the platform is there.
constexpr Duration WatchTime = 5s;
constexpr Duration RetryBase = 200ms;
constexpr Duration RetryLimit = 5s;

} // namespace

void MoveFeed::setWanted(bool Asked) {
  Wanted = Asked;
  if (!Wanted || Running)
    return;
  Running = true;
  list();
}

void MoveFeed::list() {
  if (!Wanted) {
    Running = false;
    return;
  }
  Platform.list(MovesPrefix, [this, Alive = Alive](
                                 Result<PlatformListing, PlatformError> Found) {
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

void MoveFeed::watchFrom(uint64_t Revision) {
  if (!Wanted) {
    Running = false;
    return;
  }
  Platform.watch(
      MovesPrefix, Revision, WatchTime,
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

void MoveFeed::retryLater() {
  ++Failures;
  Retry = Timers.after(backoffDelay(Failures, RetryBase, RetryLimit, Dice),
                       [this] { list(); });
}

void MoveFeed::take(const PlatformObject &Object) {
  if (std::optional<MoveRecord> Record = parseMoveRecord(Object.Value))
    OnRecord(*Record);
}

} // namespace cyclamenwind
