// Explain: which route, service and backend servers a request would get.

#ifndef CYCLAMENWIND_OPERATORS_EXPLAIN_H
#define CYCLAMENWIND_OPERATORS_EXPLAIN_H

#include "cyclamenwind/config/snapshot.h"
#include "cyclamenwind/membership/membership.h"

#include <nlohmann/json.hpp>

namespace cyclamenwind {

// What explain() is asked about, besides the configuration.
struct ExplainQuestion {
  std::string Method;
  std::string Path;
  // Version that the request would go to; see VersionChooser.
  std::string Version;
  // Of the daemon that would take the request.
  std::string FailureDomain;
};

// An object with "route", "service", "version" and "candidates"; each candidate
// says whether it may be chosen and why. "route" is null if none matches.
nlohmann::json explain(const Snapshot &Current,
                       const std::vector<Endpoint> &Endpoints,
                       const ExplainQuestion &Question);

} // namespace cyclamenwind

#endif
