// GossipQueue: the changed records that this daemon still has to gossip.
//
// A record is sent a number of times that grows with the logarithm of the
// fleet's size. Receiving a record that is already known reduces its remaining
// sends by one. Records that remove a backend server from use are sent first,
// then those sent least often. Does no I/O and reads no clock.

#ifndef CYCLAMENWIND_MEMBERSHIP_GOSSIP_QUEUE_H
#define CYCLAMENWIND_MEMBERSHIP_GOSSIP_QUEUE_H

#include "cyclamenwind/membership/member_list.h"

#include <set>
#include <tuple>

namespace cyclamenwind {

// Number of times that one daemon sends a record in a fleet of Members.
int gossipSends(size_t Members);

class GossipQueue {
public:
  // Queues the changed Record for Sends sends.
  void add(const Member &Record, int Sends);

  // Another member has sent the record of Id that is already known. Reduces the
  // remaining sends, except those of a removal.
  void receivedDuplicate(const std::string &Id);

  // The record of Id has been sent once.
  void sent(const std::string &Id);

  void erase(const std::string &Id);

  // At most Count ids, the most urgent first.
  std::vector<std::string> next(size_t Count) const;

  bool empty() const { return Order.empty(); }
  size_t size() const { return Order.size(); }

private:
  struct PendingRecord {
    bool Removal = false;
    int SendsLeft = 0;
    int TimesSent = 0;
  };
  // (not a removal, times sent, id); the smallest is sent first.
  using Rank = std::tuple<bool, int, std::string>;

  static Rank rankOf(const std::string &Id, const PendingRecord &Record);
  void reduceSends(const std::string &Id, bool ByOwnSend);

  std::map<std::string, PendingRecord> Pending;
  std::set<Rank> Order;
};

} // namespace cyclamenwind

#endif
