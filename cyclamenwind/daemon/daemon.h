// Daemon: one daemon, assembled from its services.
//
//   Result<std::unique_ptr<Daemon>, DaemonError> Made =
//       Daemon::create(TheLoop, TheSettings, std::move(Platform));
//   Made.value()->start();
//   TheLoop.run();   // Until shutdown() has finished, or is called twice.

#ifndef CYCLAMENWIND_DAEMON_DAEMON_H
#define CYCLAMENWIND_DAEMON_DAEMON_H

#include "cyclamenwind/base/kernel.h"
#include "cyclamenwind/base/loop.h"
#include "cyclamenwind/base/settings.h"
#include "cyclamenwind/http/server.h"
#include "cyclamenwind/store/client.h"

namespace cyclamenwind {

// An address that could not be bound.
struct DaemonError {
  std::string Key;
  Address InUse;

  // One line for the operator.
  std::string text() const;
};

class Daemon {
public:
  static Result<std::unique_ptr<Daemon>, DaemonError>
  create(Loop &TheLoop, const Settings &TheSettings,
         std::unique_ptr<PlatformClient> Platform);

  ~Daemon();
  Daemon(const Daemon &) = delete;
  Daemon &operator=(const Daemon &) = delete;

  void start();

  // Leaves gracefully: tells all members, refuses callers' new requests,
  // finishes what runs, closes its streams by agreement, then stops the loop.
  // At the drain limit the loop stops whatever still runs. A second call stops
  // it at once.
  void shutdown();

  Kernel &kernel() { return Services; }

private:
  Daemon(Loop &TheLoop, const Settings &TheSettings,
         std::unique_ptr<PlatformClient> Platform);

  Result<void, DaemonError> bind();
  void addServices(std::unique_ptr<PlatformClient> Platform);
  void showDistribution();
  void checkDrained();
  size_t unfinished();
  void beginClosing();

  Loop &TheLoop;
  Settings TheSettings;
  Random Rng;
  Kernel Services;
  std::unique_ptr<HttpServer> CallerServer;
  std::unique_ptr<HttpServer> OperatorServer;
  TimerHandle DrainTimer;
  TimePoint DrainBegun;
  bool Draining = false;
  std::optional<TimePoint> ClosingBegun;
};

} // namespace cyclamenwind

#endif
