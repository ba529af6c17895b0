// MeshDaemon: the daemon beside a backend server, assembled from the services
// of the mesh.

#ifndef CYCLAMENWIND_MESH_MESH_DAEMON_H
#define CYCLAMENWIND_MESH_MESH_DAEMON_H

#include "cyclamenwind/base/kernel.h"
#include "cyclamenwind/base/loop.h"
#include "cyclamenwind/http/pipeline_server.h"
#include "cyclamenwind/mesh/header_codec.h"
#include "cyclamenwind/mesh/host_settings.h"
#include "cyclamenwind/mesh/local_server_registry.h"
#include "cyclamenwind/mesh/store_sync.h"
#include "cyclamenwind/store/client.h"

namespace cyclamenwind {

// After this a call to the platform has no answer. One takes 4 ms, and 200 ms
// while the platform is slow.
inline constexpr Duration PlatformCallTimeout = 1s;

// What the outside speaks; all of it outlives the daemon.
struct MeshAdapters {
  const HeaderCodec &Format;
  const MeshCodec &Codec;
  // Answers the requests of the backend server beside the daemon.
  std::function<void(LocalServerRegistry &, const ExchangePtr &)> Reports;
  // The path that asks for readiness.
  std::string ReadinessPath;
};

class MeshDaemon {
public:
  MeshDaemon(Loop &TheLoop, const HostSettings &Settings,
             const MeshAdapters &Adapters,
             std::unique_ptr<PlatformClient> Platform);
  ~MeshDaemon();
  MeshDaemon(const MeshDaemon &) = delete;
  MeshDaemon &operator=(const MeshDaemon &) = delete;

  // Binds all addresses; the one that is in use, if any.
  std::optional<Address> start();

  // Leaves gracefully: is no longer ready, tells peers, finishes what runs, and
  // stops the loop when nothing is left, or shortly before the stop limit.
  void shutdown();

  // The settings have changed while the daemon runs.
  void reload(const HostSettings &Changed);

  Kernel &kernel() { return Services; }

private:
  bool ready();
  void answerReadiness(const ExchangePtr &Received);
  void answerMetrics(const ExchangePtr &Received);
  void applyLimits();
  void checkDrained();
  size_t unfinished();

  Loop &TheLoop;
  HostSettings Settings;
  MeshAdapters Adapters;
  Random Rng;
  Kernel Services;
  std::unique_ptr<PipelineServer> CallerServer;
  std::unique_ptr<PipelineServer> ReadyServer;
  std::unique_ptr<PipelineServer> ReportServer;
  std::unique_ptr<PipelineServer> MetricsServer;
  std::optional<TimePoint> StopBegun;
  bool Withdrawn = false; // Peers were told to go elsewhere.
  bool Closed = false;    // Accepts no new connections of callers.
  TimerHandle StopTimer;
};

} // namespace cyclamenwind

#endif
