// ByteStream: a non-blocking TCP connection as bytes.
//
// What is written during one round of the event loop goes out together at its
// end. Unacknowledged data or an unanswered connect ends the stream after
// SilenceLimit, through TCP_USER_TIMEOUT and keep-alive probes.

#ifndef CYCLAMENWIND_HTTP_BYTE_STREAM_H
#define CYCLAMENWIND_HTTP_BYTE_STREAM_H

#include "cyclamenwind/base/address.h"
#include "cyclamenwind/base/loop.h"

#include <memory>
#include <string>
#include <string_view>

struct evconnlistener;

namespace cyclamenwind {

enum class StreamEnd {
  Finished,      // The peer closed after all its bytes.
  Reset,         // The connection broke.
  ConnectFailed, // It never stood; nothing was sent.
};

// Receives what happens on a stream. Each function may destroy the stream.
class StreamOwner {
public:
  virtual ~StreamOwner() = default;
  virtual void connected() {}
  virtual void received(std::string_view Bytes) = 0;
  virtual void ended(StreamEnd End) = 0;
  // All that was written has been handed to the kernel.
  virtual void flushed() {}
};

class ByteStream {
public:
  // Connects to To.
  ByteStream(Loop &TheLoop, StreamOwner &Owner, const Address &To);
  // Takes over an accepted socket.
  ByteStream(Loop &TheLoop, StreamOwner &Owner, evutil_socket_t Accepted);
  ~ByteStream();
  ByteStream(const ByteStream &) = delete;
  ByteStream &operator=(const ByteStream &) = delete;

  void write(std::string_view Bytes);

  // Stops or resumes reading; bytes then stay in the kernel.
  void pauseReading();
  void resumeReading();

  // Host at the other end; empty if it is gone.
  std::string peerHost() const;

  // Bytes that wait for the kernel.
  size_t backlog() const { return Output.size() - Flushed; }

  // Whether any byte was handed to the kernel.
  bool sentAny() const { return SentAny; }

  // Closes so that what was written still arrives: sends FIN, and ended() is
  // called once the peer closes.
  void finish();

private:
  void open(evutil_socket_t Descriptor);
  void scheduleFlush();
  void flush();
  void writable();
  void readable();
  void fail(StreamEnd End);

  Loop &TheLoop;
  StreamOwner &Owner;
  evutil_socket_t Socket = -1;
  event *ReadEvent = nullptr;
  event *WriteEvent = nullptr;
  event *FlushEvent = nullptr;
  std::string Output;
  size_t Flushed = 0; // Octets of Output already written.
  bool Connected = false;
  bool SentAny = false;
  bool Finishing = false;
  bool FlushScheduled = false;
  std::shared_ptr<bool> Alive = std::make_shared<bool>(true);
};

// Accepts connections on one address.
class StreamListener {
public:
  // Error: the address is in use; ok() says so.
  StreamListener(Loop &TheLoop, const Address &Listen,
                 std::function<void(evutil_socket_t)> Accepted);
  ~StreamListener();
  StreamListener(const StreamListener &) = delete;
  StreamListener &operator=(const StreamListener &) = delete;

  bool ok() const { return Listener != nullptr; }

private:
  evconnlistener *Listener;
  std::function<void(evutil_socket_t)> Accepted;
};

} // namespace cyclamenwind

#endif
