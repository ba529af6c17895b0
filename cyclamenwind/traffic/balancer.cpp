#include "cyclamenwind/traffic/balancer.h"

namespace cyclamenwind {
namespace {

// Calls per slot from which a failure domain counts as full.
constexpr double FullPressure = 1.0;

} // namespace

const Endpoint *Balancer::choose(const std::vector<Endpoint> &Endpoints,
                                 const std::string &Version,
                                 const std::set<std::string> &Tried) {
  std::vector<const Endpoint *> Near;
  std::vector<const Endpoint *> All;
  for (const Endpoint &Each : Endpoints) {
    if (Each.Version != Version || Tried.count(Each.MemberId) != 0)
      continue;
    All.push_back(&Each);
    if (Each.FailureDomain == FailureDomain && pressure(Each) < FullPressure)
      Near.push_back(&Each);
  }
  return lesserOfTwo(Near.empty() ? All : Near);
}

void Balancer::ended(const std::string &MemberId) {
  auto Found = Loads.find(MemberId);
  if (Found != Loads.end() && Found->second.Own > 0)
    --Found->second.Own;
}

void Balancer::reported(const std::string &MemberId, const ReportedLoad &Load) {
  Loads[MemberId].Reported = Load;
}

double Balancer::pressure(const Endpoint &Candidate) const {
  auto Found = Loads.find(Candidate.MemberId);
  if (Found == Loads.end())
    return 0;
  const Load &Seen = Found->second;
  int Calls = std::max(Seen.Own, Seen.Reported.InFlight) + Seen.Reported.Queued;
  return static_cast<double>(Calls) / std::max(1, Candidate.Slots);
}

const Endpoint *
Balancer::lesserOfTwo(const std::vector<const Endpoint *> &Candidates) {
  if (Candidates.empty())
    return nullptr;
  const Endpoint *First = Candidates[Dice.below(Candidates.size())];
  const Endpoint *Second = Candidates[Dice.below(Candidates.size())];
  return pressure(*Second) < pressure(*First) ? Second : First;
}

} // namespace cyclamenwind
