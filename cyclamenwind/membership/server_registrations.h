// Announcements: the backend servers that have announced themselves to this
// daemon.
//
// An announcement is a lease: the backend server repeats it, and it lapses when
// it has not been repeated for its lifetime. This is pure deciding code.

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

  // Adds Server or renews its lease.
  void announce(const BackendServer &Server, TimePoint Now);

  // Withdraws the server that listens at Listen; says whether it was known.
  bool withdraw(const Address &Listen);

  // Withdraws servers whose lease has lapsed.
  void expire(TimePoint Now);

  std::vector<BackendServer> servers() const;
  const BackendServer *find(const Address &Listen) const;

  // Calls Handler after each change.
  void onChange(std::function<void()> Handler);

private:
  struct Lease {
    BackendServer Server;
    TimePoint Until;
  };

  void changed();

  Duration Lifetime;
  std::map<Address, Lease> Leases;
  std::vector<std::function<void()>> Handlers;
  TimerHandle ExpiryTimer;
};

} // namespace cyclamenwind

#endif
