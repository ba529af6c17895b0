// RecordGossip: spreads rollout records and stops between daemons, without
// the platform.
//
// A changed record or a new stop is sent immediately to GossipFanOut random
// members, and again to as many in each of the next GossipRounds periods of
// GossipPeriod; members for which it is new forward it in the same way. In
// addition, every ExchangePeriod a digest goes to one random member, and each
// of the two sends its newer entries (anti-entropy repair). After a cold start
// the digest goes to ColdStartFanOut members until this daemon has caught up.
// The constants are in the .cpp file.

#ifndef CYCLAMENWIND_ROLLOUTS_RECORD_GOSSIP_H
#define CYCLAMENWIND_ROLLOUTS_RECORD_GOSSIP_H

#include "cyclamenwind/base/random.h"
#include "cyclamenwind/base/scheduler.h"
#include "cyclamenwind/membership/membership.h"
#include "cyclamenwind/peer/transport.h"
#include "cyclamenwind/rollouts/records.h"
#include "cyclamenwind/wire/gen-cpp/moves_types.h"

#include <set>

namespace cyclamenwind {

class RecordGossip {
public:
  RecordGossip(RolloutRecords &Records, PeerTransport &Peers,
               MembershipView &Members, Clock &Time, Scheduler &Timers,
               Random &Rng);

  // Calls Handler with the name of each rollout whose entry a peer has updated.
  void onUpdate(std::function<void(const std::string &)> Handler) {
    OnUpdate = std::move(Handler);
  }

  // Starts to gossip the current entry of a rollout.
  void publish(const std::string &Name);

  // Whether enough other daemons have sent their entries since the start. If no
  // peer is reachable, whether NoPeersTimeout has passed since the start.
  bool caughtUp() const;

  // When a peer's message was last received. Returns nothing if none was.
  const std::optional<TimePoint> &lastReceived() const { return LastReceived; }

private:
  void exchangeDigests();
  void sendPendingUpdates();
  void sendDigest(const Address &To, bool WantDigest);
  void receiveDigest(const Address &From, std::string_view Payload);
  void receiveEntries(const Address &From, std::string_view Payload);
  void sendEntries(const Address &To, const std::set<std::string> &Names);
  wire::MoveDigest digest();
  std::vector<Address> randomPeers(size_t Count);
  size_t reachablePeers() const;

  RolloutRecords &Records;
  PeerTransport &Peers;
  MembershipView &Members;
  Clock &Time;
  Random &Rng;
  std::function<void(const std::string &)> OnUpdate;
  std::map<std::string, int> RoundsLeft; // Rounds still to send, by rollout.
  std::set<Address> RespondedPeers;      // Cleared when caught up.
  bool CaughtUp = false;
  TimePoint Started;
  std::optional<TimePoint> LastReceived;
  std::string NextDigestStart; // First name in the next digest.
  TimerHandle ExchangeTimer;
  TimerHandle GossipTimer;
};

} // namespace cyclamenwind

#endif
