// TcpTransport: PeerTransport over TCP streams and UDP datagrams.
//
// Each side of a stream first sends a Hello with its listening address, so that
// both daemons of a pair can use the same stream. If both open a stream at the
// same time, the one opened by the lower address is kept. Streams carry
// heartbeats; a stream on which nothing is received for SilenceLimit, or that
// is not connected within ConnectTimeout, is closed. A process that was itself
// paused restarts these timeouts when it resumes, so that it first reads what
// arrived during the pause.
//
// A connection may stop working for good without an error, while new ones work.
// A stream is therefore probed by a heartbeat if nothing arrives within
// ProbeAfter of a sent frame, and closed if nothing arrives within ProbeLimit
// of the probe. Such a fault may concern many connections of a host: when a
// stream has been closed for this reason, all others that are quiet are probed
// at once.
//
// The periods and limits are options: a daemon that probes the peers from which
// it awaits responses needs only infrequent heartbeats.
//
// A redundant stream, or one without traffic other than heartbeats for
// IdleTimeout, is closed by a handshake: Goodbye, the peer's reply, then the
// close. No frame sent on it is lost, so this kind of close says nothing about
// the outcome of calls.

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
  // A heartbeat is sent on a stream on which nothing was received for this
  // long.
  Duration HeartbeatPeriod = 500ms;
  Duration SilenceLimit = 2s;
  Duration ConnectTimeout = 1s;
  // Time for the peer to send anything after a frame was sent to it. Nearly all
  // requests are answered sooner.
  Duration ProbeAfter = 250ms;
  // The same after a probe. A host whose processor is throttled may take 100 ms
  // to answer, one whose link is full about half a second.
  Duration ProbeLimit = 1s;
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

  // Sends large frames as Pacer permits, on streams opened from now on. Pacer
  // must outlive this transport.
  void paceWith(EgressPacer &ThePacer) { Pacer = &ThePacer; }

  // Charges frames to TheBudget, on streams opened from now on. TheBudget must
  // outlive this transport.
  void chargeTo(MemoryBudget &TheBudget) { Budget = &TheBudget; }

  // Bytes of frames that were not yet handed to the kernel.
  size_t unsentBytes() const;

  // Stops accepting streams and closes all open ones by handshake.
  void leave();
  // Number of open streams.
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

  bool listenForStreams();
  bool bindDatagramSocket();
  void onFrame(Link &From, FrameType Type, std::string_view Payload) override;
  void dropLink(Link &Closed) override;
  void handleHello(Link &From, std::string_view Payload);
  void sendHello(Link &To);
  void selectActiveLink(Link &From);
  void handleHeartbeat(Link &From, std::string_view Payload);
  void requestClose(Link &Retired);
  void handleGoodbye(Link &From, std::string_view Payload);
  void checkLinks(TimePoint Now);
  bool mustDrop(const Link &Candidate, TimePoint Now) const;
  // Whether a probe on the stream was not answered in time.
  bool isSilent(const Link &Candidate, TimePoint Now) const;
  void probeIfQuiet(Link &Candidate, TimePoint Now);
  void dropSilent(Link &Silent, TimePoint Now);
  void probeQuietLinks(TimePoint Now);
  void closeLink(Link &Closed, PeerDisconnect Reason);
  bool releaseIfIdle(Link &Candidate, TimePoint Now);
  template <typename T> void sendOn(Link &To, FrameType Type, const T &Message);
  void countSent(FrameType Type, size_t Bytes);
  void dispatch(const Address &From, FrameType Type, std::string_view Payload);
  Link &linkTo(const Address &To);
  void receiveDatagrams();
  static void onAccept(evconnlistener *, evutil_socket_t Descriptor, sockaddr *,
                       int, void *Self);
  static void onDatagramReadable(evutil_socket_t, short, void *Self);

  Loop &TheLoop;
  Address Self;
  PeerTimings Timings;
  EgressPacer *Pacer = nullptr;
  MemoryBudget *Budget = nullptr;
  evconnlistener *Listener = nullptr;
  evutil_socket_t DatagramSocket = -1;
  event *DatagramEvent = nullptr;
  std::array<FrameHandler, 256> Handlers;
  std::array<FrameCount, 256> SentCounts = {};
  std::vector<PeerDisconnectHandler> DisconnectHandlers;
  std::map<Link *, std::unique_ptr<Link>> Links;
  std::map<Address, Link *> ActiveLinks;
  std::map<const Link *, TimePoint> LastUsed;
  TimerHandle HeartbeatTimer;
  int64_t HeartbeatSequence = 0;
  int64_t Instance = 1;
  TimePoint LastCheck;
  TimePoint LastHeartbeat;
  // Timeouts are counted from here at the earliest: before it this process was
  // paused and did not read.
  TimePoint TimeoutsCountFrom;
  bool Leaving = false;
};

} // namespace cyclamenwind

#endif
