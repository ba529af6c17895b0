// BudgetedPlatformClient: limits the rate of one daemon's calls to its share of
// the platform's capacity.
//
// Each call takes one token; a watch takes one token no matter how long it
// waits. A call that finds no token is queued, by priority. If no token becomes
// available within PlatformSettings::Timeout, or if the queue is full, the call
// fails with BudgetExhausted without having been sent. Calls of lower priority
// leave some tokens in reserve for the higher ones. When the platform was
// restored, queued writes fail with Restored and queued watches with WatchGap
// without having been sent: their versions are of the earlier epoch. After a
// call that failed with Overloaded or Unreachable, all calls wait for an
// exponential backoff with jitter.

#ifndef CYCLAMENWIND_STORE_BUDGET_H
#define CYCLAMENWIND_STORE_BUDGET_H

#include "cyclamenwind/base/random.h"
#include "cyclamenwind/base/scheduler.h"
#include "cyclamenwind/base/settings.h"
#include "cyclamenwind/store/client.h"
#include "cyclamenwind/store/token_bucket.h"

#include <array>
#include <deque>

namespace cyclamenwind {

// The order in which queued calls are sent, derived from the key: relay leases
// ("relay/") and rollout records ("moves/") first, then configuration documents
// ("config/"), then everything else.
enum class CallPriority { Lease, Document, Other };

CallPriority priorityOf(std::string_view Key);

class BudgetedPlatformClient final : public PlatformClient {
public:
  BudgetedPlatformClient(PlatformClient &Inner, Clock &Time, Scheduler &Timers,
                         Random &Rng, const PlatformSettings &Options);
  ~BudgetedPlatformClient() override { *Alive = false; }

  void read(const std::string &Key,
            PlatformCallback<PlatformObject> OnDone) override;
  void list(const std::string &Prefix,
            PlatformCallback<PlatformListing> OnDone) override;
  void write(const std::string &Key, const std::string &Value,
             uint64_t IfVersion, PlatformCallback<uint64_t> OnDone) override;
  void writeStatus(const std::string &Key, const std::string &Status,
                   uint64_t IfVersion,
                   PlatformCallback<uint64_t> OnDone) override;
  void remove(const std::string &Key, uint64_t IfVersion,
              PlatformCallback<uint64_t> OnDone) override;
  void watch(const std::string &Prefix, uint64_t Revision, Duration Wait,
             PlatformCallback<WatchBatch> OnDone) override;
  uint64_t restoreEpoch() const override { return Inner.restoreEpoch(); }
  void onRestored(std::function<void()> Handler) override {
    Inner.onRestored(std::move(Handler));
  }
  void listStale(const std::string &Prefix,
                 PlatformCallback<PlatformListing> OnDone) override;
  void watchStale(const std::string &Prefix, uint64_t Revision, Duration Wait,
                  PlatformCallback<WatchBatch> OnDone) override;

  // Called when a call that was sent finishes. Outcome is "ok" or the name of
  // the error.
  std::function<void(std::string_view Call, std::string_view Outcome)> Observer;

  // Number of calls sent to Inner since construction.
  uint64_t sent() const { return Sent; }

private:
  struct QueuedCall {
    TimePoint Deadline;
    std::function<void()> Send;
    std::function<void()> Reject;
    // Called instead if the platform was restored; empty if the call is still
    // valid then.
    std::function<void()> RejectAfterRestore;
  };

  template <typename T>
  void submit(const char *Call, const std::string &Key,
              PlatformCallback<T> OnDone,
              std::function<void(PlatformCallback<T>)> Send,
              std::optional<PlatformError> AfterRestore = std::nullopt);
  void rejectAfterRestore();
  void recordOutcome(bool Failed);
  void sendQueued();
  bool trySend(CallPriority Priority, TimePoint Now);
  void rejectExpired(TimePoint Now);
  void scheduleWakeup(TimePoint Now);
  double reservedTokens(CallPriority Priority) const;

  PlatformClient &Inner;
  Clock &Time;
  Scheduler &Timers;
  Random &Rng;
  PlatformSettings Options;
  TokenBucket Bucket;
  std::array<std::deque<QueuedCall>, 3> Queues;
  TimerHandle WakeupTimer;
  TimePoint PausedUntil;
  int ConsecutiveFailures = 0;
  uint64_t Sent = 0;
  std::shared_ptr<bool> Alive = std::make_shared<bool>(true);
};

} // namespace cyclamenwind

#endif
