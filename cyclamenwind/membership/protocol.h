// MemberProtocol: the members' state machine. Messages, timers and the present
// time in; messages out. It knows no socket.
//
// Members probe each other (detector.h, monitors.h). Changes spread by gossip
// (rumours.h) and on probes and acks. Each probe and ack carries a digest of
// the sender's roster; where digests stay different, the records of the
// differing buckets are pulled, a bounded number at a time, which is also how a
// new member learns the roster. Gossip and repair have budgets of
// octets. Dead and left members are forgotten after a time; the addresses of
// dead ones are kept longer and tried now and then, so that two halves that
// were cut from each other find together again.

#ifndef CYCLAMENWIND_MEMBERSHIP_PROTOCOL_H
#define CYCLAMENWIND_MEMBERSHIP_PROTOCOL_H

#include "cyclamenwind/base/random.h"
#include "cyclamenwind/membership/budget.h"
#include "cyclamenwind/membership/detector.h"
#include "cyclamenwind/membership/endpoints.h"
#include "cyclamenwind/membership/gossip_queue.h"
#include "cyclamenwind/peer/frame.h"
#include "cyclamenwind/wire/gen-cpp/membership_types.h"

#include <deque>
#include <optional>
#include <utility>

namespace cyclamenwind {

// Period in which MemberProtocol::tick() is to be called.
constexpr Duration MemberTickPeriod = 50ms;

// Octets of records in a datagram, and on a probe or an ack.
constexpr size_t GossipBytes = MaxDatagramBytes - 16;
constexpr size_t PiggybackBytes = 300;
// Type octet, UDP and IP headers of a datagram.
constexpr size_t DatagramHeaderBytes = 29;
// Changes that are looked at for one datagram.
constexpr size_t MaxRumoursPerDatagram = 32;

struct ProtocolOptions {
  Duration GossipPeriod = 200ms;
  Duration ProbePeriod = 500ms;
  // Octets with the headers of their datagrams. Probes and acks need no budget:
  // their number is fixed.
  double GossipBytesPerSecond = 1200;
  double GossipBurst = 64 * 1024;
  double RepairBytesPerSecond = 400;
  double RepairBurst = 32 * 1024;
};

// A frame to send: as a datagram, or on the stream if it is too large.
struct Outgoing {
  Address To;
  FrameType Type;
  std::string Payload;
};

using Outbox = std::vector<Outgoing>;

class MemberProtocol {
public:
  MemberProtocol(const ProtocolOptions &Options, const Member &Self,
                 Random &Rng);

  const Member &self() const { return Self; }
  const MemberList &memberList() const { return Members; }
  const EndpointIndex &endpoints() const { return Index; }
  int healthScore() const { return Detector.healthScore(); }

  // Whether the roster has agreed with another member's since the start.
  bool joined() const { return Joined; }

  Outbox tick(TimePoint Now);
  Outbox receive(const Address &From, FrameType Type, std::string_view Payload,
                 TimePoint Now);

  // This member's own record has changed; others are told at once.
  Outbox publish(std::vector<ServiceInstance> Instances, TimePoint Now);

  // This member takes no more calls; others are told at once.
  Outbox leave(TimePoint Now);

  // Asks the daemons at Peers for their rosters.
  Outbox contact(const std::vector<Address> &Peers, TimePoint Now);

private:
  struct Suspicion {
    TimePoint DeadAt;
    TimePoint NextNotice;
    bool OwnAccusation = false;
  };

  // Events.
  void receiveGossip(std::string_view Payload, TimePoint Now);
  void receiveProbe(const Address &From, std::string_view Payload,
                    TimePoint Now);
  void receiveAck(const Address &From, std::string_view Payload, TimePoint Now);
  void receiveRequest(const Address &From, std::string_view Payload,
                      TimePoint Now);
  void receiveNack(std::string_view Payload);
  void receivePull(const Address &From, std::string_view Payload,
                   TimePoint Now);
  void receiveRecords(std::string_view Payload, TimePoint Now);

  // Records.
  void mergeAll(const std::vector<wire::MemberRecord> &Records, bool PassOn,
                TimePoint Now);
  void merge(const Member &Record, bool PassOn, TimePoint Now);
  void refute(const Member &Record, TimePoint Now);
  void replace(const Member &Record, bool PassOn, TimePoint Now);
  void stateChanged(const Member &Record, TimePoint Now);
  void publishSelf(size_t Fanout, TimePoint Now);
  void declare(const std::string &Id, MemberState State, TimePoint Now);

  // Parts of tick().
  void noticePause(TimePoint Now);
  void probe(TimePoint Now);
  void settleSuspicions(TimePoint Now);
  void forget(TimePoint Now);
  void gossip(TimePoint Now);
  void repair(TimePoint Now);
  void reconnect(TimePoint Now);

  void compareDigest(const Address &From, int64_t Digest, TimePoint Now);
  void pull(const Address &From);
  void perform(const DetectorActions &Actions, TimePoint Now);
  void spread(const Member &Record, size_t Fanout, TimePoint Now);
  void tellDirectly(const Member &Record, TimePoint Now);
  std::vector<wire::MemberRecord> rumoursWithin(size_t Bytes, TimePoint Now);
  std::vector<Address> helpers() const;
  std::vector<const Member *> randomOthers(size_t Count) const;
  void noteContact(const Address &From);
  Duration suspicionTime() const;
  template <typename T>
  void send(const Address &To, FrameType Type, const T &Message) {
    Out.push_back({To, Type, encodeMessage(Message)});
  }
  template <typename T>
  void sendOn(ByteBudget &Spent, const Address &To, FrameType Type,
              const T &Message) {
    send(To, Type, Message);
    Spent.spend(Out.back().Payload.size() + DatagramHeaderBytes);
  }
  Outbox taken() { return std::exchange(Out, {}); }

  ProtocolOptions Options;
  Member Self;
  Random &Rng;
  MemberList Members;
  EndpointIndex Index;
  GossipQueue Rumours;
  FailureDetector Detector;
  ByteBudget Budget;
  ByteBudget RepairBudget;
  Outbox Out;
  std::map<std::string, Suspicion> Suspicions;
  // When a member that left or died is forgotten.
  std::map<std::string, TimePoint> Retained;
  // Addresses of dead members that have been forgotten, newest last.
  std::deque<Address> FormerPeers;
  // The peers heard from last, newest first.
  std::deque<Address> Contacts;
  uint64_t WatchedEpoch = ~uint64_t(0);
  TimePoint NextWatch;
  std::optional<TimePoint> LastTick;
  TimePoint NextGossip;
  TimePoint NextRepair;
  TimePoint NextRandomPull;
  TimePoint NextReconnect;
  std::optional<TimePoint> DiffersSince;
  Address DiffersFrom;
  std::optional<TimePoint> JoinLimit;
  bool Joined = false;
};

} // namespace cyclamenwind

#endif
