// Membership: the service that synchronizes the member list with other daemons.
//
// It runs MemberProtocol (protocol.h) on the peer transport. It finds other
// daemons through the seed lists on the platform's store (seed_list.h) and the
// peers listed in the settings; while the store cannot be read, through the
// latter alone. It reads the seed lists again every JoiningSeedListPeriod until
// it has joined, then every SeedListPeriod, so that separated groups of daemons
// find each other again.

#ifndef CYCLAMENWIND_MEMBERSHIP_MEMBERSHIP_H
#define CYCLAMENWIND_MEMBERSHIP_MEMBERSHIP_H

#include "cyclamenwind/base/kernel.h"
#include "cyclamenwind/base/settings.h"
#include "cyclamenwind/membership/protocol.h"
#include "cyclamenwind/membership/server_registrations.h"
#include "cyclamenwind/peer/transport.h"
#include "cyclamenwind/store/client.h"

namespace cyclamenwind {

// Read-only interface to the membership.
class MembershipView {
public:
  virtual ~MembershipView() = default;

  // Backend servers of Service that may receive calls, all versions.
  virtual const std::vector<Endpoint> &
  endpoints(const std::string &Service) const = 0;
  virtual const MemberList &memberList() const = 0;
  virtual const Member &self() const = 0;
};

// A service named "membership".
class Membership final : public Service, public MembershipView {
public:
  Membership(const Settings &TheSettings, int64_t Incarnation);

  std::string_view name() const override { return "membership"; }
  void start(Kernel &TheKernel) override;
  void stop() override;

  const std::vector<Endpoint> &
  endpoints(const std::string &Service) const override;
  const MemberList &memberList() const override {
    return Protocol->memberList();
  }
  const Member &self() const override { return Protocol->self(); }

  // Announces to the members that this one accepts no more calls.
  void leave();

private:
  void publishSelf();
  void sendAll(const Outbox &Messages);
  void readSeedLists();
  void processSeedLists(const PlatformListing &Listing);
  void writeSeedList(const std::string &Key, const std::vector<Address> &Peers,
                     uint64_t IfVersion);
  void scheduleSeedListRead(Duration Delay);
  void retrySeedListRead();

  MembershipSettings Options;
  Member Initial;
  std::unique_ptr<MemberProtocol> Protocol;
  PlatformClient *Platform = nullptr;
  PeerTransport *Peers = nullptr;
  ServerRegistrations *Registrations = nullptr;
  Clock *Time = nullptr;
  Random *Rng = nullptr;
  Scheduler *Timers = nullptr;
  TimerHandle TickTimer;
  TimerHandle SeedListTimer;
  int SeedListFailures = 0;
  int SeedListReads = 0;
};

} // namespace cyclamenwind

#endif
