#include "cyclamenwind/membership/protocol.h"

#include "cyclamenwind/base/log.h"
#include "cyclamenwind/membership/codec.h"
#include "cyclamenwind/membership/repair.h"

#include <algorithm>

namespace cyclamenwind {
namespace {

// Members told at once of a change, and of one that ends the use of a server.
constexpr size_t ChangeFanout = 8;
constexpr size_t RemovalFanout = 32;
constexpr Duration LeftRetention = 120s;
constexpr Duration DeadRetention = 600s;
constexpr Duration RepairPeriod = 1s;
constexpr double Jitter = 0.3;

bool endsUse(const Member &Old, const std::vector<ServiceInstance> &Instances) {
  return std::any_of(Old.Instances.begin(), Old.Instances.end(),
                     [&Instances](const ServiceInstance &Each) {
                       return !Each.Draining &&
                              std::find(Instances.begin(), Instances.end(),
                                        Each) == Instances.end();
                     });
}

// Held with the counters and the state of Record.
Member withState(Member Held, const Member &Record) {
  Held.Incarnation = Record.Incarnation;
  Held.Revision = Record.Revision;
  Held.State = Record.State;
  return Held;
}

// Records that add or change a server are also brought by repair.
int sendsOf(const Member &Record, size_t Size) {
  int Sends = gossipSends(Size);
  return Record.State == MemberState::Alive ? (Sends + 1) / 2 : Sends;
}

} // namespace

MemberProtocol::MemberProtocol(const ProtocolOptions &Options,
                               const Member &Self, Random &Rng)
    : Options(Options), Self(Self), Rng(Rng),
      Detector(Options.ProbePeriod, Rng),
      Budget(Options.GossipBytesPerSecond, Options.GossipBurst),
      RepairBudget(Options.RepairBytesPerSecond, Options.RepairBurst) {
  Members.merge(Self);
}

Outbox MemberProtocol::tick(TimePoint Now) {
  noticePause(Now);
  probe(Now);
  settleSuspicions(Now);
  forget(Now);
  if (Now >= NextGossip) {
    NextGossip = Now + Rng.jittered(Options.GossipPeriod, Jitter);
    gossip(Now);
  }
  repair(Now);
  reconnect(Now);
  return taken();
}

Outbox MemberProtocol::receive(const Address &From, FrameType Type,
                               std::string_view Payload, TimePoint Now) {
  noteContact(From);
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
  return taken();
}

Outbox MemberProtocol::publish(std::vector<ServiceInstance> Instances,
                               TimePoint Now) {
  bool Removal = endsUse(Self, Instances);
  bool Changed = Instances != Self.Instances;
  Self.Instances = std::move(Instances);
  publishSelf(Removal ? RemovalFanout : (Changed ? ChangeFanout : 0), Now);
  return taken();
}

Outbox MemberProtocol::leave(TimePoint Now) {
  Self.State = MemberState::Left;
  Self.Instances.clear();
  publishSelf(RemovalFanout, Now);
  return taken();
}

Outbox MemberProtocol::contact(const std::vector<Address> &Peers,
                               TimePoint Now) {
  for (const Address &Each : Peers)
    if (Each != Self.Peer && RepairBudget.available(Now))
      pull(Each);
  return taken();
}

void MemberProtocol::receiveGossip(std::string_view Payload, TimePoint Now) {
  if (auto Message = decodeMessage<wire::Gossip>(Payload))
    mergeAll(Message.value().records, /*PassOn=*/true, Now);
}

void MemberProtocol::receiveProbe(const Address &From, std::string_view Payload,
                                  TimePoint Now) {
  auto Message = decodeMessage<wire::Probe>(Payload);
  if (!Message || Message.value().targetId != Self.Id)
    return;
  mergeAll(Message.value().records, /*PassOn=*/true, Now);
  wire::ProbeAck Ack;
  Ack.sequence = Message.value().sequence;
  Ack.digest = static_cast<int64_t>(Members.digest());
  Ack.records = rumoursWithin(PiggybackBytes, Now);
  send(From, FrameType::ProbeAck, Ack);
  compareDigest(From, Message.value().digest, Now);
}

void MemberProtocol::receiveAck(const Address &From, std::string_view Payload,
                                TimePoint Now) {
  auto Message = decodeMessage<wire::ProbeAck>(Payload);
  if (!Message)
    return;
  mergeAll(Message.value().records, /*PassOn=*/true, Now);
  perform(Detector.acked(Message.value().sequence), Now);
  compareDigest(From, Message.value().digest, Now);
}

void MemberProtocol::receiveRequest(const Address &From,
                                    std::string_view Payload, TimePoint Now) {
  auto Message = decodeMessage<wire::ProbeRequest>(Payload);
  if (!Message)
    return;
  const wire::ProbeRequest &Request = Message.value();
  if (std::optional<Address> Target = parseAddress(Request.targetAddress))
    perform(Detector.requested(From, Request.sequence,
                               {Request.targetId, *Target}, Now),
            Now);
}

void MemberProtocol::receiveNack(std::string_view Payload) {
  if (auto Message = decodeMessage<wire::ProbeNack>(Payload))
    Detector.nacked(Message.value().sequence);
}

// Sends records of the differing buckets, and pulls in turn.
void MemberProtocol::receivePull(const Address &From, std::string_view Payload,
                                 TimePoint Now) {
  auto Message = decodeMessage<wire::RosterPull>(Payload);
  if (!Message)
    return;
  std::optional<MemberList::BucketDigests> Theirs =
      decodeBuckets(Message.value().bucketDigests);
  if (!Theirs || *Theirs == Members.bucketDigests())
    return;
  for (const wire::RosterRecords &Each : answerPull(Members, *Theirs, Rng))
    if (RepairBudget.available(Now))
      sendOn(RepairBudget, From, FrameType::RosterRecords, Each);
  if (Now < NextRepair || Message.value().joining)
    return;
  NextRepair = Now + Rng.jittered(RepairPeriod, Jitter);
  pull(From);
}

void MemberProtocol::receiveRecords(std::string_view Payload, TimePoint Now) {
  if (auto Message = decodeMessage<wire::RosterRecords>(Payload))
    mergeAll(Message.value().records, /*PassOn=*/false, Now);
}

void MemberProtocol::mergeAll(const std::vector<wire::MemberRecord> &Records,
                              bool PassOn, TimePoint Now) {
  for (const wire::MemberRecord &Each : Records)
    if (std::optional<Member> Record = fromWire(Each))
      merge(*Record, PassOn, Now);
}

void MemberProtocol::merge(const Member &Record, bool PassOn, TimePoint Now) {
  if (Record.Id == Self.Id) {
    refute(Record, Now);
    return;
  }
  const Member *Held = Members.find(Record.Id);
  if (Held == nullptr || Record.supersedes(*Held)) {
    // An unknown member is not learnt of by its failure.
    if (Record.State == MemberState::Alive)
      replace(Record, PassOn, Now);
    else if (Held != nullptr)
      replace(withState(*Held, Record), PassOn, Now);
    return;
  }
  if (!Held->supersedes(Record))
    Rumours.heardAgain(Record.Id);
  else if (Held->State == MemberState::Dead && Record.reachable())
    tellDirectly(*Held, Now);
}

// Answers a record of this member that is not its own latest one.
void MemberProtocol::refute(const Member &Record, TimePoint Now) {
  if (!Record.supersedes(Self) || Self.State == MemberState::Left)
    return;
  if (Record.State != MemberState::Alive) {
    logWarning("accusation_refuted", {{"state", nameOf(Record.State)},
                                      {"revision", Record.Revision}});
    Detector.accusedFalsely();
  }
  Self.Incarnation = Record.Incarnation;
  Self.Revision = Record.Revision;
  publishSelf(ChangeFanout, Now);
}

void MemberProtocol::replace(const Member &Record, bool PassOn, TimePoint Now) {
  const Member *Held = Members.find(Record.Id);
  bool StateChanged = Held == nullptr || Held->State != Record.State ||
                      Held->Incarnation != Record.Incarnation;
  Index.replace(Held, Record);
  Members.merge(Record);
  if (PassOn)
    Rumours.add(Record, sendsOf(Record, Members.reachable().size()));
  else
    Rumours.erase(Record.Id);
  if (StateChanged)
    stateChanged(Record, Now);
}

void MemberProtocol::stateChanged(const Member &Record, TimePoint Now) {
  Suspicions.erase(Record.Id);
  Retained.erase(Record.Id);
  switch (Record.State) {
  case MemberState::Alive:
    return;
  case MemberState::Suspect:
    Suspicions[Record.Id] = {Now + suspicionTime(), Now + Options.ProbePeriod};
    break;
  case MemberState::Left:
    Retained[Record.Id] = Now + LeftRetention;
    break;
  case MemberState::Dead:
    Retained[Record.Id] = Now + DeadRetention;
    break;
  }
  logInfo("member_state",
          {{"peer", Record.Id}, {"state", nameOf(Record.State)}});
}

void MemberProtocol::publishSelf(size_t Fanout, TimePoint Now) {
  ++Self.Revision;
  replace(Self, /*PassOn=*/true, Now);
  spread(Self, Fanout, Now);
}

void MemberProtocol::declare(const std::string &Id, MemberState State,
                             TimePoint Now) {
  const Member *Held = Members.find(Id);
  if (Held == nullptr || Held->State >= State)
    return;
  Member Record = *Held;
  Record.State = State;
  // Each member lets a suspicion run out for itself.
  bool PassOn = State == MemberState::Suspect;
  replace(Record, PassOn, Now);
  if (!PassOn)
    return;
  tellDirectly(Record, Now);
  spread(Record, ChangeFanout, Now);
}
} // namespace cyclamenwind
