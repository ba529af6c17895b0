#include "cyclamenwind/traffic/balancer.h"

#include "cyclamenwind/traffic/subset.h"

#include <algorithm>

namespace cyclamenwind {
namespace {

// Calls per slot from which a server counts as full.
constexpr double FullUtilization = 1.0;
// A load report older than this is ignored.
constexpr Duration ReportLifetime = 500ms;
// If ejection would leave out more than this share, it is ignored.
constexpr double MaxEjectedShare = 0.5;
constexpr size_t SameDomainSubsetSize = 8;
constexpr size_t OtherDomainSubsetSize = 8;
constexpr Duration SlowStartTime = 10s;
constexpr double InitialSlowStartFactor = 0.1;
// An endpoint that choose() has not seen for longer than this starts slowly
// again.
constexpr Duration AbsenceLimit = 2s;

std::string serverKey(const std::string &MemberId, const std::string &Version) {
  return MemberId + "/" + Version;
}

void removeTried(std::vector<const Endpoint *> &List,
                 const std::set<std::string> &Tried) {
  std::erase_if(List, [&Tried](const Endpoint *Candidate) {
    return Tried.count(Candidate->MemberId) != 0;
  });
}

} // namespace

const Endpoint *Balancer::choose(const std::vector<Endpoint> &Endpoints,
                                 const std::string &Version,
                                 const std::set<std::string> &Tried,
                                 TimePoint Now) {
  Candidates Matching;
  for (const Endpoint &Server : Endpoints) {
    if (Server.Version != Version)
      continue;
    recordSeen(Server, Now);
    Matching.push_back(&Server);
  }
  Candidates Healthy = selectHealthy(Matching, Now);
  Candidates Subset = subsetFor(SelfId, FailureDomain, Healthy,
                                SameDomainSubsetSize, OtherDomainSubsetSize);
  for (Candidates *List : {&Subset, &Healthy, &Matching})
    removeTried(*List, Tried);
  const Candidates &All =
      !Subset.empty() ? Subset : (!Healthy.empty() ? Healthy : Matching);
  Candidates SameDomain;
  for (const Endpoint *Server : All)
    if (Server->FailureDomain == FailureDomain &&
        utilization(*Server, Now) < FullUtilization)
      SameDomain.push_back(Server);
  return lessLoadedOfTwo(SameDomain.empty() ? All : SameDomain, Now);
}

void Balancer::recordEnd(const std::string &MemberId) {
  auto Found = Loads.find(MemberId);
  if (Found != Loads.end() && Found->second.OwnInFlight > 0)
    --Found->second.OwnInFlight;
}

void Balancer::recordLoad(const std::string &MemberId, const ReportedLoad &Load,
                          TimePoint Now) {
  auto &Reporter = Loads[MemberId];
  Reporter.Reported = Load;
  Reporter.ReportedAt = Now;
}

void Balancer::recordOutcome(const AttemptTarget &Target, CallOutcome Outcome,
                             CallReason Reason, int Status, Duration Latency,
                             TimePoint Now) {
  // A server is compared only with servers of the same version.
  Ejector.recordOutcome(serverKey(Target.Service, Target.Version),
                        serverKey(Target.MemberId, Target.Version), Outcome,
                        Reason, Status, Latency, Now);
}

// Returns the endpoints that are neither suspected nor ejected. Ignores
// ejection if more than MaxEjectedShare of the unsuspected ones are ejected,
// and suspicion if all are suspected.
Balancer::Candidates Balancer::selectHealthy(const Candidates &Matching,
                                             TimePoint Now) const {
  Candidates Unsuspected;
  for (const Endpoint *Server : Matching)
    if (!Server->Suspected)
      Unsuspected.push_back(Server);
  // MaxEjectedShare does not apply to suspicion: a lost failure domain may hold
  // more than half of the endpoints.
  if (Unsuspected.empty())
    return Matching;
  Candidates NotEjected;
  for (const Endpoint *Server : Unsuspected)
    if (!Ejector.isEjected(serverKey(Server->MemberId, Server->Version), Now))
      NotEjected.push_back(Server);
  double EjectedCount =
      static_cast<double>(Unsuspected.size() - NotEjected.size());
  bool TooManyEjected =
      EjectedCount > MaxEjectedShare * static_cast<double>(Unsuspected.size());
  return TooManyEjected ? Unsuspected : NotEjected;
}

void Balancer::recordSeen(const Endpoint &Listed, TimePoint Now) {
  auto [Position, Inserted] = SeenTimesByServer.try_emplace(
      serverKey(Listed.MemberId, Listed.Version), SeenTimes{Now, Now});
  if (Now - Position->second.Last > AbsenceLimit)
    Position->second.First = Now;
  Position->second.Last = Now;
}

double Balancer::utilization(const Endpoint &Candidate, TimePoint Now) const {
  auto Found = Loads.find(Candidate.MemberId);
  if (Found == Loads.end())
    return 0;
  const Load &Current = Found->second;
  int Calls = Current.OwnInFlight;
  if (Now - Current.ReportedAt <= ReportLifetime)
    Calls = std::max(Current.OwnInFlight, Current.Reported.InFlight) +
            Current.Reported.Queued;
  return static_cast<double>(Calls) / std::max(1, Candidate.Slots);
}

// Utilization after one more call, divided by the slow start factor, so that an
// idle new server counts as loaded.
double Balancer::cost(const Endpoint &Candidate, TimePoint Now) const {
  double OneCall = 1.0 / std::max(1, Candidate.Slots);
  return (utilization(Candidate, Now) + OneCall) /
         slowStartFactor(Candidate, Now);
}

// Returns the share of SlowStartTime that has passed since the endpoint was
// first seen or its ejection ended; at least InitialSlowStartFactor, at most 1.
double Balancer::slowStartFactor(const Endpoint &Candidate,
                                 TimePoint Now) const {
  std::string Key = serverKey(Candidate.MemberId, Candidate.Version);
  auto Found = SeenTimesByServer.find(Key);
  TimePoint Since =
      Found == SeenTimesByServer.end() ? Now : Found->second.First;
  Since = std::max(Since, Ejector.ejectedUntil(Key));
  double Share = static_cast<double>((Now - Since).count()) /
                 static_cast<double>(SlowStartTime.count());
  return std::clamp(Share, InitialSlowStartFactor, 1.0);
}

const Endpoint *Balancer::lessLoadedOfTwo(const Candidates &List,
                                          TimePoint Now) {
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
