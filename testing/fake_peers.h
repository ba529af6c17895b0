// FakeNetwork: peer transports in virtual time, with faults.
//
// Streams keep their order per pair; datagrams may be lost, doubled and
// delayed. A pair can be cut, and a member paused: what is sent to it waits.

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
  double Spread = 1;      // Delay is uniform in [Delay, Delay * (1 + Spread)).
  double LoseShare = 0;   // Of datagrams.
  double DoubleShare = 0; // Of datagrams.

  // Stops or restores delivery between A and B; streams between them end.
  void cut(const Address &A, const Address &B, bool Cut);

  // Holds back delivery to a member while paused.
  void pause(const Address &Who, bool Paused);

  bool connected(const Address &A, const Address &B) const;

  // Sees each frame that is sent on a stream.
  std::function<void(const Address &From, const Address &To, FrameType Type,
                     const std::string &Payload)>
      OnStream;

  // Delivers a frame that From did not send now.
  void inject(const Address &From, const Address &To, FrameType Type,
              const std::string &Payload) {
    post({From, To, Type, Payload}, /*Datagram=*/true);
  }

private:
  friend class FakePeers;

  struct Parcel {
    Address From;
    Address To;
    FrameType Type;
    std::string Payload;
  };

  void post(Parcel Sent, bool Datagram);
  void deliver(const Parcel &Sent);
  void linkFailed(const Address &From, const Address &To, PeerDisconnect End);

  Scheduler &Timers;
  Clock &Time;
  Random &Rng;
  std::map<Address, FakePeers *> Members;
  std::set<std::pair<Address, Address>> Cuts;
  std::map<Address, std::vector<Parcel>> Paused;
  // When the last frame of a stream arrives, to keep the order.
  std::map<std::pair<Address, Address>, TimePoint> LastArrival;
  std::map<uint64_t, TimerHandle> Pending;
  uint64_t NextId = 0;
};

// One daemon's transport. Destroying it is the crash of the daemon.
class FakePeers final : public Service, public PeerTransport {
public:
  FakePeers(FakeNetwork &Network, const Address &Self);
  ~FakePeers() override;

  std::string_view name() const override { return "peers"; }
  void start(Kernel &) override {}

  // Peers that do not answer the opening of a stream, as a host without power.
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

  void count(FrameType Type, size_t Bytes);

  FakeNetwork &Network;
  Address Self;
  std::array<FrameHandler, 256> Handlers;
  std::array<FrameCount, 256> Counts = {};
  std::vector<PeerDisconnectHandler> DownHandlers;
};

} // namespace cyclamenwind::testing

#endif
