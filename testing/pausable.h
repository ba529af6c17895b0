// PausableProcess: the timers and the platform client of a process that can be
// paused. While paused nothing runs; what fell due meanwhile runs on resuming.

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
    std::vector<std::function<void()>> Ready = std::move(Held);
    Held.clear();
    for (const auto &Each : Ready)
      Each();
  }

  TimerHandle after(Duration Delay, std::function<void()> Action) override {
    return cancellable(std::move(Action), [&](std::function<void()> Guarded) {
      return Timers.after(Delay, std::move(Guarded));
    });
  }
  TimerHandle every(Duration Period, std::function<void()> Action) override {
    return cancellable(std::move(Action), [&](std::function<void()> Guarded) {
      return Timers.every(Period, std::move(Guarded));
    });
  }
  void defer(std::function<void()> Action) override {
    Timers.defer(guarded(std::move(Action)));
  }

  void read(const std::string &Key,
            PlatformCallback<PlatformObject> OnDone) override {
    Platform.read(Key, answered(std::move(OnDone)));
  }
  void list(const std::string &Prefix,
            PlatformCallback<PlatformListing> OnDone) override {
    Platform.list(Prefix, answered(std::move(OnDone)));
  }
  void write(const std::string &Key, const std::string &Value,
             uint64_t IfVersion, PlatformCallback<uint64_t> OnDone) override {
    Platform.write(Key, Value, IfVersion, answered(std::move(OnDone)));
  }
  void writeStatus(const std::string &Key, const std::string &Status,
                   uint64_t IfVersion,
                   PlatformCallback<uint64_t> OnDone) override {
    Platform.writeStatus(Key, Status, IfVersion, answered(std::move(OnDone)));
  }
  void remove(const std::string &Key, uint64_t IfVersion,
              PlatformCallback<uint64_t> OnDone) override {
    Platform.remove(Key, IfVersion, answered(std::move(OnDone)));
  }
  void watch(const std::string &Prefix, uint64_t Revision, Duration Wait,
             PlatformCallback<WatchBatch> OnDone) override {
    Platform.watch(Prefix, Revision, Wait, answered(std::move(OnDone)));
  }

private:
  // Cancels also what is held back.
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
  TimerHandle cancellable(std::function<void()> Action, Make MakeTimer) {
    auto Active = std::make_shared<bool>(true);
    TimerHandle Inner = MakeTimer(guarded([Active, Action = std::move(Action)] {
      std::function<void()> Copy = Action;
      if (*Active)
        Copy();
    }));
    return std::make_unique<HeldTimer>(std::move(Inner), Active);
  }

  std::function<void()> guarded(std::function<void()> Action) {
    return [this, Action = std::move(Action), Alive = this->Alive] {
      if (!*Alive)
        return;
      if (Paused)
        Held.push_back(Action);
      else
        Action();
    };
  }

  template <typename T>
  PlatformCallback<T> answered(PlatformCallback<T> OnDone) {
    return [this, OnDone = std::move(OnDone),
            Alive = this->Alive](Result<T, PlatformError> Outcome) {
      if (!*Alive)
        return;
      guarded([OnDone, Outcome] { OnDone(Outcome); })();
    };
  }

  Scheduler &Timers;
  PlatformClient &Platform;
  bool Paused = false;
  std::vector<std::function<void()>> Held;
  std::shared_ptr<bool> Alive = std::make_shared<bool>(true);
};

} // namespace cyclamenwind::testing

#endif
