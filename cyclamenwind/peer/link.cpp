#include "cyclamenwind/peer/link.h"

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

void disableNagle(evutil_socket_t Descriptor) {
  int On = 1;
  setsockopt(Descriptor, IPPROTO_TCP, TCP_NODELAY, &On, sizeof On);
}

uint32_t lengthOf(std::string_view Octets) {
  uint32_t Length = 0;
  std::memcpy(&Length, Octets.data(), LengthBytes);
  return ntohl(Length);
}

bool isTransient(int Error) {
  return Error == EAGAIN || Error == EWOULDBLOCK || Error == EINTR;
}

} // namespace

Link::Link(Loop &TheLoop, LinkOwner &Owner, const Address &To)
    : Peer(To), TheLoop(TheLoop), Owner(Owner), Outgoing(true) {
  open(::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
  beginConnecting(To);
}

Link::Link(Loop &TheLoop, LinkOwner &Owner, evutil_socket_t Accepted)
    : TheLoop(TheLoop), Owner(Owner), Connected(true) {
  open(Accepted);
  event_add(ReadEvent, nullptr);
}

Link::~Link() {
  *Alive = false;
  event_free(ReadEvent);
  event_free(WriteEvent);
  event_free(FlushEvent);
  evbuffer_free(Output);
  ::close(Socket);
}

void Link::open(evutil_socket_t Descriptor) {
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
      [](int, short, void *Self) {
        static_cast<Link *>(Self)->connectionReady();
      },
      this);
  FlushEvent = event_new(
      Base, -1, 0,
      [](int, short, void *Self) { static_cast<Link *>(Self)->flush(); }, this);
}

void Link::beginConnecting(const Address &To) {
  sockaddr_in Where = To.socketAddress();
  int Status =
      ::connect(Socket, reinterpret_cast<sockaddr *>(&Where), sizeof Where);
  if (Status == 0 || errno == EINPROGRESS) {
    event_add(WriteEvent, nullptr);
    return;
  }
  Failed = true;
  event_active(FlushEvent, EV_TIMEOUT, 0);
}

// The socket can be written: either the connection stands, or there is room.
void Link::connectionReady() {
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
    event_add(ReadEvent, nullptr);
  }
  flush();
}

void Link::send(FrameType Type, std::string_view Payload) {
  uint32_t Length = htonl(static_cast<uint32_t>(Payload.size() + TypeBytes));
  unsigned char Head[LengthBytes + TypeBytes];
  std::memcpy(Head, &Length, LengthBytes);
  Head[LengthBytes] = static_cast<unsigned char>(Type);
  evbuffer_add(Output, Head, sizeof Head);
  evbuffer_add(Output, Payload.data(), Payload.size());
  scheduleFlush();
}

size_t Link::backlog() const { return evbuffer_get_length(Output); }

void Link::scheduleFlush() {
  bool WaitsForRoom = event_pending(WriteEvent, EV_WRITE, nullptr) != 0;
  if (Connected && !WaitsForRoom)
    event_active(FlushEvent, EV_TIMEOUT, 0);
}

void Link::flush() {
  if (Failed) {
    fail();
    return;
  }
  while (evbuffer_get_length(Output) > 0) {
    int Written = evbuffer_write(Output, Socket);
    if (Written > 0)
      continue;
    if (Written < 0 && isTransient(errno))
      event_add(WriteEvent, nullptr);
    else
      fail();
    return;
  }
}

void Link::readFrames() {
  char Buffer[ReadBytes];
  ssize_t Bytes = ::recv(Socket, Buffer, sizeof Buffer, 0);
  if (Bytes < 0 && isTransient(errno))
    return;
  if (Bytes <= 0) {
    fail();
    return;
  }
  LastReceived = TheLoop.now();
  std::shared_ptr<bool> StillAlive = Alive;
  std::string_view Octets(Buffer, static_cast<size_t>(Bytes));
  if (Partial.empty()) {
    size_t Consumed = parseFrames(Octets);
    if (*StillAlive)
      Partial.assign(Octets.substr(Consumed));
    return;
  }
  std::string Joined = std::move(Partial);
  Joined += Octets;
  size_t Consumed = parseFrames(Joined);
  if (!*StillAlive)
    return;
  if (Consumed > 0)
    Joined.erase(0, Consumed);
  Partial = std::move(Joined);
}

// Hands whole frames to the owner; returns how many octets they took. The link
// may be destroyed on return.
size_t Link::parseFrames(std::string_view Octets) {
  std::shared_ptr<bool> StillAlive = Alive;
  size_t Consumed = 0;
  while (Octets.size() - Consumed >= LengthBytes) {
    std::string_view Rest = Octets.substr(Consumed);
    uint32_t Length = lengthOf(Rest);
    if (Length < TypeBytes || Length > MaxFrameBytes) {
      fail();
      return Consumed;
    }
    if (Rest.size() < LengthBytes + Length)
      return Consumed;
    Consumed += LengthBytes + Length;
    std::string_view Frame = Rest.substr(LengthBytes, Length);
    Owner.frame(*this, static_cast<FrameType>(Frame[0]),
                Frame.substr(TypeBytes));
    if (!*StillAlive)
      return Consumed;
  }
  return Consumed;
}

void Link::fail() { Owner.down(*this); }

} // namespace cyclamenwind
