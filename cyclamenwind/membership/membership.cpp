#include "cyclamenwind/membership/membership.h"

#include "cyclamenwind/base/backoff.h"
#include "cyclamenwind/base/log.h"
#include "cyclamenwind/config/keys.h"
#include "cyclamenwind/membership/meeting.h"

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

void Membership::start(Kernel &Host) {
  Platform = &Host.find<PlatformClient>("platform");
  Peers = &Host.find<PeerTransport>("peers");
  Local = &Host.find<Announcements>("announcements");
  Time = &Host.clock();
  Dice = &Host.random();
  Timers = &Host.scheduler();
  ProtocolOptions Periods;
  Periods.GossipPeriod = Options.GossipPeriod;
  Periods.ProbePeriod = Options.ProbePeriod;
  Protocol = std::make_unique<MemberProtocol>(Periods, Initial, *Dice);
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
  std::vector<Offer> Offers;
  for (const BackendServer &Each : Local->servers())
    Offers.push_back({Each.Service, Each.Version, Each.Slots, Each.Draining});
  post(Protocol->publish(std::move(Offers), Time->now()));
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
  Platform->list(MeetingPrefix,
                 [this](Result<PlatformListing, PlatformError> Listing) {
                   if (Listing) {
                     meet(Listing.value());
                     return;
                   }
                   std::vector<Address> Seeds =
                       sampled(Options.Seeds, ContactsPerMeeting, *Dice);
                   if (!Protocol->joined())
                     post(Protocol->contact(Seeds, Time->now()));
                   retryMeeting();
                 });
}

// Contacts listed peers that are not members yet, and revises the object of
// this failure domain.
void Membership::meet(const PlatformListing &Listing) {
  std::string Key = MeetingPrefix + self().FailureDomain;
  std::vector<Address> Strangers = Options.Seeds;
  std::vector<Address> Own;
  uint64_t Version = 0;
  for (const PlatformObject &Each : Listing.Objects) {
    std::vector<Address> Listed = decodeMeetingPoint(Each.Value);
    Strangers.insert(Strangers.end(), Listed.begin(), Listed.end());
    if (Each.Key != Key)
      continue;
    Own = Listed;
    Version = Each.Version;
  }
  for (const Member *Each : roster().reachable())
    std::erase(Strangers, Each->Peer);
  post(Protocol->contact(
      sampled(std::move(Strangers), ContactsPerMeeting, *Dice), Time->now()));
  bool Joined = Protocol->joined();
  meetAgain(Joined ? MeetingPeriod : JoiningMeetingPeriod);
  // A list through which nobody could be reached is replaced.
  bool Stale = !Joined && MeetingsRead > 0;
  ++MeetingsRead;
  if (self().State == MemberState::Left || (!Joined && !Stale && !Own.empty()))
    return;
  const Roster *Known = Joined || Stale ? &roster() : nullptr;
  if (auto Revised = revisedMeetingPoint(Own, self().Peer, Known))
    write(Key, *Revised, Version);
}

void Membership::write(const std::string &Key,
                       const std::vector<Address> &Peers, uint64_t IfVersion) {
  Platform->write(Key, encodeMeetingPoint(Peers), IfVersion,
                  [this](Result<uint64_t, PlatformError> Written) {
                    if (Written)
                      MeetingFailures = 0;
                    else
                      retryMeeting();
                  });
}

void Membership::meetAgain(Duration Delay) {
  MeetingTimer = Timers->after(Dice->jittered(Delay, MeetingJitter),
                               [this] { readMeetingPoints(); });
}

void Membership::retryMeeting() {
  MeetingTimer = Timers->after(backoffDelay(++MeetingFailures, MeetingRetryBase,
                                            MeetingRetryLimit, *Dice),
                               [this] { readMeetingPoints(); });
}

} // namespace cyclamenwind
