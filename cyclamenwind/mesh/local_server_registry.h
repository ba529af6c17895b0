// LocalServerRegistry: the local backend servers, by their liveness reports.
//
// A report is accepted if it is of the latest incarnation at its address and
// newer than the known record of that incarnation; a delayed report changes
// nothing. A server leaves by reporting that it is draining, by deregistering,
// or by saying so in its responses. Its record is written to the platform
// before that message is acknowledged: otherwise a daemon that is killed right
// after the acknowledgement and restarts would treat the server as ready when a
// delayed report arrives. If the platform does not answer within AckTimeout,
// the message is acknowledged all the same, since this daemon sends the server
// no further requests. A restarted process waits for the records of the
// platform or of its peers, at most RecordsWaitLimit, before it treats a server
// as ready. It checks the health of the local servers in those records at once;
// one that is healthy becomes ready without waiting for its next report.

#ifndef CYCLAMENWIND_MESH_LOCAL_SERVER_REGISTRY_H
#define CYCLAMENWIND_MESH_LOCAL_SERVER_REGISTRY_H

#include "cyclamenwind/base/kernel.h"
#include "cyclamenwind/mesh/inbound_proxy.h"
#include "cyclamenwind/mesh/mesh_state.h"

namespace cyclamenwind {

// A backend server's report on itself.
struct ServerReport {
  std::string Id;
  std::string Service;
  Address ServerAddress;
  std::string FailureDomain;
  std::string Version;
  int Slots = 0;
  bool Draining = false;
  int64_t Sequence = 0;
  int64_t StartedAtMs = 0; // Start time, Unix milliseconds; 0 if unknown.
};

struct LocalServerRegistryOptions {
  Address DaemonAddress; // Where other daemons reach this daemon.
  Duration ReportPeriod; // Interval between two reports of a server.
};

class EndpointPublisher {
public:
  virtual ~EndpointPublisher() = default;
  // Writes Record to the platform. Calls OnDone when it is stored there; never
  // calls it if the write is abandoned.
  virtual void publish(const MeshEndpoint &Record,
                       std::function<void(bool Stored)> OnDone) = 0;
};

// A service named "registry".
class LocalServerRegistry final : public Service {
public:
  explicit LocalServerRegistry(const LocalServerRegistryOptions &Options)
      : Options(Options) {}

  std::string_view name() const override { return "registry"; }
  void start(Kernel &TheKernel) override;
  void stop() override { TimeoutTimer.reset(); }

  // Processes a report; Acknowledge is called when the server may be answered.
  void report(const ServerReport &Report, std::function<void()> Acknowledge);

  // Handles the deregistration of the server with this Id, of the incarnation
  // that started at StartedAtMs (0 if unknown).
  void leave(const std::string &Id, int64_t StartedAtMs,
             std::function<void()> Acknowledge);

  // The server Id has stated in a response that it is leaving, before or
  // without reporting it.
  void serverSaysLeaving(const std::string &Id);

  // Tells peers that this daemon stops, so that they choose other servers.
  void announceStopping();

private:
  struct ServerEntry {
    MeshEndpoint Record;
    TimePoint LastReceived;
    bool TimedOut = false;
    bool Announced = false; // Whether this process has announced it.
  };

  bool isNewer(const MeshEndpoint &Record) const;
  void applyRemoteRecord(const MeshEndpoint &Record);
  void adoptRecordedServers();
  void adopt(MeshEndpoint Record);
  void retryPendingReports();
  void updateServer(const MeshEndpoint &Record,
                    std::function<void()> Acknowledge);
  void announce(const MeshEndpoint &Record);
  void checkTimeouts();

  LocalServerRegistryOptions Options;
  Clock *Time = nullptr;
  Scheduler *Timers = nullptr;
  InboundProxy *Inbound = nullptr;
  MeshState *State = nullptr;
  EndpointPublisher *Publisher = nullptr;
  PeerTransport *Peers = nullptr;
  std::map<std::string, ServerEntry> Servers;
  // Reports received before the records of servers were read, by server id.
  std::map<std::string, ServerReport> PendingReports;
  // When servers without a record here deregistered, by id, so that a delayed
  // report does not register them again.
  std::map<std::string, TimePoint> UnknownDepartures;
  bool Adopted = false; // Whether adoptRecordedServers() has run.
  TimePoint StartedAt;
  TimePoint LastCheckAt;
  std::map<uint64_t, TimerHandle> AckTimers;
  uint64_t NextAckId = 1;
  TimerHandle TimeoutTimer;
};

} // namespace cyclamenwind

#endif
