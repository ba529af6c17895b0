#include "cyclamenwind/peer/tcp_transport.h"

#include "cyclamenwind/base/log.h"
#include "cyclamenwind/wire/gen-cpp/peer_types.h"

#include <sys/socket.h>
#include <unistd.h>

#include <event2/listener.h>

namespace cyclamenwind {
namespace {

constexpr int32_t ProtocolVersion = 1;
// A check this many periods late means that this process was paused.
constexpr int PausePeriods = 2;
constexpr Duration IdleLimit = 60s;
constexpr int ListenBacklog = 1024;
constexpr int DatagramBufferBytes = 1 << 20;

size_t indexOf(FrameType Type) { return static_cast<uint8_t>(Type); }

} // namespace

template <typename T>
void TcpTransport::sendOn(Link &To, FrameType Type, const T &Message) {
  std::string Payload = encodeMessage(Message);
  To.send(Type, Payload);
  count(Type, Payload.size());
}

Result<std::unique_ptr<TcpTransport>, PeerTransportError>
TcpTransport::listen(Loop &TheLoop, const Address &Self,
                     const PeerTimings &Timings) {
  std::unique_ptr<TcpTransport> Transport(
      new TcpTransport(TheLoop, Self, Timings));
  if (!Transport->bindStream() || !Transport->bindDatagrams())
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
  if (Datagrams >= 0)
    ::close(Datagrams);
}

bool TcpTransport::bindStream() {
  sockaddr_in Socket = Self.socketAddress();
  Listener = evconnlistener_new_bind(
      TheLoop.base(), &TcpTransport::accepted, this,
      LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE | LEV_OPT_CLOSE_ON_EXEC,
      ListenBacklog, reinterpret_cast<sockaddr *>(&Socket), sizeof Socket);
  return Listener != nullptr;
}

bool TcpTransport::bindDatagrams() {
  Datagrams = ::socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  sockaddr_in Socket = Self.socketAddress();
  if (Datagrams < 0 || ::bind(Datagrams, reinterpret_cast<sockaddr *>(&Socket),
                              sizeof Socket) != 0)
    return false;
  int Bytes = DatagramBufferBytes;
  setsockopt(Datagrams, SOL_SOCKET, SO_RCVBUF, &Bytes, sizeof Bytes);
  DatagramEvent = event_new(TheLoop.base(), Datagrams, EV_READ | EV_PERSIST,
                            &TcpTransport::datagramReadable, this);
  event_add(DatagramEvent, nullptr);
  return true;
}

void TcpTransport::start(Kernel &TheKernel) {
  Instance = static_cast<int64_t>(TheKernel.random().next() | 1);
  LastCheck = TheLoop.now();
  HeartbeatTimer = TheKernel.scheduler().every(
      Timings.HeartbeatPeriod, [this] { checkLinks(TheLoop.now()); });
}

void TcpTransport::leave() {
  Leaving = true;
  if (Listener != nullptr)
    evconnlistener_free(Listener);
  Listener = nullptr;
  for (auto &[Each, Owned] : Links)
    if (Each->Leaving == Link::Farewell::None)
      retire(*Each);
}

void TcpTransport::handle(FrameType Type, FrameHandler Handler) {
  Handlers[indexOf(Type)] = std::move(Handler);
}

void TcpTransport::onPeerDisconnect(PeerDisconnectHandler Handler) {
  DownHandlers.push_back(std::move(Handler));
}

void TcpTransport::send(const Address &To, FrameType Type,
                        std::string_view Payload) {
  if (Leaving && ByPeer.count(To) == 0)
    return;
  Link &TheLink = linkTo(To);
  LastUsed[&TheLink] = TheLoop.now();
  TheLink.send(Type, Payload);
  count(Type, Payload.size());
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
  ::sendto(Datagrams, Frame.data(), Frame.size(), 0,
           reinterpret_cast<sockaddr *>(&Socket), sizeof Socket);
  count(Type, Payload.size());
}

TimePoint TcpTransport::lastReceived(const Address &To) const {
  auto Found = ByPeer.find(To);
  return Found == ByPeer.end() ? TimePoint() : Found->second->lastReceived();
}

void TcpTransport::probe(const Address &To) {
  if (Leaving && ByPeer.count(To) == 0)
    return;
  wire::Heartbeat Beat;
  Beat.sequence = ++HeartbeatSequence;
  sendOn(linkTo(To), FrameType::Heartbeat, Beat);
}

void TcpTransport::reconnect(const Address &To) {
  auto Found = ByPeer.find(To);
  if (Found == ByPeer.end())
    return;
  logWarning("peer_stream_silent", {{"peer", To.text()}});
  down(*Found->second);
}

bool TcpTransport::isConnected(const Address &To) const {
  auto Found = ByPeer.find(To);
  return Found != ByPeer.end() && Found->second->connected();
}

std::vector<Address> TcpTransport::connectedPeers() const {
  std::vector<Address> Result;
  for (const auto &[Peer, Each] : ByPeer)
    if (Each->connected())
      Result.push_back(Peer);
  return Result;
}

FrameCount TcpTransport::sent(FrameType Type) const {
  return Counts[indexOf(Type)];
}

Link &TcpTransport::linkTo(const Address &To) {
  auto Found = ByPeer.find(To);
  if (Found != ByPeer.end())
    return *Found->second;
  auto Created =
      std::make_unique<Link>(TheLoop, static_cast<LinkOwner &>(*this), To);
  Link *TheLink = Created.get();
  Links[TheLink] = std::move(Created);
  ByPeer[To] = TheLink;
  LastUsed[TheLink] = TheLoop.now();
  greetBack(*TheLink);
  return *TheLink;
}

void TcpTransport::greetBack(Link &To) {
  wire::Hello Greeting;
  Greeting.protocol = ProtocolVersion;
  Greeting.peerAddress = Self.text();
  Greeting.instance = Instance;
  sendOn(To, FrameType::Hello, Greeting);
}

void TcpTransport::accepted(evconnlistener *, evutil_socket_t Descriptor,
                            sockaddr *, int, void *Self) {
  auto *Transport = static_cast<TcpTransport *>(Self);
  auto Created = std::make_unique<Link>(
      Transport->TheLoop, static_cast<LinkOwner &>(*Transport), Descriptor);
  Link *TheLink = Created.get();
  Transport->Links[TheLink] = std::move(Created);
  Transport->LastUsed[TheLink] = Transport->TheLoop.now();
}

void TcpTransport::frame(Link &From, FrameType Type, std::string_view Payload) {
  if (Type == FrameType::Hello) {
    greet(From, Payload);
    return;
  }
  if (!From.Peer) {
    down(From);
    return;
  }
  if (Type == FrameType::Heartbeat) {
    answerHeartbeat(From, Payload);
    return;
  }
  if (Type == FrameType::Goodbye) {
    answerGoodbye(From, Payload);
    return;
  }
  LastUsed[&From] = TheLoop.now();
  dispatch(*From.Peer, Type, Payload);
}

void TcpTransport::greet(Link &From, std::string_view Payload) {
  Result<wire::Hello, FrameError> Greeting =
      decodeMessage<wire::Hello>(Payload);
  std::optional<Address> Peer;
  if (Greeting && Greeting.value().protocol == ProtocolVersion)
    Peer = parseAddress(Greeting.value().peerAddress);
  if (!Peer) {
    logWarning("peer_rejected", {{"cause", "bad greeting"}});
    down(From);
    return;
  }
  From.PeerInstance = Greeting.value().instance;
  if (From.outgoing())
    return;
  From.Peer = Peer;
  greetBack(From);
  adopt(From);
}

// Decides which stream of a pair carries what is sent from now on.
void TcpTransport::adopt(Link &From) {
  const Address &Peer = *From.Peer;
  auto [Position, IsNew] = ByPeer.emplace(Peer, &From);
  if (IsNew)
    return;
  Link *Old = Position->second;
  bool Restarted =
      Old->PeerInstance != 0 && Old->PeerInstance != From.PeerInstance;
  if (Old->outgoing() && !Restarted && Self < Peer)
    return;
  Position->second = &From;
  if (Restarted)
    down(*Old);
  else if (Old->outgoing())
    retire(*Old);
}

void TcpTransport::answerHeartbeat(Link &From, std::string_view Payload) {
  Result<wire::Heartbeat, FrameError> Beat =
      decodeMessage<wire::Heartbeat>(Payload);
  if (!Beat || Beat.value().reply)
    return;
  wire::Heartbeat Reply = Beat.value();
  Reply.reply = true;
  sendOn(From, FrameType::Heartbeat, Reply);
}

void TcpTransport::retire(Link &Surplus) {
  Surplus.Leaving = Link::Farewell::Said;
  sendOn(Surplus, FrameType::Goodbye, wire::Goodbye());
}

void TcpTransport::answerGoodbye(Link &From, std::string_view Payload) {
  Result<wire::Goodbye, FrameError> Word =
      decodeMessage<wire::Goodbye>(Payload);
  if (!Word)
    return;
  if (Word.value().reply) {
    From.Leaving = Link::Farewell::Answered;
    return;
  }
  auto Found = ByPeer.find(*From.Peer);
  if (!Leaving && Found != ByPeer.end() && Found->second == &From)
    ByPeer.erase(Found);
  if (From.Leaving == Link::Farewell::None)
    From.Leaving = Link::Farewell::Answered;
  wire::Goodbye Reply;
  Reply.reply = true;
  sendOn(From, FrameType::Goodbye, Reply);
}

void TcpTransport::down(Link &Ended) {
  std::unique_ptr<Link> Kept = std::move(Links[&Ended]);
  Links.erase(&Ended);
  LastUsed.erase(&Ended);
  if (!Kept->Peer)
    return;
  auto Found = ByPeer.find(*Kept->Peer);
  if (Found != ByPeer.end() && Found->second == &Ended)
    ByPeer.erase(Found);
  PeerDisconnect End = PeerDisconnect::NeverConnected;
  if (Kept->Leaving == Link::Farewell::Answered)
    End = PeerDisconnect::Retired;
  else if (Kept->connected() || Kept->Leaving == Link::Farewell::Said)
    End = PeerDisconnect::Lost;
  for (const PeerDisconnectHandler &Each : DownHandlers)
    Each(*Kept->Peer, End);
}

// Ends finished streams, retires idle ones, sends a heartbeat on the others.
void TcpTransport::checkLinks(TimePoint Now) {
  if (Now - LastCheck > PausePeriods * Timings.HeartbeatPeriod)
    TrustedFrom = Now;
  LastCheck = Now;
  std::vector<Link *> Ended;
  wire::Heartbeat Beat;
  Beat.sequence = ++HeartbeatSequence;
  for (auto &[Each, Owned] : Links) {
    if (finished(*Each, Now)) {
      Ended.push_back(Each);
      continue;
    }
    if (!Each->connected())
      continue;
    if (idle(*Each, Now))
      retire(*Each);
    // What the peer sends anyway shows that it lives.
    if (Now - Each->lastReceived() >= Timings.HeartbeatPeriod)
      sendOn(*Each, FrameType::Heartbeat, Beat);
  }
  for (Link *Each : Ended)
    if (Links.count(Each) != 0)
      down(*Each);
}

bool TcpTransport::finished(const Link &Checked, TimePoint Now) const {
  if (Checked.Leaving == Link::Farewell::Answered && Checked.backlog() == 0 &&
      Now - LastUsed.at(&Checked) > Timings.HeartbeatPeriod)
    return true;
  Duration Limit =
      Checked.connected() ? Timings.SilenceLimit : Timings.ConnectLimit;
  return Now - std::max(Checked.lastReceived(), TrustedFrom) > Limit;
}

// An idle stream is no longer used for sending once it retires.
bool TcpTransport::idle(Link &Checked, TimePoint Now) {
  if (Checked.Leaving != Link::Farewell::None || !Checked.Peer ||
      Now - LastUsed[&Checked] <= IdleLimit)
    return false;
  auto Found = ByPeer.find(*Checked.Peer);
  if (Found != ByPeer.end() && Found->second == &Checked)
    ByPeer.erase(Found);
  return true;
}

void TcpTransport::count(FrameType Type, size_t Bytes) {
  FrameCount &Total = Counts[indexOf(Type)];
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

void TcpTransport::datagramReadable(evutil_socket_t, short, void *Self) {
  static_cast<TcpTransport *>(Self)->receiveDatagrams();
}

void TcpTransport::receiveDatagrams() {
  char Buffer[MaxDatagramBytes + 1];
  for (;;) {
    sockaddr_in Socket = {};
    socklen_t Length = sizeof Socket;
    ssize_t Bytes = ::recvfrom(Datagrams, Buffer, sizeof Buffer, 0,
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
