// TransitDelay: how much longer than usual messages of a peer were under way.
//
// A message carries the time at which it was sent, on the sender's clock. The
// difference to the receiver's clock at its arrival is the difference of the
// two clocks, which is constant, plus the transit time. The smallest difference
// within the last one or two windows therefore stands for an undisturbed
// transit; what a message has more than that was spent in queues: on a full
// link, on a stream that lost packets, or in a process that had no processor
// time. A request that was held up this way has less time left than its sender
// wrote into it, and its caller may be gone.
//
// Both clocks must count suspended time (Clock::sinceBoot()); otherwise
// everything that a host sends after a suspension looks late. Does no I/O and
// reads no clock.

#ifndef CYCLAMENWIND_MESH_TRANSIT_DELAY_H
#define CYCLAMENWIND_MESH_TRANSIT_DELAY_H

#include "cyclamenwind/base/address.h"
#include "cyclamenwind/base/time.h"

#include <map>

namespace cyclamenwind {

class TransitDelay {
public:
  // Counts a message of Peer that was sent at SentAt, by the peer's clock, and
  // received at ReceivedAt, by this host's clock. Returns the time by which its
  // transit exceeded the smallest one of the peer's recent messages; zero for
  // the first one.
  Duration excess(const Address &Peer, Duration SentAt, Duration ReceivedAt);

  // Forgets what is known of Peer, whose clock may have started anew.
  void forget(const Address &Peer) { Peers.erase(Peer); }

private:
  struct PeerState {
    Duration WindowStart{};
    Duration SmallestInWindow{};
    Duration SmallestInPrevious{};
  };

  std::map<Address, PeerState> Peers;
};

} // namespace cyclamenwind

#endif
