#include "testing/member_fleet.h"

#include "cyclamenwind/membership/codec.h"

namespace cyclamenwind::testing {
namespace {

// Type octet, UDP and IP headers.
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
  Node &Made = Nodes[I];
  Made.Peers = std::make_unique<FakePeers>(Network, addressOf(I));
  Member Self;
  Self.Id = idOf(I);
  Self.Incarnation = ++Made.Incarnation;
  Self.Peer = addressOf(I);
  Self.FailureDomain = "domain-" + std::to_string(domainOf(I));
  Made.Protocol =
      std::make_unique<MemberProtocol>(ProtocolOptions(), Self, Rng);
  for (FrameType Type : Frames)
    Made.Peers->handle(
        Type, [this, I, Type](const Address &From, std::string_view Payload) {
          post(I, Nodes[I].Protocol->receive(From, Type, Payload, Time.now()));
        });
  post(I,
       Made.Protocol->publish({{serviceOf(I), "v1", 10, false}}, Time.now()));
}

void MemberFleet::scheduleTicks(size_t I) {
  Nodes[I].Tick =
      Time.after(Duration(static_cast<int64_t>(Rng.below(
                     static_cast<uint64_t>(MemberTickPeriod.count())))),
                 [this, I] {
                   Nodes[I].Tick = Time.every(MemberTickPeriod, [this, I] {
                     post(I, Nodes[I].Protocol->tick(Time.now()));
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
  post(I, Nodes[I].Protocol->contact(Contacts, Time.now()));
  scheduleTicks(I);
}

void MemberFleet::startTogether() {
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
    for (const std::string &Each : Encoded)
      Nodes[I].Protocol->receive(addressOf(I), FrameType::RosterRecords, Each,
                                 Time.now());
    scheduleTicks(I);
  }
  Time.advance(3s);
}

void MemberFleet::crash(size_t I) {
  Node &Gone = Nodes[I];
  Gone.Tick.reset();
  Gone.Earlier = sent(I);
  Gone.Protocol.reset();
  Gone.Peers.reset();
}

void MemberFleet::leave(size_t I) {
  post(I, Nodes[I].Protocol->leave(Time.now()));
}

void MemberFleet::pause(size_t I, bool Paused) {
  if (Paused) {
    Nodes[I].Tick.reset();
    Network.pause(addressOf(I), true);
    return;
  }
  // The overdue timer runs before the messages that waited.
  post(I, Nodes[I].Protocol->tick(Time.now()));
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
    const MemberList &Known = protocol(I).memberList();
    if (Known.reachable().size() != Running ||
        Digest.value_or(Known.digest()) != Known.digest())
      return false;
    Digest = Known.digest();
    for (const Member *Each : Known.reachable())
      if (Each->State != MemberState::Alive)
        return false;
  }
  return true;
}

size_t MemberFleet::holders(size_t Who, MemberState State) const {
  size_t Count = 0;
  for (size_t I = 0; I < size(); ++I) {
    if (!running(I) || I == Who)
      continue;
    const Member *Held = protocol(I).memberList().find(idOf(Who));
    Count += Held != nullptr && Held->State == State ? 1 : 0;
  }
  return Count;
}

bool MemberFleet::usedBy(size_t I, size_t Who) const {
  std::string Id = idOf(Who);
  for (const Endpoint &Each : protocol(I).endpoints().of(serviceOf(Who)))
    if (Each.MemberId == Id && !Each.Suspected)
      return true;
  return false;
}

size_t MemberFleet::users(size_t Who) const {
  size_t Count = 0;
  for (size_t I = 0; I < size(); ++I)
    Count += running(I) && I != Who && usedBy(I, Who) ? 1 : 0;
  return Count;
}

size_t MemberFleet::falseDeaths() const {
  size_t Count = 0;
  for (size_t I = 0; I < size(); ++I)
    if (running(I))
      Count += holders(I, MemberState::Dead);
  return Count;
}

Duration MemberFleet::until(const std::function<bool()> &Condition,
                            Duration Limit) {
  TimePoint Begun = Time.now();
  while (!Condition() && Time.now() - Begun <= Limit)
    Time.advance(Step);
  return Time.now() - Begun;
}

FrameCount MemberFleet::sent(size_t I) const {
  FrameCount Total = Nodes[I].Earlier;
  if (Nodes[I].Peers == nullptr)
    return Total;
  for (FrameType Each : Frames) {
    FrameCount Count = Nodes[I].Peers->sent(Each);
    Total.Frames += Count.Frames;
    Total.Bytes += Count.Bytes + Count.Frames * HeaderBytes;
  }
  return Total;
}

// Large messages go on streams, as the service sends them.
void MemberFleet::post(size_t I, const Outbox &Messages) {
  for (const Outgoing &Each : Messages) {
    if (Each.Payload.size() <= MaxDatagramBytes)
      Nodes[I].Peers->sendDatagram(Each.To, Each.Type, Each.Payload);
    else
      Nodes[I].Peers->send(Each.To, Each.Type, Each.Payload);
  }
}

} // namespace cyclamenwind::testing
