#include "cyclamenwind/membership/protocol.h"

#include "cyclamenwind/base/log.h"
#include "cyclamenwind/membership/codec.h"
#include "cyclamenwind/membership/repair.h"

#include <algorithm>

namespace cyclamenwind {
namespace {

// Random members that receive a changed record at once; RemovalFanout if the
// change removes a server instance or the member leaves.
constexpr size_t ChangeFanout = 8;
constexpr size_t RemovalFanout = 32;
constexpr Duration LeftRetention = 120s;
constexpr Duration DeadRetention = 600s;
constexpr Duration RepairPeriod = 1s;
constexpr double Jitter = 0.3;

bool removesInstance(const Member &Old,
                     const std::vector<ServiceInstance> &Instances) {
  return std::any_of(Old.Instances.begin(), Old.Instances.end(),
                     [&Instances](const ServiceInstance &Instance) {
                       return !Instance.Draining &&
                              std::find(Instances.begin(), Instances.end(),
                                        Instance) == Instances.end();
                     });
}

// Current with the incarnation, revision and state of Record.
Member withState(Member Current, const Member &Record) {
  Current.Incarnation = Record.Incarnation;
  Current.Revision = Record.Revision;
  Current.State = Record.State;
  return Current;
}

// Records in state Alive are sent half as often, since repair also delivers
// changes of servers.
int sendCount(const Member &Record, size_t Size) {
  int Sends = gossipSends(Size);
  return Record.State == MemberState::Alive ? (Sends + 1) / 2 : Sends;
}

} // namespace

MemberProtocol::MemberProtocol(const ProtocolOptions &Options,
                               const Member &Self, Random &Rng)
    : Options(Options), Self(Self), Rng(Rng),
      Detector(Options.ProbePeriod, Rng),
      GossipBudget(Options.GossipBytesPerSecond, Options.GossipBurst),
      RepairBudget(Options.RepairBytesPerSecond, Options.RepairBurst) {
  Members.merge(Self);
}

Outbox MemberProtocol::tick(TimePoint Now) {
  detectPause(Now);
  probe(Now);
  expireSuspicions(Now);
  forgetExpired(Now);
  if (Now >= NextGossip) {
    NextGossip = Now + Rng.jittered(Options.GossipPeriod, Jitter);
    gossip(Now);
  }
  repair(Now);
  contactDeadMember(Now);
  return takeOutbox();
}

Outbox MemberProtocol::receive(const Address &From, FrameType Type,
                               std::string_view Payload, TimePoint Now) {
  recordPeer(From);
  switch (Type) {
  case FrameType::Gossip:
    receiveGossip(Payload, Now);
    break;
  case FrameType::Probe:
    receiveProbe(From, Payload, Now);
    break;
  case FrameType::ProbeAck:
    receiveAck(From, Payload, Now);
    break;
  case FrameType::ProbeRequest:
    receiveRequest(From, Payload, Now);
    break;
  case FrameType::ProbeNack:
    receiveNack(Payload);
    break;
  case FrameType::RosterPull:
    receivePull(From, Payload, Now);
    break;
  case FrameType::RosterRecords:
    receiveRecords(Payload, Now);
    break;
  default:
    break;
  }
  return takeOutbox();
}

Outbox MemberProtocol::publish(std::vector<ServiceInstance> Instances,
                               TimePoint Now) {
  bool Removal = removesInstance(Self, Instances);
  bool Changed = Instances != Self.Instances;
  Self.Instances = std::move(Instances);
  publishSelf(Removal ? RemovalFanout : (Changed ? ChangeFanout : 0), Now);
  return takeOutbox();
}

Outbox MemberProtocol::leave(TimePoint Now) {
  Self.State = MemberState::Left;
  Self.Instances.clear();
  publishSelf(RemovalFanout, Now);
  return takeOutbox();
}

Outbox MemberProtocol::contact(const std::vector<Address> &Peers,
                               TimePoint Now) {
  for (const Address &Peer : Peers)
    if (Peer != Self.Peer && RepairBudget.available(Now))
      pull(Peer);
  return takeOutbox();
}

void MemberProtocol::receiveGossip(std::string_view Payload, TimePoint Now) {
  if (auto Message = decodeMessage<wire::Gossip>(Payload))
    mergeAll(Message.value().records, /*Propagate=*/true, Now);
}

void MemberProtocol::receiveProbe(const Address &From, std::string_view Payload,
                                  TimePoint Now) {
  auto Message = decodeMessage<wire::Probe>(Payload);
  if (!Message || Message.value().targetId != Self.Id)
    return;
  mergeAll(Message.value().records, /*Propagate=*/true, Now);
  wire::ProbeAck Ack;
  Ack.sequence = Message.value().sequence;
  Ack.digest = static_cast<int64_t>(Members.digest());
  Ack.records = takeGossipRecords(PiggybackBytes, Now);
  send(From, FrameType::ProbeAck, Ack);
  compareDigest(From, Message.value().digest, Now);
}

void MemberProtocol::receiveAck(const Address &From, std::string_view Payload,
                                TimePoint Now) {
  auto Message = decodeMessage<wire::ProbeAck>(Payload);
  if (!Message)
    return;
  mergeAll(Message.value().records, /*Propagate=*/true, Now);
  perform(Detector.ackReceived(Message.value().sequence), Now);
  compareDigest(From, Message.value().digest, Now);
}

void MemberProtocol::receiveRequest(const Address &From,
                                    std::string_view Payload, TimePoint Now) {
  auto Message = decodeMessage<wire::ProbeRequest>(Payload);
  if (!Message)
    return;
  const wire::ProbeRequest &Request = Message.value();
  if (std::optional<Address> Target = parseAddress(Request.targetAddress))
    perform(Detector.probeRequested(From, Request.sequence,
                                    {Request.targetId, *Target}, Now),
            Now);
}

void MemberProtocol::receiveNack(std::string_view Payload) {
  if (auto Message = decodeMessage<wire::ProbeNack>(Payload))
    Detector.nackReceived(Message.value().sequence);
}

// Sends the records of the buckets that differ, then pulls from the sender.
void MemberProtocol::receivePull(const Address &From, std::string_view Payload,
                                 TimePoint Now) {
  auto Message = decodeMessage<wire::RosterPull>(Payload);
  if (!Message)
    return;
  std::optional<MemberList::BucketDigests> PeerDigests =
      decodeBuckets(Message.value().bucketDigests);
  if (!PeerDigests || *PeerDigests == Members.bucketDigests())
    return;
  for (const wire::RosterRecords &Reply :
       recordsForPull(Members, *PeerDigests, Rng))
    if (RepairBudget.available(Now))
      sendCharged(RepairBudget, From, FrameType::RosterRecords, Reply);
  if (Now < NextRepair || Message.value().joining)
    return;
  NextRepair = Now + Rng.jittered(RepairPeriod, Jitter);
  pull(From);
}

void MemberProtocol::receiveRecords(std::string_view Payload, TimePoint Now) {
  if (auto Message = decodeMessage<wire::RosterRecords>(Payload))
    mergeAll(Message.value().records, /*Propagate=*/false, Now);
}

void MemberProtocol::mergeAll(const std::vector<wire::MemberRecord> &Records,
                              bool Propagate, TimePoint Now) {
  for (const wire::MemberRecord &WireRecord : Records)
    if (std::optional<Member> Record = fromWire(WireRecord))
      merge(*Record, Propagate, Now);
}

void MemberProtocol::merge(const Member &Record, bool Propagate,
                           TimePoint Now) {
  if (Record.Id == Self.Id) {
    refute(Record, Now);
    return;
  }
  const Member *Current = Members.find(Record.Id);
  if (Current == nullptr || Record.supersedes(*Current)) {
    // A record that is not Alive does not add an unknown member.
    if (Record.State == MemberState::Alive)
      applyRecord(Record, Propagate, Now);
    else if (Current != nullptr)
      applyRecord(withState(*Current, Record), Propagate, Now);
    return;
  }
  if (!Current->supersedes(Record))
    PendingGossip.receivedDuplicate(Record.Id);
  else if (Current->State == MemberState::Dead && Record.reachable())
    sendToSubject(*Current, Now);
}

// Handles a received record of this member. If it supersedes Self, publishes
// Self with a higher revision.
void MemberProtocol::refute(const Member &Record, TimePoint Now) {
  if (!Record.supersedes(Self) || Self.State == MemberState::Left)
    return;
  if (Record.State != MemberState::Alive) {
    logWarning("accusation_refuted", {{"state", nameOf(Record.State)},
                                      {"revision", Record.Revision}});
    Detector.falselySuspected();
  }
  Self.Incarnation = Record.Incarnation;
  Self.Revision = Record.Revision;
  publishSelf(ChangeFanout, Now);
}

void MemberProtocol::applyRecord(const Member &Record, bool Propagate,
                                 TimePoint Now) {
  const Member *Current = Members.find(Record.Id);
  bool StateChanged = Current == nullptr || Current->State != Record.State ||
                      Current->Incarnation != Record.Incarnation;
  Index.replace(Current, Record);
  Members.merge(Record);
  if (Propagate)
    PendingGossip.add(Record, sendCount(Record, Members.reachable().size()));
  else
    PendingGossip.erase(Record.Id);
  if (StateChanged)
    onStateChanged(Record, Now);
}

void MemberProtocol::onStateChanged(const Member &Record, TimePoint Now) {
  Suspicions.erase(Record.Id);
  ForgetAt.erase(Record.Id);
  switch (Record.State) {
  case MemberState::Alive:
    return;
  case MemberState::Suspect:
    Suspicions[Record.Id] = {Now + suspicionTimeout(),
                             Now + Options.ProbePeriod};
    break;
  case MemberState::Left:
    ForgetAt[Record.Id] = Now + LeftRetention;
    break;
  case MemberState::Dead:
    ForgetAt[Record.Id] = Now + DeadRetention;
    break;
  }
  logInfo("member_state",
          {{"peer", Record.Id}, {"state", nameOf(Record.State)}});
}

void MemberProtocol::publishSelf(size_t Fanout, TimePoint Now) {
  ++Self.Revision;
  applyRecord(Self, /*Propagate=*/true, Now);
  sendToRandom(Self, Fanout, Now);
}

void MemberProtocol::worsenState(const std::string &Id, MemberState State,
                                 TimePoint Now) {
  const Member *Current = Members.find(Id);
  if (Current == nullptr || Current->State >= State)
    return;
  Member Record = *Current;
  Record.State = State;
  // A Dead record is not propagated: each member expires the suspicion itself.
  bool Propagate = State == MemberState::Suspect;
  applyRecord(Record, Propagate, Now);
  if (!Propagate)
    return;
  sendToSubject(Record, Now);
  sendToRandom(Record, ChangeFanout, Now);
}
} // namespace cyclamenwind
