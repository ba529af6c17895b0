// FleetVersions: which configuration versions the members have applied.
//
// Each daemon reports its version to its relays (ConfigSubscribe). A relay
// summarizes the reports by failure domain and sends its summaries to the other
// relays; every relay sends all summaries to its subscribers. A member of the
// member list without a report within VersionReportLifetime counts as unknown,
// as do all members of a failure domain without a recent summary.

#ifndef CYCLAMENWIND_CONFIG_FLEET_VERSIONS_H
#define CYCLAMENWIND_CONFIG_FLEET_VERSIONS_H

#include "cyclamenwind/membership/member_list.h"
#include "cyclamenwind/wire/gen-cpp/config_types.h"

namespace cyclamenwind {

// How long a member's report or a summary is valid.
constexpr Duration VersionReportLifetime = 3s;

// A daemon that sends ConfigSubscribe to this one, with its last report.
struct Subscriber {
  std::string MemberId;
  std::string FailureDomain;
  uint64_t Version = 0;
  uint64_t Digest = 0;
  uint64_t RejectedVersion = 0;
  // Version last sent to it, which it may not have reported yet.
  uint64_t SentVersion = 0;
  uint64_t SentDigest = 0;
  int64_t DirectoryDigest = 0;
  int64_t ProcessNonce = 0;
  bool Primary = false;
  bool ColdStarting = false;
  TimePoint LastReceived;
  TimePoint LagsSince; // Valid while Version is below this daemon's.
};

using SubscriberMap = std::map<Address, Subscriber>;

// Summarizes FailureDomain. Self is this daemon's own report; members with a
// version below Newest are laggards.
wire::DomainStanding summarizeDomain(const std::string &FailureDomain,
                                     const SubscriberMap &Subscribers,
                                     const Subscriber &Self,
                                     const MemberList &Members, uint64_t Newest,
                                     TimePoint Now);

// Version summaries of the failure domains, by the relay that sent them.
class FleetVersions {
public:
  // Stores a summary received from Reporter unless a newer one is stored.
  // Returns whether its counts differ from the stored ones.
  bool update(const Address &Reporter, const wire::DomainStanding &Summary,
              TimePoint Now);

  // For each failure domain the recent summary with the fewest unknown members,
  // and among these the newest, with its age.
  std::vector<wire::DomainStanding> summaries(TimePoint Now) const;

private:
  struct Entry {
    wire::DomainStanding Summary;
    TimePoint Made;
  };

  // By failure domain and reporter.
  std::map<std::pair<std::string, Address>, Entry> Entries;
};

// Totals of the summaries.
struct FleetVersionCounts {
  std::map<uint64_t, size_t> Counts; // Members by applied version.
  size_t Unknown = 0;
  size_t Rejecting = 0;
  std::vector<wire::Laggard> Laggards;
};

// Adds up Summaries; members of failure domains without a summary count as
// unknown.
FleetVersionCounts
countFleetVersions(const std::vector<wire::DomainStanding> &Summaries,
                   const MemberList &Members);

} // namespace cyclamenwind

#endif
