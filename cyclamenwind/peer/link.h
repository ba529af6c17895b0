// Link: one stream to a peer over a bufferevent.

#ifndef CYCLAMENWIND_PEER_LINK_H
#define CYCLAMENWIND_PEER_LINK_H

#include "cyclamenwind/base/loop.h"
#include "cyclamenwind/peer/transport.h"

struct bufferevent;

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

  TimePoint lastHeard() const { return LastHeard; }
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
  void readFrames();
  static void readable(bufferevent *, void *Self);
  static void eventSeen(bufferevent *, short What, void *Self);

  Loop &TheLoop;
  LinkOwner &Owner;
  bufferevent *Stream = nullptr;
  bool Connected = false;
  bool Outgoing = false;
  TimePoint Created;
  TimePoint LastHeard;
  std::shared_ptr<bool> Alive = std::make_shared<bool>(true);
};

} // namespace cyclamenwind

#endif
