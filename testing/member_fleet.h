// MemberFleet: member state machines on a FakeNetwork in virtual time.

#ifndef CYCLAMENWIND_TESTING_MEMBER_FLEET_H
#define CYCLAMENWIND_TESTING_MEMBER_FLEET_H

#include "cyclamenwind/membership/protocol.h"
#include "testing/fake_peers.h"
#include "testing/virtual_time.h"

namespace cyclamenwind::testing {

class MemberFleet {
public:
  // Members of Domains failure domains, each beside one backend server of one
  // of 61 services, none of them started.
  MemberFleet(size_t Size, size_t Domains, uint64_t Seed);

  VirtualTime Time;
  Random Rng;
  FakeNetwork Network;

  // Starts I as a new incarnation that joins through a few others.
  void start(size_t I);
  // Starts all with a roster that already agrees, and lets them settle.
  void startTogether();
  void crash(size_t I);
  void leave(size_t I);
  // Holds back I's timers and what is sent to it.
  void pause(size_t I, bool Paused);
  // Cuts the members of Domain from all others.
  void cutDomain(size_t Domain, bool Cut);

  size_t size() const { return Nodes.size(); }
  size_t domainOf(size_t I) const { return I % Domains; }
  bool running(size_t I) const { return Nodes[I].Protocol != nullptr; }
  const MemberProtocol &protocol(size_t I) const { return *Nodes[I].Protocol; }
  std::string idOf(size_t I) const;
  static std::string serviceOf(size_t I);

  // Whether every running member knows exactly the running ones as alive.
  bool converged() const;
  // Running members that hold Who in State or, for Alive, as fit for new work.
  size_t holders(size_t Who, MemberState State) const;
  // Whether I, which runs, gives new work to Who.
  bool usedBy(size_t I, size_t Who) const;
  // Running members that still give new work to Who.
  size_t users(size_t Who) const;
  // Pairs of a running member and a running one that it holds dead.
  size_t falseDeaths() const;

  // Advances until Condition holds; the time it took, or Limit and more.
  Duration until(const std::function<bool()> &Condition, Duration Limit);

  // Sent by I since the start: datagrams, and octets with their headers.
  FrameCount sent(size_t I) const;

private:
  struct Node {
    std::unique_ptr<FakePeers> Peers;
    std::unique_ptr<MemberProtocol> Protocol;
    TimerHandle Tick;
    FrameCount Earlier; // Sent by earlier incarnations.
    int64_t Incarnation = 0;
  };

  Address addressOf(size_t I) const;
  void create(size_t I);
  void post(size_t I, const Outbox &Messages);
  void scheduleTicks(size_t I);

  size_t Domains;
  std::vector<Node> Nodes;
};

} // namespace cyclamenwind::testing

#endif
