// Balancer: chooses the endpoint for an attempt.
//
// Power of two choices: of two random endpoints of the wanted version the one
// with fewer calls in flight per slot is taken, counting this daemon's own
// calls and the load that its daemon reported last. Endpoints of the same
// failure domain come first while any of them has a free slot.

#ifndef CYCLAMENWIND_TRAFFIC_BALANCER_H
#define CYCLAMENWIND_TRAFFIC_BALANCER_H

#include "cyclamenwind/base/random.h"
#include "cyclamenwind/membership/membership.h"

#include <map>
#include <set>

namespace cyclamenwind {

// Load of one daemon's backend server as last heard.
struct ReportedLoad {
  int InFlight = 0;
  int Queued = 0;
};

class Balancer {
public:
  Balancer(std::string FailureDomain, Random &Dice)
      : FailureDomain(std::move(FailureDomain)), Dice(Dice) {}

  // An endpoint of Version that is not in Tried; null if there is none.
  const Endpoint *choose(const std::vector<Endpoint> &Endpoints,
                         const std::string &Version,
                         const std::set<std::string> &Tried);

  // Counts an attempt on MemberId as begun or ended.
  void begun(const std::string &MemberId) { ++Loads[MemberId].Own; }
  void ended(const std::string &MemberId);
  void reported(const std::string &MemberId, const ReportedLoad &Load);

private:
  struct Load {
    int Own = 0;
    ReportedLoad Reported;
  };

  double pressure(const Endpoint &Candidate) const;
  const Endpoint *lesserOfTwo(const std::vector<const Endpoint *> &Candidates);

  std::string FailureDomain;
  Random &Dice;
  std::map<std::string, Load> Loads;
};

} // namespace cyclamenwind

#endif
