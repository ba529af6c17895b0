#include "cyclamenwind/operators/explain.h"

namespace cyclamenwind {
namespace {

using nlohmann::json;

json routeJson(const RouteSpec &Route) {
  return {{"name", Route.Name},
          {"method", Route.Method.empty() ? "any" : Route.Method},
          {"path_prefix", Route.PathPrefix},
          {"deadline_ms", milliseconds(Route.Deadline)},
          {"repeatable", Route.Idempotent},
          {"priority", nameOf(Route.Urgency)}};
}

std::string candidateReason(const Endpoint &Candidate,
                            const ExplainQuery &Query) {
  if (Candidate.Version != Query.Version)
    return "not chosen: its version is " + Candidate.Version;
  if (Candidate.FailureDomain != Query.FailureDomain)
    return "chosen while no backend server in this failure domain has a free "
           "slot";
  return "preferred: same failure domain";
}

} // namespace

json explain(const Snapshot &Current, const std::vector<Endpoint> &Endpoints,
             const ExplainQuery &Query) {
  json Answer = {{"method", Query.Method},
                 {"path", Query.Path},
                 {"config_version", Current.version()},
                 {"route", nullptr},
                 {"candidates", json::array()}};
  const RouteSpec *Route = Current.route(Query.Method, Query.Path);
  if (Route == nullptr) {
    Answer["why"] = "no route matches this method and path";
    return Answer;
  }
  Answer["route"] = routeJson(*Route);
  Answer["service"] = Route->Service;
  Answer["version"] = Query.Version;
  size_t UsableCount = 0;
  for (const Endpoint &Candidate : Endpoints) {
    bool Usable = Candidate.Version == Query.Version;
    UsableCount += Usable ? 1 : 0;
    Answer["candidates"].push_back(
        {{"member", Candidate.MemberId},
         {"peer", Candidate.Peer.text()},
         {"failure_domain", Candidate.FailureDomain},
         {"version", Candidate.Version},
         {"slots", Candidate.Slots},
         {"usable", Usable},
         {"why", candidateReason(Candidate, Query)}});
  }
  Answer["why"] = UsableCount == 0
                      ? "no backend server of this version is known; "
                        "the request would be refused (no_server)"
                      : "the less loaded of two random usable "
                        "candidates is chosen";
  return Answer;
}

} // namespace cyclamenwind
