// TcpTransport: PeerTransport over TCP streams and UDP datagrams.
//
// Each stream begins with a Hello in both directions that names the sender's
// listening address, so that both directions of a pair share a stream. When a
// pair opens two streams at once, the one opened by the lower address stays.
// Streams carry heartbeats; one that is silent for SilenceLimit, or does not
// connect within ConnectLimit, is ended. A process that has itself been paused
// accuses no one before it has read what came meanwhile.
//
// Periods and limits are options: a daemon that probes peers whose answers it
// waits for can do with rare heartbeats.
//
// A stream that is surplus, or without other traffic for IdleLimit, is closed
// by agreement: Goodbye, the peer's reply, then the close. Nothing sent on it
// is lost, so its end is no evidence about calls.

#ifndef CYCLAMENWIND_PEER_TCP_TRANSPORT_H
#define CYCLAMENWIND_PEER_TCP_TRANSPORT_H

#include "cyclamenwind/base/kernel.h"
#include "cyclamenwind/peer/link.h"

#include <array>
#include <map>
#include <vector>

struct evconnlistener;

namespace cyclamenwind {

enum class PeerTransportError { AddressInUse };

struct PeerTimings {
  // A stream on which nothing was heard for this long gets a heartbeat.
  Duration HeartbeatPeriod = 500ms;
  Duration SilenceLimit = 2s;
  Duration ConnectLimit = 1s;
};

class TcpTransport final : public PeerTransport,
                           public Service,
                           private LinkOwner {
public:
  static Result<std::unique_ptr<TcpTransport>, PeerTransportError>
  listen(Loop &TheLoop, const Address &Self, const PeerTimings &Timings = {});

  ~TcpTransport() override;

  std::string_view name() const override { return "peers"; }
  void start(Kernel &TheKernel) override;

  // Accepts no further streams and closes all by agreement.
  void leave();
  // Streams still open.
  size_t links() const { return Links.size(); }

  void handle(FrameType Type, FrameHandler Handler) override;
  void onPeerDisconnect(PeerDisconnectHandler Handler) override;
  void send(const Address &To, FrameType Type,
            std::string_view Payload) override;
  void sendDatagram(const Address &To, FrameType Type,
                    std::string_view Payload) override;
  TimePoint lastReceived(const Address &To) const override;
  void probe(const Address &To) override;
  void reconnect(const Address &To) override;
  bool isConnected(const Address &To) const override;
  std::vector<Address> connectedPeers() const override;
  FrameCount sent(FrameType Type) const override;
  const Address &self() const override { return Self; }

private:
  TcpTransport(Loop &TheLoop, const Address &Self, const PeerTimings &Timings);

  bool bindStream();
  bool bindDatagrams();
  void frame(Link &From, FrameType Type, std::string_view Payload) override;
  void down(Link &Ended) override;
  void greet(Link &From, std::string_view Payload);
  void greetBack(Link &To);
  void adopt(Link &From);
  void answerHeartbeat(Link &From, std::string_view Payload);
  void retire(Link &Surplus);
  void answerGoodbye(Link &From, std::string_view Payload);
  void checkLinks(TimePoint Now);
  bool finished(const Link &Checked, TimePoint Now) const;
  bool idle(Link &Checked, TimePoint Now);
  template <typename T> void sendOn(Link &To, FrameType Type, const T &Message);
  void count(FrameType Type, size_t Bytes);
  void dispatch(const Address &From, FrameType Type, std::string_view Payload);
  Link &linkTo(const Address &To);
  void receiveDatagrams();
  static void accepted(evconnlistener *, evutil_socket_t Descriptor, sockaddr *,
                       int, void *Self);
  static void datagramReadable(evutil_socket_t, short, void *Self);

  Loop &TheLoop;
  Address Self;
  PeerTimings Timings;
  evconnlistener *Listener = nullptr;
  evutil_socket_t Datagrams = -1;
  event *DatagramEvent = nullptr;
  std::array<FrameHandler, 256> Handlers;
  std::array<FrameCount, 256> Counts = {};
  std::vector<PeerDisconnectHandler> DownHandlers;
  std::map<Link *, std::unique_ptr<Link>> Links;
  std::map<Address, Link *> ByPeer;
  std::map<const Link *, TimePoint> LastUsed;
  TimerHandle HeartbeatTimer;
  int64_t HeartbeatSequence = 0;
  int64_t Instance = 1;
  TimePoint LastCheck;
  TimePoint TrustedFrom; // Silence before this may be this process's own.
  bool Leaving = false;
};

} // namespace cyclamenwind

#endif
