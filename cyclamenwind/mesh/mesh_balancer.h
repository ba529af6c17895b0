// MeshBalancer: which of a service's backend servers gets a request.
//
// The one where the request can be expected to end soonest, from what the
// daemons beside the servers reported with their last replies (requests running
// and waiting, time a request takes, share of failures) and from this daemon's
// own requests under way. Reports lose weight with age, so that a server that
// was slow or failing is tried again. Servers whose daemon cannot be reached,
// and those that fail, come last. Pure deciding code.

#ifndef CYCLAMENWIND_MESH_MESH_BALANCER_H
#define CYCLAMENWIND_MESH_MESH_BALANCER_H

#include "cyclamenwind/base/random.h"
#include "cyclamenwind/mesh/endpoint.h"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace cyclamenwind {

// Load of a backend server, as the daemon beside it reports.
struct EndpointLoad {
  int Running = 0;
  int Queued = 0;
  int Slots = 0;
  Duration ServiceTime{}; // Zero if not known.
  double FailureShare = 0;
};

class MeshBalancer {
public:
  MeshBalancer(std::string FailureDomain, Random &Rng)
      : FailureDomain(std::move(FailureDomain)), Rng(Rng) {}

  // One of Candidates that is not in Tried, for a request with the latency
  // objective Objective; null if there is none.
  const MeshEndpoint *
  choose(const std::vector<const MeshEndpoint *> &Candidates,
         const std::set<std::string> &Tried, Duration Objective, TimePoint Now);

  // A request was sent to Id, or has ended there.
  void began(const std::string &Id) { ++States[Id].Outstanding; }
  void ended(const std::string &Id);

  void reported(const std::string &Id, const EndpointLoad &Report,
                TimePoint Now);

  // Nothing came back from Id's daemon, or it refused for a reason that will
  // last: Id is avoided for Span.
  void avoid(const std::string &Id, Duration Span, TimePoint Now);

  // Id's daemon is there again.
  void regained(const std::string &Id);

  // Share of failures among Id's last answers, as far as is known.
  double failureShare(const std::string &Id, TimePoint Now) const;

  void forget(const std::string &Id) { States.erase(Id); }

private:
  struct State {
    int Outstanding = 0;
    int OutstandingAtReport = 0;
    EndpointLoad Report;
    TimePoint ReportedAt;
    TimePoint AvoidUntil;
  };

  bool avoided(const std::string &Id, TimePoint Now) const;
  double cost(const MeshEndpoint &Candidate, double TypicalTime,
              double DomainCost, TimePoint Now);
  double typicalTime(const std::vector<const MeshEndpoint *> &Candidates) const;

  std::string FailureDomain;
  Random &Rng;
  std::map<std::string, State> States;
};

} // namespace cyclamenwind

#endif
