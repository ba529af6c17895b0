#include "cyclamenwind/config/fleet_versions.h"

#include <algorithm>
#include <set>

namespace cyclamenwind {
namespace {

constexpr size_t MaxLaggards = 5;

void addMember(const Follower &Added, uint64_t Newest, TimePoint Now,
               wire::DomainStanding &Sum) {
  ++Sum.counts[static_cast<int64_t>(Added.Version)];
  if (Added.Rejected > Added.Version)
    ++Sum.rejecting;
  if (Added.Version >= Newest)
    return;
  wire::Laggard Late;
  Late.member = Added.MemberId;
  Late.version = static_cast<int64_t>(Added.Version);
  Late.lagMs = milliseconds(Now - Added.LagsSince);
  Late.rejected = static_cast<int64_t>(Added.Rejected);
  Sum.laggards.push_back(std::move(Late));
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

wire::DomainStanding sumOf(const std::string &FailureDomain,
                           const Followers &All, const Follower &Self,
                           const MemberList &Members, uint64_t Newest,
                           TimePoint Now) {
  wire::DomainStanding Sum;
  Sum.domain = FailureDomain;
  std::set<std::string> Heard;
  if (Self.FailureDomain == FailureDomain) {
    Heard.insert(Self.MemberId);
    addMember(Self, Newest, Now, Sum);
  }
  for (const auto &[Peer, Each] : All) {
    bool Recent = Now - Each.LastReceived < VersionReportLifetime;
    if (!Recent || Each.FailureDomain != FailureDomain ||
        !Heard.insert(Each.MemberId).second)
      continue;
    addMember(Each, Newest, Now, Sum);
  }
  for (const auto &[Id, Record] : Members.members())
    if (Record.FailureDomain == FailureDomain && Record.reachable() &&
        Heard.count(Id) == 0)
      ++Sum.unknown;
  keepLongest(Sum.laggards);
  return Sum;
}

bool FleetVersions::update(const Address &Reporter,
                           const wire::DomainStanding &Sum, TimePoint Now) {
  TimePoint Made = Now - std::chrono::milliseconds(std::max<int64_t>(
                             0, std::min<int64_t>(Sum.ageMs, 1000000)));
  Entry &Present = Entries[{Sum.domain, Reporter}];
  bool Changed = Present.Sum.counts != Sum.counts ||
                 Present.Sum.unknown != Sum.unknown ||
                 Present.Sum.rejecting != Sum.rejecting;
  if (Present.Sum.domain.empty() || Made >= Present.Made)
    Present = {Sum, Made};
  std::erase_if(Entries, [&](const auto &Each) {
    return Now - Each.second.Made >= VersionReportLifetime;
  });
  return Changed;
}

std::vector<wire::DomainStanding> FleetVersions::sums(TimePoint Now) const {
  std::map<std::string, const Entry *> Best;
  for (const auto &[Key, Each] : Entries) {
    if (Now - Each.Made >= VersionReportLifetime)
      continue;
    const Entry *&Present = Best[Key.first];
    bool Better =
        Present == nullptr || Each.Sum.unknown < Present->Sum.unknown ||
        (Each.Sum.unknown == Present->Sum.unknown && Each.Made > Present->Made);
    if (Better)
      Present = &Each;
  }
  std::vector<wire::DomainStanding> List;
  for (const auto &[Domain, Each] : Best) {
    List.push_back(Each->Sum);
    List.back().ageMs = milliseconds(Now - Each->Made);
  }
  return List;
}

FleetVersionCounts addUp(const std::vector<wire::DomainStanding> &Sums,
                         const MemberList &Members) {
  FleetVersionCounts Total;
  std::set<std::string> Covered;
  for (const wire::DomainStanding &Each : Sums) {
    Covered.insert(Each.domain);
    for (const auto &[Version, Count] : Each.counts)
      Total.Counts[static_cast<uint64_t>(Version)] +=
          static_cast<size_t>(std::max(0, Count));
    Total.Unknown += static_cast<size_t>(std::max(0, Each.unknown));
    Total.Rejecting += static_cast<size_t>(std::max(0, Each.rejecting));
    Total.Laggards.insert(Total.Laggards.end(), Each.laggards.begin(),
                          Each.laggards.end());
  }
  for (const auto &[Id, Record] : Members.members())
    if (Record.reachable() && Covered.count(Record.FailureDomain) == 0)
      ++Total.Unknown;
  keepLongest(Total.Laggards);
  return Total;
}

} // namespace cyclamenwind
