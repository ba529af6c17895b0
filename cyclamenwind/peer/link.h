// Link: one stream to a peer over a non-blocking socket.
//
// Frames sent during one iteration of the event loop are written together at
// its end, with one system call. Received bytes are parsed in the read buffer;
// only a frame that arrives in several reads is copied.
//
// With an EgressPacer, a large frame of a type that later frames may overtake
// is sent as Fragment frames, each when the pacer gives the link a turn; other
// frames, other than a Goodbye, are sent between them. The payload of a
// Fragment is a byte that tells whether it is the last of its frame, then a
// part of that frame, beginning with its type byte. The fragments of one frame
// are not mixed with those of others.
//
// With a MemoryBudget, frames that are received in part or not sent yet are
// charged to it. While there is no room for a large frame, the link reads one
// buffer per MemoryPause (link.cpp), so that the peer has to hold back, and
// sends a heartbeat's answer each time, so that it does not count as silent.

#ifndef CYCLAMENWIND_PEER_LINK_H
#define CYCLAMENWIND_PEER_LINK_H

#include "cyclamenwind/base/egress_pacer.h"
#include "cyclamenwind/base/loop.h"
#include "cyclamenwind/base/memory_budget.h"
#include "cyclamenwind/peer/transport.h"

#include <deque>

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

class Link final : private BulkWriter {
public:
  // Opens a connection to To. Pacer may be null.
  Link(Loop &TheLoop, LinkOwner &Owner, EgressPacer *Pacer, const Address &To);
  // Takes ownership of an accepted socket. Pacer may be null.
  Link(Loop &TheLoop, LinkOwner &Owner, EgressPacer *Pacer,
       evutil_socket_t Accepted);
  ~Link() override;
  Link(const Link &) = delete;
  Link &operator=(const Link &) = delete;

  // Charges frames to Budget, which must outlive this link.
  void chargeTo(MemoryBudget &Budget);

  // ExpectsAnswer: the peer sends something in return, at least when probed.
  void send(FrameType Type, std::string_view Payload,
            bool ExpectsAnswer = true);

  // Number of bytes not yet written to the socket.
  size_t backlog() const;

  TimePoint lastReceived() const { return LastReceived; }
  TimePoint created() const { return Created; }
  bool connected() const { return Connected; }

  // When the first frame was sent after which nothing has been received;
  // nothing if there is none. Answers to heartbeats do not count: the peer
  // sends nothing in return.
  std::optional<TimePoint> awaitingSince() const { return AwaitingSince; }
  // Counts that time from Start at the earliest.
  void restartAwaiting(TimePoint Start) {
    if (AwaitingSince)
      AwaitingSince = std::max(*AwaitingSince, Start);
  }

  // Whether this side opened the stream.
  bool outgoing() const { return Outgoing; }

  // The peer's listening address; unset on an accepted link before its Hello.
  std::optional<Address> Peer;
  // Identifies the peer's process; 0 before its Hello.
  int64_t PeerInstance = 0;

  // When a heartbeat was sent to find out whether the peer still answers; unset
  // when something was received since.
  std::optional<TimePoint> ProbedAt;

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
  bool waitsForBufferSpace() const;
  void addFrame(FrameType Type, std::string_view Prefix,
                std::string_view Payload);
  void resumeBulkFrames();
  size_t bytesLeft() const override;
  Written writePiece(size_t MaxBytes) override;
  void readFrames();
  void updateCharge();
  void pauseIfMemoryShort();
  size_t parseFrames(std::string_view Bytes);
  bool receiveFragment(std::string_view Payload);
  void fail();

  Loop &TheLoop;
  LinkOwner &Owner;
  EgressPacer *Pacer;
  evutil_socket_t Socket = -1;
  event *ReadEvent = nullptr;
  event *WriteEvent = nullptr;
  event *FlushEvent = nullptr;
  evbuffer *Output = nullptr;
  std::deque<std::string> BulkFrames; // Type byte and payload of each.
  size_t BulkSent = 0;                // Bytes of the first bulk frame sent.
  std::string PartialFrame;           // Received bytes of an incomplete frame.
  std::string Fragments; // Received part of a frame sent in fragments.
  MemoryCharge Charge;
  TimerHandle MemoryTimer; // Set while reading is paused.
  bool Connected = false;
  bool Outgoing = false;
  bool ConnectFailed = false;
  TimePoint Created;
  TimePoint LastReceived;
  std::optional<TimePoint> AwaitingSince;
  std::shared_ptr<bool> Alive = std::make_shared<bool>(true);
};

} // namespace cyclamenwind

#endif
