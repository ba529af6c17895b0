#include "cyclamenwind/http/byte_stream.h"

#include "cyclamenwind/base/log.h"

#include <algorithm>
#include <cerrno>
#include <cstring>

#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <event2/listener.h>

namespace cyclamenwind {
namespace {

constexpr size_t ReadBytes = 32 * 1024;
// Longer than the first retransmissions of a lost segment, shorter than a
// caller's deadline.
constexpr int UnacknowledgedTimeoutMs = 2500;
constexpr int KeepAliveIdleSeconds = 2;
constexpr int KeepAliveProbes = 2;
constexpr int ListenBacklog = 1024;
// Without it, accept() would fail without end as long as no descriptor is free.
constexpr Duration AcceptErrorPause = 100ms;
// A buffer of sent bytes above this size is freed: connections are kept open
// after a large message, and many would add up.
constexpr size_t KeptOutputBytes = 4096;

void setOption(evutil_socket_t Socket, int Level, int Name, int Value) {
  if (setsockopt(Socket, Level, Name, &Value, sizeof Value) != 0)
    logWarning("socket_option_failed",
               {{"option", Name}, {"error", std::strerror(errno)}});
}

bool isTransient(int Error) {
  return Error == EAGAIN || Error == EWOULDBLOCK || Error == EINTR;
}

} // namespace

ByteStream::ByteStream(Loop &TheLoop, StreamEventHandler &Handler,
                       const Address &To)
    : TheLoop(TheLoop), Handler(Handler) {
  initialize(::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
  sockaddr_in PeerAddress = To.socketAddress();
  if (Socket >= 0 &&
      (::connect(Socket, reinterpret_cast<sockaddr *>(&PeerAddress),
                 sizeof PeerAddress) == 0 ||
       errno == EINPROGRESS)) {
    event_add(WriteEvent, nullptr);
    return;
  }
  logWarning("connect_failed",
             {{"to", To.text()}, {"error", std::strerror(errno)}});
  TheLoop.defer([this, StillAlive = Alive] {
    if (*StillAlive)
      notifyClosed(StreamCloseReason::ConnectFailed);
  });
}

ByteStream::ByteStream(Loop &TheLoop, StreamEventHandler &Handler,
                       evutil_socket_t AcceptedSocket)
    : TheLoop(TheLoop), Handler(Handler), Connected(true) {
  initialize(AcceptedSocket);
  event_add(ReadEvent, nullptr);
}

ByteStream::~ByteStream() {
  *Alive = false;
  if (Pacer != nullptr)
    Pacer->remove(*this);
  event_free(ReadEvent);
  event_free(WriteEvent);
  event_free(FlushEvent);
  if (Socket >= 0)
    ::close(Socket);
}

void ByteStream::initialize(evutil_socket_t Descriptor) {
  Socket = Descriptor;
  if (Socket >= 0) {
    setOption(Socket, IPPROTO_TCP, TCP_NODELAY, 1);
    setOption(Socket, IPPROTO_TCP, TCP_USER_TIMEOUT, UnacknowledgedTimeoutMs);
    setOption(Socket, SOL_SOCKET, SO_KEEPALIVE, 1);
    setOption(Socket, IPPROTO_TCP, TCP_KEEPIDLE, KeepAliveIdleSeconds);
    setOption(Socket, IPPROTO_TCP, TCP_KEEPINTVL, 1);
    setOption(Socket, IPPROTO_TCP, TCP_KEEPCNT, KeepAliveProbes);
  }
  event_base *Base = TheLoop.base();
  ReadEvent = event_new(
      Base, Socket, EV_READ | EV_PERSIST,
      [](int, short, void *Self) {
        static_cast<ByteStream *>(Self)->onReadable();
      },
      this);
  WriteEvent = event_new(
      Base, Socket, EV_WRITE,
      [](int, short, void *Self) {
        static_cast<ByteStream *>(Self)->onWritable();
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

bool ByteStream::waitsForPeer() const {
  return event_pending(WriteEvent, EV_WRITE, nullptr) != 0;
}

// The kernel doubles the value, for its own data.
void ByteStream::limitReceiveBuffer(size_t Bytes) {
  setOption(Socket, SOL_SOCKET, SO_RCVBUF, static_cast<int>(Bytes));
}

void ByteStream::shutdownAfterFlush() {
  ShutdownPending = true;
  scheduleFlush();
}

void ByteStream::scheduleFlush() {
  if (!Connected || FlushScheduled ||
      event_pending(WriteEvent, EV_WRITE, nullptr) != 0)
    return;
  FlushScheduled = true;
  event_active(FlushEvent, EV_TIMEOUT, 0);
}

// Either the connect has completed or the send buffer has room again.
void ByteStream::onWritable() {
  if (!Connected) {
    int Error = 0;
    socklen_t Length = sizeof Error;
    getsockopt(Socket, SOL_SOCKET, SO_ERROR, &Error, &Length);
    if (Error != 0) {
      notifyClosed(StreamCloseReason::ConnectFailed);
      return;
    }
    Connected = true;
    event_add(ReadEvent, nullptr);
    std::shared_ptr<bool> StillAlive = Alive;
    Handler.onConnected();
    if (!*StillAlive)
      return;
  }
  flush();
}

bool ByteStream::mustWaitForTurn() const {
  return Pacer != nullptr && unsentBytes() > Pacer->pieceBytes();
}

// Sends at most MaxBytes of the unsent bytes; returns the result of send().
ssize_t ByteStream::sendBytes(size_t MaxBytes) {
  ssize_t Sent = ::send(Socket, Output.data() + SentBytes,
                        std::min(MaxBytes, unsentBytes()), MSG_NOSIGNAL);
  if (Sent > 0) {
    SentAny = true;
    SentBytes += static_cast<size_t>(Sent);
  }
  return Sent;
}

// The rest that fits into one piece, and errors, are left to flush(): its
// handlers may destroy the stream.
BulkWriter::Written ByteStream::writePiece(size_t MaxBytes) {
  if (!mustWaitForTurn() || event_pending(WriteEvent, EV_WRITE, nullptr) != 0)
    return {};
  ssize_t Sent = sendBytes(MaxBytes);
  if (Sent > 0 && mustWaitForTurn())
    return {static_cast<size_t>(Sent), true, false};
  if (Sent < 0 && isTransient(errno))
    event_add(WriteEvent, nullptr);
  else
    scheduleFlush();
  return {static_cast<size_t>(std::max<ssize_t>(Sent, 0)), false, false};
}

void ByteStream::flush() {
  while (SentBytes < Output.size()) {
    if (mustWaitForTurn()) {
      Pacer->add(*this);
      return;
    }
    ssize_t Written = sendBytes(unsentBytes());
    if (Written > 0) {
      if (Pacer != nullptr)
        Pacer->charge(static_cast<size_t>(Written));
      continue;
    }
    if (Written < 0 && isTransient(errno))
      event_add(WriteEvent, nullptr);
    else
      notifyClosed(StreamCloseReason::Reset);
    return;
  }
  Output.clear();
  if (Output.capacity() > KeptOutputBytes)
    Output.shrink_to_fit();
  SentBytes = 0;
  if (ShutdownPending)
    ::shutdown(Socket, SHUT_WR);
  Handler.onFlushed();
}

void ByteStream::onReadable() {
  char Buffer[ReadBytes];
  ssize_t Count = ::recv(Socket, Buffer, sizeof Buffer, 0);
  if (Count > 0) {
    Handler.onReceived({Buffer, static_cast<size_t>(Count)});
    return;
  }
  if (Count < 0 && isTransient(errno))
    return;
  notifyClosed(Count == 0 ? StreamCloseReason::PeerClosed
                          : StreamCloseReason::Reset);
}

void ByteStream::notifyClosed(StreamCloseReason Reason) {
  event_del(ReadEvent);
  event_del(WriteEvent);
  if (Pacer != nullptr)
    Pacer->remove(*this);
  Handler.onClosed(Reason);
}

StreamListener::StreamListener(Loop &TheLoop, const Address &Listen,
                               std::function<void(evutil_socket_t)> OnAccept,
                               size_t ReceiveBufferBytes)
    : OnAccept(std::move(OnAccept)), TheLoop(TheLoop) {
  sockaddr_in ListenAddress = Listen.socketAddress();
  Listener = evconnlistener_new_bind(
      TheLoop.base(),
      [](evconnlistener *, evutil_socket_t Descriptor, sockaddr *, int,
         void *Self) {
        static_cast<StreamListener *>(Self)->OnAccept(Descriptor);
      },
      this, LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE | LEV_OPT_CLOSE_ON_EXEC,
      ListenBacklog, reinterpret_cast<sockaddr *>(&ListenAddress),
      sizeof ListenAddress);
  if (Listener == nullptr)
    return;
  // Accepted sockets inherit the size; set later, it would be too late for the
  // window that the first segments announce.
  if (ReceiveBufferBytes > 0)
    setOption(evconnlistener_get_fd(Listener), SOL_SOCKET, SO_RCVBUF,
              static_cast<int>(ReceiveBufferBytes));
  evconnlistener_set_error_cb(Listener, [](evconnlistener *, void *Self) {
    static_cast<StreamListener *>(Self)->onAcceptError();
  });
}

void StreamListener::pauseAccepting() {
  Paused = true;
  if (Listener != nullptr)
    evconnlistener_disable(Listener);
}

void StreamListener::resumeAccepting() {
  Paused = false;
  if (Listener != nullptr && !ErrorPause)
    evconnlistener_enable(Listener);
}

void StreamListener::onAcceptError() {
  logWarning("accept_failed", {{"error", std::strerror(errno)}});
  evconnlistener_disable(Listener);
  ErrorPause = TheLoop.after(AcceptErrorPause, [this] {
    TimerHandle Fired = std::move(ErrorPause);
    if (!Paused)
      evconnlistener_enable(Listener);
  });
}

StreamListener::~StreamListener() {
  if (Listener != nullptr)
    evconnlistener_free(Listener);
}

} // namespace cyclamenwind
