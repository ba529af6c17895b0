// PausableProcess: the timers and the platform client of a simulated process
// that can be paused. While it is paused, no timer or callback runs; those that
// became due in the meantime run on resume().

#ifndef CYCLAMENWIND_TESTING_PAUSABLE_H
#define CYCLAMENWIND_TESTING_PAUSABLE_H

#include "cyclamenwind/base/kernel.h"
#include "cyclamenwind/store/client.h"

namespace cyclamenwind::testing {

class PausableProcess final : public Scheduler,
                              public Service,
                              public PlatformClient {
public:
  PausableProcess(Scheduler &Timers, PlatformClient &Platform)
      : Timers(Timers), Platform(Platform) {}
  ~PausableProcess() override { *Alive = false; }

  std::string_view name() const override { return "platform"; }
  void start(Kernel &) override {}

  void pause() { Paused = true; }
  void resume() {
    Paused = false;
    std::vector<std::function<void()>> DueActions = std::move(HeldActions);
    HeldActions.clear();
    for (const auto &Action : DueActions)
      Action();
  }

  TimerHandle after(Duration Delay, std::function<void()> Action) override {
    return makeTimer(std::move(Action), [&](std::function<void()> Wrapped) {
      return Timers.after(Delay, std::move(Wrapped));
    });
  }
  TimerHandle every(Duration Period, std::function<void()> Action) override {
    return makeTimer(std::move(Action), [&](std::function<void()> Wrapped) {
      return Timers.every(Period, std::move(Wrapped));
    });
  }
  void defer(std::function<void()> Action) override {
    Timers.defer(holdWhilePaused(std::move(Action)));
  }

  void read(const std::string &Key,
            PlatformCallback<PlatformObject> OnDone) override {
    Platform.read(Key, holdResult(std::move(OnDone)));
  }
  void list(const std::string &Prefix,
            PlatformCallback<PlatformListing> OnDone) override {
    Platform.list(Prefix, holdResult(std::move(OnDone)));
  }
  void write(const std::string &Key, const std::string &Value,
             uint64_t IfVersion, PlatformCallback<uint64_t> OnDone) override {
    Platform.write(Key, Value, IfVersion, holdResult(std::move(OnDone)));
  }
  void writeStatus(const std::string &Key, const std::string &Status,
                   uint64_t IfVersion,
                   PlatformCallback<uint64_t> OnDone) override {
    Platform.writeStatus(Key, Status, IfVersion, holdResult(std::move(OnDone)));
  }
  void remove(const std::string &Key, uint64_t IfVersion,
              PlatformCallback<uint64_t> OnDone) override {
    Platform.remove(Key, IfVersion, holdResult(std::move(OnDone)));
  }
  void watch(const std::string &Prefix, uint64_t Revision, Duration Wait,
             PlatformCallback<WatchBatch> OnDone) override {
    Platform.watch(Prefix, Revision, Wait, holdResult(std::move(OnDone)));
  }
  uint64_t restoreEpoch() const override { return Platform.restoreEpoch(); }
  void onRestored(std::function<void()> Handler) override {
    Platform.onRestored(holdWhilePaused(std::move(Handler)));
  }

private:
  // Destroying it cancels the timer and its actions in HeldActions.
  class HeldTimer final : public Timer {
  public:
    HeldTimer(TimerHandle Inner, std::shared_ptr<bool> Active)
        : Inner(std::move(Inner)), Active(std::move(Active)) {}
    ~HeldTimer() override { *Active = false; }

  private:
    TimerHandle Inner;
    std::shared_ptr<bool> Active;
  };

  template <typename Make>
  TimerHandle makeTimer(std::function<void()> Action, Make MakeInner) {
    auto Active = std::make_shared<bool>(true);
    TimerHandle Inner =
        MakeInner(holdWhilePaused([Active, Action = std::move(Action)] {
          std::function<void()> Copy = Action;
          if (*Active)
            Copy();
        }));
    return std::make_unique<HeldTimer>(std::move(Inner), Active);
  }

  std::function<void()> holdWhilePaused(std::function<void()> Action) {
    return [this, Action = std::move(Action), Alive = this->Alive] {
      if (!*Alive)
        return;
      if (Paused)
        HeldActions.push_back(Action);
      else
        Action();
    };
  }

  template <typename T>
  PlatformCallback<T> holdResult(PlatformCallback<T> OnDone) {
    return [this, OnDone = std::move(OnDone),
            Alive = this->Alive](Result<T, PlatformError> Outcome) {
      if (!*Alive)
        return;
      holdWhilePaused([OnDone, Outcome] { OnDone(Outcome); })();
    };
  }

  Scheduler &Timers;
  PlatformClient &Platform;
  bool Paused = false;
  std::vector<std::function<void()>> HeldActions;
  std::shared_ptr<bool> Alive = std::make_shared<bool>(true);
};

} // namespace cyclamenwind::testing

#endif
