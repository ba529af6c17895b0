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

std::string whyOf(const Endpoint &Candidate, const ExplainQuestion &Question) {
  if (Candidate.Version != Question.Version)
    return "not chosen: its version is " + Candidate.Version;
  if (Candidate.FailureDomain != Question.FailureDomain)
    return "chosen while no backend server in this failure domain has a free "
           "slot";
  return "preferred: same failure domain";
}

} // namespace

json explain(const Snapshot &Current, const std::vector<Endpoint> &Endpoints,
             const ExplainQuestion &Question) {
  json Answer = {{"method", Question.Method},
                 {"path", Question.Path},
                 {"config_version", Current.version()},
                 {"route", nullptr},
                 {"candidates", json::array()}};
  const RouteSpec *Route = Current.route(Question.Method, Question.Path);
  if (Route == nullptr) {
    Answer["why"] = "no route matches this method and path";
    return Answer;
  }
  Answer["route"] = routeJson(*Route);
  Answer["service"] = Route->Service;
  Answer["version"] = Question.Version;
  size_t Usable = 0;
  for (const Endpoint &Each : Endpoints) {
    bool Candidate = Each.Version == Question.Version;
    Usable += Candidate ? 1 : 0;
    Answer["candidates"].push_back({{"member", Each.MemberId},
                                    {"peer", Each.Peer.text()},
                                    {"failure_domain", Each.FailureDomain},
                                    {"version", Each.Version},
                                    {"slots", Each.Slots},
                                    {"usable", Candidate},
                                    {"why", whyOf(Each, Question)}});
  }
  Answer["why"] = Usable == 0 ? "no backend server of this version is known; "
                                "the request would be refused (no_server)"
                              : "the less loaded of two random usable "
                                "candidates is chosen";
  return Answer;
}

} // namespace cyclamenwind
