// MeshDaemon: the process on a host that routes requests, assembled from the
// services of the mesh.

#ifndef CYCLAMENWIND_MESH_MESH_DAEMON_H
#define CYCLAMENWIND_MESH_MESH_DAEMON_H

#include "cyclamenwind/base/kernel.h"
#include "cyclamenwind/base/loop.h"
#include "cyclamenwind/base/memory_budget.h"
#include "cyclamenwind/http/pipeline_server.h"
#include "cyclamenwind/mesh/header_codec.h"
#include "cyclamenwind/mesh/host_settings.h"
#include "cyclamenwind/mesh/local_server_registry.h"
#include "cyclamenwind/mesh/store_sync.h"
#include "cyclamenwind/peer/tcp_transport.h"
#include "cyclamenwind/store/client.h"

namespace cyclamenwind {

// A call to the platform without an answer fails after this time. A call takes
// 4 ms, and 200 ms while the platform is slow.
inline constexpr Duration PlatformCallTimeout = 1s;

// Adapters to the formats of callers, backend servers and the platform. All
// that they refer to must outlive the daemon.
struct MeshAdapters {
  const HeaderCodec &Headers;
  const MeshCodec &Objects;
  // Handles a request of the local backend server: a liveness report or a
  // deregistration.
  std::function<void(LocalServerRegistry &, const ExchangePtr &)> HandleReport;
  // Path of readiness probes.
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

  // Binds all addresses and starts. Returns the address that is in use, if any.
  std::optional<Address> start();

  // Stops gracefully: fails readiness probes, notifies peers, refuses requests
  // that cannot end before the stop limit and finishes the others. AnswerMargin
  // before the stop limit, requests without an answer get one. Stops the loop
  // when no request is left and no departure of a server is known to this
  // process alone, or StopMargin before the stop limit.
  void shutdown();

  // Compares the addresses in Changed with those in use and logs whether a
  // restart is needed; applies none of the settings.
  void reload(const HostSettings &Changed);

  Kernel &kernel() { return Services; }

private:
  bool ready();
  void answerReadiness(const ExchangePtr &Exchange);
  void answerMetrics(const ExchangePtr &Exchange);
  PipelineLimits callerLimits() const;
  void applyLimits();
  void checkDrained();
  void stopAccepting();
  size_t unfinished();

  Loop &TheLoop;
  HostSettings Settings;
  MeshAdapters Adapters;
  Random Rng;
  MemoryBudget Memory;
  std::unique_ptr<EgressPacer> Pacer; // Null if the link's rate is not known.
  Kernel Services;
  TcpTransport *Peers = nullptr; // Owned by Services.
  std::unique_ptr<PipelineServer> CallerServer;
  std::unique_ptr<PipelineServer> ReadyServer;
  std::unique_ptr<PipelineServer> ReportServer;
  std::unique_ptr<PipelineServer> MetricsServer;
  std::optional<TimePoint> StopRequestedAt;
  bool StopAnnounced = false;    // Peers were told that this daemon stops.
  bool AcceptingStopped = false; // New requests are neither read nor accepted.
  bool AllAnswered = false;      // No request waits for a response any more.
  TimerHandle StopTimer;
};

} // namespace cyclamenwind

#endif
