#include "cyclamenwind/membership/membership.h"

#include "cyclamenwind/base/backoff.h"
#include "cyclamenwind/base/log.h"
#include "cyclamenwind/config/keys.h"
#include "cyclamenwind/membership/seed_list.h"

namespace cyclamenwind {
namespace {

constexpr Duration MeetingRetryBase = 200ms;
constexpr Duration MeetingRetryLimit = 10s;
// Until the roster has been learnt, and from then on.
constexpr Duration JoiningMeetingPeriod = 5s;
constexpr Duration MeetingPeriod = 300s;
constexpr double MeetingJitter = 0.3;
// Listed peers contacted at a time.
constexpr size_t ContactsPerMeeting = 3;

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
  Local = &TheKernel.find<ServerRegistrations>("announcements");
  Time = &TheKernel.clock();
  Rng = &TheKernel.random();
  Timers = &TheKernel.scheduler();
  ProtocolOptions Periods;
  Periods.GossipPeriod = Options.GossipPeriod;
  Periods.ProbePeriod = Options.ProbePeriod;
  Protocol = std::make_unique<MemberProtocol>(Periods, Initial, *Rng);
  for (FrameType Type : MembershipFrames)
    Peers->handle(Type,
                  [this, Type](const Address &From, std::string_view Payload) {
                    post(Protocol->receive(From, Type, Payload, Time->now()));
                  });
  Local->onChange([this] { publishSelf(); });
  publishSelf();
  TickTimer = Timers->every(MemberTickPeriod,
                            [this] { post(Protocol->tick(Time->now())); });
  readMeetingPoints();
}

void Membership::stop() {
  TickTimer.reset();
  MeetingTimer.reset();
}

const std::vector<Endpoint> &
Membership::endpoints(const std::string &Service) const {
  return Protocol->endpoints().of(Service);
}

void Membership::leave() { post(Protocol->leave(Time->now())); }

void Membership::publishSelf() {
  if (self().State == MemberState::Left)
    return;
  std::vector<ServiceInstance> Instances;
  for (const BackendServer &Each : Local->servers())
    Instances.push_back(
        {Each.Service, Each.Version, Each.Slots, Each.Draining});
  post(Protocol->publish(std::move(Instances), Time->now()));
}

void Membership::post(const Outbox &Messages) {
  for (const Outgoing &Each : Messages) {
    if (Each.Payload.size() <= MaxDatagramBytes)
      Peers->sendDatagram(Each.To, Each.Type, Each.Payload);
    else
      Peers->send(Each.To, Each.Type, Each.Payload);
  }
}

void Membership::readMeetingPoints() {
  Platform->list(SeedListPrefix,
                 [this](Result<PlatformListing, PlatformError> Listing) {
                   if (Listing) {
                     meet(Listing.value());
                     return;
                   }
                   std::vector<Address> Seeds =
                       sampled(Options.Seeds, ContactsPerMeeting, *Rng);
                   if (!Protocol->joined())
                     post(Protocol->contact(Seeds, Time->now()));
                   retryMeeting();
                 });
}

// Contacts listed peers that are not members yet, and revises the object of
// this failure domain.
void Membership::meet(const PlatformListing &Listing) {
  std::string Key = SeedListPrefix + self().FailureDomain;
  std::vector<Address> Strangers = Options.Seeds;
  std::vector<Address> Own;
  uint64_t Version = 0;
  for (const PlatformObject &Each : Listing.Objects) {
    std::vector<Address> Listed = decodeSeedList(Each.Value);
    Strangers.insert(Strangers.end(), Listed.begin(), Listed.end());
    if (Each.Key != Key)
      continue;
    Own = Listed;
    Version = Each.Version;
  }
  for (const Member *Each : memberList().reachable())
    std::erase(Strangers, Each->Peer);
  post(Protocol->contact(
      sampled(std::move(Strangers), ContactsPerMeeting, *Rng), Time->now()));
  bool Joined = Protocol->joined();
  meetAgain(Joined ? MeetingPeriod : JoiningMeetingPeriod);
  // A list through which nobody could be reached is replaced.
  bool Stale = !Joined && MeetingsRead > 0;
  ++MeetingsRead;
  if (self().State == MemberState::Left || (!Joined && !Stale && !Own.empty()))
    return;
  const MemberList *Known = Joined || Stale ? &memberList() : nullptr;
  if (auto Revised = revisedSeedList(Own, self().Peer, Known))
    write(Key, *Revised, Version);
}

void Membership::write(const std::string &Key,
                       const std::vector<Address> &Peers, uint64_t IfVersion) {
  Platform->write(Key, encodeSeedList(Peers), IfVersion,
                  [this](Result<uint64_t, PlatformError> Written) {
                    if (Written)
                      MeetingFailures = 0;
                    else
                      retryMeeting();
                  });
}

void Membership::meetAgain(Duration Delay) {
  MeetingTimer = Timers->after(Rng->jittered(Delay, MeetingJitter),
                               [this] { readMeetingPoints(); });
}

void Membership::retryMeeting() {
  MeetingTimer = Timers->after(backoffDelay(++MeetingFailures, MeetingRetryBase,
                                            MeetingRetryLimit, *Rng),
                               [this] { readMeetingPoints(); });
}

} // namespace cyclamenwind
