// Link: one stream to a peer over a non-blocking socket.
//
// Frames sent during one round of the event loop are written together at its
// end, with one system call. Received octets are parsed where they were read;
// only a frame that came in parts is copied.

#ifndef CYCLAMENWIND_PEER_LINK_H
#define CYCLAMENWIND_PEER_LINK_H

#include "cyclamenwind/base/loop.h"
#include "cyclamenwind/peer/transport.h"

struct evbuffer;

namespace cyclamenwind {

// What a Link reports to its owner. The owner may destroy the link in down().
class LinkOwner {
public:
  virtual ~LinkOwner() = default;
  virtual void frame(class Link &From, FrameType Type,
                     std::string_view Payload) = 0;
  virtual void down(class Link &Ended) = 0;
};

class Link {
public:
  // Connects to To.
  Link(Loop &TheLoop, LinkOwner &Owner, const Address &To);
  // Takes over an accepted socket.
  Link(Loop &TheLoop, LinkOwner &Owner, evutil_socket_t Accepted);
  ~Link();
  Link(const Link &) = delete;
  Link &operator=(const Link &) = delete;

  void send(FrameType Type, std::string_view Payload);

  // Octets that wait to be written.
  size_t backlog() const;

  TimePoint lastReceived() const { return LastReceived; }
  TimePoint created() const { return Created; }
  bool connected() const { return Connected; }

  // Whether this side opened the stream.
  bool outgoing() const { return Outgoing; }

  // The peer's listening address; unset on an accepted link before its Hello.
  std::optional<Address> Peer;
  // The peer's process; 0 before its Hello.
  int64_t PeerInstance = 0;

  // Steps of closing by agreement.
  enum class Farewell { None, Said, Answered };
  Farewell Leaving = Farewell::None;

private:
  void open(evutil_socket_t Descriptor);
  void beginConnecting(const Address &To);
  void connectionReady();
  void scheduleFlush();
  void flush();
  void readFrames();
  size_t parseFrames(std::string_view Octets);
  void fail();

  Loop &TheLoop;
  LinkOwner &Owner;
  evutil_socket_t Socket = -1;
  event *ReadEvent = nullptr;
  event *WriteEvent = nullptr;
  event *FlushEvent = nullptr;
  evbuffer *Output = nullptr;
  std::string Partial; // Octets of a frame that has not come whole.
  bool Connected = false;
  bool Outgoing = false;
  bool Failed = false;
  TimePoint Created;
  TimePoint LastReceived;
  std::shared_ptr<bool> Alive = std::make_shared<bool>(true);
};

} // namespace cyclamenwind

#endif
