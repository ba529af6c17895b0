#include "testing/member_fleet.h"

#include "cyclamenwind/membership/codec.h"

namespace cyclamenwind::testing {
namespace {

// Type byte, UDP and IP headers.
constexpr size_t HeaderBytes = 29;
constexpr size_t ContactsOnStart = 3;
constexpr size_t RecordsPerFrame = 12;
constexpr size_t ServiceCount = 61;
constexpr Duration Step = 20ms;
constexpr FrameType Frames[] = {
    FrameType::Gossip,    FrameType::RosterPull, FrameType::RosterRecords,
    FrameType::Probe,     FrameType::ProbeAck,   FrameType::ProbeRequest,
    FrameType::ProbeNack,
};

} // namespace

MemberFleet::MemberFleet(size_t Size, size_t Domains, uint64_t Seed)
    : Rng(Seed), Network(Time, Time, Rng), Domains(Domains), Nodes(Size) {}

std::string MemberFleet::idOf(size_t I) const {
  return "domain-" + std::to_string(domainOf(I)) + "-basket-" +
         std::to_string(I);
}

std::string MemberFleet::serviceOf(size_t I) {
  return "service-" + std::to_string(I % ServiceCount);
}

Address MemberFleet::addressOf(size_t I) const {
  return {"10.0." + std::to_string(I / 250) + "." + std::to_string(I % 250),
          7100};
}

void MemberFleet::create(size_t I) {
  Node &TheNode = Nodes[I];
  TheNode.Peers = std::make_unique<FakePeers>(Network, addressOf(I));
  Member Self;
  Self.Id = idOf(I);
  Self.Incarnation = ++TheNode.Incarnation;
  Self.Peer = addressOf(I);
  Self.FailureDomain = "domain-" + std::to_string(domainOf(I));
  TheNode.Protocol =
      std::make_unique<MemberProtocol>(ProtocolOptions(), Self, Rng);
  for (FrameType Type : Frames)
    TheNode.Peers->handle(Type, [this, I, Type](const Address &From,
                                                std::string_view Payload) {
      sendAll(I, Nodes[I].Protocol->receive(From, Type, Payload, Time.now()));
    });
  sendAll(I, TheNode.Protocol->publish({{serviceOf(I), "v1", 10, false}},
                                       Time.now()));
}

void MemberFleet::scheduleTicks(size_t I) {
  Nodes[I].Tick =
      Time.after(Duration(static_cast<int64_t>(Rng.below(
                     static_cast<uint64_t>(MemberTickPeriod.count())))),
                 [this, I] {
                   Nodes[I].Tick = Time.every(MemberTickPeriod, [this, I] {
                     sendAll(I, Nodes[I].Protocol->tick(Time.now()));
                   });
                 });
}

void MemberFleet::start(size_t I) {
  create(I);
  std::vector<Address> Running;
  for (size_t Other = 0; Other < size(); ++Other)
    if (Other != I && running(Other))
      Running.push_back(addressOf(Other));
  std::vector<Address> Contacts;
  while (!Running.empty() && Contacts.size() < ContactsOnStart) {
    Contacts.push_back(Running[Rng.below(Running.size())]);
    std::erase(Running, Contacts.back());
  }
  sendAll(I, Nodes[I].Protocol->contact(Contacts, Time.now()));
  scheduleTicks(I);
}

void MemberFleet::startConverged() {
  for (size_t I = 0; I < size(); ++I)
    create(I);
  std::vector<std::string> Encoded;
  for (size_t First = 0; First < size(); First += RecordsPerFrame) {
    wire::RosterRecords Message;
    for (size_t I = First; I < std::min(size(), First + RecordsPerFrame); ++I)
      Message.records.push_back(toWire(protocol(I).self()));
    Encoded.push_back(encodeMessage(Message));
  }
  for (size_t I = 0; I < size(); ++I) {
    for (const std::string &Frame : Encoded)
      Nodes[I].Protocol->receive(addressOf(I), FrameType::RosterRecords, Frame,
                                 Time.now());
    scheduleTicks(I);
  }
  Time.advance(3s);
}

void MemberFleet::crash(size_t I) {
  Node &TheNode = Nodes[I];
  TheNode.Tick.reset();
  TheNode.SentBefore = sent(I);
  TheNode.Protocol.reset();
  TheNode.Peers.reset();
}

void MemberFleet::leave(size_t I) {
  sendAll(I, Nodes[I].Protocol->leave(Time.now()));
}

void MemberFleet::pause(size_t I, bool Paused) {
  if (Paused) {
    Nodes[I].Tick.reset();
    Network.pause(addressOf(I), true);
    return;
  }
  // The overdue timer runs before the delivery of the frames held back.
  sendAll(I, Nodes[I].Protocol->tick(Time.now()));
  Network.pause(addressOf(I), false);
  scheduleTicks(I);
}

void MemberFleet::cutDomain(size_t Domain, bool Cut) {
  for (size_t A = 0; A < size(); ++A)
    for (size_t B = 0; B < size(); ++B)
      if (domainOf(A) == Domain && domainOf(B) != Domain)
        Network.cut(addressOf(A), addressOf(B), Cut);
}

bool MemberFleet::converged() const {
  size_t Running = 0;
  for (size_t I = 0; I < size(); ++I)
    Running += running(I) ? 1 : 0;
  std::optional<uint64_t> Digest;
  for (size_t I = 0; I < size(); ++I) {
    if (!running(I))
      continue;
    const MemberList &TheMemberList = protocol(I).memberList();
    if (TheMemberList.reachable().size() != Running ||
        Digest.value_or(TheMemberList.digest()) != TheMemberList.digest())
      return false;
    Digest = TheMemberList.digest();
    for (const Member *Record : TheMemberList.reachable())
      if (Record->State != MemberState::Alive)
        return false;
  }
  return true;
}

size_t MemberFleet::countHolding(size_t Target, MemberState State) const {
  size_t Count = 0;
  for (size_t I = 0; I < size(); ++I) {
    if (!running(I) || I == Target)
      continue;
    const Member *Record = protocol(I).memberList().find(idOf(Target));
    Count += Record != nullptr && Record->State == State ? 1 : 0;
  }
  return Count;
}

bool MemberFleet::sendsNewCallsTo(size_t I, size_t Target) const {
  std::string Id = idOf(Target);
  for (const Endpoint &Candidate :
       protocol(I).endpoints().endpointsOf(serviceOf(Target)))
    if (Candidate.MemberId == Id && !Candidate.Suspected)
      return true;
  return false;
}

size_t MemberFleet::countSendingTo(size_t Target) const {
  size_t Count = 0;
  for (size_t I = 0; I < size(); ++I)
    Count += running(I) && I != Target && sendsNewCallsTo(I, Target) ? 1 : 0;
  return Count;
}

size_t MemberFleet::falseDeadCount() const {
  size_t Count = 0;
  for (size_t I = 0; I < size(); ++I)
    if (running(I))
      Count += countHolding(I, MemberState::Dead);
  return Count;
}

Duration MemberFleet::runUntil(const std::function<bool()> &Condition,
                               Duration Limit) {
  TimePoint Start = Time.now();
  while (!Condition() && Time.now() - Start <= Limit)
    Time.advance(Step);
  return Time.now() - Start;
}

FrameCount MemberFleet::sent(size_t I) const {
  FrameCount Total = Nodes[I].SentBefore;
  if (Nodes[I].Peers == nullptr)
    return Total;
  for (FrameType Type : Frames) {
    FrameCount Count = Nodes[I].Peers->sent(Type);
    Total.Frames += Count.Frames;
    Total.Bytes += Count.Bytes + Count.Frames * HeaderBytes;
  }
  return Total;
}

// Sends frames above MaxDatagramBytes on a stream, like Membership.
void MemberFleet::sendAll(size_t I, const Outbox &Messages) {
  for (const Outgoing &Frame : Messages) {
    if (Frame.Payload.size() <= MaxDatagramBytes)
      Nodes[I].Peers->sendDatagram(Frame.To, Frame.Type, Frame.Payload);
    else
      Nodes[I].Peers->send(Frame.To, Frame.Type, Frame.Payload);
  }
}

} // namespace cyclamenwind::testing
