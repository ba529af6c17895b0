// FakePlatform: an in-memory platform in virtual time, shared by any number of
// clients.
//
// It counts the calls of all its clients. Faults are injected by setting its
// public members; CutOff disconnects a single client.

#ifndef CYCLAMENWIND_TESTING_FAKE_PLATFORM_H
#define CYCLAMENWIND_TESTING_FAKE_PLATFORM_H

#include "cyclamenwind/base/kernel.h"
#include "cyclamenwind/store/restore_epoch.h"
#include "testing/object_store.h"

#include <list>

namespace cyclamenwind::testing {

class FakePlatform {
public:
  FakePlatform(Scheduler &Timers, Random &Rng) : Timers(Timers), Rng(Rng) {}

  ObjectStore Store;
  bool Outage = false;
  Duration Delay = 2ms;
  // A client fails an unanswered call with NoAnswer after this time.
  Duration CallTimeout = 1s;
  // Delays are uniform in [Delay, Delay * (1 + Spread)), so that responses can
  // arrive out of order.
  double Spread = 0;
  // Number of following writes that are processed but whose response is lost.
  int LoseAnswers = 0;
  uint64_t Reads = 0;
  uint64_t Writes = 0;
  uint64_t WatchCalls = 0;
  uint64_t StaleCalls = 0;   // Calls of listStale() and watchStale().
  uint64_t StaleWatches = 0; // Calls of watchStale(), not in WatchCalls.
  uint64_t RefusedCalls = 0; // Other calls than watches while unreachable.
  // Whether a stale watch returns when an object under its prefix changes.
  bool StaleShowsChanges = true;

  // Returns to Copy, an earlier state of Store. Pending watches end without an
  // answer, as the connections of a store that is restarted do.
  void restore(const ObjectStore &Copy);

  // While silent, the platform receives calls but does not answer them. Watches
  // that are pending when this is called are never answered either.
  void setSilent(bool Value);

  // Number of pending watches.
  size_t waiting() const { return Watches.size(); }

  // Answers all watches for which there are changes.
  void wake();

private:
  friend class FakePlatformClient;

  struct Watch {
    uint64_t Id;
    std::string Prefix;
    uint64_t After;
    // Takes the restore epoch of the response.
    std::function<void(Result<WatchBatch, PlatformError>, uint64_t)> OnDone;
    bool Stale = false;
    bool Unanswered = false; // Never answered; ends with NoAnswer.
    const void *Client = nullptr;
    bool Overdue = false; // Its wait has passed without an answer.
  };

  void expireWatch(uint64_t Id);
  void runDelayed(std::function<void()> Action);

  Scheduler &Timers;
  Random &Rng;
  std::list<Watch> Watches;
  std::map<uint64_t, TimerHandle> PendingTimers;
  uint64_t NextTimerId = 0;
  bool Silent = false;
};

// The client of one daemon.
class FakePlatformClient final : public Service, public PlatformClient {
public:
  explicit FakePlatformClient(FakePlatform &Shared) : Shared(Shared) {}
  ~FakePlatformClient() override { *Alive = false; }

  std::string_view name() const override { return "platform"; }
  void start(Kernel &) override {}

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

  uint64_t restoreEpoch() const override { return Epoch.current(); }
  void onRestored(std::function<void()> Handler) override {
    Epoch.onRaised(std::move(Handler));
  }

  // Makes the platform unreachable for this client only.
  bool CutOff = false;

  // The same as FakePlatform::setSilent() for this client only.
  void setSilent(bool Value);

private:
  template <typename T>
  void answer(PlatformCallback<T> OnDone,
              std::function<Result<T, PlatformError>()> Operation,
              bool IsWrite);
  void addWatch(const std::string &Prefix, uint64_t Revision, bool Stale,
                Duration Wait, PlatformCallback<WatchBatch> OnDone);
  bool reachable() const { return !CutOff && !Shared.Outage; }
  bool unanswered() const { return Silent || Shared.Silent; }

  FakePlatform &Shared;
  RestoreEpoch Epoch;
  bool Silent = false;
  std::shared_ptr<bool> Alive = std::make_shared<bool>(true);
};

} // namespace cyclamenwind::testing

#endif
