#include "cyclamenwind/membership/membership.h"

#include "cyclamenwind/base/backoff.h"
#include "cyclamenwind/base/log.h"
#include "cyclamenwind/config/keys.h"
#include "cyclamenwind/membership/codec.h"

#include <nlohmann/json.hpp>

namespace cyclamenwind {
namespace {

using nlohmann::json;

constexpr size_t GossipFanout = 3;
constexpr int RumourRepeats = 4;
// Records in one datagram.
constexpr size_t MaxRumours = 6;
// Peer addresses in one meeting point.
constexpr size_t MeetingPointSize = 8;
constexpr Duration JoinRetryBase = 200ms;
constexpr Duration JoinRetryLimit = 10s;

std::vector<Address> addressesIn(const std::string &Value) {
  std::vector<Address> List;
  json Node = json::parse(Value, nullptr, /*allow_exceptions=*/false);
  if (!Node.is_array())
    return List;
  for (const json &Each : Node) {
    std::optional<Address> Parsed;
    if (Each.is_string())
      Parsed = parseAddress(Each.get_ref<const std::string &>());
    if (Parsed)
      List.push_back(*Parsed);
  }
  return List;
}

std::string textOf(const std::vector<Address> &List) {
  json Node = json::array();
  for (const Address &Each : List)
    Node.push_back(Each.text());
  return Node.dump();
}

} // namespace

Membership::Membership(const Settings &TheSettings, int64_t Incarnation)
    : Options(TheSettings.Membership) {
  Self.Id = TheSettings.Member.Id;
  Self.Incarnation = Incarnation;
  Self.Peer = TheSettings.Addresses.Peers;
  Self.FailureDomain = TheSettings.Member.FailureDomain;
}

void Membership::start(Kernel &Host) {
  Platform = &Host.find<PlatformClient>("platform");
  Peers = &Host.find<PeerTransport>("peers");
  Config = &Host.find<ConfigStore>("config");
  Local = &Host.find<Announcements>("announcements");
  Dice = &Host.random();
  Timers = &Host.scheduler();
  Peers->handle(FrameType::Gossip,
                [this](const Address &From, std::string_view Payload) {
                  receiveGossip(From, Payload);
                });
  Peers->handle(FrameType::RosterSync,
                [this](const Address &From, std::string_view Payload) {
                  receiveSync(From, Payload);
                });
  Local->onChange([this] { publishSelf(); });
  Config->onChange([this](const SnapshotPtr &) { publishSelf(); });
  publishSelf();
  GossipTimer = Timers->every(Options.GossipPeriod, [this] { gossip(); });
  readMeetingPoints();
}

void Membership::stop() {
  GossipTimer.reset();
  JoinTimer.reset();
}

const std::vector<Endpoint> &
Membership::endpoints(const std::string &Service) const {
  static const std::vector<Endpoint> None;
  auto Found = Endpoints.find(Service);
  return Found == Endpoints.end() ? None : Found->second;
}

void Membership::leave() {
  Self.State = MemberState::Left;
  publishSelf();
  for (int Round = 0; Round < RumourRepeats; ++Round)
    gossip();
}

void Membership::publishSelf() {
  ++Self.Revision;
  Self.ConfigVersion = Config->version();
  Self.Offers.clear();
  for (const BackendServer &Each : Local->servers())
    Self.Offers.push_back(
        {Each.Service, Each.Version, Each.Slots, Each.Draining});
  TheRoster.merge(Self);
  Rumours[Self.Id] = RumourRepeats;
  rebuildEndpoints();
}

void Membership::readMeetingPoints() {
  Platform->list(
      MeetingPrefix, [this](Result<PlatformListing, PlatformError> Listing) {
        if (Listing) {
          JoinFailures = 0;
          joinMeetingPoint(Listing.value());
          return;
        }
        ++JoinFailures;
        JoinTimer = Timers->after(
            backoffDelay(JoinFailures, JoinRetryBase, JoinRetryLimit, *Dice),
            [this] { readMeetingPoints(); });
      });
}

void Membership::joinMeetingPoint(const PlatformListing &Listing) {
  std::string Key = MeetingPrefix + Self.FailureDomain;
  std::vector<Address> Own;
  uint64_t Version = 0;
  for (const PlatformObject &Each : Listing.Objects) {
    std::vector<Address> Found = addressesIn(Each.Value);
    for (const Address &Peer : Found)
      if (Peer != Self.Peer)
        sync(Peer, /*WantReply=*/true);
    if (Each.Key != Key)
      continue;
    Own = Found;
    Version = Each.Version;
  }
  bool Present = std::find(Own.begin(), Own.end(), Self.Peer) != Own.end();
  if (Present || Own.size() >= MeetingPointSize)
    return;
  Own.push_back(Self.Peer);
  Platform->write(Key, textOf(Own), Version,
                  [this](Result<uint64_t, PlatformError> Written) {
                    if (!Written)
                      JoinTimer = Timers->after(
                          backoffDelay(++JoinFailures, JoinRetryBase,
                                       JoinRetryLimit, *Dice),
                          [this] { readMeetingPoints(); });
                  });
}

void Membership::gossip() {
  std::vector<std::string> Fresh = freshestRumours();
  for (const Address &Each : randomPeers(GossipFanout))
    sendGossip(Each, Fresh);
  for (const std::string &Id : Fresh)
    if (--Rumours[Id] <= 0)
      Rumours.erase(Id);
}

// Ids of the changed records that have been sent least often.
std::vector<std::string> Membership::freshestRumours() const {
  std::vector<std::pair<int, std::string>> Ranked;
  for (const auto &[Id, Repeats] : Rumours)
    Ranked.push_back({-Repeats, Id});
  size_t Count = std::min(Ranked.size(), MaxRumours);
  std::partial_sort(Ranked.begin(), Ranked.begin() + static_cast<long>(Count),
                    Ranked.end());
  std::vector<std::string> Chosen;
  for (size_t I = 0; I < Count; ++I)
    Chosen.push_back(Ranked[I].second);
  return Chosen;
}

void Membership::sendGossip(const Address &To,
                            const std::vector<std::string> &Ids) {
  wire::Gossip Message;
  Message.digest = static_cast<int64_t>(TheRoster.digest());
  for (const std::string &Id : Ids)
    Message.records.push_back(toWire(*TheRoster.find(Id)));
  Peers->sendDatagram(To, FrameType::Gossip, encodeMessage(Message));
}

void Membership::receiveGossip(const Address &From, std::string_view Payload) {
  Result<wire::Gossip, FrameError> Message =
      decodeMessage<wire::Gossip>(Payload);
  if (!Message)
    return;
  for (const wire::MemberRecord &Each : Message.value().records)
    if (std::optional<Member> Record = fromWire(Each))
      mergeRecord(*Record);
  bool Differs =
      static_cast<uint64_t>(Message.value().digest) != TheRoster.digest();
  if (Differs && Rumours.empty() && Message.value().records.empty())
    sync(From, /*WantReply=*/true);
}

void Membership::sync(const Address &To, bool WantReply) {
  wire::RosterSync Message;
  Message.wantReply = WantReply;
  for (const auto &[Id, Record] : TheRoster.members())
    Message.records.push_back(toWire(Record));
  Peers->sendMessage(To, FrameType::RosterSync, Message);
}

void Membership::receiveSync(const Address &From, std::string_view Payload) {
  Result<wire::RosterSync, FrameError> Message =
      decodeMessage<wire::RosterSync>(Payload);
  if (!Message)
    return;
  for (const wire::MemberRecord &Each : Message.value().records)
    if (std::optional<Member> Record = fromWire(Each))
      mergeRecord(*Record);
  if (Message.value().wantReply)
    sync(From, /*WantReply=*/false);
}

void Membership::mergeRecord(const Member &Record) {
  if (Record.Id == Self.Id) {
    if (Record.supersedes(Self)) {
      Self.Revision = Record.Revision;
      publishSelf();
    }
    return;
  }
  if (!TheRoster.merge(Record))
    return;
  Rumours[Record.Id] = RumourRepeats;
  rebuildEndpoints();
}

void Membership::rebuildEndpoints() {
  Endpoints.clear();
  for (const auto &[Id, Record] : TheRoster.members()) {
    if (!Record.reachable())
      continue;
    for (const Offer &Each : Record.Offers)
      if (!Each.Draining)
        Endpoints[Each.Service].push_back(
            {Id, Record.Peer, Record.FailureDomain, Each.Version, Each.Slots});
  }
}

std::vector<Address> Membership::randomPeers(size_t Count) {
  std::vector<Address> Candidates;
  for (const auto &[Id, Record] : TheRoster.members())
    if (Id != Self.Id && Record.reachable())
      Candidates.push_back(Record.Peer);
  for (size_t I = 0; I + 1 < Candidates.size() && I < Count; ++I)
    std::swap(Candidates[I],
              Candidates[I + Dice->below(Candidates.size() - I)]);
  if (Candidates.size() > Count)
    Candidates.resize(Count);
  return Candidates;
}

} // namespace cyclamenwind
