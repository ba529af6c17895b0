// Balancer: chooses the endpoint for an attempt.
//
// Of the endpoints of the wanted version it leaves out suspected members and
// those ejected for their outcomes (ejection.h), unless that would leave out
// more than half of them. A subset of the rest (subset.h) bounds the streams a
// daemon holds. Endpoints of the same failure domain come first while any of
// them has a free slot; then the load spills over to all. Of two random ones
// the less loaded is taken, counting this daemon's own calls and the load that
// the member reported last; new ones are given more load little by little. Pure
// deciding code.

#ifndef CYCLAMENWIND_TRAFFIC_BALANCER_H
#define CYCLAMENWIND_TRAFFIC_BALANCER_H

#include "cyclamenwind/base/random.h"
#include "cyclamenwind/membership/endpoints.h"
#include "cyclamenwind/traffic/ejection.h"

#include <set>

namespace cyclamenwind {

// Load of one daemon's backend server as last heard.
struct ReportedLoad {
  int InFlight = 0;
  int Queued = 0;
};

// What an attempt was made on.
struct AttemptTarget {
  std::string Service;
  std::string Version;
  std::string MemberId;
};

class Balancer {
public:
  // For the daemon SelfId in FailureDomain.
  Balancer(std::string SelfId, std::string FailureDomain, Random &Rng)
      : SelfId(std::move(SelfId)), FailureDomain(std::move(FailureDomain)),
        Rng(Rng) {}

  // An endpoint of Version that is not in Tried; null if there is none.
  const Endpoint *choose(const std::vector<Endpoint> &Endpoints,
                         const std::string &Version,
                         const std::set<std::string> &Tried, TimePoint Now);

  // Counts an attempt on MemberId as begun or ended.
  void begun(const std::string &MemberId) { ++Loads[MemberId].Own; }
  void ended(const std::string &MemberId);
  void reported(const std::string &MemberId, const ReportedLoad &Load,
                TimePoint Now);

  // How an attempt ended, as its caller's side saw it. Status is the HTTP
  // status of an answer.
  void observed(const AttemptTarget &Target, CallOutcome End, CallReason Reason,
                int Status, Duration Latency, TimePoint Now);

private:
  struct Load {
    int Own = 0;
    ReportedLoad Reported;
    TimePoint ReportedAt;
  };
  // When an endpoint was first seen, and last.
  struct Presence {
    TimePoint First;
    TimePoint Last;
  };
  using Candidates = std::vector<const Endpoint *>;

  Candidates healthy(const Candidates &Wanted, TimePoint Now) const;
  void notePresence(const Endpoint &Seen, TimePoint Now);
  double pressure(const Endpoint &Candidate, TimePoint Now) const;
  double cost(const Endpoint &Candidate, TimePoint Now) const;
  double warmth(const Endpoint &Candidate, TimePoint Now) const;
  const Endpoint *lesserOfTwo(const Candidates &List, TimePoint Now);

  std::string SelfId;
  std::string FailureDomain;
  Random &Rng;
  std::map<std::string, Load> Loads;
  std::map<std::string, Presence> Presences;
  OutlierEjector Ejector;
};

} // namespace cyclamenwind

#endif
