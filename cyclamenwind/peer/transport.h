// PeerTransport: sends frames to other daemons and receives theirs.
//
// Each pair of daemons shares one stream, which is opened on the first send and
// delivers frames in order until it closes. Datagrams are small and may be
// lost, duplicated or reordered. A peer is identified by the address on which
// it listens for peers.

#ifndef CYCLAMENWIND_PEER_TRANSPORT_H
#define CYCLAMENWIND_PEER_TRANSPORT_H

#include "cyclamenwind/base/address.h"
#include "cyclamenwind/base/time.h"
#include "cyclamenwind/peer/frame.h"

#include <functional>
#include <vector>

namespace cyclamenwind {

// Handles the payload of a frame received from the peer at From.
using FrameHandler =
    std::function<void(const Address &From, std::string_view Payload)>;

// How a stream was closed.
enum class PeerDisconnect {
  NeverConnected, // No frame sent on the stream reached the peer.
  Lost,           // Frames sent on the stream may have reached the peer.
  Silent,         // As Lost; the peer did not answer for too long.
  Retired,        // Closed by handshake: all frames sent on it were delivered.
};

using PeerDisconnectHandler =
    std::function<void(const Address &Peer, PeerDisconnect Reason)>;

// Number of frames of one type and of their bytes, to check the budget for
// control traffic.
struct FrameCount {
  uint64_t Frames = 0;
  uint64_t Bytes = 0;
};

// A service named "peers".
class PeerTransport {
public:
  virtual ~PeerTransport() = default;

  // Registers the handler of frames of Type; there is one per type.
  virtual void handle(FrameType Type, FrameHandler Handler) = 0;

  // Adds a handler; all handlers are called when a stream to a peer closes.
  virtual void onPeerDisconnect(PeerDisconnectHandler Handler) = 0;

  // Sends a frame on the stream to To.
  virtual void send(const Address &To, FrameType Type,
                    std::string_view Payload) = 0;

  // Sends one datagram; a payload above MaxDatagramBytes is dropped.
  virtual void sendDatagram(const Address &To, FrameType Type,
                            std::string_view Payload) = 0;

  // When data was last received from To, or when the stream to To was opened or
  // connected if none was received yet; TimePoint() if there is no stream to
  // To.
  virtual TimePoint lastReceived(const Address &To) const = 0;

  // Sends a heartbeat on the stream to To, which To answers.
  virtual void probe(const Address &To) = 0;

  // Closes the stream to To, which is unresponsive; the next frame opens a new
  // one.
  virtual void reconnect(const Address &To) = 0;

  // Whether the stream to To is connected. An unresponsive stream counts as
  // connected until its timeout closes it.
  virtual bool isConnected(const Address &To) const = 0;

  // Peers whose stream is connected.
  virtual std::vector<Address> connectedPeers() const = 0;

  // Frames of Type sent on streams and in datagrams since construction.
  virtual FrameCount sent(FrameType Type) const = 0;

  // This daemon's own address for peers.
  virtual const Address &self() const = 0;

  template <typename T>
  void sendMessage(const Address &To, FrameType Type, const T &Message) {
    send(To, Type, encodeMessage(Message));
  }
};

} // namespace cyclamenwind

#endif
