// What MemberProtocol sends.

#include "cyclamenwind/membership/codec.h"
#include "cyclamenwind/membership/protocol.h"
#include "cyclamenwind/membership/repair.h"

#include <algorithm>

namespace cyclamenwind {
namespace {

constexpr size_t ContactCount = 6;

} // namespace

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
  Message.joining = !Joined;
  sendOn(RepairBudget, From, FrameType::RosterPull, Message);
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
      sendOn(Budget, Each->Peer, FrameType::Gossip, Message);
}

// Lets a member hear what is said of it, so that it can refute it.
void MemberProtocol::tellDirectly(const Member &Record, TimePoint Now) {
  if (!Budget.available(Now))
    return;
  wire::Gossip Message;
  Message.records.push_back(toWire(Record));
  sendOn(Budget, Record.Peer, FrameType::Gossip, Message);
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

std::vector<const Member *> MemberProtocol::randomOthers(size_t Count) const {
  const std::vector<const Member *> &All = Members.reachable();
  std::vector<const Member *> Chosen;
  size_t Wanted = std::min(Count, All.size());
  // Random draws; a repeated or own draw is skipped.
  for (size_t Draw = 0; Draw < 4 * Wanted && Chosen.size() < Wanted; ++Draw) {
    const Member *Each = All[Rng.below(All.size())];
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

} // namespace cyclamenwind
