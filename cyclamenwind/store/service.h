// PlatformService: a platform client, within the daemon's budget, as the
// service named "platform".

#ifndef CYCLAMENWIND_STORE_SERVICE_H
#define CYCLAMENWIND_STORE_SERVICE_H

#include "cyclamenwind/base/kernel.h"
#include "cyclamenwind/base/loop.h"
#include "cyclamenwind/store/budget.h"

namespace cyclamenwind {

class PlatformService final : public Service, public PlatformClient {
public:
  PlatformService(std::unique_ptr<PlatformClient> Inner, Loop &TheLoop,
                  const PlatformSettings &Options, Random &Dice)
      : Client(std::move(Inner)),
        Budget(*Client, TheLoop, TheLoop, Dice, Options) {}

  std::string_view name() const override { return "platform"; }
  void start(Kernel &) override {}

  // See BudgetedPlatformClient::Observer.
  void
  observe(std::function<void(std::string_view, std::string_view)> Observer) {
    Budget.Observer = std::move(Observer);
  }

  void read(const std::string &Key,
            PlatformDone<PlatformObject> Done) override {
    Budget.read(Key, std::move(Done));
  }
  void list(const std::string &Prefix,
            PlatformDone<PlatformListing> Done) override {
    Budget.list(Prefix, std::move(Done));
  }
  void write(const std::string &Key, const std::string &Value,
             uint64_t IfVersion, PlatformDone<uint64_t> Done) override {
    Budget.write(Key, Value, IfVersion, std::move(Done));
  }
  void writeStatus(const std::string &Key, const std::string &Status,
                   uint64_t IfVersion, PlatformDone<uint64_t> Done) override {
    Budget.writeStatus(Key, Status, IfVersion, std::move(Done));
  }
  void remove(const std::string &Key, uint64_t IfVersion,
              PlatformDone<uint64_t> Done) override {
    Budget.remove(Key, IfVersion, std::move(Done));
  }
  void watch(const std::string &Prefix, uint64_t Revision, Duration Wait,
             PlatformDone<WatchBatch> Done) override {
    Budget.watch(Prefix, Revision, Wait, std::move(Done));
  }
  void listStale(const std::string &Prefix,
                 PlatformDone<PlatformListing> Done) override {
    Budget.listStale(Prefix, std::move(Done));
  }
  void watchStale(const std::string &Prefix, uint64_t Revision, Duration Wait,
                  PlatformDone<WatchBatch> Done) override {
    Budget.watchStale(Prefix, Revision, Wait, std::move(Done));
  }

private:
  std::unique_ptr<PlatformClient> Client;
  BudgetedPlatformClient Budget;
};

} // namespace cyclamenwind

#endif
