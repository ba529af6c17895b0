// MemberFleet: instances of MemberProtocol on a FakeNetwork in virtual time.

#ifndef CYCLAMENWIND_TESTING_MEMBER_FLEET_H
#define CYCLAMENWIND_TESTING_MEMBER_FLEET_H

#include "cyclamenwind/membership/protocol.h"
#include "testing/fake_peers.h"
#include "testing/virtual_time.h"

namespace cyclamenwind::testing {

class MemberFleet {
public:
  // Size members in Domains failure domains, none of them started. Each member
  // has one local backend server, of one of 61 services.
  MemberFleet(size_t Size, size_t Domains, uint64_t Seed);

  VirtualTime Time;
  Random Rng;
  FakeNetwork Network;

  // Starts member I with a new incarnation; it joins through ContactsOnStart
  // random running members.
  void start(size_t I);
  // Starts all members with complete, equal member lists and runs for 3 s.
  void startConverged();
  void crash(size_t I);
  void leave(size_t I);
  // Pauses or resumes member I: its timers stop, and the network holds back the
  // frames sent to it.
  void pause(size_t I, bool Paused);
  // Cuts or restores the connections between the members of Domain and all
  // others.
  void cutDomain(size_t Domain, bool Cut);

  size_t size() const { return Nodes.size(); }
  size_t domainOf(size_t I) const { return I % Domains; }
  bool running(size_t I) const { return Nodes[I].Protocol != nullptr; }
  const MemberProtocol &protocol(size_t I) const { return *Nodes[I].Protocol; }
  std::string idOf(size_t I) const;
  static std::string serviceOf(size_t I);

  // Whether the member list of every running member holds exactly the running
  // members, all in state Alive, and all member lists agree.
  bool converged() const;
  // Number of running members whose member list holds Target in State.
  size_t countHolding(size_t Target, MemberState State) const;
  // Whether member I, which must be running, sends new calls to Target's
  // server.
  bool sendsNewCallsTo(size_t I, size_t Target) const;
  // Number of running members that still send new calls to Target's server.
  size_t countSendingTo(size_t Target) const;
  // Number of pairs of running members of which the first holds the second as
  // Dead.
  size_t falseDeadCount() const;

  // Advances the time until Condition holds. Returns how long that took, or
  // more than Limit if Condition did not hold by then.
  Duration runUntil(const std::function<bool()> &Condition, Duration Limit);

  // Frames that member I has sent since its first start, and their bytes
  // including the headers of the datagrams.
  FrameCount sent(size_t I) const;

private:
  struct Node {
    std::unique_ptr<FakePeers> Peers;
    std::unique_ptr<MemberProtocol> Protocol;
    TimerHandle Tick;
    FrameCount SentBefore; // Sent by earlier incarnations.
    int64_t Incarnation = 0;
  };

  Address addressOf(size_t I) const;
  void create(size_t I);
  void sendAll(size_t I, const Outbox &Messages);
  void scheduleTicks(size_t I);

  size_t Domains;
  std::vector<Node> Nodes;
};

} // namespace cyclamenwind::testing

#endif
