#include "cyclamenwind/membership/server_registrations.h"

#include "cyclamenwind/base/log.h"

namespace cyclamenwind {
namespace {

constexpr Duration ExpiryPeriod = 250ms;

} // namespace

void ServerRegistrations::start(Kernel &TheKernel) {
  Clock &Time = TheKernel.clock();
  ExpiryTimer = TheKernel.scheduler().every(
      ExpiryPeriod, [this, &Time] { expire(Time.now()); });
}

void ServerRegistrations::announce(const BackendServer &Server, TimePoint Now) {
  Lease &Entry = Leases[Server.Listen];
  Entry.ExpiresAt = Now + Lifetime;
  if (Entry.Server == Server)
    return;
  Entry.Server = Server;
  logInfo("server_announced", {{"server", Server.Listen.text()},
                               {"service", Server.Service},
                               {"version", Server.Version},
                               {"slots", Server.Slots},
                               {"draining", Server.Draining ? 1 : 0}});
  changed();
}

bool ServerRegistrations::withdraw(const Address &Listen) {
  if (Leases.erase(Listen) == 0)
    return false;
  logInfo("server_withdrawn",
          {{"server", Listen.text()}, {"cause", "requested"}});
  changed();
  return true;
}

void ServerRegistrations::expire(TimePoint Now) {
  size_t Expired = std::erase_if(Leases, [Now](const auto &Item) {
    if (Item.second.ExpiresAt > Now)
      return false;
    logWarning("server_withdrawn",
               {{"server", Item.first.text()}, {"cause", "lease lapsed"}});
    return true;
  });
  if (Expired > 0)
    changed();
}

std::vector<BackendServer> ServerRegistrations::servers() const {
  std::vector<BackendServer> List;
  for (const auto &[Listen, Entry] : Leases)
    List.push_back(Entry.Server);
  return List;
}

const BackendServer *ServerRegistrations::find(const Address &Listen) const {
  auto Found = Leases.find(Listen);
  return Found == Leases.end() ? nullptr : &Found->second.Server;
}

void ServerRegistrations::onChange(std::function<void()> Handler) {
  Handlers.push_back(std::move(Handler));
}

void ServerRegistrations::changed() {
  for (const auto &Handler : Handlers)
    Handler();
}

} // namespace cyclamenwind
