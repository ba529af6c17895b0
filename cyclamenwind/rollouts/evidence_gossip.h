// EvidenceGossip: what is known of moves, passed from daemon to daemon.
//
// News, a stop above all, goes at once to a few random members, which pass it
// on in turn; each repeats it a few times. Every period a digest goes to one
// random member, and whoever knows more tells the other, which mends what was
// missed. A daemon that has just started asks several. The platform has no part
// in it.

#ifndef CYCLAMENWIND_ROLLOUTS_EVIDENCE_GOSSIP_H
#define CYCLAMENWIND_ROLLOUTS_EVIDENCE_GOSSIP_H

#include "cyclamenwind/base/random.h"
#include "cyclamenwind/base/scheduler.h"
#include "cyclamenwind/membership/membership.h"
#include "cyclamenwind/peer/transport.h"
#include "cyclamenwind/rollouts/records.h"
#include "cyclamenwind/wire/gen-cpp/moves_types.h"

#include <set>

namespace cyclamenwind {

class EvidenceGossip {
public:
  EvidenceGossip(RolloutRecords &Book, PeerTransport &Peers,
                 MembershipView &Members, Clock &Time, Scheduler &Timers,
                 Random &Rng);

  // Calls Handler with the names of moves that news came of.
  void onNews(std::function<void(const std::string &)> Handler) {
    News = std::move(Handler);
  }

  // Passes on what the book now says of a move.
  void announce(const std::string &Name);

  // Whether enough other daemons have told what they know since the start.
  bool caughtUp() const;

  // When another daemon was last heard; nothing before the first time.
  const std::optional<TimePoint> &lastReceived() const { return LastReceived; }

private:
  void exchange();
  void repeatNews();
  void sendDigest(const Address &To, bool WantDigest);
  void receiveDigest(const Address &From, std::string_view Payload);
  void receiveEntries(const Address &From, std::string_view Payload);
  void tell(const Address &To, const std::set<std::string> &Names);
  wire::MoveDigest digest();
  std::vector<Address> randomPeers(size_t Count);
  size_t reachablePeers() const;

  RolloutRecords &Book;
  PeerTransport &Peers;
  MembershipView &Members;
  Clock &Time;
  Random &Rng;
  std::function<void(const std::string &)> News;
  std::map<std::string, int> Repeats; // News still to be passed on.
  std::set<Address> HeardFrom;        // Until caught up.
  bool CaughtUp = false;
  TimePoint Started;
  std::optional<TimePoint> LastReceived;
  std::string DigestFrom; // Where the next digest begins.
  TimerHandle ExchangeTimer;
  TimerHandle RepeatTimer;
};

} // namespace cyclamenwind

#endif
