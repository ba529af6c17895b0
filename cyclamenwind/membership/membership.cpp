#include "cyclamenwind/membership/membership.h"

#include "cyclamenwind/base/backoff.h"
#include "cyclamenwind/base/log.h"
#include "cyclamenwind/config/keys.h"
#include "cyclamenwind/membership/seed_list.h"

namespace cyclamenwind {
namespace {

constexpr Duration SeedListRetryBase = 200ms;
constexpr Duration SeedListRetryLimit = 10s;
// Period of reading the seed lists before and after this daemon has joined.
constexpr Duration JoiningSeedListPeriod = 5s;
constexpr Duration SeedListPeriod = 300s;
constexpr double SeedListJitter = 0.3;
// Listed peers contacted after one read of the seed lists.
constexpr size_t ContactsPerRead = 3;

constexpr FrameType MembershipFrames[] = {
    FrameType::Gossip,    FrameType::RosterPull, FrameType::RosterRecords,
    FrameType::Probe,     FrameType::ProbeAck,   FrameType::ProbeRequest,
    FrameType::ProbeNack,
};

} // namespace

Membership::Membership(const Settings &TheSettings, int64_t Incarnation)
    : Options(TheSettings.Membership) {
  Initial.Id = TheSettings.Member.Id;
  Initial.Incarnation = Incarnation;
  Initial.Peer = TheSettings.Addresses.Peers;
  Initial.FailureDomain = TheSettings.Member.FailureDomain;
}

void Membership::start(Kernel &TheKernel) {
  Platform = &TheKernel.find<PlatformClient>("platform");
  Peers = &TheKernel.find<PeerTransport>("peers");
  Registrations = &TheKernel.find<ServerRegistrations>("announcements");
  Time = &TheKernel.clock();
  Rng = &TheKernel.random();
  Timers = &TheKernel.scheduler();
  ProtocolOptions TheProtocolOptions;
  TheProtocolOptions.GossipPeriod = Options.GossipPeriod;
  TheProtocolOptions.ProbePeriod = Options.ProbePeriod;
  Protocol =
      std::make_unique<MemberProtocol>(TheProtocolOptions, Initial, *Rng);
  for (FrameType Type : MembershipFrames)
    Peers->handle(
        Type, [this, Type](const Address &From, std::string_view Payload) {
          sendAll(Protocol->receive(From, Type, Payload, Time->now()));
        });
  Registrations->onChange([this] { publishSelf(); });
  publishSelf();
  TickTimer = Timers->every(MemberTickPeriod,
                            [this] { sendAll(Protocol->tick(Time->now())); });
  readSeedLists();
}

void Membership::stop() {
  TickTimer.reset();
  SeedListTimer.reset();
}

const std::vector<Endpoint> &
Membership::endpoints(const std::string &Service) const {
  return Protocol->endpoints().endpointsOf(Service);
}

void Membership::leave() { sendAll(Protocol->leave(Time->now())); }

void Membership::publishSelf() {
  if (self().State == MemberState::Left)
    return;
  std::vector<ServiceInstance> Instances;
  for (const BackendServer &Server : Registrations->servers())
    Instances.push_back(
        {Server.Service, Server.Version, Server.Slots, Server.Draining});
  sendAll(Protocol->publish(std::move(Instances), Time->now()));
}

void Membership::sendAll(const Outbox &Messages) {
  for (const Outgoing &Frame : Messages) {
    if (Frame.Payload.size() <= MaxDatagramBytes)
      Peers->sendDatagram(Frame.To, Frame.Type, Frame.Payload);
    else
      Peers->send(Frame.To, Frame.Type, Frame.Payload);
  }
}

void Membership::readSeedLists() {
  Platform->list(SeedListPrefix,
                 [this](Result<PlatformListing, PlatformError> Listing) {
                   if (Listing) {
                     processSeedLists(Listing.value());
                     return;
                   }
                   std::vector<Address> Seeds =
                       randomSample(Options.Seeds, ContactsPerRead, *Rng);
                   if (!Protocol->joined())
                     sendAll(Protocol->contact(Seeds, Time->now()));
                   retrySeedListRead();
                 });
}

// Contacts listed peers that are not in the member list yet, and updates the
// seed list of this failure domain.
void Membership::processSeedLists(const PlatformListing &Listing) {
  std::string Key = SeedListPrefix + self().FailureDomain;
  std::vector<Address> UnknownPeers = Options.Seeds;
  std::vector<Address> OwnList;
  uint64_t Version = 0;
  for (const PlatformObject &Object : Listing.Objects) {
    std::vector<Address> Listed = decodeSeedList(Object.Value);
    UnknownPeers.insert(UnknownPeers.end(), Listed.begin(), Listed.end());
    if (Object.Key != Key)
      continue;
    OwnList = Listed;
    Version = Object.Version;
  }
  for (const Member *ReachableMember : memberList().reachable())
    std::erase(UnknownPeers, ReachableMember->Peer);
  sendAll(Protocol->contact(
      randomSample(std::move(UnknownPeers), ContactsPerRead, *Rng),
      Time->now()));
  bool Joined = Protocol->joined();
  scheduleSeedListRead(Joined ? SeedListPeriod : JoiningSeedListPeriod);
  // The list is replaced if no listed peer could be reached since the last
  // read.
  bool Stale = !Joined && SeedListReads > 0;
  ++SeedListReads;
  if (self().State == MemberState::Left ||
      (!Joined && !Stale && !OwnList.empty()))
    return;
  const MemberList *KnownMembers = Joined || Stale ? &memberList() : nullptr;
  if (auto Revised = revisedSeedList(OwnList, self().Peer, KnownMembers))
    writeSeedList(Key, *Revised, Version);
}

void Membership::writeSeedList(const std::string &Key,
                               const std::vector<Address> &Peers,
                               uint64_t IfVersion) {
  Platform->write(Key, encodeSeedList(Peers), IfVersion,
                  [this](Result<uint64_t, PlatformError> Written) {
                    if (Written)
                      SeedListFailures = 0;
                    else
                      retrySeedListRead();
                  });
}

void Membership::scheduleSeedListRead(Duration Delay) {
  SeedListTimer = Timers->after(Rng->jittered(Delay, SeedListJitter),
                                [this] { readSeedLists(); });
}

void Membership::retrySeedListRead() {
  SeedListTimer =
      Timers->after(backoffDelay(++SeedListFailures, SeedListRetryBase,
                                 SeedListRetryLimit, *Rng),
                    [this] { readSeedLists(); });
}

} // namespace cyclamenwind
