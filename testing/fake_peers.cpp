#include "testing/fake_peers.h"

namespace cyclamenwind::testing {
namespace {

std::pair<Address, Address> ordered(const Address &A, const Address &B) {
  return A < B ? std::pair(A, B) : std::pair(B, A);
}

} // namespace

void FakeNetwork::cut(const Address &A, const Address &B, bool Cut) {
  if (!Cut) {
    Cuts.erase(ordered(A, B));
    return;
  }
  Cuts.insert(ordered(A, B));
  linkFailed(A, B, PeerDisconnect::Lost);
  linkFailed(B, A, PeerDisconnect::Lost);
}

void FakeNetwork::pause(const Address &Who, bool Stop) {
  if (Stop) {
    Paused[Who];
    return;
  }
  std::vector<Parcel> Held = std::move(Paused[Who]);
  Paused.erase(Who);
  for (const Parcel &Each : Held)
    deliver(Each);
}

bool FakeNetwork::connected(const Address &A, const Address &B) const {
  return Cuts.count(ordered(A, B)) == 0 && Members.count(B) != 0;
}

void FakeNetwork::post(Parcel Sent, bool Datagram) {
  Duration Wait =
      Delay +
      Duration(static_cast<int64_t>(Delay.count() * Spread * Rng.fraction()));
  if (!Datagram) {
    TimePoint &Last = LastArrival[{Sent.From, Sent.To}];
    Last = std::max(Last, Time.now() + Wait);
    Wait = Last - Time.now();
  }
  uint64_t Id = NextId++;
  Pending[Id] =
      Timers.after(Wait, [this, Id, Datagram, Sent = std::move(Sent)] {
        TimerHandle Fired = std::move(Pending[Id]);
        Pending.erase(Id);
        if (connected(Sent.From, Sent.To))
          deliver(Sent);
        else if (!Datagram)
          linkFailed(Sent.From, Sent.To, PeerDisconnect::NeverConnected);
      });
}

void FakeNetwork::deliver(const Parcel &Sent) {
  auto Held = Paused.find(Sent.To);
  if (Held != Paused.end()) {
    Held->second.push_back(Sent);
    return;
  }
  auto Found = Members.find(Sent.To);
  if (Found == Members.end())
    return;
  const FrameHandler &Handler =
      Found->second->Handlers[static_cast<uint8_t>(Sent.Type)];
  if (Handler)
    Handler(Sent.From, Sent.Payload);
}

void FakeNetwork::linkFailed(const Address &From, const Address &To,
                             PeerDisconnect End) {
  auto Found = Members.find(From);
  if (Found == Members.end())
    return;
  for (const PeerDisconnectHandler &Each : Found->second->DownHandlers)
    Each(To, End);
}

FakePeers::FakePeers(FakeNetwork &Network, const Address &Self)
    : Network(Network), Self(Self) {
  Network.Members[Self] = this;
}

FakePeers::~FakePeers() {
  Network.Members.erase(Self);
  for (const auto &[Other, Peers] : Network.Members)
    Network.linkFailed(Other, Self, PeerDisconnect::Lost);
}

void FakePeers::handle(FrameType Type, FrameHandler Handler) {
  Handlers[static_cast<uint8_t>(Type)] = std::move(Handler);
}

void FakePeers::onPeerDisconnect(PeerDisconnectHandler Handler) {
  DownHandlers.push_back(std::move(Handler));
}

void FakePeers::send(const Address &To, FrameType Type,
                     std::string_view Payload) {
  count(Type, Payload.size());
  if (Unanswering.count(To) != 0)
    return;
  if (Network.OnStream)
    Network.OnStream(Self, To, Type, std::string(Payload));
  Network.post({Self, To, Type, std::string(Payload)}, /*Datagram=*/false);
}

void FakePeers::sendDatagram(const Address &To, FrameType Type,
                             std::string_view Payload) {
  if (Payload.size() > MaxDatagramBytes)
    return;
  count(Type, Payload.size());
  int Copies = Network.Rng.fraction() < Network.DoubleShare ? 2 : 1;
  for (int I = 0; I < Copies; ++I)
    if (Network.Rng.fraction() >= Network.LoseShare)
      Network.post({Self, To, Type, std::string(Payload)}, /*Datagram=*/true);
}

bool FakePeers::isConnected(const Address &To) const {
  return Network.connected(Self, To) && Unanswering.count(To) == 0;
}

// A connected peer that is not paused always gives a sign of life.
TimePoint FakePeers::lastReceived(const Address &To) const {
  bool Heard = isConnected(To) && Network.Paused.count(To) == 0;
  return Heard ? Network.Time.now() : TimePoint();
}

void FakePeers::probe(const Address &) {}

void FakePeers::reconnect(const Address &To) {
  Network.linkFailed(Self, To,
                     Unanswering.count(To) == 0
                         ? PeerDisconnect::Lost
                         : PeerDisconnect::NeverConnected);
}

std::vector<Address> FakePeers::connectedPeers() const {
  std::vector<Address> Result;
  for (const auto &[Other, Peers] : Network.Members)
    if (Other != Self && Network.connected(Self, Other))
      Result.push_back(Other);
  return Result;
}

FrameCount FakePeers::sent(FrameType Type) const {
  return Counts[static_cast<uint8_t>(Type)];
}

void FakePeers::count(FrameType Type, size_t Bytes) {
  FrameCount &Total = Counts[static_cast<uint8_t>(Type)];
  ++Total.Frames;
  Total.Bytes += Bytes;
}

} // namespace cyclamenwind::testing
