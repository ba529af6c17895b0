// Standing: which members have which version in force.
//
// Each daemon states its version to its relays. A relay sums the statements by
// failure domain and sends the sums to the other relays, which pass all sums
// on. A member of the roster that has not stated anything lately counts as
// unknown, as does a failure domain without a recent sum.

#ifndef CYCLAMENWIND_CONFIG_FLEET_VERSIONS_H
#define CYCLAMENWIND_CONFIG_FLEET_VERSIONS_H

#include "cyclamenwind/membership/member_list.h"
#include "cyclamenwind/wire/gen-cpp/config_types.h"

namespace cyclamenwind {

// How long a statement or a sum counts.
constexpr Duration VersionReportLifetime = 3s;

// One daemon that follows this relay.
struct Follower {
  std::string MemberId;
  std::string FailureDomain;
  uint64_t Version = 0;
  uint64_t Digest = 0;
  uint64_t Rejected = 0;
  // What was last sent to it, ahead of what it has stated.
  uint64_t SentVersion = 0;
  uint64_t SentDigest = 0;
  int64_t DirectoryDigest = 0;
  int64_t Process = 0;
  bool Primary = false;
  bool Fresh = false;
  TimePoint LastReceived;
  TimePoint LagsSince; // Valid while Version is below the relay's.
};

using Followers = std::map<Address, Follower>;

// The sum for FailureDomain. Self is this daemon's own statement; Newest is the
// version that others lag behind.
wire::DomainStanding sumOf(const std::string &FailureDomain,
                           const Followers &All, const Follower &Self,
                           const MemberList &Members, uint64_t Newest,
                           TimePoint Now);

// All failure domains' sums, as far as they are known.
class FleetVersions {
public:
  // Takes in a sum made by Reporter; says whether its numbers are new.
  bool update(const Address &Reporter, const wire::DomainStanding &Sum,
              TimePoint Now);

  // The best recent sum of each failure domain, with its age.
  std::vector<wire::DomainStanding> sums(TimePoint Now) const;

private:
  struct Entry {
    wire::DomainStanding Sum;
    TimePoint Made;
  };

  // By failure domain and reporter.
  std::map<std::pair<std::string, Address>, Entry> Entries;
};

// The sums added up.
struct FleetVersionCounts {
  std::map<uint64_t, size_t> Counts; // Members by version in force.
  size_t Unknown = 0;
  size_t Rejecting = 0;
  std::vector<wire::Laggard> Laggards;
};

// Members of failure domains without a sum count as unknown.
FleetVersionCounts addUp(const std::vector<wire::DomainStanding> &Sums,
                         const MemberList &Members);

} // namespace cyclamenwind

#endif
