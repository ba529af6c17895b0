// PlatformService: the HTTP platform client, within the daemon's budget, as the
// service named "platform".

#ifndef CYCLAMENWIND_PLATFORM_SERVICE_H
#define CYCLAMENWIND_PLATFORM_SERVICE_H

#include "cyclamenwind/base/kernel.h"
#include "cyclamenwind/platform/budget.h"
#include "cyclamenwind/platform/http_client.h"

namespace cyclamenwind {

class PlatformService final : public Service, public PlatformClient {
public:
  PlatformService(Loop &TheLoop, const Address &Platform,
                  const PlatformSettings &Options, Random &Dice)
      : Client(TheLoop, Platform, Options.Timeout),
        Budget(Client, TheLoop, TheLoop, Dice, Options) {}

  std::string_view name() const override { return "platform"; }
  void start(Kernel &) override {}

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
  void remove(const std::string &Key, uint64_t IfVersion,
              PlatformDone<uint64_t> Done) override {
    Budget.remove(Key, IfVersion, std::move(Done));
  }
  void watch(const std::string &Prefix, uint64_t Revision, Duration Wait,
             PlatformDone<WatchBatch> Done) override {
    Budget.watch(Prefix, Revision, Wait, std::move(Done));
  }

private:
  HttpPlatformClient Client;
  BudgetedPlatformClient Budget;
};

} // namespace cyclamenwind

#endif
