#include "cyclamenwind/peer/link.h"

#include "cyclamenwind/base/log.h"
#include "cyclamenwind/wire/gen-cpp/peer_types.h"

#include <algorithm>
#include <cerrno>
#include <cstring>

#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <event2/buffer.h>

namespace cyclamenwind {
namespace {

constexpr size_t LengthBytes = 4;
constexpr size_t TypeBytes = 1;
constexpr size_t ReadBytes = 64 * 1024;
// Of a link with a budget in the kernel: what arrives while it is not read.
// More than a link of 10 Mbit/s carries in 100 ms.
constexpr int ReceiveBufferBytes = 256 * 1024;
// Below the silence after which a peer's requests are not started
// (SenderSilenceLimit in inbound_proxy.cpp).
constexpr Duration MemoryPause = 400ms;
constexpr char LastFragment = 1;
constexpr char MoreFragments = 0;

void disableNagle(evutil_socket_t Descriptor) {
  int On = 1;
  setsockopt(Descriptor, IPPROTO_TCP, TCP_NODELAY, &On, sizeof On);
}

uint32_t lengthOf(std::string_view Bytes) {
  uint32_t Length = 0;
  std::memcpy(&Length, Bytes.data(), LengthBytes);
  return ntohl(Length);
}

bool isTransient(int Error) {
  return Error == EAGAIN || Error == EWOULDBLOCK || Error == EINTR;
}

// Whether later frames may arrive before a frame of Type. A reply belongs to a
// request by its id, and the records of a state reply are ordered by their
// versions. A cancellation must not overtake its request, but it may overtake
// the request's body, which is then dropped when it arrives.
bool mayBeOvertaken(FrameType Type) {
  return Type == FrameType::ForwardReply || Type == FrameType::StateReply ||
         Type == FrameType::ForwardBody;
}

} // namespace

Link::Link(Loop &TheLoop, LinkOwner &Owner, EgressPacer *Pacer,
           const Address &To)
    : Peer(To), TheLoop(TheLoop), Owner(Owner), Pacer(Pacer), Outgoing(true) {
  attachSocket(
      ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
  startConnect(To);
}

Link::Link(Loop &TheLoop, LinkOwner &Owner, EgressPacer *Pacer,
           evutil_socket_t Accepted)
    : TheLoop(TheLoop), Owner(Owner), Pacer(Pacer), Connected(true) {
  attachSocket(Accepted);
  event_add(ReadEvent, nullptr);
}

Link::~Link() {
  *Alive = false;
  if (Pacer != nullptr)
    Pacer->remove(*this);
  event_free(ReadEvent);
  event_free(WriteEvent);
  event_free(FlushEvent);
  evbuffer_free(Output);
  ::close(Socket);
}

void Link::attachSocket(evutil_socket_t Descriptor) {
  Socket = Descriptor;
  Created = TheLoop.now();
  LastReceived = Created;
  Output = evbuffer_new();
  disableNagle(Socket);
  event_base *Base = TheLoop.base();
  ReadEvent = event_new(
      Base, Socket, EV_READ | EV_PERSIST,
      [](int, short, void *Self) { static_cast<Link *>(Self)->readFrames(); },
      this);
  WriteEvent = event_new(
      Base, Socket, EV_WRITE,
      [](int, short, void *Self) { static_cast<Link *>(Self)->onWritable(); },
      this);
  FlushEvent = event_new(
      Base, -1, 0,
      [](int, short, void *Self) { static_cast<Link *>(Self)->flush(); }, this);
}

void Link::startConnect(const Address &To) {
  sockaddr_in SocketAddress = To.socketAddress();
  int Status = ::connect(Socket, reinterpret_cast<sockaddr *>(&SocketAddress),
                         sizeof SocketAddress);
  if (Status == 0 || errno == EINPROGRESS) {
    event_add(WriteEvent, nullptr);
    return;
  }
  ConnectFailed = true;
  event_active(FlushEvent, EV_TIMEOUT, 0);
}

// The socket is writable: the connection attempt finished, or the send buffer
// has space again.
void Link::onWritable() {
  if (!Connected) {
    int Error = 0;
    socklen_t Length = sizeof Error;
    getsockopt(Socket, SOL_SOCKET, SO_ERROR, &Error, &Length);
    if (Error != 0) {
      fail();
      return;
    }
    Connected = true;
    LastReceived = TheLoop.now();
    restartAwaiting(LastReceived);
    event_add(ReadEvent, nullptr);
  }
  flush();
}

void Link::send(FrameType Type, std::string_view Payload, bool ExpectsAnswer) {
  if (ExpectsAnswer && !AwaitingSince)
    AwaitingSince = TheLoop.now();
  bool IsBulk = Pacer != nullptr && mayBeOvertaken(Type) &&
                Payload.size() > Pacer->pieceBytes();
  // A Goodbye says that all frames before it were delivered.
  bool MustFollow = Type == FrameType::Goodbye && !BulkFrames.empty();
  if (IsBulk || MustFollow) {
    std::string &Frame = BulkFrames.emplace_back(1, static_cast<char>(Type));
    Frame += Payload;
    updateCharge();
    resumeBulkFrames();
    return;
  }
  addFrame(Type, "", Payload);
  if (Pacer != nullptr)
    Pacer->charge(LengthBytes + TypeBytes + Payload.size());
}

// Queues a frame whose payload is Prefix and then Payload.
void Link::addFrame(FrameType Type, std::string_view Prefix,
                    std::string_view Payload) {
  uint32_t Length =
      htonl(static_cast<uint32_t>(TypeBytes + Prefix.size() + Payload.size()));
  unsigned char Header[LengthBytes + TypeBytes];
  std::memcpy(Header, &Length, LengthBytes);
  Header[LengthBytes] = static_cast<unsigned char>(Type);
  evbuffer_add(Output, Header, sizeof Header);
  evbuffer_add(Output, Prefix.data(), Prefix.size());
  evbuffer_add(Output, Payload.data(), Payload.size());
  updateCharge();
  scheduleFlush();
}

void Link::chargeTo(MemoryBudget &Budget) {
  Charge = MemoryCharge(&Budget, MemoryKind::Frames);
  setsockopt(Socket, SOL_SOCKET, SO_RCVBUF, &ReceiveBufferBytes,
             sizeof ReceiveBufferBytes);
}

// The frames are there already, so they are charged also above the budget.
void Link::updateCharge() {
  Charge.set(backlog() + PartialFrame.size() + Fragments.size());
}

// Pauses reading if a large frame is being received and there is no room for
// another buffer of it.
void Link::pauseIfMemoryShort() {
  size_t Bytes = Charge.bytes();
  if (PartialFrame.size() + Fragments.size() <= ReadBytes ||
      Charge.trySet(Bytes + ReadBytes)) {
    Charge.set(Bytes);
    return;
  }
  event_del(ReadEvent);
  // The peer's probes wait behind the frame, so that it would count this side
  // as silent. An unasked answer shows that it is not.
  wire::Heartbeat Answer;
  Answer.reply = true;
  send(FrameType::Heartbeat, encodeMessage(Answer), /*ExpectsAnswer=*/false);
  MemoryTimer = TheLoop.after(MemoryPause, [this] {
    TimerHandle Fired = std::move(MemoryTimer);
    event_add(ReadEvent, nullptr);
  });
}

// Asks for turns to send the bulk frames, unless what was sent before still
// waits for the socket.
void Link::resumeBulkFrames() {
  if (!BulkFrames.empty() && Connected && !waitsForBufferSpace())
    Pacer->add(*this);
}

BulkWriter::Written Link::writePiece(size_t MaxBytes) {
  if (BulkFrames.empty() || waitsForBufferSpace())
    return {};
  const std::string &Frame = BulkFrames.front();
  std::string_view Part = std::string_view(Frame).substr(BulkSent, MaxBytes);
  bool Last = BulkSent + Part.size() == Frame.size();
  char Flag = Last ? LastFragment : MoreFragments;
  addFrame(FrameType::Fragment, std::string_view(&Flag, sizeof Flag), Part);
  BulkSent += Part.size();
  size_t Bytes = Part.size();
  if (Last) {
    BulkFrames.pop_front();
    BulkSent = 0;
  }
  return {Bytes, !BulkFrames.empty(), Last};
}

size_t Link::bytesLeft() const {
  return BulkFrames.empty() ? 0 : BulkFrames.front().size() - BulkSent;
}

size_t Link::backlog() const {
  size_t Bytes = evbuffer_get_length(Output);
  for (const std::string &Frame : BulkFrames)
    Bytes += Frame.size();
  return Bytes - BulkSent;
}

bool Link::waitsForBufferSpace() const {
  return event_pending(WriteEvent, EV_WRITE, nullptr) != 0;
}

void Link::scheduleFlush() {
  if (Connected && !waitsForBufferSpace())
    event_active(FlushEvent, EV_TIMEOUT, 0);
}

void Link::flush() {
  if (ConnectFailed) {
    fail();
    return;
  }
  while (evbuffer_get_length(Output) > 0) {
    int Written = evbuffer_write(Output, Socket);
    if (Written > 0)
      continue;
    if (Written >= 0 || !isTransient(errno)) {
      fail();
      return;
    }
    event_add(WriteEvent, nullptr);
    updateCharge();
    return;
  }
  updateCharge();
  resumeBulkFrames();
}

void Link::readFrames() {
  char Buffer[ReadBytes];
  ssize_t Received = ::recv(Socket, Buffer, sizeof Buffer, 0);
  if (Received < 0 && isTransient(errno))
    return;
  if (Received <= 0) {
    fail();
    return;
  }
  LastReceived = TheLoop.now();
  AwaitingSince.reset();
  ProbedAt.reset();
  std::shared_ptr<bool> StillAlive = Alive;
  std::string_view Bytes(Buffer, static_cast<size_t>(Received));
  if (PartialFrame.empty()) {
    size_t Consumed = parseFrames(Bytes);
    if (!*StillAlive)
      return;
    PartialFrame.assign(Bytes.substr(Consumed));
    updateCharge();
    pauseIfMemoryShort();
    return;
  }
  // Room for the whole of a large frame at once avoids copies while it grows.
  if (PartialFrame.size() > ReadBytes &&
      lengthOf(PartialFrame) <= MaxFrameBytes)
    PartialFrame.reserve(LengthBytes + lengthOf(PartialFrame) + ReadBytes);
  std::string Joined = std::move(PartialFrame);
  Joined += Bytes;
  size_t Consumed = parseFrames(Joined);
  if (!*StillAlive)
    return;
  // Into a new buffer if a frame was consumed: the old one may be large.
  if (Consumed > 0)
    PartialFrame.assign(Joined, Consumed);
  else
    PartialFrame = std::move(Joined);
  updateCharge();
  pauseIfMemoryShort();
}

// Passes complete frames to the owner and returns the number of bytes consumed.
// The owner may have destroyed the link when this returns.
size_t Link::parseFrames(std::string_view Bytes) {
  std::shared_ptr<bool> StillAlive = Alive;
  size_t Consumed = 0;
  while (Bytes.size() - Consumed >= LengthBytes) {
    std::string_view Rest = Bytes.substr(Consumed);
    uint32_t Length = lengthOf(Rest);
    if (Length < TypeBytes || Length > MaxFrameBytes) {
      fail();
      return Consumed;
    }
    if (Rest.size() < LengthBytes + Length)
      return Consumed;
    Consumed += LengthBytes + Length;
    std::string_view Frame = Rest.substr(LengthBytes, Length);
    auto Type = static_cast<FrameType>(Frame[0]);
    if (Type != FrameType::Fragment)
      Owner.onFrame(*this, Type, Frame.substr(TypeBytes));
    else if (!receiveFragment(Frame.substr(TypeBytes)))
      fail();
    if (!*StillAlive)
      return Consumed;
  }
  return Consumed;
}

// Passes the frame to the owner when its last fragment has arrived. Returns
// whether the fragment is well formed; the owner may have destroyed the link
// then.
bool Link::receiveFragment(std::string_view Payload) {
  bool WellFormed =
      Payload.size() > 1 && Fragments.size() + Payload.size() <= MaxFrameBytes;
  if (!WellFormed) {
    logWarning("fragment_malformed", {{"peer", Peer ? Peer->text() : ""},
                                      {"bytes", Payload.size()},
                                      {"before", Fragments.size()}});
    return false;
  }
  Fragments += Payload.substr(1);
  if (Payload[0] != LastFragment)
    return true;
  std::string Frame;
  Frame.swap(Fragments);
  Owner.onFrame(*this, static_cast<FrameType>(Frame[0]),
                std::string_view(Frame).substr(TypeBytes));
  return true;
}

void Link::fail() { Owner.dropLink(*this); }

} // namespace cyclamenwind
