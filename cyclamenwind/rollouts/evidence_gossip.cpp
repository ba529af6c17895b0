#include "cyclamenwind/rollouts/evidence_gossip.h"

#include "cyclamenwind/rollouts/codec.h"

#include <algorithm>

namespace cyclamenwind {
namespace {

constexpr Duration ExchangePeriod = 1s;
constexpr Duration RepeatPeriod = 200ms;
// Members that news goes to each time, and how often it is repeated.
constexpr size_t NewsFanOut = 3;
constexpr int NewsRepeats = 5;
// Members that a starting daemon asks, and of how many it needs to hear.
constexpr size_t StartFanOut = 3;
constexpr size_t StartQuorum = 2;
// A daemon that knows no other after this time takes itself for the only one.
constexpr Duration AloneAfter = 5s;
// Bounds of one frame.
constexpr size_t MaxMarks = 64;
constexpr size_t MaxEntriesSent = 32;

} // namespace

EvidenceGossip::EvidenceGossip(RolloutRecords &Book, PeerTransport &Peers,
                               MembershipView &Members, Clock &Time,
                               Scheduler &Timers, Random &Rng)
    : Book(Book), Peers(Peers), Members(Members), Time(Time), Rng(Rng),
      Started(Time.now()) {
  Peers.handle(FrameType::MoveDigest,
               [this](const Address &From, std::string_view Payload) {
                 receiveDigest(From, Payload);
               });
  Peers.handle(FrameType::MoveEntries,
               [this](const Address &From, std::string_view Payload) {
                 receiveEntries(From, Payload);
               });
  ExchangeTimer = Timers.every(ExchangePeriod, [this] { exchange(); });
  RepeatTimer = Timers.every(RepeatPeriod, [this] { repeatNews(); });
}

void EvidenceGossip::announce(const std::string &Name) {
  Repeats[Name] = NewsRepeats;
  for (const Address &To : randomPeers(NewsFanOut))
    tell(To, {Name});
}

bool EvidenceGossip::caughtUp() const {
  if (CaughtUp)
    return true;
  size_t Known = reachablePeers();
  if (Known == 0)
    return Time.now() - Started >= AloneAfter;
  return HeardFrom.size() >= std::min(StartQuorum, Known);
}

void EvidenceGossip::exchange() {
  if (!CaughtUp && caughtUp()) {
    CaughtUp = true;
    HeardFrom.clear();
  }
  for (const Address &To : randomPeers(CaughtUp ? 1 : StartFanOut))
    sendDigest(To, /*WantDigest=*/true);
}

void EvidenceGossip::repeatNews() {
  for (auto It = Repeats.begin(); It != Repeats.end();) {
    for (const Address &To : randomPeers(NewsFanOut))
      tell(To, {It->first});
    It = --It->second > 0 ? std::next(It) : Repeats.erase(It);
  }
}

wire::MoveDigest EvidenceGossip::digest() {
  wire::MoveDigest Digest;
  const auto &Entries = Book.entries();
  auto It = Entries.lower_bound(DigestFrom);
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
  DigestFrom = It == Entries.end() ? "" : It->first;
  return Digest;
}

void EvidenceGossip::sendDigest(const Address &To, bool WantDigest) {
  wire::MoveDigest Digest = digest();
  Digest.wantDigest = WantDigest;
  Peers.sendMessage(To, FrameType::MoveDigest, Digest);
}

void EvidenceGossip::receiveDigest(const Address &From,
                                   std::string_view Payload) {
  Result<wire::MoveDigest, FrameError> Digest =
      decodeMessage<wire::MoveDigest>(Payload);
  if (!Digest)
    return;
  LastReceived = Time.now();
  std::map<std::string, wire::MoveMark> Marks;
  for (const wire::MoveMark &Each : Digest.value().marks)
    Marks[Each.name] = Each;
  // A part of the sender's moves says nothing of those left out.
  bool Whole = Digest.value().marks.size() < MaxMarks;
  std::set<std::string> Newer;
  for (const auto &[Name, Entry] : Book.entries()) {
    auto Mark = Marks.find(Name);
    if (Mark == Marks.end()
            ? Whole
            : static_cast<int64_t>(Entry.revision()) > Mark->second.revision ||
                  (Entry.Stop && !Mark->second.stopped))
      Newer.insert(Name);
    if (Newer.size() == MaxEntriesSent)
      break;
  }
  // Sent even if empty, so that a starting daemon knows that it was answered.
  tell(From, Newer);
  if (Digest.value().wantDigest)
    sendDigest(From, /*WantDigest=*/false);
}

void EvidenceGossip::tell(const Address &To,
                          const std::set<std::string> &Names) {
  wire::MoveEntries Told;
  for (const std::string &Name : Names) {
    const RolloutRecords::Entry *Entry = Book.find(Name);
    if (Entry == nullptr)
      continue;
    if (Entry->Record)
      Told.records.push_back(formatRolloutRecord(*Entry->Record));
    if (Entry->Stop)
      Told.stops.push_back(toWire(Name, *Entry->Stop));
  }
  Peers.sendMessage(To, FrameType::MoveEntries, Told);
}

void EvidenceGossip::receiveEntries(const Address &From,
                                    std::string_view Payload) {
  Result<wire::MoveEntries, FrameError> Told =
      decodeMessage<wire::MoveEntries>(Payload);
  if (!Told)
    return;
  LastReceived = Time.now();
  std::set<std::string> Changed;
  for (const wire::MoveStop &Each : Told.value().stops)
    if (std::optional<RolloutFault> Why = fromWire(Each))
      if (Book.stop(Each.name, *Why))
        Changed.insert(Each.name);
  for (const std::string &Each : Told.value().records)
    if (std::optional<RolloutRecord> Record = parseRolloutRecord(Each))
      if (Book.learn(*Record))
        Changed.insert(Record->Name);
  if (!CaughtUp)
    HeardFrom.insert(From);
  for (const std::string &Name : Changed) {
    announce(Name);
    if (News)
      News(Name);
  }
}

std::vector<Address> EvidenceGossip::randomPeers(size_t Count) {
  std::vector<Address> Known;
  for (const auto &[Id, Each] : Members.memberList().members())
    if (Each.reachable() && Each.Peer != Peers.self())
      Known.push_back(Each.Peer);
  Count = std::min(Count, Known.size());
  for (size_t I = 0; I < Count; ++I)
    std::swap(Known[I], Known[I + Rng.below(Known.size() - I)]);
  Known.resize(Count);
  return Known;
}

size_t EvidenceGossip::reachablePeers() const {
  size_t Count = 0;
  for (const auto &[Id, Each] : Members.memberList().members())
    Count += Each.reachable() && Each.Peer != Peers.self();
  return Count;
}

} // namespace cyclamenwind
