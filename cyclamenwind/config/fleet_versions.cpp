#include "cyclamenwind/config/fleet_versions.h"

#include <algorithm>
#include <set>

namespace cyclamenwind {
namespace {

constexpr size_t MaxLaggards = 5;

void addMember(const Subscriber &Reported, uint64_t Newest, TimePoint Now,
               wire::DomainStanding &Summary) {
  ++Summary.counts[static_cast<int64_t>(Reported.Version)];
  if (Reported.RejectedVersion > Reported.Version)
    ++Summary.rejecting;
  if (Reported.Version >= Newest)
    return;
  wire::Laggard Behind;
  Behind.member = Reported.MemberId;
  Behind.version = static_cast<int64_t>(Reported.Version);
  Behind.lagMs = milliseconds(Now - Reported.LagsSince);
  Behind.rejected = static_cast<int64_t>(Reported.RejectedVersion);
  Summary.laggards.push_back(std::move(Behind));
}

void keepLongest(std::vector<wire::Laggard> &Laggards) {
  std::sort(Laggards.begin(), Laggards.end(),
            [](const wire::Laggard &A, const wire::Laggard &B) {
              return A.lagMs > B.lagMs;
            });
  if (Laggards.size() > MaxLaggards)
    Laggards.resize(MaxLaggards);
}

} // namespace

wire::DomainStanding summarizeDomain(const std::string &FailureDomain,
                                     const SubscriberMap &Subscribers,
                                     const Subscriber &Self,
                                     const MemberList &Members, uint64_t Newest,
                                     TimePoint Now) {
  wire::DomainStanding Summary;
  Summary.domain = FailureDomain;
  std::set<std::string> Counted;
  if (Self.FailureDomain == FailureDomain) {
    Counted.insert(Self.MemberId);
    addMember(Self, Newest, Now, Summary);
  }
  for (const auto &[Peer, Reported] : Subscribers) {
    bool Recent = Now - Reported.LastReceived < VersionReportLifetime;
    if (!Recent || Reported.FailureDomain != FailureDomain ||
        !Counted.insert(Reported.MemberId).second)
      continue;
    addMember(Reported, Newest, Now, Summary);
  }
  for (const auto &[Id, Record] : Members.members())
    if (Record.FailureDomain == FailureDomain && Record.reachable() &&
        Counted.count(Id) == 0)
      ++Summary.unknown;
  keepLongest(Summary.laggards);
  return Summary;
}

bool FleetVersions::update(const Address &Reporter,
                           const wire::DomainStanding &Summary, TimePoint Now) {
  TimePoint Made = Now - std::chrono::milliseconds(std::max<int64_t>(
                             0, std::min<int64_t>(Summary.ageMs, 1000000)));
  Entry &Stored = Entries[{Summary.domain, Reporter}];
  bool Changed = Stored.Summary.counts != Summary.counts ||
                 Stored.Summary.unknown != Summary.unknown ||
                 Stored.Summary.rejecting != Summary.rejecting;
  if (Stored.Summary.domain.empty() || Made >= Stored.Made)
    Stored = {Summary, Made};
  std::erase_if(Entries, [&](const auto &Item) {
    return Now - Item.second.Made >= VersionReportLifetime;
  });
  return Changed;
}

std::vector<wire::DomainStanding>
FleetVersions::summaries(TimePoint Now) const {
  std::map<std::string, const Entry *> Best;
  for (const auto &[Key, Candidate] : Entries) {
    if (Now - Candidate.Made >= VersionReportLifetime)
      continue;
    const Entry *&Chosen = Best[Key.first];
    bool Better = Chosen == nullptr ||
                  Candidate.Summary.unknown < Chosen->Summary.unknown ||
                  (Candidate.Summary.unknown == Chosen->Summary.unknown &&
                   Candidate.Made > Chosen->Made);
    if (Better)
      Chosen = &Candidate;
  }
  std::vector<wire::DomainStanding> List;
  for (const auto &[Domain, Found] : Best) {
    List.push_back(Found->Summary);
    List.back().ageMs = milliseconds(Now - Found->Made);
  }
  return List;
}

FleetVersionCounts
countFleetVersions(const std::vector<wire::DomainStanding> &Summaries,
                   const MemberList &Members) {
  FleetVersionCounts Total;
  std::set<std::string> Covered;
  for (const wire::DomainStanding &Summary : Summaries) {
    Covered.insert(Summary.domain);
    for (const auto &[Version, Count] : Summary.counts)
      Total.Counts[static_cast<uint64_t>(Version)] +=
          static_cast<size_t>(std::max(0, Count));
    Total.Unknown += static_cast<size_t>(std::max(0, Summary.unknown));
    Total.Rejecting += static_cast<size_t>(std::max(0, Summary.rejecting));
    Total.Laggards.insert(Total.Laggards.end(), Summary.laggards.begin(),
                          Summary.laggards.end());
  }
  for (const auto &[Id, Record] : Members.members())
    if (Record.reachable() && Covered.count(Record.FailureDomain) == 0)
      ++Total.Unknown;
  keepLongest(Total.Laggards);
  return Total;
}

} // namespace cyclamenwind
