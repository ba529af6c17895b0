// ServerRegistrations: the backend servers registered with this daemon.
//
// A registration is a lease: the backend server renews it by registering again,
// and the lease expires if it is not renewed within Lifetime.

#ifndef CYCLAMENWIND_MEMBERSHIP_SERVER_REGISTRATIONS_H
#define CYCLAMENWIND_MEMBERSHIP_SERVER_REGISTRATIONS_H

#include "cyclamenwind/base/address.h"
#include "cyclamenwind/base/kernel.h"
#include "cyclamenwind/membership/member_list.h"

#include <functional>
#include <map>

namespace cyclamenwind {

struct BackendServer {
  Address Listen;
  std::string Service;
  std::string Version;
  int Slots = 0;
  bool Draining = false;

  bool operator==(const BackendServer &) const = default;
};

// A service named "announcements".
class ServerRegistrations final : public Service {
public:
  explicit ServerRegistrations(Duration Lifetime) : Lifetime(Lifetime) {}

  std::string_view name() const override { return "announcements"; }
  void start(Kernel &TheKernel) override;
  void stop() override { ExpiryTimer.reset(); }

  // Registers Server or renews its lease.
  void announce(const BackendServer &Server, TimePoint Now);

  // Removes the server that listens at Listen; returns whether it was
  // registered.
  bool withdraw(const Address &Listen);

  // Removes the servers whose lease has expired.
  void expire(TimePoint Now);

  std::vector<BackendServer> servers() const;

  // The server that listens at Listen; null if there is none.
  const BackendServer *find(const Address &Listen) const;

  // Calls Handler after each change.
  void onChange(std::function<void()> Handler);

private:
  struct Lease {
    BackendServer Server;
    TimePoint ExpiresAt;
  };

  void changed();

  Duration Lifetime;
  std::map<Address, Lease> Leases;
  std::vector<std::function<void()>> Handlers;
  TimerHandle ExpiryTimer;
};

} // namespace cyclamenwind

#endif
