// HostSettings: the settings that a mesh daemon reads from its host.

#ifndef CYCLAMENWIND_MESH_HOST_SETTINGS_H
#define CYCLAMENWIND_MESH_HOST_SETTINGS_H

#include "cyclamenwind/base/address.h"
#include "cyclamenwind/base/time.h"

#include <optional>
#include <string>
#include <vector>

namespace cyclamenwind {

struct HostSettings {
  std::string Name;
  std::string FailureDomain;
  std::string ServerService; // Service of the local backend server.

  Address Callers;   // Requests of callers and of the local backend server.
  Address Readiness; // Readiness probes.
  Address Reports;   // Liveness reports of the local backend server.
  Address Peers;     // TCP and UDP between daemons.
  Address Platform;  // The platform's store, which this daemon calls.
  Address Metrics;   // Prometheus metrics.

  // Period of the local backend server's liveness reports.
  Duration ReportPeriod = 1500ms;
  // The daemon is killed this long after it was asked to stop.
  Duration StopLimit = 6s;
  // Retry budget for requests to a second server; see mesh/retry_budget.h.
  double RetryRatio = 0.2;
  double RetryExtra = 0;
  Duration RetryWindow = 10s;

  // Whether the whole mesh starts for the first time.
  bool FirstStart = false;

  size_t MemoryBytes = 0; // Memory limit of the daemon; 0 if not set.
  // Descriptors that the daemon may open; 0 if not set.
  int MaxDescriptors = 0;

  // Requests that a cold server may get in a second: its configured rate times
  // ColdRateFactor plus ColdSlack; see mesh/warmup_limiter.h.
  double ColdRateFactor = 1;
  double ColdSlack = 0;

  // Time within which an evacuation of a failure domain takes effect; nothing
  // if evacuations are not used.
  std::optional<Duration> EvacuationLimit;

  // Window over which the allowances of workspaces are judged, and the relative
  // and absolute excess that is tolerated in it; see mesh/allowance_owner.h.
  Duration AllowanceWindow = 5s;
  double AllowanceOverage = 0;
  double AllowanceSlack = 0;

  // Rate of the host's link; 0 if not known.
  double LinkBytesPerSecond = 0;
  // Calls that the platform allows all daemons together.
  double WritesPerSecond = 0;
  double ReadsPerSecond = 0;
};

} // namespace cyclamenwind

#endif
