// Membership: the service that keeps the roster in step with other daemons.
//
// A daemon finds its first peers in the meeting points, one platform object a
// failure domain that holds a bounded number of peer addresses, and adds itself
// where there is room. From then on recent changes travel by gossip datagrams
// to a few random members each period; a digest in each datagram reveals
// rosters that differ, and those are exchanged whole over a stream.

#ifndef CYCLAMENWIND_MEMBERSHIP_MEMBERSHIP_H
#define CYCLAMENWIND_MEMBERSHIP_MEMBERSHIP_H

#include "cyclamenwind/base/kernel.h"
#include "cyclamenwind/base/settings.h"
#include "cyclamenwind/config/store.h"
#include "cyclamenwind/membership/announcements.h"
#include "cyclamenwind/membership/roster.h"
#include "cyclamenwind/peer/transport.h"
#include "cyclamenwind/platform/client.h"

namespace cyclamenwind {

// One backend server as other daemons see it.
struct Endpoint {
  std::string MemberId;
  Address Peer;
  std::string FailureDomain;
  std::string Version;
  int Slots = 0;
};

// Read side of the membership; a service named "membership" offers it.
class MembershipView {
public:
  virtual ~MembershipView() = default;

  // Backend servers of Service that may receive calls, all versions.
  virtual const std::vector<Endpoint> &
  endpoints(const std::string &Service) const = 0;
  virtual const Roster &roster() const = 0;
  virtual const Member &self() const = 0;
};

class Membership final : public Service, public MembershipView {
public:
  Membership(const Settings &TheSettings, int64_t Incarnation);

  std::string_view name() const override { return "membership"; }
  void start(Kernel &Host) override;
  void stop() override;

  const std::vector<Endpoint> &
  endpoints(const std::string &Service) const override;
  const Roster &roster() const override { return TheRoster; }
  const Member &self() const override { return Self; }

  // Tells all members that this one takes no more calls.
  void leave();

private:
  void publishSelf();
  void readMeetingPoints();
  void joinMeetingPoint(const PlatformListing &Listing);
  void gossip();
  std::vector<std::string> freshestRumours() const;
  void sendGossip(const Address &To, const std::vector<std::string> &Ids);
  void receiveGossip(const Address &From, std::string_view Payload);
  void receiveSync(const Address &From, std::string_view Payload);
  void sync(const Address &To, bool WantReply);
  void mergeRecord(const Member &Record);
  void rebuildEndpoints();
  std::vector<Address> randomPeers(size_t Count);

  MembershipSettings Options;
  Member Self;
  Roster TheRoster;
  std::map<std::string, std::vector<Endpoint>> Endpoints;
  // Ids of changed records with the number of times they are still to be sent.
  std::map<std::string, int> Rumours;
  PlatformClient *Platform = nullptr;
  PeerTransport *Peers = nullptr;
  ConfigStore *Config = nullptr;
  Announcements *Local = nullptr;
  Random *Dice = nullptr;
  Scheduler *Timers = nullptr;
  TimerHandle GossipTimer;
  TimerHandle JoinTimer;
  int JoinFailures = 0;
};

} // namespace cyclamenwind

#endif
