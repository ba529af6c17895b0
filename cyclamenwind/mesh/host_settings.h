// HostSettings: what a daemon of the mesh needs to know of its host.

#ifndef CYCLAMENWIND_MESH_HOST_SETTINGS_H
#define CYCLAMENWIND_MESH_HOST_SETTINGS_H

#include "cyclamenwind/base/address.h"
#include "cyclamenwind/base/time.h"

#include <string>
#include <vector>

namespace cyclamenwind {

struct HostSettings {
  std::string Name;
  std::string FailureDomain;
  std::string ServerService; // Of the backend server beside the daemon.

  Address Callers;   // Where callers and the backend server send requests.
  Address Readiness; // Where it is asked whether callers may be sent here.
  Address Reports;   // Where the backend server reports.
  Address Peers;     // TCP and UDP between daemons.
  Address Platform;  // The platform's store.
  Address Metrics;

  Duration ReportPeriod = 1500ms;
  // A stop ends by force this long after it was asked for.
  Duration StopLimit = 6s;
  // Allowance for requests to a second server; see mesh/retry_allowance.h.
  double RetryRatio = 0.2;
  double RetryExtra = 0;
  Duration RetryWindow = 10s;

  size_t MemoryBytes = 0;
  // The platform's rates, of all daemons together.
  double WritesPerSecond = 0;
  double ReadsPerSecond = 0;
};

} // namespace cyclamenwind

#endif
