#include "testing/fake_platform.h"

namespace cyclamenwind::testing {

void FakePlatform::runDelayed(std::function<void()> Action) {
  uint64_t Id = NextTimerId++;
  double Factor = 1 + Spread * Rng.fraction();
  Duration Wait(static_cast<int64_t>(Delay.count() * Factor));
  PendingTimers[Id] =
      Timers.after(Wait, [this, Id, Action = std::move(Action)] {
        TimerHandle FiredTimer = std::move(PendingTimers[Id]);
        PendingTimers.erase(Id);
        Action();
      });
}

void FakePlatform::restore(const ObjectStore &Copy) {
  Store.restore(Copy);
  std::list<Watch> Lost = std::move(Watches);
  Watches.clear();
  for (const Watch &Pending : Lost)
    runDelayed([OnDone = Pending.OnDone, Epoch = Store.restoreEpoch()] {
      OnDone(PlatformError::NoAnswer, Epoch);
    });
}

void FakePlatform::setSilent(bool Value) {
  Silent = Value;
  for (Watch &Pending : Watches)
    Pending.Unanswered = true;
}

void FakePlatformClient::setSilent(bool Value) {
  Silent = Value;
  for (FakePlatform::Watch &Pending : Shared.Watches)
    if (Pending.Client == this)
      Pending.Unanswered = true;
}

void FakePlatform::wake() {
  for (auto Position = Watches.begin(); Position != Watches.end();) {
    Result<WatchBatch, PlatformError> Batch =
        Store.changes(Position->Prefix, Position->After);
    bool Withheld =
        Position->Unanswered || (Position->Stale && !StaleShowsChanges);
    if (Withheld || (Batch && Batch.value().Changes.empty())) {
      ++Position;
      continue;
    }
    runDelayed([OnDone = Position->OnDone, Batch,
                Epoch = Store.restoreEpoch()] { OnDone(Batch, Epoch); });
    Position = Watches.erase(Position);
  }
}

void FakePlatform::expireWatch(uint64_t Id) {
  TimerHandle FiredTimer = std::move(PendingTimers[Id]);
  PendingTimers.erase(Id);
  auto Found =
      std::find_if(Watches.begin(), Watches.end(),
                   [Id](const Watch &Pending) { return Pending.Id == Id; });
  if (Found == Watches.end())
    return;
  if (Found->Unanswered && !Found->Overdue) {
    Found->Overdue = true;
    PendingTimers[Id] =
        Timers.after(Found->Stale ? CallTimeout / 2 : CallTimeout,
                     [this, Id] { expireWatch(Id); });
    return;
  }
  auto OnDone = Found->OnDone;
  if (Found->Unanswered) {
    Watches.erase(Found);
    OnDone(PlatformError::NoAnswer, Store.restoreEpoch());
    return;
  }
  WatchBatch Empty;
  Empty.Revision = Store.revision();
  Watches.erase(Found);
  OnDone(std::move(Empty), Store.restoreEpoch());
}

template <typename T>
void FakePlatformClient::answer(
    PlatformCallback<T> OnDone,
    std::function<Result<T, PlatformError>()> Operation, bool IsWrite) {
  if (!reachable()) {
    ++Shared.RefusedCalls;
    Shared.runDelayed([OnDone = std::move(OnDone), Alive = this->Alive] {
      if (*Alive)
        OnDone(PlatformError::Unreachable);
    });
    return;
  }
  if (unanswered()) {
    uint64_t Id = Shared.NextTimerId++;
    Shared.PendingTimers[Id] = Shared.Timers.after(
        Shared.CallTimeout, [Platform = &Shared, Id, OnDone = std::move(OnDone),
                             Alive = this->Alive] {
          TimerHandle FiredTimer = std::move(Platform->PendingTimers[Id]);
          Platform->PendingTimers.erase(Id);
          if (*Alive)
            OnDone(PlatformError::NoAnswer);
        });
    return;
  }
  ++(IsWrite ? Shared.Writes : Shared.Reads);
  // A call that was sent takes effect even if the client is destroyed
  // meanwhile.
  Shared.runDelayed([this, Platform = &Shared, OnDone = std::move(OnDone),
                     Alive = this->Alive, Operation = std::move(Operation),
                     IsWrite, SentIn = Epoch.known()] {
    Result<T, PlatformError> Outcome = Operation();
    if (IsWrite)
      Platform->wake();
    bool LoseAnswer = IsWrite && Platform->LoseAnswers > 0;
    if (LoseAnswer)
      --Platform->LoseAnswers;
    Platform->runDelayed([this, OnDone, Alive, Outcome, LoseAnswer, IsWrite,
                          SentIn, Named = Platform->Store.restoreEpoch()] {
      if (!*Alive)
        return;
      if (LoseAnswer) {
        OnDone(PlatformError::NoAnswer);
        return;
      }
      StoreCall Call = IsWrite ? StoreCall::Write : StoreCall::Read;
      std::optional<PlatformError> Instead = Epoch.admit(Call, SentIn, Named);
      OnDone(Instead ? Result<T, PlatformError>(*Instead) : Outcome);
    });
  });
}

void FakePlatformClient::read(const std::string &Key,
                              PlatformCallback<PlatformObject> OnDone) {
  answer<PlatformObject>(
      std::move(OnDone),
      [Store = &Shared.Store, Key] { return Store->read(Key); }, false);
}

void FakePlatformClient::list(const std::string &Prefix,
                              PlatformCallback<PlatformListing> OnDone) {
  answer<PlatformListing>(
      std::move(OnDone),
      [Store = &Shared.Store,
       Prefix]() -> Result<PlatformListing, PlatformError> {
        return Store->list(Prefix);
      },
      false);
}

void FakePlatformClient::write(const std::string &Key, const std::string &Value,
                               uint64_t IfVersion,
                               PlatformCallback<uint64_t> OnDone) {
  answer<uint64_t>(
      std::move(OnDone),
      [Store = &Shared.Store, Key, Value, IfVersion] {
        return Store->write(Key, Value, IfVersion);
      },
      true);
}

void FakePlatformClient::writeStatus(const std::string &Key,
                                     const std::string &Status,
                                     uint64_t IfVersion,
                                     PlatformCallback<uint64_t> OnDone) {
  answer<uint64_t>(
      std::move(OnDone),
      [Store = &Shared.Store, Key, Status, IfVersion] {
        return Store->writeStatus(Key, Status, IfVersion);
      },
      true);
}

void FakePlatformClient::remove(const std::string &Key, uint64_t IfVersion,
                                PlatformCallback<uint64_t> OnDone) {
  answer<uint64_t>(
      std::move(OnDone),
      [Store = &Shared.Store, Key, IfVersion] {
        return Store->remove(Key, IfVersion);
      },
      true);
}

void FakePlatformClient::watch(const std::string &Prefix, uint64_t Revision,
                               Duration Wait,
                               PlatformCallback<WatchBatch> OnDone) {
  ++Shared.WatchCalls;
  addWatch(Prefix, Revision, /*Stale=*/false, Wait, std::move(OnDone));
}

void FakePlatformClient::listStale(const std::string &Prefix,
                                   PlatformCallback<PlatformListing> OnDone) {
  ++Shared.StaleCalls;
  list(Prefix, std::move(OnDone));
}

void FakePlatformClient::watchStale(const std::string &Prefix,
                                    uint64_t Revision, Duration Wait,
                                    PlatformCallback<WatchBatch> OnDone) {
  ++Shared.StaleCalls;
  ++Shared.StaleWatches;
  addWatch(Prefix, Revision, /*Stale=*/true, Wait, std::move(OnDone));
}

void FakePlatformClient::addWatch(const std::string &Prefix, uint64_t Revision,
                                  bool Stale, Duration Wait,
                                  PlatformCallback<WatchBatch> OnDone) {
  auto Guarded = [this, OnDone = std::move(OnDone), Alive = this->Alive,
                  SentIn = Epoch.known()](
                     Result<WatchBatch, PlatformError> Batch, uint64_t Named) {
    if (!*Alive)
      return;
    bool Answered = Batch || Batch.error() == PlatformError::WatchGap;
    std::optional<PlatformError> Instead;
    if (!reachable())
      Instead = PlatformError::NoAnswer;
    else if (Answered)
      Instead = Epoch.admit(StoreCall::Watch, SentIn, Named);
    OnDone(Instead ? Result<WatchBatch, PlatformError>(*Instead)
                   : std::move(Batch));
  };
  if (!reachable()) {
    Shared.runDelayed([Guarded] { Guarded(PlatformError::Unreachable, 0); });
    return;
  }
  uint64_t Id = Shared.NextTimerId++;
  Shared.Watches.push_back({Id, Prefix, Revision, Guarded, Stale, unanswered(),
                            this, /*Overdue=*/false});
  Shared.PendingTimers[Id] = Shared.Timers.after(
      Wait, [Id, Platform = &this->Shared] { Platform->expireWatch(Id); });
  Shared.wake();
}

} // namespace cyclamenwind::testing
