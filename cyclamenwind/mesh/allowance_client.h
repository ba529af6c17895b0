// AllowanceClient: decides for one daemon which requests of a workspace are
// admitted, with tokens that it gets from the owner of the workspace's
// allowance (allowance_owner.h).
//
// A request that finds a token is admitted at once. Any other waits up to
// WaitLimit for the owner's answer to a message, and is refused if the owner
// has no token. Where requests are frequent, tokens are asked for ahead of
// need. After a refusal, requests of the workspace are refused at once for a
// while, so that many of them cause few messages.
//
// Without an owner, or if it does not answer in time, the static share counts:
// the workspace's rate divided by the number of daemons, with a burst of one.
// It is empty when the process starts.
//
// At most one message goes to an owner in MessageSpacing, none while an earlier
// one is unanswered, and none for workspaces without requests.
//
// Does no I/O and reads no clock. Times have to be of a clock that also counts
// suspended time.

#ifndef CYCLAMENWIND_MESH_ALLOWANCE_CLIENT_H
#define CYCLAMENWIND_MESH_ALLOWANCE_CLIENT_H

#include "cyclamenwind/mesh/allowance_gate.h"
#include "cyclamenwind/mesh/allowance_owner.h"

#include <deque>
#include <functional>
#include <optional>

namespace cyclamenwind {

// The decision on a request that was Pending.
struct SettledRequest {
  uint64_t Request = 0;
  AllowanceAnswer Answer; // Admitted or Refused.
};

// A message that is due to an owner.
struct AllowanceMessage {
  Address Owner;
  int64_t Id = 0;
  std::map<std::string, AllowanceNeed> Needs; // By workspace.
};

class AllowanceClient {
public:
  // Returns the owner of a workspace; nothing if none is reachable.
  using OwnerOf = std::function<std::optional<Address>(const std::string &)>;

  // FirstId: of the messages; random, so that an answer to an earlier process
  // is not taken for one to this.
  AllowanceClient(OwnerOf Owners, int64_t FirstId, TimePoint Now)
      : Owners(std::move(Owners)), NextId(FirstId), StartedAt(Now) {}

  // Sets the workspaces with a limit, and the number of daemons.
  void configure(const std::vector<Workspace> &Limited, size_t Daemons,
                 TimePoint Now);
  // The owners may be others than before.
  void ownersChanged(TimePoint Now);

  // Decides on a request of a workspace. A workspace without a limit admits
  // all.
  AllowanceAnswer admit(const std::string &Name, uint64_t Request,
                        TimePoint Now);

  // The caller of a pending request has left.
  void withdraw(const std::string &Name, uint64_t Request);

  // An admitted request was refused for another reason and has not run.
  void giveBack(const std::string &Name, TimePoint Now);

  // Returns the messages that are due. Each must be sent.
  std::vector<AllowanceMessage> messagesDue(TimePoint Now);

  // Handles what the owner answered for one workspace.
  std::vector<SettledRequest> receive(const Address &Owner, int64_t Id,
                                      const std::string &Name,
                                      const AllowanceShares &Shares,
                                      TimePoint Now);
  // The answer to the message Id has been handled completely.
  void answered(const Address &Owner, int64_t Id);

  // Decides on the requests that waited for WaitLimit.
  std::vector<SettledRequest> expire(TimePoint Now);

  // Earliest time at which messagesDue() or expire() has something to do;
  // nothing if that depends on other calls.
  std::optional<TimePoint> nextDue(TimePoint Now) const;

  // Requests of a workspace that would be admitted now without a message.
  int held(const std::string &Name, TimePoint Now) const;

private:
  struct Waiting {
    uint64_t Request = 0;
    TimePoint Since;
    bool Asked = false; // A message named it.
  };
  struct Entry {
    double PerSecond = 0;
    std::optional<Address> Owner;
    int Prepaid = 0;
    TimePoint PrepaidUntil;
    int Credit = 0;
    TimePoint CreditUntil;
    int Charged = 0;           // Admitted on credit and not reported yet.
    int Returned = 0;          // Prepaid tokens to give back.
    bool LastOnCredit = false; // In the owner's last answer.
    bool WantsMore = false;    // Tokens run out; ask ahead of need.
    // When Charged and Returned are reported at the latest.
    std::optional<TimePoint> ReportDue;
    std::deque<Waiting> Queue;
    // Until then requests without a token are refused, which are told to come
    // back at RoomAt.
    TimePoint RefuseUntil;
    TimePoint RoomAt;
    double Share = 0; // Tokens of the static share.
    TimePoint ShareAt;
    double Recent = 0; // Requests, weighted by recency.
    TimePoint RecentAt;

    double ratePerSecond(TimePoint Now) const;
    bool hasUnasked() const;
  };
  struct OwnerLink {
    TimePoint LastSent;
    bool HasSent = false;
    std::map<int64_t, TimePoint> Unanswered; // Messages by id, when sent.
    bool isUnresponsive(TimePoint Now) const;
  };

  void dropExpired(Entry &Current, TimePoint Now);
  bool takeShare(Entry &Current, TimePoint Now);
  AllowanceAnswer decideAlone(Entry &Current, TimePoint Now);
  bool takeToken(Entry &Current, TimePoint Now);
  // When the message that Current needs is due, apart from what the link
  // allows; nothing if it needs none.
  std::optional<TimePoint> needDue(const Entry &Current) const;
  // Earliest time at which the link allows a message.
  TimePoint linkFree(const Address &Owner) const;
  AllowanceNeed takeNeed(Entry &Current, TimePoint Now);

  OwnerOf Owners;
  int64_t NextId;
  TimePoint StartedAt;
  size_t Daemons = 1;
  std::map<std::string, Entry> Entries;
  std::map<Address, OwnerLink> Links;
};

} // namespace cyclamenwind

#endif
