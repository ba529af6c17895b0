#include "testing/fake_peers.h"

namespace cyclamenwind::testing {
namespace {

std::pair<Address, Address> ordered(const Address &A, const Address &B) {
  return A < B ? std::pair(A, B) : std::pair(B, A);
}

} // namespace

void FakeNetwork::cut(const Address &A, const Address &B, bool Cut) {
  if (!Cut) {
    Partitions.erase(ordered(A, B));
    return;
  }
  Partitions.insert(ordered(A, B));
  reportDisconnect(A, B, PeerDisconnect::Lost);
  reportDisconnect(B, A, PeerDisconnect::Lost);
}

void FakeNetwork::silence(const Address &A, const Address &B) {
  Silenced.emplace(ordered(A, B), Time.now());
}

void FakeNetwork::closeSilentStreams() {
  std::map<std::pair<Address, Address>, TimePoint> Closed;
  Closed.swap(Silenced);
  for (const auto &[Pair, Since] : Closed) {
    reportDisconnect(Pair.first, Pair.second, PeerDisconnect::Silent);
    reportDisconnect(Pair.second, Pair.first, PeerDisconnect::Silent);
  }
}

void FakeNetwork::pause(const Address &Member, bool Pause) {
  if (Pause) {
    Paused[Member];
    return;
  }
  std::vector<InFlightFrame> HeldBack = std::move(Paused[Member]);
  Paused.erase(Member);
  for (const InFlightFrame &Frame : HeldBack)
    deliver(Frame);
}

bool FakeNetwork::connected(const Address &A, const Address &B) const {
  return Partitions.count(ordered(A, B)) == 0 && Transports.count(B) != 0;
}

void FakeNetwork::transmit(InFlightFrame Frame, bool Datagram) {
  if (Silenced.count(ordered(Frame.From, Frame.To)) != 0)
    return;
  Duration Latency =
      Delay +
      Duration(static_cast<int64_t>(Delay.count() * Spread * Rng.fraction()));
  if (!Datagram && LinkBytesPerSecond > 0) {
    TimePoint &FreeAt = LinkFreeAt[Frame.To];
    std::chrono::duration<double> Transfer(
        static_cast<double>(Frame.Payload.size()) / LinkBytesPerSecond);
    FreeAt = std::max(FreeAt, Time.now() + Latency) +
             std::chrono::duration_cast<Duration>(Transfer);
    Latency = FreeAt - Time.now();
  }
  if (!Datagram) {
    TimePoint &PreviousArrival = LastArrival[{Frame.From, Frame.To}];
    PreviousArrival = std::max(PreviousArrival, Time.now() + Latency);
    Latency = PreviousArrival - Time.now();
  }
  uint64_t TimerId = NextTimerId++;
  Pending[TimerId] = Timers.after(Latency, [this, TimerId, Datagram,
                                            Frame = std::move(Frame)] {
    TimerHandle FiredTimer = std::move(Pending[TimerId]);
    Pending.erase(TimerId);
    if (connected(Frame.From, Frame.To))
      deliver(Frame);
    else if (!Datagram)
      reportDisconnect(Frame.From, Frame.To, PeerDisconnect::NeverConnected);
  });
}

void FakeNetwork::deliver(const InFlightFrame &Frame) {
  auto HeldBack = Paused.find(Frame.To);
  if (HeldBack != Paused.end()) {
    HeldBack->second.push_back(Frame);
    return;
  }
  auto Found = Transports.find(Frame.To);
  if (Found == Transports.end())
    return;
  const FrameHandler &Handler =
      Found->second->Handlers[static_cast<uint8_t>(Frame.Type)];
  if (Handler)
    Handler(Frame.From, Frame.Payload);
}

void FakeNetwork::reportDisconnect(const Address &From, const Address &To,
                                   PeerDisconnect Reason) {
  auto Found = Transports.find(From);
  if (Found == Transports.end())
    return;
  for (const PeerDisconnectHandler &Handler : Found->second->DisconnectHandlers)
    Handler(To, Reason);
}

FakePeers::FakePeers(FakeNetwork &Network, const Address &Self)
    : Network(Network), Self(Self) {
  Network.Transports[Self] = this;
}

FakePeers::~FakePeers() {
  Network.Transports.erase(Self);
  for (const auto &[Other, Peers] : Network.Transports)
    Network.reportDisconnect(Other, Self, PeerDisconnect::Lost);
}

void FakePeers::handle(FrameType Type, FrameHandler Handler) {
  Handlers[static_cast<uint8_t>(Type)] = std::move(Handler);
}

void FakePeers::onPeerDisconnect(PeerDisconnectHandler Handler) {
  DisconnectHandlers.push_back(std::move(Handler));
}

void FakePeers::send(const Address &To, FrameType Type,
                     std::string_view Payload) {
  countSent(Type, Payload.size());
  if (Unanswering.count(To) != 0)
    return;
  if (Network.OnStream)
    Network.OnStream(Self, To, Type, std::string(Payload));
  Network.transmit({Self, To, Type, std::string(Payload)}, /*Datagram=*/false);
}

void FakePeers::sendDatagram(const Address &To, FrameType Type,
                             std::string_view Payload) {
  if (Payload.size() > MaxDatagramBytes)
    return;
  countSent(Type, Payload.size());
  int Copies = Network.Rng.fraction() < Network.DuplicationRate ? 2 : 1;
  for (int I = 0; I < Copies; ++I)
    if (Network.Rng.fraction() >= Network.LossRate)
      Network.transmit({Self, To, Type, std::string(Payload)},
                       /*Datagram=*/true);
}

bool FakePeers::isConnected(const Address &To) const {
  return Network.connected(Self, To) && Unanswering.count(To) == 0;
}

// Returns the current time for a connected peer that is not paused, as if it
// had just sent data.
TimePoint FakePeers::lastReceived(const Address &To) const {
  bool Reachable = isConnected(To) && Network.Paused.count(To) == 0;
  if (!Reachable)
    return TimePoint();
  auto Silent = Network.Silenced.find(ordered(Self, To));
  return Silent == Network.Silenced.end() ? Network.Time.now() : Silent->second;
}

void FakePeers::probe(const Address &) {}

void FakePeers::reconnect(const Address &To) {
  Network.reportDisconnect(Self, To,
                           Unanswering.count(To) == 0
                               ? PeerDisconnect::Lost
                               : PeerDisconnect::NeverConnected);
}

std::vector<Address> FakePeers::connectedPeers() const {
  std::vector<Address> Result;
  for (const auto &[Other, Peers] : Network.Transports)
    if (Other != Self && Network.connected(Self, Other))
      Result.push_back(Other);
  return Result;
}

FrameCount FakePeers::sent(FrameType Type) const {
  return SentCounts[static_cast<uint8_t>(Type)];
}

void FakePeers::countSent(FrameType Type, size_t Bytes) {
  FrameCount &Total = SentCounts[static_cast<uint8_t>(Type)];
  ++Total.Frames;
  Total.Bytes += Bytes;
}

} // namespace cyclamenwind::testing
