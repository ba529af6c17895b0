// FakePlatform: the platform in virtual time, shared by any number of clients.
//
// Every client counts its calls. Faults are switches on the shared platform.

#ifndef CYCLAMENWIND_TESTING_FAKE_PLATFORM_H
#define CYCLAMENWIND_TESTING_FAKE_PLATFORM_H

#include "cyclamenwind/base/kernel.h"
#include "testing/object_store.h"

#include <list>

namespace cyclamenwind::testing {

class FakePlatform {
public:
  FakePlatform(Scheduler &Timers, Random &Rng) : Timers(Timers), Rng(Rng) {}

  ObjectStore Store;
  bool Outage = false;
  Duration Delay = 2ms;
  // After this long a client gives up a call that is not answered.
  Duration CallTimeout = 1s;
  // Answers take up to this factor of Delay, so that they cross.
  double Spread = 0;
  int LoseAnswers = 0; // The next writes take effect without an answer.
  uint64_t Reads = 0;
  uint64_t Writes = 0;
  uint64_t WatchCalls = 0;
  uint64_t StaleCalls = 0; // Watches and listings that may be late.
  // Whether late watches are answered when something changes.
  bool StaleShowsChanges = true;

  // While silent the platform takes calls and answers none of them, nor any
  // that waited when it fell silent.
  void setSilent(bool Value);

  // Calls that wait for a watch now.
  size_t waiting() const { return Watches.size(); }

  // Answers the watches that have something to tell.
  void wake();

private:
  friend class FakePlatformClient;

  struct Watch {
    uint64_t Id;
    std::string Prefix;
    uint64_t After;
    PlatformCallback<WatchBatch> OnDone;
    bool Stale = false;
    bool Lost = false; // Its answer will not come.
  };

  void expireWatch(uint64_t Id);
  void deliver(std::function<void()> Action);

  Scheduler &Timers;
  Random &Rng;
  std::list<Watch> Watches;
  std::map<uint64_t, TimerHandle> Pending;
  uint64_t NextId = 0;
  bool Silent = false;
};

// One daemon's client of the shared platform.
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

  // Cuts this client off from the platform.
  bool CutOff = false;

private:
  template <typename T>
  void answer(PlatformCallback<T> OnDone,
              std::function<Result<T, PlatformError>()> Operation,
              bool IsWrite);
  void addWatch(const std::string &Prefix, uint64_t Revision, bool Stale,
                Duration Wait, PlatformCallback<WatchBatch> OnDone);
  bool reachable() const { return !CutOff && !Shared.Outage; }

  FakePlatform &Shared;
  std::shared_ptr<bool> Alive = std::make_shared<bool>(true);
};

} // namespace cyclamenwind::testing

#endif
