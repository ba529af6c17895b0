#include "cyclamenwind/http/byte_stream.h"

#include "cyclamenwind/base/log.h"

#include <cerrno>
#include <cstring>

#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <event2/listener.h>

namespace cyclamenwind {
namespace {

constexpr size_t ReadBytes = 32 * 1024;
// Longer than a lost segment's first retransmissions, shorter than a caller's
// deadline.
constexpr int SilenceLimitMs = 2500;
constexpr int KeepAliveIdleSeconds = 2;
constexpr int KeepAliveProbes = 2;
constexpr int ListenBacklog = 1024;

void setOption(evutil_socket_t Socket, int Level, int Name, int Value) {
  if (setsockopt(Socket, Level, Name, &Value, sizeof Value) != 0)
    logWarning("socket_option_failed",
               {{"option", Name}, {"error", std::strerror(errno)}});
}

bool isTransient(int Error) {
  return Error == EAGAIN || Error == EWOULDBLOCK || Error == EINTR;
}

} // namespace

ByteStream::ByteStream(Loop &TheLoop, StreamOwner &Owner, const Address &To)
    : TheLoop(TheLoop), Owner(Owner) {
  open(::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
  sockaddr_in Where = To.socketAddress();
  if (Socket >= 0 && (::connect(Socket, reinterpret_cast<sockaddr *>(&Where),
                                sizeof Where) == 0 ||
                      errno == EINPROGRESS)) {
    event_add(WriteEvent, nullptr);
    return;
  }
  logWarning("connect_failed",
             {{"to", To.text()}, {"error", std::strerror(errno)}});
  TheLoop.defer([this, Still = Alive] {
    if (*Still)
      fail(StreamEnd::ConnectFailed);
  });
}

ByteStream::ByteStream(Loop &TheLoop, StreamOwner &Owner,
                       evutil_socket_t Accepted)
    : TheLoop(TheLoop), Owner(Owner), Connected(true) {
  open(Accepted);
  event_add(ReadEvent, nullptr);
}

ByteStream::~ByteStream() {
  *Alive = false;
  event_free(ReadEvent);
  event_free(WriteEvent);
  event_free(FlushEvent);
  if (Socket >= 0)
    ::close(Socket);
}

void ByteStream::open(evutil_socket_t Descriptor) {
  Socket = Descriptor;
  if (Socket >= 0) {
    setOption(Socket, IPPROTO_TCP, TCP_NODELAY, 1);
    setOption(Socket, IPPROTO_TCP, TCP_USER_TIMEOUT, SilenceLimitMs);
    setOption(Socket, SOL_SOCKET, SO_KEEPALIVE, 1);
    setOption(Socket, IPPROTO_TCP, TCP_KEEPIDLE, KeepAliveIdleSeconds);
    setOption(Socket, IPPROTO_TCP, TCP_KEEPINTVL, 1);
    setOption(Socket, IPPROTO_TCP, TCP_KEEPCNT, KeepAliveProbes);
  }
  event_base *Base = TheLoop.base();
  ReadEvent = event_new(
      Base, Socket, EV_READ | EV_PERSIST,
      [](int, short, void *Self) {
        static_cast<ByteStream *>(Self)->readable();
      },
      this);
  WriteEvent = event_new(
      Base, Socket, EV_WRITE,
      [](int, short, void *Self) {
        static_cast<ByteStream *>(Self)->writable();
      },
      this);
  FlushEvent = event_new(
      Base, -1, 0,
      [](int, short, void *Self) {
        auto *Stream = static_cast<ByteStream *>(Self);
        Stream->FlushScheduled = false;
        Stream->flush();
      },
      this);
}

std::string ByteStream::peerHost() const {
  sockaddr_in Peer = {};
  socklen_t Length = sizeof Peer;
  if (getpeername(Socket, reinterpret_cast<sockaddr *>(&Peer), &Length) != 0)
    return "";
  return addressOf(Peer).Host;
}

void ByteStream::write(std::string_view Bytes) {
  Output.append(Bytes);
  scheduleFlush();
}

void ByteStream::pauseReading() { event_del(ReadEvent); }

void ByteStream::resumeReading() {
  if (Connected)
    event_add(ReadEvent, nullptr);
}

void ByteStream::finish() {
  Finishing = true;
  scheduleFlush();
}

void ByteStream::scheduleFlush() {
  if (!Connected || FlushScheduled ||
      event_pending(WriteEvent, EV_WRITE, nullptr) != 0)
    return;
  FlushScheduled = true;
  event_active(FlushEvent, EV_TIMEOUT, 0);
}

// The socket can be written: either the connection stands, or there is room.
void ByteStream::writable() {
  if (!Connected) {
    int Error = 0;
    socklen_t Length = sizeof Error;
    getsockopt(Socket, SOL_SOCKET, SO_ERROR, &Error, &Length);
    if (Error != 0) {
      fail(StreamEnd::ConnectFailed);
      return;
    }
    Connected = true;
    event_add(ReadEvent, nullptr);
    std::shared_ptr<bool> Still = Alive;
    Owner.connected();
    if (!*Still)
      return;
  }
  flush();
}

void ByteStream::flush() {
  while (Flushed < Output.size()) {
    ssize_t Written = ::send(Socket, Output.data() + Flushed,
                             Output.size() - Flushed, MSG_NOSIGNAL);
    if (Written > 0) {
      SentAny = true;
      Flushed += static_cast<size_t>(Written);
      continue;
    }
    if (Written < 0 && isTransient(errno))
      event_add(WriteEvent, nullptr);
    else
      fail(StreamEnd::Reset);
    return;
  }
  Output.clear();
  Flushed = 0;
  if (Finishing)
    ::shutdown(Socket, SHUT_WR);
  Owner.flushed();
}

void ByteStream::readable() {
  char Buffer[ReadBytes];
  ssize_t Bytes = ::recv(Socket, Buffer, sizeof Buffer, 0);
  if (Bytes > 0) {
    Owner.received({Buffer, static_cast<size_t>(Bytes)});
    return;
  }
  if (Bytes < 0 && isTransient(errno))
    return;
  fail(Bytes == 0 ? StreamEnd::Finished : StreamEnd::Reset);
}

void ByteStream::fail(StreamEnd End) {
  event_del(ReadEvent);
  event_del(WriteEvent);
  Owner.ended(End);
}

StreamListener::StreamListener(Loop &TheLoop, const Address &Listen,
                               std::function<void(evutil_socket_t)> Accepted)
    : Accepted(std::move(Accepted)) {
  sockaddr_in Socket = Listen.socketAddress();
  Listener = evconnlistener_new_bind(
      TheLoop.base(),
      [](evconnlistener *, evutil_socket_t Descriptor, sockaddr *, int,
         void *Self) {
        static_cast<StreamListener *>(Self)->Accepted(Descriptor);
      },
      this, LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE | LEV_OPT_CLOSE_ON_EXEC,
      ListenBacklog, reinterpret_cast<sockaddr *>(&Socket), sizeof Socket);
}

StreamListener::~StreamListener() {
  if (Listener != nullptr)
    evconnlistener_free(Listener);
}

} // namespace cyclamenwind
