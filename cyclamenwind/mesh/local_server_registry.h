// Registry: the backend server beside this daemon, by its own liveness reports.
//
// A report counts if it is of the latest incarnation at its address and later
// than what is known of that incarnation; a delayed one changes nothing. A
// server that leaves is recorded on the platform before its report is
// acknowledged, so that a daemon that is killed right after and starts anew
// does not take a delayed report for a sign that the server is ready. If the
// platform does not answer in time, the report is acknowledged all the same:
// this daemon sends the server nothing more. A new process waits for the
// records of the platform or of its peers before it takes a server for ready. A
// server that these name is asked for its health at once, and is ready if it
// says so before its next report comes.

#ifndef CYCLAMENWIND_MESH_LOCAL_SERVER_REGISTRY_H
#define CYCLAMENWIND_MESH_LOCAL_SERVER_REGISTRY_H

#include "cyclamenwind/base/kernel.h"
#include "cyclamenwind/mesh/inbound_proxy.h"
#include "cyclamenwind/mesh/mesh_state.h"

namespace cyclamenwind {

// What a server says of itself.
struct ServerReport {
  std::string Id;
  std::string Service;
  Address Server;
  std::string FailureDomain;
  std::string Version;
  int Slots = 0;
  bool Draining = false;
  int64_t Sequence = 0;
  int64_t Born = 0; // Unix milliseconds; 0 if not said.
};

struct RegistryOptions {
  Address DaemonAddress; // This daemon, for other daemons.
  Duration ReportPeriod; // At which a server reports.
};

// Keeps a record on the platform; Done is called once it is there or the
// attempt was given up.
class EndpointPublisher {
public:
  virtual ~EndpointPublisher() = default;
  virtual void publish(const MeshEndpoint &Record,
                       std::function<void(bool Stored)> OnDone) = 0;
};

// A service named "registry".
class LocalServerRegistry final : public Service {
public:
  explicit LocalServerRegistry(const RegistryOptions &Options)
      : Options(Options) {}

  std::string_view name() const override { return "registry"; }
  void start(Kernel &TheKernel) override;
  void stop() override { SilenceTimer.reset(); }

  // Takes a report; Acknowledge is called when it may be acknowledged.
  void report(const ServerReport &Report, std::function<void()> Acknowledge);

  // The incarnation of the server called Id that started at Born (0 if not
  // said) leaves.
  void leave(const std::string &Id, int64_t Born,
             std::function<void()> Acknowledge);

  // This daemon stops: peers choose other servers.
  void announceStopping();

private:
  struct Known {
    MeshEndpoint Record;
    TimePoint LastReceived;
    bool Silent = false;
    bool Announced = false; // By this process.
  };

  bool isLater(const MeshEndpoint &Record) const;
  void applyRemoteRecord(const MeshEndpoint &Record);
  void adoptRecorded();
  void adopt(MeshEndpoint Record);
  void retryHeldReports();
  void take(const MeshEndpoint &Record, std::function<void()> Acknowledge);
  void announce(const MeshEndpoint &Record);
  void checkSilence();

  RegistryOptions Options;
  Clock *Time = nullptr;
  Scheduler *Timers = nullptr;
  InboundProxy *Inbound = nullptr;
  MeshState *State = nullptr;
  EndpointPublisher *Publisher = nullptr;
  PeerTransport *Peers = nullptr;
  std::map<std::string, Known> Servers;
  // Reports that came before the platform's records were read.
  std::map<std::string, ServerReport> Held;
  // Servers that left without being known here, and when. A delayed report of
  // theirs does not bring them back.
  std::map<std::string, TimePoint> LeftUnknown;
  bool Adopted = false; // adoptRecorded() has done its work.
  TimePoint Started;
  TimePoint LastCheck;
  std::map<uint64_t, TimerHandle> AckTimers;
  uint64_t NextAck = 1;
  TimerHandle SilenceTimer;
};

} // namespace cyclamenwind

#endif
