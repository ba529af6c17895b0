#include "cyclamenwind/peer/link.h"

#include <netinet/tcp.h>
#include <sys/socket.h>

#include <event2/buffer.h>
#include <event2/bufferevent.h>

namespace cyclamenwind {
namespace {

constexpr size_t LengthBytes = 4;
constexpr size_t TypeBytes = 1;

void disableNagle(evutil_socket_t Descriptor) {
  int On = 1;
  setsockopt(Descriptor, IPPROTO_TCP, TCP_NODELAY, &On, sizeof On);
}

uint32_t lengthOf(const unsigned char *Octets) {
  return (uint32_t(Octets[0]) << 24) | (uint32_t(Octets[1]) << 16) |
         (uint32_t(Octets[2]) << 8) | uint32_t(Octets[3]);
}

} // namespace

Link::Link(Loop &TheLoop, LinkOwner &Owner, const Address &To)
    : Peer(To), TheLoop(TheLoop), Owner(Owner), Outgoing(true) {
  open(-1);
  sockaddr_in Socket = To.socketAddress();
  bufferevent_socket_connect(Stream, reinterpret_cast<sockaddr *>(&Socket),
                             sizeof Socket);
}

Link::Link(Loop &TheLoop, LinkOwner &Owner, evutil_socket_t Accepted)
    : TheLoop(TheLoop), Owner(Owner), Connected(true) {
  disableNagle(Accepted);
  open(Accepted);
}

Link::~Link() {
  *Alive = false;
  bufferevent_free(Stream);
}

void Link::open(evutil_socket_t Descriptor) {
  Created = TheLoop.now();
  LastHeard = Created;
  Stream =
      bufferevent_socket_new(TheLoop.base(), Descriptor,
                             BEV_OPT_CLOSE_ON_FREE | BEV_OPT_DEFER_CALLBACKS);
  bufferevent_setcb(Stream, &Link::readable, nullptr, &Link::eventSeen, this);
  bufferevent_enable(Stream, EV_READ | EV_WRITE);
}

void Link::send(FrameType Type, std::string_view Payload) {
  uint32_t Length = htonl(static_cast<uint32_t>(Payload.size() + TypeBytes));
  unsigned char Head[LengthBytes + TypeBytes];
  std::memcpy(Head, &Length, LengthBytes);
  Head[LengthBytes] = static_cast<unsigned char>(Type);
  bufferevent_write(Stream, Head, sizeof Head);
  bufferevent_write(Stream, Payload.data(), Payload.size());
}

size_t Link::backlog() const {
  return evbuffer_get_length(bufferevent_get_output(Stream));
}

void Link::readable(bufferevent *, void *Self) {
  static_cast<Link *>(Self)->readFrames();
}

void Link::readFrames() {
  std::shared_ptr<bool> StillAlive = Alive;
  LastHeard = TheLoop.now();
  evbuffer *Input = bufferevent_get_input(Stream);
  while (*StillAlive) {
    unsigned char Head[LengthBytes];
    if (evbuffer_copyout(Input, Head, LengthBytes) <
        static_cast<ev_ssize_t>(LengthBytes))
      return;
    uint32_t Length = lengthOf(Head);
    if (Length < TypeBytes || Length > MaxFrameBytes) {
      Owner.down(*this);
      return;
    }
    if (evbuffer_get_length(Input) < LengthBytes + Length)
      return;
    std::string Frame(Length, '\0');
    evbuffer_drain(Input, LengthBytes);
    evbuffer_remove(Input, Frame.data(), Length);
    Owner.frame(*this, static_cast<FrameType>(Frame[0]),
                std::string_view(Frame).substr(TypeBytes));
  }
}

void Link::eventSeen(bufferevent *Stream, short What, void *Self) {
  auto *This = static_cast<Link *>(Self);
  if (What & BEV_EVENT_CONNECTED) {
    disableNagle(bufferevent_getfd(Stream));
    This->Connected = true;
    This->LastHeard = This->TheLoop.now();
    return;
  }
  if (What & (BEV_EVENT_EOF | BEV_EVENT_ERROR))
    This->Owner.down(*This);
}

} // namespace cyclamenwind
