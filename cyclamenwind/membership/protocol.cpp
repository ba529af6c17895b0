#include "cyclamenwind/membership/protocol.h"

#include "cyclamenwind/base/log.h"
#include "cyclamenwind/membership/codec.h"
#include "cyclamenwind/membership/monitors.h"
#include "cyclamenwind/membership/repair.h"

#include <algorithm>
#include <cmath>

namespace cyclamenwind {
namespace {

// Members that each member probes.
constexpr size_t MonitorCount = 3;
constexpr size_t GossipFanout = 3;
// Targets change no more often, so that probes come to an end.
constexpr Duration WatchPeriod = 1s;
// Members told at once of a change, and of one that ends the use of a server.
constexpr size_t ChangeFanout = 8;
constexpr size_t RemovalFanout = 32;
// Octets of records on a probe or an ack, and in a gossip datagram.
constexpr size_t PiggybackBytes = 300;
constexpr size_t GossipBytes = MaxDatagramBytes - 16;
constexpr size_t MaxRumoursPerDatagram = 32;
// Type octet, UDP and IP headers of a datagram.
constexpr size_t HeaderBytes = 29;
constexpr size_t RandomHelpers = 2;
constexpr size_t ContactCount = 6;
// A tick later than this means that the process stood still.
constexpr Duration LateTick = 4 * MemberTickPeriod;
constexpr double SuspicionPeriods = 4;
constexpr Duration LeftRetention = 120s;
constexpr Duration DeadRetention = 600s;
constexpr size_t MaxFormerPeers = 64;
constexpr Duration JoinPeriod = 200ms;
constexpr size_t JoinPulls = 2;
constexpr Duration MaxJoinTime = 10s;
// Digests that differ for less are left to gossip.
constexpr Duration RepairDelay = 1s;
constexpr Duration RepairPeriod = 1s;
// Any two rosters are compared now and then, whatever the ring.
constexpr Duration RandomPullPeriod = 5s;
constexpr Duration ReconnectPeriod = 5s;
constexpr double Jitter = 0.3;

bool endsUse(const Member &Old, const std::vector<Offer> &Offers) {
  return std::any_of(
      Old.Offers.begin(), Old.Offers.end(), [&Offers](const Offer &Each) {
        return !Each.Draining &&
               std::find(Offers.begin(), Offers.end(), Each) == Offers.end();
      });
}

} // namespace

MemberProtocol::MemberProtocol(const ProtocolOptions &Options,
                               const Member &Self, Random &Dice)
    : Options(Options), Self(Self), Dice(Dice),
      Detector(Options.ProbePeriod, Dice),
      Budget(Options.BytesPerSecond, Options.BurstBytes) {
  Members.merge(Self);
}

Outbox MemberProtocol::tick(TimePoint Now) {
  noticePause(Now);
  probe(Now);
  settleSuspicions(Now);
  forget(Now);
  if (Now >= NextGossip) {
    NextGossip = Now + Dice.jittered(Options.GossipPeriod, Jitter);
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

Outbox MemberProtocol::publish(std::vector<Offer> Offers, TimePoint Now) {
  bool Removal = endsUse(Self, Offers);
  bool Changed = Offers != Self.Offers;
  Self.Offers = std::move(Offers);
  publishSelf(Removal ? RemovalFanout : (Changed ? ChangeFanout : 0), Now);
  return taken();
}

Outbox MemberProtocol::leave(TimePoint Now) {
  Self.State = MemberState::Left;
  Self.Offers.clear();
  publishSelf(RemovalFanout, Now);
  return taken();
}

Outbox MemberProtocol::contact(const std::vector<Address> &Peers,
                               TimePoint Now) {
  for (const Address &Each : Peers)
    if (Each != Self.Peer && Budget.available(Now))
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
  std::optional<Roster::BucketDigests> Theirs =
      decodeBuckets(Message.value().bucketDigests);
  if (!Theirs || *Theirs == Members.bucketDigests())
    return;
  for (const wire::RosterRecords &Each : answerPull(Members, *Theirs, Dice))
    if (Budget.available(Now))
      sendOnBudget(From, FrameType::RosterRecords, Each);
  if (Now < NextRepair)
    return;
  NextRepair = Now + Dice.jittered(RepairPeriod, Jitter);
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
    // A member that has been forgotten is not learnt of again by its death.
    if (Held != nullptr || Record.reachable())
      replace(Record, PassOn, Now);
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
    Rumours.add(Record, rumourSends(Members.reachable().size()));
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
  replace(Record, /*PassOn=*/true, Now);
  tellDirectly(Record, Now);
  spread(Record, ChangeFanout, Now);
}

void MemberProtocol::noticePause(TimePoint Now) {
  Duration Elapsed = LastTick ? Now - *LastTick : Duration::zero();
  LastTick = Now;
  if (Elapsed <= LateTick)
    return;
  logWarning("pause_noticed", {{"ms", milliseconds(Elapsed)}});
  Detector.resumed(Now);
  for (auto &[Id, Each] : Suspicions)
    Each.DeadAt += Elapsed;
}

void MemberProtocol::probe(TimePoint Now) {
  if (WatchedEpoch != Members.stateEpoch() && Now >= NextWatch) {
    NextWatch = Now + WatchPeriod;
    WatchedEpoch = Members.stateEpoch();
    std::vector<ProbeTarget> Targets;
    for (const std::string &Id : monitoredBy(Self.Id, Members, MonitorCount))
      Targets.push_back({Id, Members.find(Id)->Peer});
    Detector.watch(Targets, Now);
  }
  perform(Detector.tick(Now, helpers()), Now);
}

// Tells the suspects that this member accused, and gives up those whose time
// has run out.
void MemberProtocol::settleSuspicions(TimePoint Now) {
  std::vector<std::string> Overdue;
  for (auto &[Id, Each] : Suspicions) {
    if (Now >= Each.DeadAt) {
      Overdue.push_back(Id);
    } else if (Each.OwnAccusation && Now >= Each.NextNotice) {
      Each.NextNotice = Now + Options.ProbePeriod;
      tellDirectly(*Members.find(Id), Now);
    }
  }
  for (const std::string &Id : Overdue)
    declare(Id, MemberState::Dead, Now);
}

void MemberProtocol::forget(TimePoint Now) {
  for (auto Each = Retained.begin(); Each != Retained.end();) {
    if (Now < Each->second) {
      ++Each;
      continue;
    }
    const Member *Held = Members.find(Each->first);
    if (Held->State == MemberState::Dead)
      FormerPeers.push_back(Held->Peer);
    if (FormerPeers.size() > MaxFormerPeers)
      FormerPeers.pop_front();
    Rumours.erase(Each->first);
    Members.erase(Each->first);
    Each = Retained.erase(Each);
  }
}

void MemberProtocol::gossip(TimePoint Now) {
  if (Rumours.empty())
    return;
  for (const Member *Each : randomOthers(GossipFanout)) {
    if (!Budget.available(Now))
      return;
    wire::Gossip Message;
    Message.records = rumoursWithin(GossipBytes, Now);
    if (Message.records.empty())
      return;
    sendOnBudget(Each->Peer, FrameType::Gossip, Message);
  }
}

void MemberProtocol::repair(TimePoint Now) {
  if (Now < NextRepair || !Budget.available(Now))
    return;
  std::vector<const Member *> Others = randomOthers(JoinPulls);
  if (!Joined && !Others.empty()) {
    JoinLimit = JoinLimit.value_or(Now + MaxJoinTime);
    Joined = Now >= *JoinLimit;
    NextRepair = Now + Dice.jittered(JoinPeriod, Jitter);
    for (const Member *Each : Others)
      pull(Each->Peer);
    return;
  }
  if (Now >= NextRandomPull) {
    NextRandomPull = Now + Dice.jittered(RandomPullPeriod, Jitter);
    for (const Member *Each : randomOthers(1))
      pull(Each->Peer);
  }
  if (!DiffersSince || Now - *DiffersSince < RepairDelay)
    return;
  NextRepair = Now + Dice.jittered(RepairPeriod, Jitter);
  DiffersSince.reset();
  pull(DiffersFrom);
}

// Tries the address of a dead or forgotten member: it may have been cut off.
void MemberProtocol::reconnect(TimePoint Now) {
  if (Now < NextReconnect)
    return;
  NextReconnect = Now + Dice.jittered(ReconnectPeriod, Jitter);
  std::vector<const Member *> Dead;
  for (const auto &[Id, Until] : Retained)
    if (Members.find(Id)->State == MemberState::Dead)
      Dead.push_back(Members.find(Id));
  size_t Count = Dead.size() + FormerPeers.size();
  if (Count == 0 || !Budget.available(Now))
    return;
  size_t Choice = Dice.below(Count);
  if (Choice >= Dead.size()) {
    pull(FormerPeers[Choice - Dead.size()]);
    return;
  }
  tellDirectly(*Dead[Choice], Now);
  pull(Dead[Choice]->Peer);
}

void MemberProtocol::compareDigest(const Address &From, int64_t Digest,
                                   TimePoint Now) {
  if (static_cast<uint64_t>(Digest) == Members.digest()) {
    Joined = true;
    if (From == DiffersFrom)
      DiffersSince.reset();
    return;
  }
  DiffersSince = DiffersSince.value_or(Now);
  DiffersFrom = From;
}

void MemberProtocol::pull(const Address &From) {
  wire::RosterPull Message;
  Message.bucketDigests = encodeBuckets(Members.bucketDigests());
  sendOnBudget(From, FrameType::RosterPull, Message);
}

void MemberProtocol::perform(const DetectorActions &Actions, TimePoint Now) {
  for (const DetectorActions::Probe &Each : Actions.Probes) {
    wire::Probe Message;
    Message.sequence = Each.Sequence;
    Message.targetId = Each.Target.Id;
    Message.digest = static_cast<int64_t>(Members.digest());
    Message.records = rumoursWithin(PiggybackBytes, Now);
    send(Each.Target.Peer, FrameType::Probe, Message);
  }
  for (const DetectorActions::Request &Each : Actions.Requests) {
    wire::ProbeRequest Message;
    Message.sequence = Each.Sequence;
    Message.targetId = Each.Target.Id;
    Message.targetAddress = Each.Target.Peer.text();
    send(Each.Helper, FrameType::ProbeRequest, Message);
  }
  for (const DetectorActions::Answer &Each : Actions.Answers) {
    if (Each.Acked) {
      wire::ProbeAck Message;
      Message.sequence = Each.Sequence;
      Message.digest = static_cast<int64_t>(Members.digest());
      send(Each.To, FrameType::ProbeAck, Message);
      continue;
    }
    wire::ProbeNack Message;
    Message.sequence = Each.Sequence;
    send(Each.To, FrameType::ProbeNack, Message);
  }
  for (const std::string &Id : Actions.Accused) {
    declare(Id, MemberState::Suspect, Now);
    auto Found = Suspicions.find(Id);
    if (Found != Suspicions.end())
      Found->second.OwnAccusation = true;
  }
}

// Sends one record at once to Fanout random members.
void MemberProtocol::spread(const Member &Record, size_t Fanout,
                            TimePoint Now) {
  wire::Gossip Message;
  Message.records.push_back(toWire(Record));
  for (const Member *Each : randomOthers(Fanout))
    if (Budget.available(Now))
      sendOnBudget(Each->Peer, FrameType::Gossip, Message);
}

// Lets a member hear what is said of it, so that it can refute it.
void MemberProtocol::tellDirectly(const Member &Record, TimePoint Now) {
  if (!Budget.available(Now))
    return;
  wire::Gossip Message;
  Message.records.push_back(toWire(Record));
  sendOnBudget(Record.Peer, FrameType::Gossip, Message);
}

// The most pressing rumours that fit into Bytes, counted as sent.
std::vector<wire::MemberRecord> MemberProtocol::rumoursWithin(size_t Bytes,
                                                              TimePoint Now) {
  std::vector<wire::MemberRecord> Records;
  if (Rumours.empty() || !Budget.available(Now))
    return Records;
  for (const std::string &Id : Rumours.next(MaxRumoursPerDatagram)) {
    wire::MemberRecord Record = toWire(*Members.find(Id));
    size_t Size = encodeMessage(Record).size();
    // A record too large for a datagram goes alone, on a stream.
    bool Alone = Size > GossipBytes && Bytes == GossipBytes && Records.empty();
    if (Size > Bytes && !Alone)
      continue;
    Bytes -= std::min(Bytes, Size);
    Records.push_back(std::move(Record));
    Rumours.sent(Id);
  }
  return Records;
}

// Members that this one heard from last, then random ones.
std::vector<Address> MemberProtocol::helpers() const {
  std::vector<Address> List(Contacts.begin(), Contacts.end());
  if (List.size() > 1)
    List.resize(1);
  for (const Member *Each : randomOthers(RandomHelpers + 1))
    if (Each->State == MemberState::Alive)
      List.push_back(Each->Peer);
  List.insert(List.end(), Contacts.begin(), Contacts.end());
  return List;
}

std::vector<const Member *> MemberProtocol::randomOthers(size_t Count) const {
  const std::vector<const Member *> &All = Members.reachable();
  std::vector<const Member *> Chosen;
  size_t Wanted = std::min(Count, All.size());
  // Random draws; a repeated or own draw is skipped.
  for (size_t Draw = 0; Draw < 4 * Wanted && Chosen.size() < Wanted; ++Draw) {
    const Member *Each = All[Dice.below(All.size())];
    if (Each->Id != Self.Id &&
        std::find(Chosen.begin(), Chosen.end(), Each) == Chosen.end())
      Chosen.push_back(Each);
  }
  return Chosen;
}

void MemberProtocol::noteContact(const Address &From) {
  std::erase(Contacts, From);
  Contacts.push_front(From);
  if (Contacts.size() > ContactCount)
    Contacts.pop_back();
}

// Grows with the logarithm of the fleet, as gossip does.
Duration MemberProtocol::suspicionTime() const {
  double Size = static_cast<double>(Members.reachable().size());
  double Periods = SuspicionPeriods * std::max(1.0, std::log10(Size));
  return Duration(static_cast<int64_t>(
      Periods * static_cast<double>(Options.ProbePeriod.count()) *
      (1 + Detector.healthScore())));
}

template <typename T>
void MemberProtocol::send(const Address &To, FrameType Type, const T &Message) {
  Out.push_back({To, Type, encodeMessage(Message)});
}

template <typename T>
void MemberProtocol::sendOnBudget(const Address &To, FrameType Type,
                                  const T &Message) {
  send(To, Type, Message);
  Budget.spend(Out.back().Payload.size() + HeaderBytes);
}

} // namespace cyclamenwind
