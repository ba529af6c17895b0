#include "cyclamenwind/traffic/balancer.h"

#include "cyclamenwind/traffic/subset.h"

#include <algorithm>

namespace cyclamenwind {
namespace {

// Calls per slot from which a server counts as full.
constexpr double FullPressure = 1.0;
// Reports older than this say nothing.
constexpr Duration ReportLifetime = 500ms;
// Of a service's endpoints, at most this share is left out.
constexpr double MaxLeftOut = 0.5;
constexpr size_t NearSubset = 8;
constexpr size_t FarSubset = 8;
constexpr Duration SlowStartTime = 10s;
constexpr double ColdShare = 0.1;
// An endpoint not seen for this long is new when it is seen again.
constexpr Duration PresenceGap = 2s;

std::string keyOf(const std::string &MemberId, const std::string &Version) {
  return MemberId + "/" + Version;
}

void removeTried(std::vector<const Endpoint *> &List,
                 const std::set<std::string> &Tried) {
  std::erase_if(List, [&Tried](const Endpoint *Each) {
    return Tried.count(Each->MemberId) != 0;
  });
}

} // namespace

const Endpoint *Balancer::choose(const std::vector<Endpoint> &Endpoints,
                                 const std::string &Version,
                                 const std::set<std::string> &Tried,
                                 TimePoint Now) {
  Candidates Wanted;
  for (const Endpoint &Each : Endpoints) {
    if (Each.Version != Version)
      continue;
    notePresence(Each, Now);
    Wanted.push_back(&Each);
  }
  Candidates Healthy = healthy(Wanted, Now);
  Candidates Subset =
      subsetFor(SelfId, FailureDomain, Healthy, NearSubset, FarSubset);
  for (Candidates *List : {&Subset, &Healthy, &Wanted})
    removeTried(*List, Tried);
  const Candidates &All =
      !Subset.empty() ? Subset : (!Healthy.empty() ? Healthy : Wanted);
  Candidates Near;
  for (const Endpoint *Each : All)
    if (Each->FailureDomain == FailureDomain &&
        pressure(*Each, Now) < FullPressure)
      Near.push_back(Each);
  return lesserOfTwo(Near.empty() ? All : Near, Now);
}

void Balancer::ended(const std::string &MemberId) {
  auto Found = Loads.find(MemberId);
  if (Found != Loads.end() && Found->second.Own > 0)
    --Found->second.Own;
}

void Balancer::reported(const std::string &MemberId, const ReportedLoad &Load,
                        TimePoint Now) {
  auto &Seen = Loads[MemberId];
  Seen.Reported = Load;
  Seen.ReportedAt = Now;
}

void Balancer::observed(const AttemptTarget &Target, CallOutcome End,
                        CallReason Reason, int Status, Duration Latency,
                        TimePoint Now) {
  // Versions are judged against servers of their own version only.
  Ejector.observed(keyOf(Target.Service, Target.Version),
                   keyOf(Target.MemberId, Target.Version), End, Reason, Status,
                   Latency, Now);
}

// The endpoints that are neither suspected nor ejected, or all of them if too
// few would be left.
Balancer::Candidates Balancer::healthy(const Candidates &Wanted,
                                       TimePoint Now) const {
  Candidates Present;
  for (const Endpoint *Each : Wanted)
    if (!Each->Suspected)
      Present.push_back(Each);
  // A lost failure domain may be more than half: suspicion has no such limit.
  if (Present.empty())
    return Wanted;
  Candidates Good;
  for (const Endpoint *Each : Present)
    if (!Ejector.ejected(keyOf(Each->MemberId, Each->Version), Now))
      Good.push_back(Each);
  double LeftOut = static_cast<double>(Present.size() - Good.size());
  bool Panic = LeftOut > MaxLeftOut * static_cast<double>(Present.size());
  return Panic ? Present : Good;
}

void Balancer::notePresence(const Endpoint &Seen, TimePoint Now) {
  auto [Found, Inserted] = Presences.try_emplace(
      keyOf(Seen.MemberId, Seen.Version), Presence{Now, Now});
  if (Now - Found->second.Last > PresenceGap)
    Found->second.First = Now;
  Found->second.Last = Now;
}

double Balancer::pressure(const Endpoint &Candidate, TimePoint Now) const {
  auto Found = Loads.find(Candidate.MemberId);
  if (Found == Loads.end())
    return 0;
  const Load &Seen = Found->second;
  int Calls = Seen.Own;
  if (Now - Seen.ReportedAt <= ReportLifetime)
    Calls = std::max(Seen.Own, Seen.Reported.InFlight) + Seen.Reported.Queued;
  return static_cast<double>(Calls) / std::max(1, Candidate.Slots);
}

// What one more call would mean; an idle cold server counts as loaded.
double Balancer::cost(const Endpoint &Candidate, TimePoint Now) const {
  double OneCall = 1.0 / std::max(1, Candidate.Slots);
  return (pressure(Candidate, Now) + OneCall) / warmth(Candidate, Now);
}

// Grows from ColdShare to 1 after an endpoint appears or its ejection ends.
double Balancer::warmth(const Endpoint &Candidate, TimePoint Now) const {
  std::string Key = keyOf(Candidate.MemberId, Candidate.Version);
  auto Found = Presences.find(Key);
  TimePoint Since = Found == Presences.end() ? Now : Found->second.First;
  Since = std::max(Since, Ejector.ejectedUntil(Key));
  double Share = static_cast<double>((Now - Since).count()) /
                 static_cast<double>(SlowStartTime.count());
  return std::clamp(Share, ColdShare, 1.0);
}

const Endpoint *Balancer::lesserOfTwo(const Candidates &List, TimePoint Now) {
  if (List.empty())
    return nullptr;
  size_t First = Rng.below(List.size());
  if (List.size() == 1)
    return List[First];
  size_t Second = Rng.below(List.size() - 1);
  Second += Second >= First ? 1 : 0;
  return cost(*List[Second], Now) < cost(*List[First], Now) ? List[Second]
                                                            : List[First];
}

} // namespace cyclamenwind
