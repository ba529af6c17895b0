// Daemon: creates the services of a daemon, binds its addresses, and controls
// start and shutdown.
//
//   Result<std::unique_ptr<Daemon>, DaemonError> Created =
//       Daemon::create(TheLoop, TheSettings, std::move(Platform));
//   Created.value()->start();
//   TheLoop.run();   // Until shutdown() has completed or is called twice.

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
  std::string Key; // Key of the address in the settings.
  Address FailedAddress;

  // Returns a one-line error message for the operator.
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

  // Starts a graceful shutdown: announces to all members that this daemon
  // leaves, rejects new requests of callers, waits until running requests and
  // calls have finished, closes the streams to other daemons in agreement with
  // them, and stops the loop. When the drain limit has passed the loop is
  // stopped even if requests are still running. A second call stops the loop at
  // once.
  void shutdown();

  Kernel &kernel() { return Services; }

private:
  Daemon(Loop &TheLoop, const Settings &TheSettings,
         std::unique_ptr<PlatformClient> Platform);

  Result<void, DaemonError> bind();
  void addServices(std::unique_ptr<PlatformClient> Platform);
  void addDistributionStatus();
  void checkDrained();
  size_t unfinished();
  void closeConnections();

  Loop &TheLoop;
  Settings TheSettings;
  Random Rng;
  Kernel Services;
  std::unique_ptr<HttpServer> CallerServer;
  std::unique_ptr<HttpServer> OperatorServer;
  TimerHandle DrainTimer;
  TimePoint DrainStart;
  bool Draining = false;
  std::optional<TimePoint> ClosingStart;
};

} // namespace cyclamenwind

#endif
