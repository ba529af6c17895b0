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
  FakePlatform(Scheduler &Timers, Random &Dice) : Timers(Timers), Dice(Dice) {}

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
    PlatformDone<WatchBatch> Done;
    bool Stale = false;
    bool Lost = false; // Its answer will not come.
  };

  void expireWatch(uint64_t Id);
  void deliver(std::function<void()> Action);

  Scheduler &Timers;
  Random &Dice;
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

  void read(const std::string &Key, PlatformDone<PlatformObject> Done) override;
  void list(const std::string &Prefix,
            PlatformDone<PlatformListing> Done) override;
  void write(const std::string &Key, const std::string &Value,
             uint64_t IfVersion, PlatformDone<uint64_t> Done) override;
  void writeStatus(const std::string &Key, const std::string &Status,
                   uint64_t IfVersion, PlatformDone<uint64_t> Done) override;
  void remove(const std::string &Key, uint64_t IfVersion,
              PlatformDone<uint64_t> Done) override;
  void watch(const std::string &Prefix, uint64_t Revision, Duration Wait,
             PlatformDone<WatchBatch> Done) override;

  void listStale(const std::string &Prefix,
                 PlatformDone<PlatformListing> Done) override;
  void watchStale(const std::string &Prefix, uint64_t Revision, Duration Wait,
                  PlatformDone<WatchBatch> Done) override;

  // Cuts this client off from the platform.
  bool CutOff = false;

private:
  template <typename T>
  void answer(PlatformDone<T> Done,
              std::function<Result<T, PlatformError>()> Operation,
              bool IsWrite);
  void addWatch(const std::string &Prefix, uint64_t Revision, bool Stale,
                Duration Wait, PlatformDone<WatchBatch> Done);
  bool reachable() const { return !CutOff && !Shared.Outage; }

  FakePlatform &Shared;
  std::shared_ptr<bool> Alive = std::make_shared<bool>(true);
};

} // namespace cyclamenwind::testing

#endif
