// The state of the configuration distribution, as JSON for /status.

#ifndef CYCLAMENWIND_CONFIG_STATUS_H
#define CYCLAMENWIND_CONFIG_STATUS_H

#include "cyclamenwind/config/config_distribution.h"

#include <nlohmann/json.hpp>

namespace cyclamenwind {

// One summary for each failure domain:
//
//   [{"failure_domain": "midrand-a", "counts": {"7": 182}, "unknown": 1,
//     "rejecting": 0, "age_ms": 150,
//     "laggards": [{"member": ..., "version": 6, "lag_ms": ..., "rejected":
//     0}]}]
//
// A version is applied everywhere if no lower version has a count and no member
// is unknown. Members of failure domains without a recent summary are counted
// as unknown in one more entry, whose failure_domain is empty.
nlohmann::json fleetVersionsJson(const ConfigDistribution &Distribution,
                                 const MemberList &Members, TimePoint Now);

// Frames and bytes sent to peers since the start, except those of calls:
// {"frames", "bytes"}.
nlohmann::json controlJson(const PeerTransport &Peers);

// This daemon's state: {"relay", "starting", "rejected"}.
nlohmann::json distributionJson(const ConfigDistribution &Distribution,
                                TimePoint Now);

} // namespace cyclamenwind

#endif
