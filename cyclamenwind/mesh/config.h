// MeshConfig: the operators' configuration in the form that the mesh uses for
// routing. RouteTable finds the route of a request.
//
// Configurations are ordered by the revision of the platform object that holds
// them, and by the version number that the operator gives only after a restore
// of the platform (config_position.h).

#ifndef CYCLAMENWIND_MESH_CONFIG_H
#define CYCLAMENWIND_MESH_CONFIG_H

#include "cyclamenwind/base/time.h"
#include "cyclamenwind/mesh/config_position.h"
#include "cyclamenwind/mesh/workspaces.h"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace cyclamenwind {

// Maximum size of a configuration's text, which one platform object holds.
inline constexpr size_t MaxConfigBytes = 1 << 20;

struct WeightedService {
  std::string Service;
  double Weight = 1;
};

struct MeshRoute {
  std::string Name;
  std::string Host;       // Host name in the request's Host header.
  std::string PathPrefix; // Begins and ends with a slash.
  // Whether it is safe to run a request of this route more than once.
  bool Idempotent = false;
  // Time within which the caller gets its final response.
  Duration Timeout = 1s;
  // Latency objective; a later response is of little use to the caller.
  Duration Objective = 1s;
  int MaxAttempts = 1; // Backend servers that one request may reach.
  int Priority = 0;    // 0 is the most urgent.
  std::vector<WeightedService> Targets;
  // Whether requests of this route need no key of a workspace.
  bool Public = false;
  bool Uploads = false; // Its requests have large bodies.
};

struct MeshService {
  std::string Name;
  std::string HealthPath;
  // Requests per second that a cold server of the service tolerates; nothing if
  // there is no limit.
  std::optional<double> ColdRate = std::nullopt;
  // How long a server of the service is cold after a start.
  Duration Warmup{};
};

struct CallerLimits {
  size_t MaxHeaderBytes = 16 * 1024;
  size_t MaxBodyBytes = 4 * 1024 * 1024;
  Duration HeaderTimeout = 10s;
  Duration IdleTimeout = 60s;
};

struct MeshConfig {
  uint64_t Epoch = 0; // Restore epoch of Revision.
  uint64_t Revision = 0;
  int64_t Version = 0; // Assigned by the operator.
  std::vector<MeshRoute> Routes;
  std::vector<MeshService> Services;
  CallerLimits Limits;
  // Null if no request needs a key.
  WorkspaceTablePtr Workspaces;
};

// Immutable; shared by the requests that were routed with it.
class RouteTable {
public:
  explicit RouteTable(MeshConfig Config);

  const MeshConfig &config() const { return Config; }
  uint64_t revision() const { return Config.Revision; }
  ConfigPosition position() const {
    return {Config.Epoch, Config.Revision, Config.Version};
  }

  // The route of Host with the longest matching prefix of Path; null if there
  // is none. Ignores a port in Host.
  const MeshRoute *match(std::string_view Host, std::string_view Path) const;

  // The service named Name; null if there is none.
  const MeshService *service(std::string_view Name) const;

  // The services that the configuration names: those that it describes and the
  // targets of its routes.
  std::set<std::string> serviceNames() const;

  // Whether a route sends requests with large bodies to the service named Name.
  bool takesUploads(const std::string &Name) const {
    return UploadServices.count(Name) != 0;
  }

private:
  MeshConfig Config;
  std::set<std::string> UploadServices;
  // Routes by normalized host name, the longest prefix first.
  std::map<std::string, std::vector<const MeshRoute *>, std::less<>>
      RoutesByHost;
};

using RouteTablePtr = std::shared_ptr<const RouteTable>;

} // namespace cyclamenwind

#endif
