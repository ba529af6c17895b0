// GossipQueue: which changed records are still to be passed on.
//
// A record is sent a number of times that grows with the logarithm of the
// fleet's size. Hearing from others what is already known lessens what is left
// to send. Records that take a backend server out of use go first, then those
// sent least often. This is pure deciding code.

#ifndef CYCLAMENWIND_MEMBERSHIP_GOSSIP_QUEUE_H
#define CYCLAMENWIND_MEMBERSHIP_GOSSIP_QUEUE_H

#include "cyclamenwind/membership/member_list.h"

#include <set>
#include <tuple>

namespace cyclamenwind {

// Sends a record needs in a fleet of Members.
int gossipSends(size_t Members);

class GossipQueue {
public:
  // Record has changed and is to be sent Sends times.
  void add(const Member &Record, int Sends);

  // Another member has sent what was already known of Id; does not lessen a
  // removal.
  void heardAgain(const std::string &Id);

  // Id has been sent once.
  void sent(const std::string &Id);

  void erase(const std::string &Id);

  // At most Count ids, the most pressing first.
  std::vector<std::string> next(size_t Count) const;

  bool empty() const { return Order.empty(); }
  size_t size() const { return Order.size(); }

private:
  struct Rumour {
    bool Removal = false;
    int Left = 0;
    int Sent = 0;
  };
  // Not a removal, times sent, id.
  using Rank = std::tuple<bool, int, std::string>;

  static Rank rankOf(const std::string &Id, const Rumour &Value);
  void lessen(const std::string &Id, bool ByOwnSend);

  std::map<std::string, Rumour> Rumours;
  std::set<Rank> Order;
};

} // namespace cyclamenwind

#endif
