// What operators are shown of the distribution, as JSON for /status.

#ifndef CYCLAMENWIND_CONFIG_STATUS_H
#define CYCLAMENWIND_CONFIG_STATUS_H

#include "cyclamenwind/config/config_distribution.h"

#include <nlohmann/json.hpp>

namespace cyclamenwind {

// One sum for each failure domain:
//
//   [{"failure_domain": "midrand-a", "counts": {"7": 182}, "unknown": 1,
//     "rejecting": 0, "age_ms": 150,
//     "laggards": [{"member": ..., "version": 6, "lag_ms": ..., "rejected":
//     0}]}]
//
// A version is in force everywhere if no counts are below it and nothing is
// unknown. Members of failure domains without a recent sum are in one more
// entry without a name, as unknown.
nlohmann::json fleetVersionsJson(const ConfigDistribution &Shown,
                                 const MemberList &Members, TimePoint Now);

// Frames and octets sent for control, other than calls, since the start:
// {"frames", "bytes"}.
nlohmann::json controlJson(const PeerTransport &Peers);

// This daemon's part: {"relay", "starting", "rejected"}.
nlohmann::json distributionJson(const ConfigDistribution &Shown, TimePoint Now);

} // namespace cyclamenwind

#endif
