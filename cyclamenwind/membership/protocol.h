// MemberProtocol: the state machine of the membership. Its input is messages,
// timer ticks and the current time, its output messages to send; it uses no
// sockets and reads no clock.
//
// Members probe each other (detector.h, monitors.h). Changed records spread by
// gossip (gossip_queue.h) and on probes and acks. Each probe and ack carries a
// digest of the sender's member list. If digests differ for RepairDelay, the
// member pulls the records of the buckets that differ, a bounded number at a
// time (anti-entropy repair); a new member obtains the member list in the same
// way. Gossip and repair each have a byte budget. Left members are forgotten
// after LeftRetention and dead ones after DeadRetention. The addresses of up to
// MaxForgottenPeers dead members are kept longer, and every DeadContactPeriod
// one dead or forgotten member is contacted, so that the two sides of a network
// partition find each other again. The constants are in protocol.cpp and
// protocol_timers.cpp.

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

// Period in which MemberProtocol::tick() must be called.
constexpr Duration MemberTickPeriod = 50ms;

// Maximum size of the records in a gossip datagram, and in a probe or an ack.
constexpr size_t GossipBytes = MaxDatagramBytes - 16;
constexpr size_t PiggybackBytes = 300;
// Type byte, UDP and IP headers of a datagram.
constexpr size_t DatagramHeaderBytes = 29;
// Pending records considered for one datagram.
constexpr size_t MaxRecordsPerDatagram = 32;

struct ProtocolOptions {
  Duration GossipPeriod = 200ms;
  Duration ProbePeriod = 500ms;
  // Bytes including the headers of the datagrams. Probes and acks need no
  // budget, since their number per period is fixed.
  double GossipBytesPerSecond = 1200;
  double GossipBurst = 64 * 1024;
  double RepairBytesPerSecond = 400;
  double RepairBurst = 32 * 1024;
};

// A frame to send: as a datagram, or on a stream if it exceeds
// MaxDatagramBytes.
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

  // Whether this member has finished learning the member list: its digest was
  // equal to that of another member at least once since the start, or
  // JoinTimeout has passed.
  bool joined() const { return Joined; }

  Outbox tick(TimePoint Now);
  Outbox receive(const Address &From, FrameType Type, std::string_view Payload,
                 TimePoint Now);

  // Replaces the instances in this member's own record and sends the record to
  // other members at once.
  Outbox publish(std::vector<ServiceInstance> Instances, TimePoint Now);

  // This member accepts no more calls; sends its record to others at once.
  Outbox leave(TimePoint Now);

  // Pulls the member lists of the daemons at Peers.
  Outbox contact(const std::vector<Address> &Peers, TimePoint Now);

private:
  struct Suspicion {
    TimePoint DeadAt;
    TimePoint NextNotification;
    bool RaisedLocally = false;
  };

  // Handlers of received frames.
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

  // Changes of records. With Propagate set, the record is queued for gossip.
  void mergeAll(const std::vector<wire::MemberRecord> &Records, bool Propagate,
                TimePoint Now);
  void merge(const Member &Record, bool Propagate, TimePoint Now);
  void refute(const Member &Record, TimePoint Now);
  void applyRecord(const Member &Record, bool Propagate, TimePoint Now);
  void onStateChanged(const Member &Record, TimePoint Now);
  void publishSelf(size_t Fanout, TimePoint Now);
  void worsenState(const std::string &Id, MemberState State, TimePoint Now);

  // Parts of tick().
  void detectPause(TimePoint Now);
  void probe(TimePoint Now);
  void expireSuspicions(TimePoint Now);
  void forgetExpired(TimePoint Now);
  void gossip(TimePoint Now);
  void repair(TimePoint Now);
  void contactDeadMember(TimePoint Now);

  void compareDigest(const Address &From, int64_t Digest, TimePoint Now);
  void pull(const Address &Peer);
  void perform(const DetectorActions &Actions, TimePoint Now);
  void sendToRandom(const Member &Record, size_t Fanout, TimePoint Now);
  void sendToSubject(const Member &Record, TimePoint Now);
  std::vector<wire::MemberRecord> takeGossipRecords(size_t Bytes,
                                                    TimePoint Now);
  std::vector<Address> helpers() const;
  std::vector<const Member *> randomOthers(size_t Count) const;
  void recordPeer(const Address &From);
  Duration suspicionTimeout() const;
  template <typename T>
  void send(const Address &To, FrameType Type, const T &Message) {
    Out.push_back({To, Type, encodeMessage(Message)});
  }
  template <typename T>
  void sendCharged(ByteBudget &Budget, const Address &To, FrameType Type,
                   const T &Message) {
    send(To, Type, Message);
    Budget.spend(Out.back().Payload.size() + DatagramHeaderBytes);
  }
  Outbox takeOutbox() { return std::exchange(Out, {}); }

  ProtocolOptions Options;
  Member Self;
  Random &Rng;
  MemberList Members;
  EndpointIndex Index;
  GossipQueue PendingGossip;
  FailureDetector Detector;
  ByteBudget GossipBudget;
  ByteBudget RepairBudget;
  Outbox Out;
  std::map<std::string, Suspicion> Suspicions;
  // When each left or dead member is forgotten.
  std::map<std::string, TimePoint> ForgetAt;
  // Addresses of forgotten dead members, newest last.
  std::deque<Address> ForgottenPeers;
  // The peers from which messages were received last, newest first.
  std::deque<Address> RecentPeers;
  uint64_t TargetsEpoch = ~uint64_t(0);
  TimePoint NextTargetUpdate;
  std::optional<TimePoint> LastTick;
  TimePoint NextGossip;
  TimePoint NextRepair;
  TimePoint NextRandomPull;
  TimePoint NextDeadContact;
  std::optional<TimePoint> DigestDiffersSince;
  Address DigestDiffersPeer;
  std::optional<TimePoint> JoinDeadline;
  bool Joined = false;
};

} // namespace cyclamenwind

#endif
