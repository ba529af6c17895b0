#include "cyclamenwind/store/budget.h"

#include "cyclamenwind/base/backoff.h"

namespace cyclamenwind {
namespace {

constexpr Duration BackoffBase = 20ms;
constexpr Duration BackoffLimit = 1s;
// Queue length limit of each priority.
constexpr size_t MaxQueuedCalls = 256;

} // namespace

CallPriority priorityOf(std::string_view Key) {
  if (Key.starts_with("relay/") || Key.starts_with("moves/"))
    return CallPriority::Lease;
  if (Key.starts_with("config/"))
    return CallPriority::Document;
  return CallPriority::Other;
}

BudgetedPlatformClient::BudgetedPlatformClient(PlatformClient &Inner,
                                               Clock &Time, Scheduler &Timers,
                                               Random &Rng,
                                               const PlatformSettings &Options)
    : Inner(Inner), Time(Time), Timers(Timers), Rng(Rng), Options(Options),
      Bucket(Options.CallsPerSecond, Options.Burst) {
  Inner.onRestored([this, Guard = this->Alive] {
    if (*Guard)
      rejectAfterRestore();
  });
}

template <typename T>
void BudgetedPlatformClient::submit(
    const char *Call, const std::string &Key, PlatformCallback<T> OnDone,
    std::function<void(PlatformCallback<T>)> Send,
    std::optional<PlatformError> AfterRestore) {
  auto Finish = [this, Call, OnDone,
                 Guard = this->Alive](Result<T, PlatformError> Outcome) {
    if (!*Guard)
      return;
    recordOutcome(!Outcome && (Outcome.error() == PlatformError::Overloaded ||
                               Outcome.error() == PlatformError::Unreachable));
    if (Observer)
      Observer(Call, Outcome ? "ok" : nameOf(Outcome.error()));
    OnDone(std::move(Outcome));
  };
  auto Reject = [OnDone] { OnDone(PlatformError::BudgetExhausted); };
  std::function<void()> RejectAfterRestore;
  if (AfterRestore)
    RejectAfterRestore = [OnDone, Error = *AfterRestore] { OnDone(Error); };
  auto &Queue = Queues[static_cast<size_t>(priorityOf(Key))];
  if (Queue.size() >= MaxQueuedCalls) {
    Timers.defer(Reject);
    return;
  }
  Queue.push_back({Time.now() + Options.Timeout,
                   [Send = std::move(Send), Finish] { Send(Finish); }, Reject,
                   std::move(RejectAfterRestore)});
  sendQueued();
}

// Deferred, since it runs inside the delivery of a response.
void BudgetedPlatformClient::rejectAfterRestore() {
  for (auto &Queue : Queues)
    std::erase_if(Queue, [this](const QueuedCall &Call) {
      if (!Call.RejectAfterRestore)
        return false;
      Timers.defer([Guard = this->Alive, Reject = Call.RejectAfterRestore] {
        if (*Guard)
          Reject();
      });
      return true;
    });
}

void BudgetedPlatformClient::recordOutcome(bool Failed) {
  if (!Failed) {
    ConsecutiveFailures = 0;
    return;
  }
  ++ConsecutiveFailures;
  PausedUntil = Time.now() + backoffDelay(ConsecutiveFailures, BackoffBase,
                                          BackoffLimit, Rng);
}

void BudgetedPlatformClient::sendQueued() {
  TimePoint Now = Time.now();
  if (Now >= PausedUntil)
    for (CallPriority Priority :
         {CallPriority::Lease, CallPriority::Document, CallPriority::Other})
      while (trySend(Priority, Now)) {
      }
  scheduleWakeup(Now);
}

bool BudgetedPlatformClient::trySend(CallPriority Priority, TimePoint Now) {
  auto &Queue = Queues[static_cast<size_t>(Priority)];
  if (Queue.empty() || Queue.front().Deadline <= Now ||
      !Bucket.tryTake(reservedTokens(Priority), Now))
    return false;
  std::function<void()> Send = std::move(Queue.front().Send);
  Queue.pop_front();
  ++Sent;
  Send();
  return true;
}

void BudgetedPlatformClient::rejectExpired(TimePoint Now) {
  std::vector<std::function<void()>> Expired;
  for (auto &Queue : Queues)
    while (!Queue.empty() && Queue.front().Deadline <= Now) {
      Expired.push_back(std::move(Queue.front().Reject));
      Queue.pop_front();
    }
  for (const auto &Reject : Expired)
    Reject();
}

// Arms the timer for the first moment at which a queued call can be sent or
// reaches its deadline.
void BudgetedPlatformClient::scheduleWakeup(TimePoint Now) {
  std::optional<Duration> Delay;
  for (size_t I = 0; I < Queues.size(); ++I) {
    if (Queues[I].empty())
      continue;
    double Reserve = reservedTokens(static_cast<CallPriority>(I));
    Duration Ready =
        std::max(Bucket.timeUntilAvailable(Reserve, Now), PausedUntil - Now);
    Duration Due = std::min(Ready, Queues[I].front().Deadline - Now);
    Delay = std::min(Delay.value_or(Due), Due);
  }
  if (!Delay) {
    WakeupTimer.reset();
    return;
  }
  WakeupTimer = Timers.after(std::max(*Delay, Duration::zero()), [this] {
    TimerHandle FiredTimer = std::move(WakeupTimer);
    rejectExpired(Time.now());
    sendQueued();
  });
}

double BudgetedPlatformClient::reservedTokens(CallPriority Priority) const {
  constexpr double DocumentReserveShare = 0.1;
  constexpr double OtherReserveShare = 0.3;
  switch (Priority) {
  case CallPriority::Lease:
    return 0;
  case CallPriority::Document:
    return Options.Burst * DocumentReserveShare;
  default:
    return Options.Burst * OtherReserveShare;
  }
}

void BudgetedPlatformClient::read(const std::string &Key,
                                  PlatformCallback<PlatformObject> OnDone) {
  submit<PlatformObject>(
      "read", Key, std::move(OnDone),
      [this, Key](auto Finish) { Inner.read(Key, std::move(Finish)); });
}

void BudgetedPlatformClient::list(const std::string &Prefix,
                                  PlatformCallback<PlatformListing> OnDone) {
  submit<PlatformListing>(
      "list", Prefix, std::move(OnDone),
      [this, Prefix](auto Finish) { Inner.list(Prefix, std::move(Finish)); });
}

void BudgetedPlatformClient::write(const std::string &Key,
                                   const std::string &Value, uint64_t IfVersion,
                                   PlatformCallback<uint64_t> OnDone) {
  submit<uint64_t>(
      "write", Key, std::move(OnDone),
      [=, this](auto Finish) {
        Inner.write(Key, Value, IfVersion, std::move(Finish));
      },
      PlatformError::Restored);
}

void BudgetedPlatformClient::writeStatus(const std::string &Key,
                                         const std::string &Status,
                                         uint64_t IfVersion,
                                         PlatformCallback<uint64_t> OnDone) {
  submit<uint64_t>(
      "write_status", Key, std::move(OnDone),
      [=, this](auto Finish) {
        Inner.writeStatus(Key, Status, IfVersion, std::move(Finish));
      },
      PlatformError::Restored);
}

void BudgetedPlatformClient::remove(const std::string &Key, uint64_t IfVersion,
                                    PlatformCallback<uint64_t> OnDone) {
  submit<uint64_t>(
      "remove", Key, std::move(OnDone),
      [=, this](auto Finish) {
        Inner.remove(Key, IfVersion, std::move(Finish));
      },
      PlatformError::Restored);
}

void BudgetedPlatformClient::watch(const std::string &Prefix, uint64_t Revision,
                                   Duration Wait,
                                   PlatformCallback<WatchBatch> OnDone) {
  submit<WatchBatch>(
      "watch", Prefix, std::move(OnDone),
      [=, this](auto Finish) {
        Inner.watch(Prefix, Revision, Wait, std::move(Finish));
      },
      PlatformError::WatchGap);
}

void BudgetedPlatformClient::listStale(
    const std::string &Prefix, PlatformCallback<PlatformListing> OnDone) {
  submit<PlatformListing>("list_stale", Prefix, std::move(OnDone),
                          [this, Prefix](auto Finish) {
                            Inner.listStale(Prefix, std::move(Finish));
                          });
}

void BudgetedPlatformClient::watchStale(const std::string &Prefix,
                                        uint64_t Revision, Duration Wait,
                                        PlatformCallback<WatchBatch> OnDone) {
  submit<WatchBatch>(
      "watch_stale", Prefix, std::move(OnDone),
      [=, this](auto Finish) {
        Inner.watchStale(Prefix, Revision, Wait, std::move(Finish));
      },
      PlatformError::WatchGap);
}

} // namespace cyclamenwind
