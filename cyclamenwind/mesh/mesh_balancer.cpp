#include "cyclamenwind/mesh/mesh_balancer.h"

#include <algorithm>
#include <cmath>

namespace cyclamenwind {
namespace {

// Time of a request before any was seen, microseconds.
constexpr double DefaultServiceTime = 50e3;
// A server without reports is taken to be this much faster than the others, so
// that it gets a first request soon.
constexpr double UnknownFactor = 0.7;
// Extra cost of a full server that has no queue yet; some servers slow down
// before they are full.
constexpr double PressureFactor = 0.35;
// After this long half of a report's weight is gone.
constexpr double ReportHalfLife = 1.5; // Seconds.
// Bytes between failure domains are dear, while time within the objective is
// not: another domain has to save this part of the objective.
constexpr double DomainShare = 0.25;
// Spread of the cost, so that daemons with the same view do not all choose the
// same server.
constexpr double Spread = 0.15;
// A server that fails everything costs this many times a request's usual time
// more: one that fails at once would look fast.
constexpr double FailureFactor = 30;
// Shares below are normal errors of an application.
constexpr double NormalFailureShare = 0.04;

// Weight of what was reported at ReportedAt: 1 when new.
double weightOf(TimePoint ReportedAt, TimePoint Now) {
  if (ReportedAt == TimePoint())
    return 0;
  double Age = std::chrono::duration<double>(Now - ReportedAt).count();
  return std::exp2(-std::max(0.0, Age) / ReportHalfLife);
}

} // namespace

const MeshEndpoint *
MeshBalancer::choose(const std::vector<const MeshEndpoint *> &Candidates,
                     const std::set<std::string> &Tried, Duration Objective,
                     TimePoint Now) {
  double DomainCost = DomainShare * static_cast<double>(Objective.count());
  double Typical = typicalTime(Candidates);
  const MeshEndpoint *Best = nullptr;
  double BestCost = 0;
  bool BestAvoided = false;
  for (const MeshEndpoint *Each : Candidates) {
    if (Tried.count(Each->Id) != 0)
      continue;
    bool Avoided = avoided(Each->Id, Now);
    double Cost = cost(*Each, Typical, DomainCost, Now);
    bool Better = Best == nullptr || (BestAvoided && !Avoided) ||
                  (BestAvoided == Avoided && Cost < BestCost);
    if (!Better)
      continue;
    Best = Each;
    BestCost = Cost;
    BestAvoided = Avoided;
  }
  return Best;
}

bool MeshBalancer::avoided(const std::string &Id, TimePoint Now) const {
  auto Found = States.find(Id);
  return Found != States.end() && Now < Found->second.AvoidUntil;
}

double MeshBalancer::typicalTime(
    const std::vector<const MeshEndpoint *> &Candidates) const {
  double Sum = 0;
  int Count = 0;
  for (const MeshEndpoint *Each : Candidates) {
    auto Found = States.find(Each->Id);
    if (Found == States.end() ||
        Found->second.Report.ServiceTime <= Duration::zero())
      continue;
    Sum += static_cast<double>(Found->second.Report.ServiceTime.count());
    ++Count;
  }
  return Count == 0 ? DefaultServiceTime : Sum / Count;
}

// Expected time to the end of a request, in microseconds.
double MeshBalancer::cost(const MeshEndpoint &Candidate, double TypicalTime,
                          double DomainCost, TimePoint Now) {
  State &Known = States[Candidate.Id];
  double Weight = weightOf(Known.ReportedAt, Now);
  double Time = TypicalTime * UnknownFactor;
  if (Known.Report.ServiceTime > Duration::zero())
    Time = Weight * static_cast<double>(Known.Report.ServiceTime.count()) +
           (1 - Weight) * TypicalTime;
  double Others = std::max(0, Known.Report.Running + Known.Report.Queued -
                                  Known.OutstandingAtReport);
  double Load = Known.Outstanding + Weight * Others;
  double Slots = std::max(1, Known.Report.Slots > 0 ? Known.Report.Slots
                                                    : Candidate.Slots);
  double Cost = Time * (1 + PressureFactor * std::min(1.0, Load / Slots));
  if (Load >= Slots)
    Cost += Time * (Load - Slots + 1) / Slots;
  double Failures =
      std::max(0.0, Known.Report.FailureShare - NormalFailureShare) * Weight;
  Cost += FailureFactor * Failures * std::max(Time, TypicalTime);
  if (Candidate.FailureDomain != FailureDomain)
    Cost += DomainCost;
  return Cost * (1 + Spread * (2 * Rng.fraction() - 1));
}

double MeshBalancer::failureShare(const std::string &Id, TimePoint Now) const {
  auto Found = States.find(Id);
  if (Found == States.end())
    return 0;
  return Found->second.Report.FailureShare *
         weightOf(Found->second.ReportedAt, Now);
}

void MeshBalancer::ended(const std::string &Id) {
  auto Found = States.find(Id);
  if (Found != States.end() && Found->second.Outstanding > 0)
    --Found->second.Outstanding;
}

void MeshBalancer::reported(const std::string &Id, const EndpointLoad &Report,
                            TimePoint Now) {
  State &Known = States[Id];
  Known.Report = Report;
  Known.OutstandingAtReport = Known.Outstanding;
  Known.ReportedAt = Now;
}

void MeshBalancer::regained(const std::string &Id) {
  auto Found = States.find(Id);
  if (Found != States.end())
    Found->second.AvoidUntil = TimePoint();
}

void MeshBalancer::avoid(const std::string &Id, Duration Span, TimePoint Now) {
  TimePoint &Until = States[Id].AvoidUntil;
  Until = std::max(Until, Now + Span);
}

} // namespace cyclamenwind
