// FakeNetwork: peer transports in virtual time, with fault injection.
//
// Frames on a stream are delivered in order per direction of a pair; datagrams
// may be lost, duplicated and reordered. A pair of members can be partitioned,
// and a member paused: frames to a paused member are held back.

#ifndef CYCLAMENWIND_TESTING_FAKE_PEERS_H
#define CYCLAMENWIND_TESTING_FAKE_PEERS_H

#include "cyclamenwind/base/kernel.h"
#include "cyclamenwind/peer/transport.h"

#include <array>
#include <set>
#include <vector>

namespace cyclamenwind::testing {

class FakePeers;

class FakeNetwork {
public:
  FakeNetwork(Scheduler &Timers, Clock &Time, Random &Rng)
      : Timers(Timers), Time(Time), Rng(Rng) {}

  Duration Delay = 1ms;
  double Spread = 1; // Delay is uniform in [Delay, Delay * (1 + Spread)).
  // Rate of each member's incoming link, which delivers frames of all streams
  // in the order in which they were sent; 0 for links that take no time.
  double LinkBytesPerSecond = 0;
  double LossRate = 0;        // Fraction of datagrams that are lost.
  double DuplicationRate = 0; // Fraction of datagrams that are sent twice.

  // Partitions A and B, which closes the streams between them, or ends the
  // partition.
  void cut(const Address &A, const Address &B, bool Cut);

  // Loses all frames between A and B from now on; neither is told.
  void silence(const Address &A, const Address &B);

  // Closes all streams that were silenced and reports that to both sides; new
  // streams work.
  void closeSilentStreams();

  // Pauses a member, which holds back frames to it, or resumes it, which
  // delivers them.
  void pause(const Address &Member, bool Pause);

  // Whether B exists and is not partitioned from A.
  bool connected(const Address &A, const Address &B) const;

  // Called with each frame sent on a stream.
  std::function<void(const Address &From, const Address &To, FrameType Type,
                     const std::string &Payload)>
      OnStream;

  // Delivers a frame as if From had sent it as a datagram.
  void inject(const Address &From, const Address &To, FrameType Type,
              const std::string &Payload) {
    transmit({From, To, Type, Payload}, /*Datagram=*/true);
  }

private:
  friend class FakePeers;

  struct InFlightFrame {
    Address From;
    Address To;
    FrameType Type;
    std::string Payload;
  };

  void transmit(InFlightFrame Frame, bool Datagram);
  void deliver(const InFlightFrame &Frame);
  void reportDisconnect(const Address &From, const Address &To,
                        PeerDisconnect Reason);

  Scheduler &Timers;
  Clock &Time;
  Random &Rng;
  std::map<Address, FakePeers *> Transports;
  std::set<std::pair<Address, Address>> Partitions;
  // Pairs whose frames are lost, and since when.
  std::map<std::pair<Address, Address>, TimePoint> Silenced;
  std::map<Address, std::vector<InFlightFrame>> Paused;
  // Arrival time of the last frame sent on each stream, by direction; a later
  // frame never arrives before it.
  std::map<std::pair<Address, Address>, TimePoint> LastArrival;
  std::map<Address, TimePoint> LinkFreeAt; // Of each member's incoming link.
  std::map<uint64_t, TimerHandle> Pending;
  uint64_t NextTimerId = 0;
};

// The transport of one daemon. Destroying it simulates a crash of the daemon.
class FakePeers final : public Service, public PeerTransport {
public:
  FakePeers(FakeNetwork &Network, const Address &Self);
  ~FakePeers() override;

  std::string_view name() const override { return "peers"; }
  void start(Kernel &) override {}

  // Peers that do not answer connection attempts, like a host without power.
  std::set<Address> Unanswering;

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
  friend class FakeNetwork;

  void countSent(FrameType Type, size_t Bytes);

  FakeNetwork &Network;
  Address Self;
  std::array<FrameHandler, 256> Handlers;
  std::array<FrameCount, 256> SentCounts = {};
  std::vector<PeerDisconnectHandler> DisconnectHandlers;
};

} // namespace cyclamenwind::testing

#endif
