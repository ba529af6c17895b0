#include "testing/fake_platform.h"

namespace cyclamenwind::testing {

void FakePlatform::deliver(std::function<void()> Action) {
  uint64_t Id = NextId++;
  double Factor = 1 + Spread * Rng.fraction();
  Duration Wait(static_cast<int64_t>(Delay.count() * Factor));
  Pending[Id] = Timers.after(Wait, [this, Id, Action = std::move(Action)] {
    TimerHandle Fired = std::move(Pending[Id]);
    Pending.erase(Id);
    Action();
  });
}

void FakePlatform::setSilent(bool Value) {
  Silent = Value;
  for (Watch &Each : Watches)
    Each.Lost = true;
}

void FakePlatform::wake() {
  for (auto Each = Watches.begin(); Each != Watches.end();) {
    Result<WatchBatch, PlatformError> Batch =
        Store.changes(Each->Prefix, Each->After);
    bool Hidden = Each->Lost || (Each->Stale && !StaleShowsChanges);
    if (Hidden || (Batch && Batch.value().Changes.empty())) {
      ++Each;
      continue;
    }
    deliver([OnDone = Each->OnDone, Batch] { OnDone(Batch); });
    Each = Watches.erase(Each);
  }
}

void FakePlatform::expireWatch(uint64_t Id) {
  TimerHandle Fired = std::move(Pending[Id]);
  Pending.erase(Id);
  auto Found = std::find_if(Watches.begin(), Watches.end(),
                            [Id](const Watch &Each) { return Each.Id == Id; });
  if (Found == Watches.end())
    return;
  PlatformCallback<WatchBatch> OnDone = Found->OnDone;
  if (Found->Lost) {
    Watches.erase(Found);
    OnDone(PlatformError::NoAnswer);
    return;
  }
  WatchBatch Empty;
  Empty.Revision = Store.revision();
  Watches.erase(Found);
  OnDone(std::move(Empty));
}

template <typename T>
void FakePlatformClient::answer(
    PlatformCallback<T> OnDone,
    std::function<Result<T, PlatformError>()> Operation, bool IsWrite) {
  if (!reachable()) {
    Shared.deliver([OnDone = std::move(OnDone), Alive = this->Alive] {
      if (*Alive)
        OnDone(PlatformError::Unreachable);
    });
    return;
  }
  if (Shared.Silent) {
    uint64_t Id = Shared.NextId++;
    Shared.Pending[Id] = Shared.Timers.after(
        Shared.CallTimeout, [Platform = &Shared, Id, OnDone = std::move(OnDone),
                             Alive = this->Alive] {
          TimerHandle Fired = std::move(Platform->Pending[Id]);
          Platform->Pending.erase(Id);
          if (*Alive)
            OnDone(PlatformError::NoAnswer);
        });
    return;
  }
  ++(IsWrite ? Shared.Writes : Shared.Reads);
  // What was sent takes effect even if the client is gone by then.
  Shared.deliver([Platform = &Shared, OnDone = std::move(OnDone),
                  Alive = this->Alive, Operation = std::move(Operation),
                  IsWrite] {
    Result<T, PlatformError> Outcome = Operation();
    if (IsWrite)
      Platform->wake();
    bool Lost = IsWrite && Platform->LoseAnswers > 0;
    if (Lost)
      --Platform->LoseAnswers;
    Platform->deliver([OnDone, Alive, Outcome, Lost] {
      if (*Alive)
        OnDone(Lost ? Result<T, PlatformError>(PlatformError::NoAnswer)
                    : Outcome);
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
  addWatch(Prefix, Revision, /*Stale=*/true, Wait, std::move(OnDone));
}

void FakePlatformClient::addWatch(const std::string &Prefix, uint64_t Revision,
                                  bool Stale, Duration Wait,
                                  PlatformCallback<WatchBatch> OnDone) {
  auto Guarded = [this, OnDone = std::move(OnDone), Alive = this->Alive](
                     Result<WatchBatch, PlatformError> Batch) {
    if (*Alive)
      OnDone(reachable()
                 ? std::move(Batch)
                 : Result<WatchBatch, PlatformError>(PlatformError::NoAnswer));
  };
  if (!reachable()) {
    Shared.deliver([Guarded] { Guarded(PlatformError::Unreachable); });
    return;
  }
  uint64_t Id = Shared.NextId++;
  Shared.Watches.push_back(
      {Id, Prefix, Revision, Guarded, Stale, Shared.Silent});
  Shared.Pending[Id] = Shared.Timers.after(
      Shared.Silent ? Wait + Shared.CallTimeout : Wait,
      [Id, Platform = &this->Shared] { Platform->expireWatch(Id); });
  Shared.wake();
}

} // namespace cyclamenwind::testing
