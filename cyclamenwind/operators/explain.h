// Explains to which route, service and backend servers a request would go.

#ifndef CYCLAMENWIND_OPERATORS_EXPLAIN_H
#define CYCLAMENWIND_OPERATORS_EXPLAIN_H

#include "cyclamenwind/config/snapshot.h"
#include "cyclamenwind/membership/membership.h"

#include <nlohmann/json.hpp>

namespace cyclamenwind {

// The request that explain() explains.
struct ExplainQuery {
  std::string Method;
  std::string Path;
  // Version to which the request would go; see VersionChooser.
  std::string Version;
  // Failure domain of the daemon that would receive the request.
  std::string FailureDomain;
};

// Returns an object with "route", "service", "version", "candidates" and "why".
// Each candidate has "usable" and the reason in "why". "route" is null if no
// route matches.
nlohmann::json explain(const Snapshot &Current,
                       const std::vector<Endpoint> &Endpoints,
                       const ExplainQuery &Query);

} // namespace cyclamenwind

#endif
