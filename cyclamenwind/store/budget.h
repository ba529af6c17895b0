// BudgetedPlatformClient: keeps one daemon's calls within its share of the
// platform's rate.
//
// Each call takes a token, a waiting watch one for all its time. Calls that
// find none wait their turn, the more important first, and end with
// BudgetExhausted after the deadline: those were not sent. Less important calls
// leave a reserve. After the platform refused a call or was not reached, all
// calls wait for an exponential delay with jitter.

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

// Which calls go first. Decided by key: leases and moves before the document
// and what operators write, and these before everything else.
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
  void listStale(const std::string &Prefix,
                 PlatformCallback<PlatformListing> OnDone) override;
  void watchStale(const std::string &Prefix, uint64_t Revision, Duration Wait,
                  PlatformCallback<WatchBatch> OnDone) override;

  // Told of each call that was sent, when it ends; Outcome is "ok" or the
  // error's name.
  std::function<void(std::string_view Call, std::string_view Outcome)> Observer;

  // Calls sent since the start.
  uint64_t sent() const { return Sent; }

private:
  struct Waiting {
    TimePoint Deadline;
    std::function<void()> Send;
    std::function<void()> Refuse;
  };

  template <typename T>
  void submit(const char *Call, const std::string &Key,
              PlatformCallback<T> OnDone,
              std::function<void(PlatformCallback<T>)> Send);
  void ended(bool Failed);
  void pump();
  bool trySend(CallPriority Priority, TimePoint Now);
  void refuseLate(TimePoint Now);
  void scheduleNext(TimePoint Now);
  double reserveOf(CallPriority Priority) const;

  PlatformClient &Inner;
  Clock &Time;
  Scheduler &Timers;
  Random &Rng;
  PlatformSettings Options;
  TokenBucket Bucket;
  std::array<std::deque<Waiting>, 3> Queues;
  TimerHandle Next;
  TimePoint PausedUntil;
  int Failures = 0;
  uint64_t Sent = 0;
  std::shared_ptr<bool> Alive = std::make_shared<bool>(true);
};

} // namespace cyclamenwind

#endif
