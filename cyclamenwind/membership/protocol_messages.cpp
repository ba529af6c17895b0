// Messages that MemberProtocol sends.

#include "cyclamenwind/membership/codec.h"
#include "cyclamenwind/membership/protocol.h"
#include "cyclamenwind/membership/repair.h"

#include <algorithm>

namespace cyclamenwind {
namespace {

constexpr size_t MaxRecentPeers = 6;

} // namespace

void MemberProtocol::compareDigest(const Address &From, int64_t Digest,
                                   TimePoint Now) {
  if (static_cast<uint64_t>(Digest) == Members.digest()) {
    Joined = true;
    if (From == DigestDiffersPeer)
      DigestDiffersSince.reset();
    return;
  }
  DigestDiffersSince = DigestDiffersSince.value_or(Now);
  DigestDiffersPeer = From;
}

void MemberProtocol::pull(const Address &Peer) {
  wire::RosterPull Message;
  Message.bucketDigests = encodeBuckets(Members.bucketDigests());
  Message.joining = !Joined;
  sendCharged(RepairBudget, Peer, FrameType::RosterPull, Message);
}

void MemberProtocol::perform(const DetectorActions &Actions, TimePoint Now) {
  for (const DetectorActions::Probe &Probe : Actions.Probes) {
    wire::Probe Message;
    Message.sequence = Probe.Sequence;
    Message.targetId = Probe.Target.Id;
    Message.digest = static_cast<int64_t>(Members.digest());
    Message.records = takeGossipRecords(PiggybackBytes, Now);
    send(Probe.Target.Peer, FrameType::Probe, Message);
  }
  for (const DetectorActions::Request &Request : Actions.Requests) {
    wire::ProbeRequest Message;
    Message.sequence = Request.Sequence;
    Message.targetId = Request.Target.Id;
    Message.targetAddress = Request.Target.Peer.text();
    send(Request.Helper, FrameType::ProbeRequest, Message);
  }
  for (const DetectorActions::HelperResult &Result : Actions.HelperResults) {
    if (Result.Acked) {
      wire::ProbeAck Message;
      Message.sequence = Result.Sequence;
      Message.digest = static_cast<int64_t>(Members.digest());
      send(Result.Requester, FrameType::ProbeAck, Message);
      continue;
    }
    wire::ProbeNack Message;
    Message.sequence = Result.Sequence;
    send(Result.Requester, FrameType::ProbeNack, Message);
  }
  for (const std::string &Id : Actions.Suspects) {
    worsenState(Id, MemberState::Suspect, Now);
    auto Found = Suspicions.find(Id);
    if (Found != Suspicions.end())
      Found->second.RaisedLocally = true;
  }
}

// Sends one record to Fanout random members at once.
void MemberProtocol::sendToRandom(const Member &Record, size_t Fanout,
                                  TimePoint Now) {
  wire::Gossip Message;
  Message.records.push_back(toWire(Record));
  for (const Member *Target : randomOthers(Fanout))
    if (GossipBudget.available(Now))
      sendCharged(GossipBudget, Target->Peer, FrameType::Gossip, Message);
}

// Sends a record to the member that it describes, so that the member can refute
// it.
void MemberProtocol::sendToSubject(const Member &Record, TimePoint Now) {
  if (!GossipBudget.available(Now))
    return;
  wire::Gossip Message;
  Message.records.push_back(toWire(Record));
  sendCharged(GossipBudget, Record.Peer, FrameType::Gossip, Message);
}

// The most urgent pending records that fit into Bytes; counts them as sent.
std::vector<wire::MemberRecord>
MemberProtocol::takeGossipRecords(size_t Bytes, TimePoint Now) {
  std::vector<wire::MemberRecord> Records;
  if (PendingGossip.empty() || !GossipBudget.available(Now))
    return Records;
  for (const std::string &Id : PendingGossip.next(MaxRecordsPerDatagram)) {
    wire::MemberRecord Record = toWire(*Members.find(Id));
    size_t Size = encodeMessage(Record).size();
    // A record too large for a datagram is sent alone, on a stream.
    bool Alone = Size > GossipBytes && Bytes == GossipBytes && Records.empty();
    if (Size > Bytes && !Alone)
      continue;
    Bytes -= std::min(Bytes, Size);
    Records.push_back(std::move(Record));
    PendingGossip.sent(Id);
  }
  return Records;
}

std::vector<const Member *> MemberProtocol::randomOthers(size_t Count) const {
  const std::vector<const Member *> &All = Members.reachable();
  std::vector<const Member *> Result;
  size_t Limit = std::min(Count, All.size());
  // Skips draws of this member and of members drawn before.
  for (size_t Draw = 0; Draw < 4 * Limit && Result.size() < Limit; ++Draw) {
    const Member *Candidate = All[Rng.below(All.size())];
    if (Candidate->Id != Self.Id &&
        std::find(Result.begin(), Result.end(), Candidate) == Result.end())
      Result.push_back(Candidate);
  }
  return Result;
}

void MemberProtocol::recordPeer(const Address &From) {
  std::erase(RecentPeers, From);
  RecentPeers.push_front(From);
  if (RecentPeers.size() > MaxRecentPeers)
    RecentPeers.pop_back();
}

} // namespace cyclamenwind
