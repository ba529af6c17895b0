#include "cyclamenwind/rollouts/record_gossip.h"

#include "cyclamenwind/rollouts/codec.h"

#include <algorithm>

namespace cyclamenwind {
namespace {

constexpr Duration ExchangePeriod = 1s;
constexpr Duration GossipPeriod = 200ms;
// Members to which an update is sent each time, and how often it is sent again.
constexpr size_t GossipFanOut = 3;
constexpr int GossipRounds = 5;
// After a cold start: members that receive a digest, and how many must answer.
constexpr size_t ColdStartFanOut = 3;
constexpr size_t ColdStartQuorum = 2;
// A daemon without reachable peers waits this long before it assumes that it is
// the only one.
constexpr Duration NoPeersTimeout = 5s;
// Limits for one frame.
constexpr size_t MaxMarks = 64;
constexpr size_t MaxEntriesSent = 32;

} // namespace

RecordGossip::RecordGossip(RolloutRecords &Records, PeerTransport &Peers,
                           MembershipView &Members, Clock &Time,
                           Scheduler &Timers, Random &Rng)
    : Records(Records), Peers(Peers), Members(Members), Time(Time), Rng(Rng),
      Started(Time.now()) {
  Peers.handle(FrameType::MoveDigest,
               [this](const Address &From, std::string_view Payload) {
                 receiveDigest(From, Payload);
               });
  Peers.handle(FrameType::MoveEntries,
               [this](const Address &From, std::string_view Payload) {
                 receiveEntries(From, Payload);
               });
  ExchangeTimer = Timers.every(ExchangePeriod, [this] { exchangeDigests(); });
  GossipTimer = Timers.every(GossipPeriod, [this] { sendPendingUpdates(); });
}

void RecordGossip::publish(const std::string &Name) {
  RoundsLeft[Name] = GossipRounds;
  for (const Address &To : randomPeers(GossipFanOut))
    sendEntries(To, {Name});
}

bool RecordGossip::caughtUp() const {
  if (CaughtUp)
    return true;
  size_t ReachableCount = reachablePeers();
  if (ReachableCount == 0)
    return Time.now() - Started >= NoPeersTimeout;
  return RespondedPeers.size() >= std::min(ColdStartQuorum, ReachableCount);
}

void RecordGossip::exchangeDigests() {
  if (!CaughtUp && caughtUp()) {
    CaughtUp = true;
    RespondedPeers.clear();
  }
  for (const Address &To : randomPeers(CaughtUp ? 1 : ColdStartFanOut))
    sendDigest(To, /*WantDigest=*/true);
}

void RecordGossip::sendPendingUpdates() {
  for (auto It = RoundsLeft.begin(); It != RoundsLeft.end();) {
    for (const Address &To : randomPeers(GossipFanOut))
      sendEntries(To, {It->first});
    It = --It->second > 0 ? std::next(It) : RoundsLeft.erase(It);
  }
}

wire::MoveDigest RecordGossip::digest() {
  wire::MoveDigest Digest;
  const auto &Entries = Records.entries();
  auto It = Entries.lower_bound(NextDigestStart);
  size_t Count = std::min(Entries.size(), MaxMarks);
  for (size_t I = 0; I < Count; ++I, ++It) {
    if (It == Entries.end())
      It = Entries.begin();
    wire::MoveMark Mark;
    Mark.name = It->first;
    Mark.revision = static_cast<int64_t>(It->second.revision());
    Mark.stopped = It->second.Stop.has_value();
    Digest.marks.push_back(std::move(Mark));
  }
  NextDigestStart = It == Entries.end() ? "" : It->first;
  return Digest;
}

void RecordGossip::sendDigest(const Address &To, bool WantDigest) {
  wire::MoveDigest Digest = digest();
  Digest.wantDigest = WantDigest;
  Peers.sendMessage(To, FrameType::MoveDigest, Digest);
}

void RecordGossip::receiveDigest(const Address &From,
                                 std::string_view Payload) {
  Result<wire::MoveDigest, FrameError> Digest =
      decodeMessage<wire::MoveDigest>(Payload);
  if (!Digest)
    return;
  LastReceived = Time.now();
  std::map<std::string, wire::MoveMark> Marks;
  for (const wire::MoveMark &Mark : Digest.value().marks)
    Marks[Mark.name] = Mark;
  // A digest with MaxMarks marks may be partial; names that it lacks may be
  // known to the sender.
  bool Complete = Digest.value().marks.size() < MaxMarks;
  std::set<std::string> Newer;
  for (const auto &[Name, Entry] : Records.entries()) {
    auto Mark = Marks.find(Name);
    if (Mark == Marks.end()
            ? Complete
            : static_cast<int64_t>(Entry.revision()) > Mark->second.revision ||
                  (Entry.Stop && !Mark->second.stopped))
      Newer.insert(Name);
    if (Newer.size() == MaxEntriesSent)
      break;
  }
  // Sent even if empty: a starting daemon counts the answers.
  sendEntries(From, Newer);
  if (Digest.value().wantDigest)
    sendDigest(From, /*WantDigest=*/false);
}

void RecordGossip::sendEntries(const Address &To,
                               const std::set<std::string> &Names) {
  wire::MoveEntries Message;
  for (const std::string &Name : Names) {
    const RolloutRecords::Entry *Entry = Records.find(Name);
    if (Entry == nullptr)
      continue;
    if (Entry->Record)
      Message.records.push_back(formatRolloutRecord(*Entry->Record));
    if (Entry->Stop)
      Message.stops.push_back(toWire(Name, *Entry->Stop));
  }
  Peers.sendMessage(To, FrameType::MoveEntries, Message);
}

void RecordGossip::receiveEntries(const Address &From,
                                  std::string_view Payload) {
  Result<wire::MoveEntries, FrameError> Message =
      decodeMessage<wire::MoveEntries>(Payload);
  if (!Message)
    return;
  LastReceived = Time.now();
  std::set<std::string> Changed;
  for (const wire::MoveStop &Stop : Message.value().stops)
    if (std::optional<RolloutFault> Fault = fromWire(Stop))
      if (Records.stop(Stop.name, *Fault))
        Changed.insert(Stop.name);
  for (const std::string &Text : Message.value().records)
    if (std::optional<RolloutRecord> Record = parseRolloutRecord(Text))
      if (Records.merge(*Record))
        Changed.insert(Record->Name);
  if (!CaughtUp)
    RespondedPeers.insert(From);
  for (const std::string &Name : Changed) {
    publish(Name);
    if (OnUpdate)
      OnUpdate(Name);
  }
}

std::vector<Address> RecordGossip::randomPeers(size_t Count) {
  std::vector<Address> Candidates;
  for (const auto &[Id, Other] : Members.memberList().members())
    if (Other.reachable() && Other.Peer != Peers.self())
      Candidates.push_back(Other.Peer);
  Count = std::min(Count, Candidates.size());
  for (size_t I = 0; I < Count; ++I)
    std::swap(Candidates[I], Candidates[I + Rng.below(Candidates.size() - I)]);
  Candidates.resize(Count);
  return Candidates;
}

size_t RecordGossip::reachablePeers() const {
  size_t Count = 0;
  for (const auto &[Id, Other] : Members.memberList().members())
    Count += Other.reachable() && Other.Peer != Peers.self();
  return Count;
}

} // namespace cyclamenwind
