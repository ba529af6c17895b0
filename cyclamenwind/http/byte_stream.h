// ByteStream: a non-blocking TCP connection that carries plain bytes.
//
// All writes of one event loop iteration are sent together at its end. The
// kernel closes the connection if data or a connect stays unacknowledged for
// UnacknowledgedTimeoutMs (TCP_USER_TIMEOUT), or if the peer's host does not
// acknowledge keep-alive probes. With an EgressPacer, more than one piece of
// unsent bytes is sent in turn with other large writes of the host.

#ifndef CYCLAMENWIND_HTTP_BYTE_STREAM_H
#define CYCLAMENWIND_HTTP_BYTE_STREAM_H

#include "cyclamenwind/base/address.h"
#include "cyclamenwind/base/egress_pacer.h"
#include "cyclamenwind/base/loop.h"

#include <memory>
#include <string>
#include <string_view>

struct evconnlistener;

namespace cyclamenwind {

enum class StreamCloseReason {
  PeerClosed,    // The peer closed; all its bytes were received.
  Reset,         // The connection failed.
  ConnectFailed, // Never established; nothing was sent.
};

// Receives the events of a stream. Each function may destroy the stream.
class StreamEventHandler {
public:
  virtual ~StreamEventHandler() = default;
  virtual void onConnected() {}
  virtual void onReceived(std::string_view Bytes) = 0;
  virtual void onClosed(StreamCloseReason Reason) = 0;
  // Called when all written bytes have been handed to the kernel.
  virtual void onFlushed() {}
};

class ByteStream final : private BulkWriter {
public:
  // Connects to To.
  ByteStream(Loop &TheLoop, StreamEventHandler &Handler, const Address &To);
  // Takes ownership of an accepted socket.
  ByteStream(Loop &TheLoop, StreamEventHandler &Handler,
             evutil_socket_t AcceptedSocket);
  ~ByteStream() override;
  ByteStream(const ByteStream &) = delete;
  ByteStream &operator=(const ByteStream &) = delete;

  // Sends large writes as ThePacer permits; it must outlive this stream.
  void paceWith(EgressPacer &ThePacer) { Pacer = &ThePacer; }

  void write(std::string_view Bytes);

  // Stops or resumes reading. While reading is paused, received bytes stay in
  // the kernel.
  void pauseReading();
  void resumeReading();

  // Limits the bytes that the kernel holds for this stream before they are read
  // to about Bytes.
  void limitReceiveBuffer(size_t Bytes);

  // Host of the peer; empty if the connection is closed.
  std::string peerHost() const;

  // Bytes written but not yet handed to the kernel.
  size_t unsentBytes() const { return Output.size() - SentBytes; }

  // Bytes of memory that the written bytes take here until all are sent.
  size_t outputMemory() const { return Output.empty() ? 0 : Output.capacity(); }

  // Whether written bytes wait because the peer does not take them.
  bool waitsForPeer() const;

  // Whether any byte was handed to the kernel.
  bool sentAny() const { return SentAny; }

  // Sends FIN after all written bytes, so that they still arrive. onClosed() is
  // called when the peer closes its side.
  void shutdownAfterFlush();

private:
  void initialize(evutil_socket_t Descriptor);
  void scheduleFlush();
  void flush();
  bool mustWaitForTurn() const;
  ssize_t sendBytes(size_t MaxBytes);
  size_t bytesLeft() const override { return unsentBytes(); }
  Written writePiece(size_t MaxBytes) override;
  void onWritable();
  void onReadable();
  void notifyClosed(StreamCloseReason Reason);

  Loop &TheLoop;
  StreamEventHandler &Handler;
  EgressPacer *Pacer = nullptr;
  evutil_socket_t Socket = -1;
  event *ReadEvent = nullptr;
  event *WriteEvent = nullptr;
  event *FlushEvent = nullptr;
  std::string Output;
  size_t SentBytes = 0; // Bytes of Output already handed to the kernel.
  bool Connected = false;
  bool SentAny = false;
  bool ShutdownPending = false;
  bool FlushScheduled = false;
  std::shared_ptr<bool> Alive = std::make_shared<bool>(true);
};

// Accepts connections on one address.
class StreamListener {
public:
  // If the address is in use, ok() returns false. The kernel holds at most
  // about ReceiveBufferBytes of an accepted connection before they are read; 0:
  // its own default, which is megabytes.
  StreamListener(Loop &TheLoop, const Address &Listen,
                 std::function<void(evutil_socket_t)> OnAccept,
                 size_t ReceiveBufferBytes = 0);
  ~StreamListener();
  StreamListener(const StreamListener &) = delete;
  StreamListener &operator=(const StreamListener &) = delete;

  bool ok() const { return Listener != nullptr; }

  // Stops or resumes accepting. Meanwhile connections wait in the kernel. Also
  // stops for AcceptErrorPause after accept() failed, as it does without free
  // descriptors.
  void pauseAccepting();
  void resumeAccepting();

private:
  void onAcceptError();

  evconnlistener *Listener;
  std::function<void(evutil_socket_t)> OnAccept;
  Loop &TheLoop;
  bool Paused = false;
  TimerHandle ErrorPause;
};

} // namespace cyclamenwind

#endif
