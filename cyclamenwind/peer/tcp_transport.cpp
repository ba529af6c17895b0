#include "cyclamenwind/peer/tcp_transport.h"

#include "cyclamenwind/base/log.h"
#include "cyclamenwind/wire/gen-cpp/peer_types.h"

#include <sys/socket.h>
#include <unistd.h>

#include <event2/listener.h>

namespace cyclamenwind {
namespace {

constexpr int32_t ProtocolVersion = 1;
constexpr Duration CheckPeriod = 250ms;
// A check of the links this long after the one before it means that this
// process was paused.
constexpr Duration PauseDetection = 750ms;
constexpr Duration IdleTimeout = 60s;
constexpr int ListenBacklog = 1024;
constexpr int DatagramBufferBytes = 1 << 20;

size_t indexOf(FrameType Type) { return static_cast<uint8_t>(Type); }

} // namespace

template <typename T>
void TcpTransport::sendOn(Link &To, FrameType Type, const T &Message) {
  std::string Payload = encodeMessage(Message);
  To.send(Type, Payload);
  countSent(Type, Payload.size());
}

Result<std::unique_ptr<TcpTransport>, PeerTransportError>
TcpTransport::listen(Loop &TheLoop, const Address &Self,
                     const PeerTimings &Timings) {
  std::unique_ptr<TcpTransport> Transport(
      new TcpTransport(TheLoop, Self, Timings));
  if (!Transport->listenForStreams() || !Transport->bindDatagramSocket())
    return PeerTransportError::AddressInUse;
  return Transport;
}

TcpTransport::TcpTransport(Loop &TheLoop, const Address &Self,
                           const PeerTimings &Timings)
    : TheLoop(TheLoop), Self(Self), Timings(Timings) {}

TcpTransport::~TcpTransport() {
  Links.clear();
  if (Listener != nullptr)
    evconnlistener_free(Listener);
  if (DatagramEvent != nullptr)
    event_free(DatagramEvent);
  if (DatagramSocket >= 0)
    ::close(DatagramSocket);
}

bool TcpTransport::listenForStreams() {
  sockaddr_in Socket = Self.socketAddress();
  Listener = evconnlistener_new_bind(
      TheLoop.base(), &TcpTransport::onAccept, this,
      LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE | LEV_OPT_CLOSE_ON_EXEC,
      ListenBacklog, reinterpret_cast<sockaddr *>(&Socket), sizeof Socket);
  return Listener != nullptr;
}

bool TcpTransport::bindDatagramSocket() {
  DatagramSocket =
      ::socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  sockaddr_in Socket = Self.socketAddress();
  if (DatagramSocket < 0 ||
      ::bind(DatagramSocket, reinterpret_cast<sockaddr *>(&Socket),
             sizeof Socket) != 0)
    return false;
  int Bytes = DatagramBufferBytes;
  setsockopt(DatagramSocket, SOL_SOCKET, SO_RCVBUF, &Bytes, sizeof Bytes);
  DatagramEvent =
      event_new(TheLoop.base(), DatagramSocket, EV_READ | EV_PERSIST,
                &TcpTransport::onDatagramReadable, this);
  event_add(DatagramEvent, nullptr);
  return true;
}

void TcpTransport::start(Kernel &TheKernel) {
  Instance = static_cast<int64_t>(TheKernel.random().next() | 1);
  LastCheck = LastHeartbeat = TheLoop.now();
  HeartbeatTimer = TheKernel.scheduler().every(
      CheckPeriod, [this] { checkLinks(TheLoop.now()); });
}

void TcpTransport::leave() {
  Leaving = true;
  if (Listener != nullptr)
    evconnlistener_free(Listener);
  Listener = nullptr;
  for (auto &[Open, Owned] : Links)
    if (Open->Closing == Link::ClosePhase::None)
      requestClose(*Open);
}

void TcpTransport::handle(FrameType Type, FrameHandler Handler) {
  Handlers[indexOf(Type)] = std::move(Handler);
}

void TcpTransport::onPeerDisconnect(PeerDisconnectHandler Handler) {
  DisconnectHandlers.push_back(std::move(Handler));
}

void TcpTransport::send(const Address &To, FrameType Type,
                        std::string_view Payload) {
  if (Leaving && ActiveLinks.count(To) == 0)
    return;
  Link &TheLink = linkTo(To);
  LastUsed[&TheLink] = TheLoop.now();
  TheLink.send(Type, Payload);
  countSent(Type, Payload.size());
}

void TcpTransport::sendDatagram(const Address &To, FrameType Type,
                                std::string_view Payload) {
  if (Payload.size() > MaxDatagramBytes) {
    logWarning("datagram_dropped",
               {{"type", int(indexOf(Type))}, {"bytes", Payload.size()}});
    return;
  }
  std::string Frame(1, static_cast<char>(Type));
  Frame += Payload;
  sockaddr_in Socket = To.socketAddress();
  ::sendto(DatagramSocket, Frame.data(), Frame.size(), 0,
           reinterpret_cast<sockaddr *>(&Socket), sizeof Socket);
  countSent(Type, Payload.size());
}

TimePoint TcpTransport::lastReceived(const Address &To) const {
  auto Found = ActiveLinks.find(To);
  return Found == ActiveLinks.end() ? TimePoint()
                                    : Found->second->lastReceived();
}

void TcpTransport::probe(const Address &To) {
  if (Leaving && ActiveLinks.count(To) == 0)
    return;
  wire::Heartbeat Beat;
  Beat.sequence = ++HeartbeatSequence;
  sendOn(linkTo(To), FrameType::Heartbeat, Beat);
}

void TcpTransport::reconnect(const Address &To) {
  auto Found = ActiveLinks.find(To);
  if (Found == ActiveLinks.end())
    return;
  dropSilent(*Found->second, TheLoop.now());
}

bool TcpTransport::isConnected(const Address &To) const {
  auto Found = ActiveLinks.find(To);
  return Found != ActiveLinks.end() && Found->second->connected();
}

std::vector<Address> TcpTransport::connectedPeers() const {
  std::vector<Address> Result;
  for (const auto &[Peer, Active] : ActiveLinks)
    if (Active->connected())
      Result.push_back(Peer);
  return Result;
}

size_t TcpTransport::unsentBytes() const {
  size_t Bytes = 0;
  for (const auto &[Open, Owned] : Links)
    if (Open->connected())
      Bytes += Open->backlog();
  return Bytes;
}

FrameCount TcpTransport::sent(FrameType Type) const {
  return SentCounts[indexOf(Type)];
}

Link &TcpTransport::linkTo(const Address &To) {
  auto Found = ActiveLinks.find(To);
  if (Found != ActiveLinks.end())
    return *Found->second;
  auto Created = std::make_unique<Link>(
      TheLoop, static_cast<LinkOwner &>(*this), Pacer, To);
  Link *TheLink = Created.get();
  if (Budget != nullptr)
    TheLink->chargeTo(*Budget);
  Links[TheLink] = std::move(Created);
  ActiveLinks[To] = TheLink;
  LastUsed[TheLink] = TheLoop.now();
  sendHello(*TheLink);
  return *TheLink;
}

void TcpTransport::sendHello(Link &To) {
  wire::Hello Greeting;
  Greeting.protocol = ProtocolVersion;
  Greeting.peerAddress = Self.text();
  Greeting.instance = Instance;
  sendOn(To, FrameType::Hello, Greeting);
}

void TcpTransport::onAccept(evconnlistener *, evutil_socket_t Descriptor,
                            sockaddr *, int, void *Self) {
  auto *Transport = static_cast<TcpTransport *>(Self);
  auto Created = std::make_unique<Link>(Transport->TheLoop,
                                        static_cast<LinkOwner &>(*Transport),
                                        Transport->Pacer, Descriptor);
  Link *TheLink = Created.get();
  if (Transport->Budget != nullptr)
    TheLink->chargeTo(*Transport->Budget);
  Transport->Links[TheLink] = std::move(Created);
  Transport->LastUsed[TheLink] = Transport->TheLoop.now();
}

void TcpTransport::onFrame(Link &From, FrameType Type,
                           std::string_view Payload) {
  if (Type == FrameType::Hello) {
    handleHello(From, Payload);
    return;
  }
  if (!From.Peer) {
    dropLink(From);
    return;
  }
  if (Type == FrameType::Heartbeat) {
    handleHeartbeat(From, Payload);
    return;
  }
  if (Type == FrameType::Goodbye) {
    handleGoodbye(From, Payload);
    return;
  }
  LastUsed[&From] = TheLoop.now();
  dispatch(*From.Peer, Type, Payload);
}

void TcpTransport::handleHello(Link &From, std::string_view Payload) {
  Result<wire::Hello, FrameError> Greeting =
      decodeMessage<wire::Hello>(Payload);
  std::optional<Address> Peer;
  if (Greeting && Greeting.value().protocol == ProtocolVersion)
    Peer = parseAddress(Greeting.value().peerAddress);
  if (!Peer) {
    logWarning("peer_rejected", {{"cause", "invalid Hello frame"}});
    dropLink(From);
    return;
  }
  From.PeerInstance = Greeting.value().instance;
  if (From.outgoing())
    return;
  From.Peer = Peer;
  sendHello(From);
  selectActiveLink(From);
}

// Selects the stream on which frames to From's peer are sent from now on.
void TcpTransport::selectActiveLink(Link &From) {
  const Address &Peer = *From.Peer;
  auto [Position, IsNew] = ActiveLinks.emplace(Peer, &From);
  if (IsNew)
    return;
  Link *Previous = Position->second;
  bool Restarted = Previous->PeerInstance != 0 &&
                   Previous->PeerInstance != From.PeerInstance;
  if (Previous->outgoing() && !Restarted && Self < Peer)
    return;
  Position->second = &From;
  if (Restarted)
    dropLink(*Previous);
  else if (Previous->outgoing())
    requestClose(*Previous);
}

void TcpTransport::handleHeartbeat(Link &From, std::string_view Payload) {
  Result<wire::Heartbeat, FrameError> Beat =
      decodeMessage<wire::Heartbeat>(Payload);
  if (!Beat || Beat.value().reply)
    return;
  wire::Heartbeat Reply = Beat.value();
  Reply.reply = true;
  std::string Encoded = encodeMessage(Reply);
  From.send(FrameType::Heartbeat, Encoded, /*ExpectsAnswer=*/false);
  countSent(FrameType::Heartbeat, Encoded.size());
}

void TcpTransport::requestClose(Link &Retired) {
  Retired.Closing = Link::ClosePhase::Requested;
  sendOn(Retired, FrameType::Goodbye, wire::Goodbye());
}

void TcpTransport::handleGoodbye(Link &From, std::string_view Payload) {
  Result<wire::Goodbye, FrameError> Received =
      decodeMessage<wire::Goodbye>(Payload);
  if (!Received)
    return;
  if (Received.value().reply) {
    From.Closing = Link::ClosePhase::Agreed;
    return;
  }
  auto Found = ActiveLinks.find(*From.Peer);
  if (!Leaving && Found != ActiveLinks.end() && Found->second == &From)
    ActiveLinks.erase(Found);
  if (From.Closing == Link::ClosePhase::None)
    From.Closing = Link::ClosePhase::Agreed;
  wire::Goodbye Reply;
  Reply.reply = true;
  sendOn(From, FrameType::Goodbye, Reply);
}

void TcpTransport::dropLink(Link &Closed) {
  PeerDisconnect Reason = PeerDisconnect::NeverConnected;
  if (Closed.Closing == Link::ClosePhase::Agreed)
    Reason = PeerDisconnect::Retired;
  else if (Closed.connected() || Closed.Closing == Link::ClosePhase::Requested)
    Reason = PeerDisconnect::Lost;
  closeLink(Closed, Reason);
}

void TcpTransport::closeLink(Link &Closed, PeerDisconnect Reason) {
  std::unique_ptr<Link> Owned = std::move(Links[&Closed]);
  Links.erase(&Closed);
  LastUsed.erase(&Closed);
  if (!Owned->Peer)
    return;
  auto Found = ActiveLinks.find(*Owned->Peer);
  if (Found != ActiveLinks.end() && Found->second == &Closed)
    ActiveLinks.erase(Found);
  for (const PeerDisconnectHandler &Handler : DisconnectHandlers)
    Handler(*Owned->Peer, Reason);
}

// Drops closed, timed-out and silent streams, starts closing idle ones, and
// sends due heartbeats.
void TcpTransport::checkLinks(TimePoint Now) {
  if (Now - LastCheck > PauseDetection) {
    TimeoutsCountFrom = Now;
    for (auto &[Open, Owned] : Links) {
      Open->restartAwaiting(Now);
      if (Open->ProbedAt)
        Open->ProbedAt = Now;
    }
  }
  LastCheck = Now;
  bool HeartbeatDue = Now - LastHeartbeat >= Timings.HeartbeatPeriod;
  if (HeartbeatDue)
    LastHeartbeat = Now;
  std::vector<Link *> Dropped;
  wire::Heartbeat Beat;
  Beat.sequence = ++HeartbeatSequence;
  for (auto &[Open, Owned] : Links) {
    if (mustDrop(*Open, Now) || isSilent(*Open, Now)) {
      Dropped.push_back(Open);
      continue;
    }
    if (!Open->connected())
      continue;
    if (releaseIfIdle(*Open, Now))
      requestClose(*Open);
    // Any other frame from the peer also shows that it is alive.
    if (HeartbeatDue && Now - Open->lastReceived() >= Timings.HeartbeatPeriod)
      sendOn(*Open, FrameType::Heartbeat, Beat);
    if (Open->awaitingSince() &&
        Now - *Open->awaitingSince() >= Timings.ProbeAfter)
      probeIfQuiet(*Open, Now);
  }
  for (Link *Closed : Dropped) {
    if (Links.count(Closed) == 0)
      continue;
    if (Closed->connected() && Closed->Closing == Link::ClosePhase::None)
      dropSilent(*Closed, Now);
    else
      dropLink(*Closed);
  }
}

bool TcpTransport::mustDrop(const Link &Candidate, TimePoint Now) const {
  if (Candidate.Closing == Link::ClosePhase::Agreed &&
      Candidate.backlog() == 0 &&
      Now - LastUsed.at(&Candidate) > Timings.HeartbeatPeriod)
    return true;
  Duration Limit =
      Candidate.connected() ? Timings.SilenceLimit : Timings.ConnectTimeout;
  return Now - std::max(Candidate.lastReceived(), TimeoutsCountFrom) > Limit;
}

bool TcpTransport::isSilent(const Link &Candidate, TimePoint Now) const {
  return Candidate.connected() && Candidate.ProbedAt &&
         Now - *Candidate.ProbedAt >= Timings.ProbeLimit;
}

void TcpTransport::probeIfQuiet(Link &Candidate, TimePoint Now) {
  if (Candidate.ProbedAt || !Candidate.connected())
    return;
  Candidate.ProbedAt = Now;
  wire::Heartbeat Beat;
  Beat.sequence = ++HeartbeatSequence;
  sendOn(Candidate, FrameType::Heartbeat, Beat);
}

void TcpTransport::dropSilent(Link &Silent, TimePoint Now) {
  logWarning("peer_stream_silent",
             {{"peer", Silent.Peer ? Silent.Peer->text() : ""},
              {"silent_ms", milliseconds(Now - Silent.lastReceived())}});
  probeQuietLinks(Now);
  bool Connected = Silent.connected();
  closeLink(Silent, Connected ? PeerDisconnect::Silent
                              : PeerDisconnect::NeverConnected);
}

void TcpTransport::probeQuietLinks(TimePoint Now) {
  for (auto &[Open, Owned] : Links)
    if (Now - Open->lastReceived() >= Timings.ProbeAfter)
      probeIfQuiet(*Open, Now);
}

// Returns whether the stream is idle. If it is, no more frames are sent on it.
bool TcpTransport::releaseIfIdle(Link &Candidate, TimePoint Now) {
  if (Candidate.Closing != Link::ClosePhase::None || !Candidate.Peer ||
      Now - LastUsed[&Candidate] <= IdleTimeout)
    return false;
  auto Found = ActiveLinks.find(*Candidate.Peer);
  if (Found != ActiveLinks.end() && Found->second == &Candidate)
    ActiveLinks.erase(Found);
  return true;
}

void TcpTransport::countSent(FrameType Type, size_t Bytes) {
  FrameCount &Total = SentCounts[indexOf(Type)];
  ++Total.Frames;
  Total.Bytes += Bytes;
}

void TcpTransport::dispatch(const Address &From, FrameType Type,
                            std::string_view Payload) {
  const FrameHandler &Handler = Handlers[indexOf(Type)];
  if (!Handler) {
    logWarning("frame_ignored",
               {{"peer", From.text()}, {"type", int(indexOf(Type))}});
    return;
  }
  Handler(From, Payload);
}

void TcpTransport::onDatagramReadable(evutil_socket_t, short, void *Self) {
  static_cast<TcpTransport *>(Self)->receiveDatagrams();
}

void TcpTransport::receiveDatagrams() {
  char Buffer[MaxDatagramBytes + 1];
  for (;;) {
    sockaddr_in Socket = {};
    socklen_t Length = sizeof Socket;
    ssize_t Bytes = ::recvfrom(DatagramSocket, Buffer, sizeof Buffer, 0,
                               reinterpret_cast<sockaddr *>(&Socket), &Length);
    if (Bytes < 0)
      return;
    if (Bytes == 0)
      continue;
    std::string_view Frame(Buffer, static_cast<size_t>(Bytes));
    dispatch(addressOf(Socket), static_cast<FrameType>(Frame[0]),
             Frame.substr(1));
  }
}

} // namespace cyclamenwind
