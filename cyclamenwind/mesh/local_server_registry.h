// LocalServerRegistry: the local backend servers, by their liveness reports.
//
// A report is accepted if it is of the latest incarnation at its address and
// newer than the known record of that incarnation; a delayed report changes
// nothing. Reports of other writers may reach this daemon as well. One of a
// service that the configuration does not name is recorded, so that the server
// is used as soon as its service is named, but takes neither the id nor the
// address of another server (endpoint_directory.h). Records of such services
// are withdrawn, here and on the platform, when their reports cease.
//
// A server leaves by reporting that it is draining, by deregistering, or by
// saying so in its responses. Such a message is acknowledged when the server's
// record is written to the platform or, if the platform does not answer, after
// AckTimeout: from then on this process sends the server no further requests,
// and peers have been sent the record.
//
// The next process of this daemon must not send any either, however this one
// ends and whether or not the record was written. It reads the records of the
// platform or of a peer, and which failure domains are evacuated, at most for
// RecordsWaitLimit, before it takes a server into use. Since a departure may be
// missing there, and a report may have been sent before the departure and
// arrive late, it also asks the server: within ReportDelayLimit of its start, a
// server is taken into use only after a health check, which a server that
// leaves fails. This holds for recorded servers, which need not report again,
// and for reports. In addition peer_sync.h asks a few peers for the records of
// the local servers; a departure that only they know is then written to the
// platform.

#ifndef CYCLAMENWIND_MESH_LOCAL_SERVER_REGISTRY_H
#define CYCLAMENWIND_MESH_LOCAL_SERVER_REGISTRY_H

#include "cyclamenwind/base/kernel.h"
#include "cyclamenwind/mesh/inbound_proxy.h"
#include "cyclamenwind/mesh/mesh_state.h"

#include <set>

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
  double WarmupMs = 0;     // How long it stays cold, milliseconds, as stated.
};

struct LocalServerRegistryOptions {
  Address DaemonAddress; // Where other daemons reach this daemon.
  Duration ReportPeriod; // Interval between two reports of a server.
  // The whole mesh starts for the first time: no earlier process of this daemon
  // has acknowledged anything.
  bool FirstStart = false;
};

// Why a report changes nothing.
enum class ReportError {
  None,
  Departed,           // The server has deregistered.
  EarlierIncarnation, // A newer incarnation has the same id.
  Outdated,           // A newer record of the same incarnation is known.
  AddressTaken,       // A newer server runs at the same address.
  ServiceNotNamed,    // The id is that of a server of another service, and the
                      // configuration does not name the service reported.
};

std::string_view nameOf(ReportError Error);

class EndpointPublisher {
public:
  virtual ~EndpointPublisher() = default;
  // Writes Record to the platform. Calls OnDone when it is stored there; never
  // calls it if the write is abandoned.
  virtual void publish(const MeshEndpoint &Record,
                       std::function<void(bool Stored)> OnDone) = 0;
  // Removes the record of the server Id from the platform, unless a departure
  // of it was published: that record is removed later.
  virtual void withdraw(const std::string &Id) = 0;
  // Number of published records of servers that leave which are not stored yet.
  virtual size_t unwrittenDepartures() const = 0;
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

  // Whether the end of this process would lose a departure that it has
  // acknowledged: its record is neither stored on the platform nor has a
  // connected peer been sent it.
  bool holdsOnlyCopy() const;

private:
  struct ServerEntry {
    MeshEndpoint Record;
    TimePoint LastReceived;
    bool TimedOut = false;
    bool Announced = false; // Whether this process has announced it.
  };
  struct PendingReport {
    ServerReport Report;
    TimePoint Received;
  };
  struct Departure {
    int64_t StartedAtMs = 0; // Of the incarnation; 0 if unknown.
    TimePoint Received;
  };

  void processReport(const ServerReport &Report, TimePoint Received,
                     std::function<void()> Acknowledge);
  MeshEndpoint recordOf(const ServerReport &Report) const;
  bool awaitsEvacuations() const;
  bool mayPredateStart(TimePoint Received) const;
  bool needsHealthCheck(const MeshEndpoint &Record, TimePoint Received) const;
  void checkHealth(const MeshEndpoint &Record);
  void onHealthChecked(const MeshEndpoint &Record, bool Healthy);
  std::function<void()> acknowledgeInTime(std::function<void()> Acknowledge);
  ReportError reportError(const MeshEndpoint &Record) const;
  bool isKnown(const MeshEndpoint &Record) const;
  void applyRemoteRecord(const MeshEndpoint &Record);
  void adoptRecordedServers();
  void retryPendingReports();
  void updateServer(const MeshEndpoint &Record,
                    std::function<void()> Acknowledge);
  void announce(const MeshEndpoint &Record);
  void serverTurnedCold(const std::string &Id);
  void checkTimeouts();
  std::vector<MeshEndpoint> localRecordsNotNamed() const;
  void withdrawSilentRecords(TimePoint Now);
  void withdraw(const MeshEndpoint &Record, Duration Silence);

  LocalServerRegistryOptions Options;
  Clock *Time = nullptr;
  Scheduler *Timers = nullptr;
  InboundProxy *Inbound = nullptr;
  MeshState *State = nullptr;
  EndpointPublisher *Publisher = nullptr;
  PeerTransport *Peers = nullptr;
  std::map<std::string, ServerEntry> Servers;
  // Reports that wait for the records of servers or for a health check, by
  // server id.
  std::map<std::string, PendingReport> PendingReports;
  std::set<std::string> RunningHealthChecks; // By server id.
  // Deregistrations of servers without a record here, by id, so that a delayed
  // report or a record read later does not bring them back.
  std::map<std::string, Departure> UnknownDepartures;
  // Local records of services that are not named and of which this process has
  // received no report: since when it knows them, by server id.
  std::map<std::string, TimePoint> UnreportedSince;
  bool Adopted = false; // Whether adoptRecordedServers() has run.
  TimePoint StartedAt;
  TimePoint LastCheckAt;
  // Reports received before may have been sent before this process started.
  TimePoint ReportsDelayedUntil;
  std::map<uint64_t, TimerHandle> AckTimers;
  uint64_t NextAckId = 1;
  TimerHandle TimeoutTimer;
};

} // namespace cyclamenwind

#endif
