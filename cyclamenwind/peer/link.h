// Link: one stream to a peer over a non-blocking socket.
//
// Frames sent during one iteration of the event loop are written together at
// its end, with one system call. Received bytes are parsed in the read buffer;
// only a frame that arrives in several reads is copied.

#ifndef CYCLAMENWIND_PEER_LINK_H
#define CYCLAMENWIND_PEER_LINK_H

#include "cyclamenwind/base/loop.h"
#include "cyclamenwind/peer/transport.h"

struct evbuffer;

namespace cyclamenwind {

// Callbacks of a Link to its owner.
class LinkOwner {
public:
  virtual ~LinkOwner() = default;
  virtual void onFrame(class Link &From, FrameType Type,
                       std::string_view Payload) = 0;
  // Called when the stream failed or was closed by the peer. The owner may
  // destroy the link in this call.
  virtual void dropLink(class Link &Closed) = 0;
};

class Link {
public:
  // Opens a connection to To.
  Link(Loop &TheLoop, LinkOwner &Owner, const Address &To);
  // Takes ownership of an accepted socket.
  Link(Loop &TheLoop, LinkOwner &Owner, evutil_socket_t Accepted);
  ~Link();
  Link(const Link &) = delete;
  Link &operator=(const Link &) = delete;

  void send(FrameType Type, std::string_view Payload);

  // Number of bytes not yet written to the socket.
  size_t backlog() const;

  TimePoint lastReceived() const { return LastReceived; }
  TimePoint created() const { return Created; }
  bool connected() const { return Connected; }

  // Whether this side opened the stream.
  bool outgoing() const { return Outgoing; }

  // The peer's listening address; unset on an accepted link before its Hello.
  std::optional<Address> Peer;
  // Identifies the peer's process; 0 before its Hello.
  int64_t PeerInstance = 0;

  // Progress of the close handshake. Requested: a Goodbye was sent. Agreed: its
  // reply was received, or the peer sent a Goodbye first.
  enum class ClosePhase { None, Requested, Agreed };
  ClosePhase Closing = ClosePhase::None;

private:
  void attachSocket(evutil_socket_t Descriptor);
  void startConnect(const Address &To);
  void onWritable();
  void scheduleFlush();
  void flush();
  void readFrames();
  size_t parseFrames(std::string_view Bytes);
  void fail();

  Loop &TheLoop;
  LinkOwner &Owner;
  evutil_socket_t Socket = -1;
  event *ReadEvent = nullptr;
  event *WriteEvent = nullptr;
  event *FlushEvent = nullptr;
  evbuffer *Output = nullptr;
  std::string PartialFrame; // Received bytes of an incomplete frame.
  bool Connected = false;
  bool Outgoing = false;
  bool ConnectFailed = false;
  TimePoint Created;
  TimePoint LastReceived;
  std::shared_ptr<bool> Alive = std::make_shared<bool>(true);
};

} // namespace cyclamenwind

#endif
