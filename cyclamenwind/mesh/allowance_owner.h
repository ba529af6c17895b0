// AllowanceOwner: gives out the allowances of the workspaces that one daemon
// owns.
//
// Keeps one token bucket for each workspace. Other daemons ask for tokens ahead
// of need (allowance_client.h). A grant is of one of two kinds:
//
// - Prepaid tokens are taken from the bucket at once.
// - If the bucket is more than half full, a daemon gets credit: it admits as
//   many requests and reports them afterwards, when they are taken from the
//   bucket. All credit together is at most half of the bucket, so that it can
//   be paid at any time.
//
// Let r be the rate of a workspace, b its burst, W the window in which the
// allowance is judged, and E the excess that is tolerated in it. The depth of
// the bucket is b plus a part of E. In a window at most its depth plus r x W is
// given out; the rest of E covers prepaid tokens of the time before, changes of
// the owner, and the static shares of daemons that reach no owner. A new bucket
// starts nearly empty, since the previous owner may have given out everything.
// docs/design/allowances.md has the details.
//
// Does no I/O and reads no clock. Times have to be of a clock that also counts
// suspended time.

#ifndef CYCLAMENWIND_MESH_ALLOWANCE_OWNER_H
#define CYCLAMENWIND_MESH_ALLOWANCE_OWNER_H

#include "cyclamenwind/base/address.h"
#include "cyclamenwind/base/time.h"
#include "cyclamenwind/mesh/workspaces.h"

#include <map>
#include <string>
#include <vector>

namespace cyclamenwind {

// How allowances are judged; from the settings.
struct AllowanceBounds {
  Duration Window = 5s;
  double Overage = 0; // Tolerated excess as a part of the allowance.
  double Slack = 0;   // The same in requests.

  // The excess that is tolerated for Limited in a window, in requests.
  double excess(const Workspace &Limited) const;
};

// What a daemon needs of one workspace's allowance; all counts are requests.
struct AllowanceNeed {
  int Wanted = 0;   // It wants to admit soon.
  int Charged = 0;  // It admitted on credit since its last message.
  int Returned = 0; // Prepaid tokens that it did not use.
};

struct AllowanceShares {
  int Tokens = 0;
  // From the time at which the daemon sent its message.
  Duration ValidFor{};
  // Tokens are credit, and replace earlier credit; otherwise they are prepaid.
  bool OnCredit = false;
  // If Tokens is less than Wanted: when there will be room.
  Duration RetryAfter{};
};

class AllowanceOwner {
public:
  explicit AllowanceOwner(const AllowanceBounds &Bounds) : Bounds(Bounds) {}

  // Sets the workspaces with a limit that this daemon owns from Now on, and the
  // part of all daemons that it is connected to, itself included. Other buckets
  // are dropped.
  void own(const std::vector<Workspace> &Owned, double Part, TimePoint Now);

  // This process was not running for a while, during which others may have
  // owned the workspaces: all buckets start again.
  void startAgain(TimePoint Now);

  bool owns(const std::string &Name) const { return Buckets.count(Name) != 0; }

  // Handles the need of the daemon at From for a workspace that is owned.
  AllowanceShares take(const std::string &Name, const Address &From,
                       const AllowanceNeed &Need, TimePoint Now);

  // Tokens in the bucket of a workspace that is owned; negative if more was
  // charged than there was.
  double level(const std::string &Name, TimePoint Now) const;

private:
  struct Credit {
    int Tokens = 0;
    TimePoint Until;
  };
  struct Bucket {
    double Rate = 0;  // Tokens per second.
    double Depth = 0; // In tokens.
    double Start = 0; // Tokens in a new bucket.
    double Level = 0;
    TimePoint RefilledAt;
    std::map<Address, Credit> Credits;
    // When the last of the requests that were refused will find room, if they
    // all return.
    TimePoint NextRoom;

    double levelAt(TimePoint Now) const;
    // Returns the credit that daemons may still use.
    int outstanding(TimePoint Now);
  };

  AllowanceBounds Bounds;
  std::map<std::string, Bucket> Buckets;
};

} // namespace cyclamenwind

#endif
