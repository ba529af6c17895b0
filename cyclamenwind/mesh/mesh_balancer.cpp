#include "cyclamenwind/mesh/mesh_balancer.h"

#include <algorithm>
#include <cmath>

namespace cyclamenwind {
namespace {

// Assumed service time before any server has reported one.
constexpr double DefaultServiceTimeUs = 50e3;
// The assumed service time of a server without reports is the mean times this
// factor, so that the server gets its first request soon.
constexpr double UnreportedFactor = 0.7;
// Relative extra cost of a server whose slots are all in use; proportionally
// less while some are free. Some servers slow down before they are full.
constexpr double OccupancyFactor = 0.35;
// Half-life of a report's weight.
constexpr double ReportHalfLifeS = 1.5;
// Traffic between failure domains is expensive, while latency below the
// objective is not. A server of another domain is therefore chosen only if it
// saves a part of the objective: MinCrossDomainShare for a small body and
// response, all of it for ExpensiveBytes or more of the two together, whose
// transfer costs about as much as the response is worth.
constexpr double MinCrossDomainShare = 0.25;
constexpr double ExpensiveBytes = 64 * 1024;
// Weight of the newest request in the moving average of the transit time.
constexpr double NewestTransitWeight = 0.3;
// Random variation of the cost, so that daemons with the same data do not all
// choose the same server.
constexpr double CostJitter = 0.15;
// A rate limit that was reported longer ago may have ended.
constexpr Duration RateLimitMaxAge = 5s;
// A server that takes no requests is asked again about as often.
constexpr double MinRateLimit = 0.5;
// A cold server takes about this many times as long. Chosen, not measured.
constexpr double ColdFactor = 2;
// Initially each sender offers this many times its equal share of a cold
// server's rate, since not all of them have requests. What exceeds the limit is
// refused by the server's daemon. Chosen, not measured.
constexpr double ColdOversubscription = 2;
// Change of the interval between requests to a cold server after a reply that
// says that it has room, and after one that says that it has none.
constexpr double ColdIntervalDecrease = 0.7;
constexpr double ColdIntervalIncrease = 1.2;
// Random variation of that interval, so that senders do not stay in step.
constexpr double ColdIntervalJitter = 0.5;
constexpr double MicrosecondsPerSecond = 1e6;
// Extra cost of a server that fails every request, in multiples of the service
// time. Without it a server that fails immediately would look fast.
constexpr double FailureFactor = 30;
// Failure shares up to this are an application's normal errors.
constexpr double NormalFailureShare = 0.04;

// Weight of a report received at ReportedAt: 1 when new, 0 if there is none.
double weightOf(TimePoint ReportedAt, TimePoint Now) {
  if (ReportedAt == TimePoint())
    return 0;
  double Age = std::chrono::duration<double>(Now - ReportedAt).count();
  return std::exp2(-std::max(0.0, Age) / ReportHalfLifeS);
}

// Part of the objective that a server of another failure domain must save.
double crossDomainShare(const BalancedRequest &Request) {
  double Bytes = Request.BodyBytes + Request.ResponseBytes;
  double Expense = std::clamp(Bytes / ExpensiveBytes, 0.0, 1.0);
  return MinCrossDomainShare + (1 - MinCrossDomainShare) * Expense;
}

} // namespace

const MeshEndpoint *
MeshBalancer::choose(const std::vector<const MeshEndpoint *> &Candidates,
                     const std::set<std::string> &Tried,
                     const BalancedRequest &Request, TimePoint Now) {
  double DomainCost = crossDomainShare(Request) *
                      static_cast<double>(Request.Objective.count());
  double MeanServiceTime = meanServiceTime(Candidates);
  const MeshEndpoint *Best = nullptr;
  double BestCost = 0;
  bool BestAvoided = false;
  for (const MeshEndpoint *Candidate : Candidates) {
    if (Tried.count(Candidate->Id) != 0)
      continue;
    auto Known = States.find(Candidate->Id);
    if (Known != States.end() && Now < Known->second.ColdUntil &&
        Now < Known->second.NextColdRequest)
      continue;
    bool Avoided = isAvoided(Candidate->Id, Now);
    double Cost = expectedCost(*Candidate, MeanServiceTime, DomainCost, Now);
    if (Request.BodyBytes > 0)
      Cost += bodyWait(Candidate->Id, Now);
    bool Better = Best == nullptr || (BestAvoided && !Avoided) ||
                  (BestAvoided == Avoided && Cost < BestCost);
    if (!Better)
      continue;
    Best = Candidate;
    BestCost = Cost;
    BestAvoided = Avoided;
  }
  return Best;
}

bool MeshBalancer::isAvoided(const std::string &Id, TimePoint Now) const {
  auto Found = States.find(Id);
  return Found != States.end() && Now < Found->second.AvoidUntil;
}

double MeshBalancer::meanServiceTime(
    const std::vector<const MeshEndpoint *> &Candidates) const {
  double Sum = 0;
  int Count = 0;
  for (const MeshEndpoint *Candidate : Candidates) {
    auto Found = States.find(Candidate->Id);
    if (Found == States.end() ||
        Found->second.Load.ServiceTime <= Duration::zero())
      continue;
    Sum += static_cast<double>(Found->second.Load.ServiceTime.count());
    ++Count;
  }
  return Count == 0 ? DefaultServiceTimeUs : Sum / Count;
}

// Expected time to complete a request, in microseconds, with penalties.
double MeshBalancer::expectedCost(const MeshEndpoint &Candidate,
                                  double MeanServiceTime, double DomainCost,
                                  TimePoint Now) {
  ServerState &Server = States[Candidate.Id];
  double Weight = weightOf(Server.ReportedAt, Now);
  double ServiceTime = MeanServiceTime * UnreportedFactor;
  if (Server.Load.ServiceTime > Duration::zero())
    ServiceTime =
        Weight * static_cast<double>(Server.Load.ServiceTime.count()) +
        (1 - Weight) * MeanServiceTime;
  double Others = std::max(0, Server.Load.Running + Server.Load.Queued -
                                  Server.OutstandingAtReport);
  double Load = Server.Outstanding + Weight * Others;
  double Slots =
      std::max(1, Server.Load.Slots > 0 ? Server.Load.Slots : Candidate.Slots);
  double Cost =
      ServiceTime * (1 + OccupancyFactor * std::min(1.0, Load / Slots));
  if (Load >= Slots)
    Cost += ServiceTime * (Load - Slots + 1) / Slots;
  double Failures =
      std::max(0.0, Server.Load.FailureShare - NormalFailureShare) * Weight;
  Cost += FailureFactor * Failures * std::max(ServiceTime, MeanServiceTime);
  Cost += Weight * static_cast<double>(Server.MeanTransit.count());
  Cost += rateWait(Server, Now);
  if (Now < Server.ColdUntil)
    Cost = ColdFactor * Cost +
           Server.Outstanding * MicrosecondsPerSecond / Server.ColdRate;
  if (Candidate.FailureDomain != FailureDomain)
    Cost += DomainCost;
  return Cost * (1 + CostJitter * (2 * Rng.fraction() - 1));
}

// Requests that this daemon has sent since the report take their part of the
// limit first.
double MeshBalancer::rateWait(const ServerState &Server, TimePoint Now) {
  if (!Server.Load.RateLimit)
    return 0;
  Duration Wait = Server.Load.RateWait - (Now - Server.ReportedAt);
  double SentSince =
      std::max(0, Server.Outstanding - Server.OutstandingAtReport);
  return static_cast<double>(std::max(Wait, Duration::zero()).count()) +
         SentSince * MicrosecondsPerSecond /
             std::max(*Server.Load.RateLimit, MinRateLimit);
}

double MeshBalancer::bodyWait(const std::string &Id, TimePoint Now) const {
  const ServerState &Server = States.at(Id);
  return weightOf(Server.BodyWaitAt, Now) *
         static_cast<double>(Server.BodyWait.count());
}

void MeshBalancer::updateBodyWait(const std::string &Id, Duration Wait,
                                  TimePoint Now) {
  ServerState &Server = States[Id];
  Server.BodyWait = std::max(Wait, Duration::zero());
  Server.BodyWaitAt = Now;
}

std::optional<double> MeshBalancer::rateLimit(const MeshEndpoint &Server,
                                              TimePoint Now) const {
  auto Found = States.find(Server.Id);
  if (Found == States.end() ||
      Found->second.Load.LimitStartedAtMs != Server.StartedAtMs ||
      Now - Found->second.ReportedAt > RateLimitMaxAge)
    return std::nullopt;
  return Found->second.Load.RateLimit;
}

double MeshBalancer::failureShare(const std::string &Id, TimePoint Now) const {
  auto Found = States.find(Id);
  if (Found == States.end())
    return 0;
  return Found->second.Load.FailureShare *
         weightOf(Found->second.ReportedAt, Now);
}

void MeshBalancer::requestEnded(const std::string &Id) {
  auto Found = States.find(Id);
  if (Found != States.end() && Found->second.Outstanding > 0)
    --Found->second.Outstanding;
}

void MeshBalancer::requestStarted(const std::string &Id, TimePoint Now) {
  requestStarted(Id);
  ServerState &Server = States[Id];
  if (Now < Server.ColdUntil)
    Server.NextColdRequest =
        Now + Rng.jittered(Server.ColdInterval, ColdIntervalJitter);
}

void MeshBalancer::updateWarmup(const std::string &Id,
                                const ServerWarmup &Warmup, Duration Wait,
                                size_t Senders, TimePoint Now) {
  ServerState &Server = States[Id];
  Wait = std::clamp(Wait, Duration::zero(), Duration(MaxWarmup));
  bool WasCold = Now < Server.ColdUntil;
  Server.ColdUntil = Now + Warmup.Left;
  Server.ColdRate = Warmup.PerSecond;
  auto ToDuration = [](double Microseconds) {
    return Duration(static_cast<int64_t>(Microseconds));
  };
  double Share = MicrosecondsPerSecond / Warmup.PerSecond;
  double Longest = Share * static_cast<double>(std::max<size_t>(1, Senders));
  // A shorter wait is one for a slot.
  bool Full = static_cast<double>(Wait.count()) > Share;
  double Interval = Longest / ColdOversubscription;
  if (WasCold)
    Interval = static_cast<double>(Server.ColdInterval.count()) *
               (Full ? ColdIntervalIncrease : ColdIntervalDecrease);
  Server.ColdInterval = ToDuration(std::clamp(Interval, Share, Longest));
  Duration Pause = ToDuration(Rng.fraction() *
                              static_cast<double>(Server.ColdInterval.count()));
  TimePoint Next = Now + (Full ? Wait : Duration::zero()) + Pause;
  if (Full && WasCold)
    Next = std::max(Next, Server.NextColdRequest);
  else if (WasCold)
    Next = std::min(Next, Server.NextColdRequest);
  Server.NextColdRequest = Next;
}

void MeshBalancer::endWarmup(const std::string &Id) {
  auto Found = States.find(Id);
  if (Found != States.end())
    Found->second.ColdUntil = TimePoint();
}

std::optional<Duration>
MeshBalancer::warmupWait(const std::vector<const MeshEndpoint *> &Candidates,
                         const std::set<std::string> &Tried,
                         TimePoint Now) const {
  std::optional<Duration> Shortest;
  for (const MeshEndpoint *Candidate : Candidates) {
    auto Found = States.find(Candidate->Id);
    if (Tried.count(Candidate->Id) != 0 || Found == States.end() ||
        Now >= Found->second.ColdUntil)
      continue;
    Duration Wait = std::max(
        std::min(Found->second.NextColdRequest, Found->second.ColdUntil) - Now,
        Duration::zero());
    Shortest = std::min(Shortest.value_or(Wait), Wait);
  }
  return Shortest;
}

void MeshBalancer::updateLoad(const std::string &Id, const EndpointLoad &Load,
                              TimePoint Now) {
  ServerState &Server = States[Id];
  double Newest = static_cast<double>(Load.Transit.count());
  double Mean = static_cast<double>(Server.MeanTransit.count());
  if (Server.ReportedAt == TimePoint())
    Mean = Newest;
  Server.MeanTransit = Duration(
      static_cast<int64_t>(Mean + NewestTransitWeight * (Newest - Mean)));
  Server.Load = Load;
  Server.OutstandingAtReport = Server.Outstanding;
  Server.ReportedAt = Now;
}

void MeshBalancer::stopAvoiding(const std::string &Id) {
  auto Found = States.find(Id);
  if (Found != States.end())
    Found->second.AvoidUntil = TimePoint();
}

void MeshBalancer::avoid(const std::string &Id, Duration Span, TimePoint Now) {
  TimePoint &Until = States[Id].AvoidUntil;
  Until = std::max(Until, Now + Span);
}

} // namespace cyclamenwind
