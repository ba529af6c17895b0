// Balancer: chooses the endpoint for an attempt.
//
// Candidates are the endpoints of the requested version. Suspected members are
// left out unless all are suspected. Endpoints ejected for their outcomes
// (ejection.h) are left out unless that would leave out more than half of the
// remaining ones. A subset of the rest (subset.h) bounds the number of streams
// that a daemon holds.
//
// Endpoints of the daemon's own failure domain are preferred while any of them
// has a free slot; beyond that, calls spill over to all. Of two random
// candidates the less loaded one is taken (power of two choices). Load is this
// daemon's own calls in flight and the load that the member reported last. A
// new endpoint receives an increasing share of calls (slow start).
//
// Does no I/O and reads no clock: callers pass the current time.

#ifndef CYCLAMENWIND_TRAFFIC_BALANCER_H
#define CYCLAMENWIND_TRAFFIC_BALANCER_H

#include "cyclamenwind/base/random.h"
#include "cyclamenwind/membership/endpoints.h"
#include "cyclamenwind/traffic/ejection.h"

#include <set>

namespace cyclamenwind {

// Load of the backend servers of one daemon, as that daemon last reported it.
struct ReportedLoad {
  int InFlight = 0;
  int Queued = 0;
};

// Backend server that an attempt was sent to.
struct AttemptTarget {
  std::string Service;
  std::string Version;
  std::string MemberId;
};

class Balancer {
public:
  // SelfId identifies this daemon and must survive its restarts (subset.h).
  // FailureDomain is this daemon's.
  Balancer(std::string SelfId, std::string FailureDomain, Random &Rng)
      : SelfId(std::move(SelfId)), FailureDomain(std::move(FailureDomain)),
        Rng(Rng) {}

  // Returns an endpoint of Version that is not in Tried; null if there is none.
  // It points into Endpoints.
  const Endpoint *choose(const std::vector<Endpoint> &Endpoints,
                         const std::string &Version,
                         const std::set<std::string> &Tried, TimePoint Now);

  // Counts an attempt on MemberId as started or ended.
  void recordStart(const std::string &MemberId) {
    ++Loads[MemberId].OwnInFlight;
  }
  void recordEnd(const std::string &MemberId);
  void recordLoad(const std::string &MemberId, const ReportedLoad &Load,
                  TimePoint Now);

  // Records how an attempt ended, as seen by the daemon that sent it. Status is
  // the HTTP status if the outcome is Answered.
  void recordOutcome(const AttemptTarget &Target, CallOutcome Outcome,
                     CallReason Reason, int Status, Duration Latency,
                     TimePoint Now);

private:
  struct Load {
    int OwnInFlight = 0;
    ReportedLoad Reported;
    TimePoint ReportedAt;
  };
  // Times at which choose() first and last saw an endpoint.
  struct SeenTimes {
    TimePoint First;
    TimePoint Last;
  };
  using Candidates = std::vector<const Endpoint *>;

  Candidates selectHealthy(const Candidates &Matching, TimePoint Now) const;
  void recordSeen(const Endpoint &Listed, TimePoint Now);
  double utilization(const Endpoint &Candidate, TimePoint Now) const;
  double cost(const Endpoint &Candidate, TimePoint Now) const;
  double slowStartFactor(const Endpoint &Candidate, TimePoint Now) const;
  const Endpoint *lessLoadedOfTwo(const Candidates &List, TimePoint Now);

  std::string SelfId;
  std::string FailureDomain;
  Random &Rng;
  std::map<std::string, Load> Loads;
  std::map<std::string, SeenTimes> SeenTimesByServer;
  OutlierEjector Ejector;
};

} // namespace cyclamenwind

#endif
