// MeshConfig: what operators configured, as the mesh routes by it.
//
// RouteTable finds a request's route. Versions are ordered by the revision of
// the object that holds them on the platform.

#ifndef CYCLAMENWIND_MESH_CONFIG_H
#define CYCLAMENWIND_MESH_CONFIG_H

#include "cyclamenwind/base/time.h"

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace cyclamenwind {

// A configuration's text is no larger: one object of the platform holds it.
inline constexpr size_t MaxConfigBytes = 1 << 20;

struct WeightedService {
  std::string Service;
  double Weight = 1;
};

struct MeshRoute {
  std::string Name;
  std::string Host;
  std::string PathPrefix; // Begins and ends with a slash.
  // Whether a request may run more than once.
  bool Idempotent = false;
  // When the caller gets its final answer at the latest.
  Duration Timeout = 1s;
  // Latency objective: an answer that comes later is worth little.
  Duration Objective = 1s;
  int MaxAttempts = 1; // Backend servers that may see one request.
  int Priority = 0;    // 0 is the most urgent.
  std::vector<WeightedService> Targets;
};

struct MeshService {
  std::string Name;
  std::string HealthPath;
};

struct CallerLimits {
  size_t MaxHeaderBytes = 16 * 1024;
  size_t MaxBodyBytes = 4 * 1024 * 1024;
  Duration HeaderTimeout = 10s;
  Duration IdleTimeout = 60s;
};

struct MeshConfig {
  uint64_t Revision = 0;
  int64_t Version = 0; // As the operator numbers it.
  std::vector<MeshRoute> Routes;
  std::vector<MeshService> Services;
  CallerLimits Limits;
};

// Immutable; shared by the requests that were routed by it.
class RouteTable {
public:
  explicit RouteTable(MeshConfig Config);

  const MeshConfig &config() const { return Config; }
  uint64_t revision() const { return Config.Revision; }

  // The route of Host (a port is ignored) with the longest prefix of Path; null
  // if there is none.
  const MeshRoute *match(std::string_view Host, std::string_view Path) const;

  // The service called Name; null if there is none.
  const MeshService *service(std::string_view Name) const;

private:
  MeshConfig Config;
  // Routes of a host, the longest prefix first.
  std::map<std::string, std::vector<const MeshRoute *>, std::less<>> ByHost;
};

using RouteTablePtr = std::shared_ptr<const RouteTable>;

} // namespace cyclamenwind

#endif
