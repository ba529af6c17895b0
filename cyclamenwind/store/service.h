// PlatformService: the service named "platform", a platform client whose calls
// are limited to the daemon's call budget.

#ifndef CYCLAMENWIND_STORE_SERVICE_H
#define CYCLAMENWIND_STORE_SERVICE_H

#include "cyclamenwind/base/kernel.h"
#include "cyclamenwind/base/loop.h"
#include "cyclamenwind/store/budget.h"

namespace cyclamenwind {

class PlatformService final : public Service, public PlatformClient {
public:
  PlatformService(std::unique_ptr<PlatformClient> Inner, Loop &TheLoop,
                  const PlatformSettings &Options, Random &Rng)
      : Client(std::move(Inner)),
        Budget(*Client, TheLoop, TheLoop, Rng, Options) {}

  std::string_view name() const override { return "platform"; }
  void start(Kernel &) override {}

  // Sets BudgetedPlatformClient::Observer.
  void
  observe(std::function<void(std::string_view, std::string_view)> Observer) {
    Budget.Observer = std::move(Observer);
  }

  void read(const std::string &Key,
            PlatformCallback<PlatformObject> OnDone) override {
    Budget.read(Key, std::move(OnDone));
  }
  void list(const std::string &Prefix,
            PlatformCallback<PlatformListing> OnDone) override {
    Budget.list(Prefix, std::move(OnDone));
  }
  void write(const std::string &Key, const std::string &Value,
             uint64_t IfVersion, PlatformCallback<uint64_t> OnDone) override {
    Budget.write(Key, Value, IfVersion, std::move(OnDone));
  }
  void writeStatus(const std::string &Key, const std::string &Status,
                   uint64_t IfVersion,
                   PlatformCallback<uint64_t> OnDone) override {
    Budget.writeStatus(Key, Status, IfVersion, std::move(OnDone));
  }
  void remove(const std::string &Key, uint64_t IfVersion,
              PlatformCallback<uint64_t> OnDone) override {
    Budget.remove(Key, IfVersion, std::move(OnDone));
  }
  void watch(const std::string &Prefix, uint64_t Revision, Duration Wait,
             PlatformCallback<WatchBatch> OnDone) override {
    Budget.watch(Prefix, Revision, Wait, std::move(OnDone));
  }
  uint64_t restoreEpoch() const override { return Budget.restoreEpoch(); }
  void onRestored(std::function<void()> Handler) override {
    Budget.onRestored(std::move(Handler));
  }
  void listStale(const std::string &Prefix,
                 PlatformCallback<PlatformListing> OnDone) override {
    Budget.listStale(Prefix, std::move(OnDone));
  }
  void watchStale(const std::string &Prefix, uint64_t Revision, Duration Wait,
                  PlatformCallback<WatchBatch> OnDone) override {
    Budget.watchStale(Prefix, Revision, Wait, std::move(OnDone));
  }

private:
  std::unique_ptr<PlatformClient> Client;
  BudgetedPlatformClient Budget;
};

} // namespace cyclamenwind

#endif
