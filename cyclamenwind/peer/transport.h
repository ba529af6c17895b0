// PeerTransport: frames to and from other daemons.
//
// One stream a pair of daemons carries frames in order while it lasts; it is
// opened on the first send. Datagrams are small and may be lost, doubled or
// reordered. Peers are named by the address they listen on for peers.

#ifndef CYCLAMENWIND_PEER_TRANSPORT_H
#define CYCLAMENWIND_PEER_TRANSPORT_H

#include "cyclamenwind/base/address.h"
#include "cyclamenwind/base/time.h"
#include "cyclamenwind/peer/frame.h"

#include <functional>
#include <vector>

namespace cyclamenwind {

// Handles a frame's payload from the peer at From.
using FrameHandler =
    std::function<void(const Address &From, std::string_view Payload)>;

// How a stream ended.
enum class PeerDisconnect {
  NeverConnected, // No frame sent on it has reached the peer.
  Lost,           // Frames sent on it may have reached the peer.
  Retired,        // Closed by agreement: all frames sent on it have arrived.
};

using PeerDisconnectHandler =
    std::function<void(const Address &Peer, PeerDisconnect End)>;

// Octets and frames of one type, for the control budget.
struct FrameCount {
  uint64_t Frames = 0;
  uint64_t Bytes = 0;
};

// A service named "peers".
class PeerTransport {
public:
  virtual ~PeerTransport() = default;

  // Registers the one handler of frames of Type.
  virtual void handle(FrameType Type, FrameHandler Handler) = 0;
  virtual void onPeerDisconnect(PeerDisconnectHandler Handler) = 0;

  // Sends on the stream to To.
  virtual void send(const Address &To, FrameType Type,
                    std::string_view Payload) = 0;

  // Sends one datagram; a payload above MaxDatagramBytes is dropped.
  virtual void sendDatagram(const Address &To, FrameType Type,
                            std::string_view Payload) = 0;

  // When something last came from To; the epoch if its stream is not up.
  virtual TimePoint lastReceived(const Address &To) const = 0;

  // Asks To for a sign of life on its stream.
  virtual void probe(const Address &To) = 0;

  // Ends the stream to To, which has gone silent; the next frame opens another.
  virtual void reconnect(const Address &To) = 0;

  // Whether To's stream has been up and heard from recently.
  virtual bool isConnected(const Address &To) const = 0;

  // Peers whose stream is up.
  virtual std::vector<Address> connectedPeers() const = 0;

  // What was sent of Type on streams and in datagrams since the start.
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
