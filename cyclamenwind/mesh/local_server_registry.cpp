#include "cyclamenwind/mesh/local_server_registry.h"

#include "cyclamenwind/base/log.h"
#include "cyclamenwind/base/names.h"

#include <algorithm>

namespace cyclamenwind {
namespace {

// Reports that a server may miss before it is timed out. A report may arrive
// seconds late.
constexpr int MaxMissedReports = 4;
constexpr Duration TimeoutCheckPeriod = 500ms;
// How long a restarted process waits for the records of its servers, from the
// platform or from peers. Peers open streams to a restarted host within two
// seconds.
constexpr Duration RecordsWaitLimit = 2500ms;
// The longest expected delay of a report.
constexpr Duration ReportDelayLimit = 10s;
// An acknowledgement after one second counts as missing.
constexpr Duration AckTimeout = 600ms;

constexpr std::array<EnumName<ReportError>, 6> ReportErrorNames = {{
    {ReportError::None, "none"},
    {ReportError::Departed, "departed"},
    {ReportError::EarlierIncarnation, "earlier_incarnation"},
    {ReportError::Outdated, "outdated"},
    {ReportError::AddressTaken, "address_taken"},
    {ReportError::ServiceNotNamed, "service_not_named"},
}};

} // namespace

std::string_view nameOf(ReportError Error) {
  return nameIn(ReportErrorNames, Error);
}

void LocalServerRegistry::start(Kernel &TheKernel) {
  Time = &TheKernel.clock();
  Timers = &TheKernel.scheduler();
  Inbound = &TheKernel.find<InboundProxy>("gate");
  State = &TheKernel.find<MeshState>("mesh_state");
  Publisher = &TheKernel.find<EndpointPublisher>("store_sync");
  Peers = &TheKernel.find<PeerTransport>("peers");
  StartedAt = LastCheckAt = Time->now();
  ReportsDelayedUntil =
      Options.FirstStart ? StartedAt : StartedAt + ReportDelayLimit;
  State->onEndpointsKnown([this] {
    retryPendingReports();
    adoptRecordedServers();
  });
  State->onConfig([this] {
    retryPendingReports();
    adoptRecordedServers();
  });
  State->onEvacuations([this] {
    retryPendingReports();
    adoptRecordedServers();
  });
  State->onEndpoint(
      [this](const MeshEndpoint &Record) { applyRemoteRecord(Record); });
  Inbound->OnServerCold = [this](const std::string &Id) {
    serverTurnedCold(Id);
  };
  TimeoutTimer = Timers->every(TimeoutCheckPeriod, [this] { checkTimeouts(); });
}

// Whether Record is of the newest incarnation at its address and newer than
// every record of that incarnation, from this daemon or from others; if not,
// why.
ReportError LocalServerRegistry::reportError(const MeshEndpoint &Record) const {
  const EndpointDirectory &Directory = State->directory();
  for (const auto &[Id, Existing] : Directory.all()) {
    if (Id != Record.Id) {
      if (Existing.ServerAddress == Record.ServerAddress &&
          Existing.StartedAtMs > Record.StartedAtMs &&
          Directory.isNamed(Existing.Service))
        return ReportError::AddressTaken;
      continue;
    }
    if (Existing.Service != Record.Service) {
      if (!Directory.isNamed(Record.Service))
        return ReportError::ServiceNotNamed;
      if (!Directory.isNamed(Existing.Service))
        continue;
    }
    if (Existing.StartedAtMs > Record.StartedAtMs)
      return ReportError::EarlierIncarnation;
    // A departure counts whatever its number is: another writer may have used a
    // higher one.
    bool GoesBack = Existing.leaves() && Record.State < Existing.State;
    if (Existing.StartedAtMs == Record.StartedAtMs &&
        (GoesBack || !Record.supersedes(Existing)))
      return ReportError::Outdated;
  }
  return ReportError::None;
}

void LocalServerRegistry::report(const ServerReport &Report,
                                 std::function<void()> Acknowledge) {
  processReport(Report, Time->now(), std::move(Acknowledge));
}

MeshEndpoint LocalServerRegistry::recordOf(const ServerReport &Report) const {
  MeshEndpoint Record;
  Record.Id = Report.Id;
  Record.Service = Report.Service;
  Record.Version = Report.Version;
  Record.FailureDomain = Report.FailureDomain;
  Record.DaemonAddress = Options.DaemonAddress;
  Record.ServerAddress = Report.ServerAddress;
  Record.Slots = Report.Slots;
  Record.StartedAtMs = Report.StartedAtMs;
  Record.Sequence = Report.Sequence;
  Record.State =
      Report.Draining ? EndpointState::Draining : EndpointState::Ready;
  return Record;
}

void LocalServerRegistry::processReport(const ServerReport &Report,
                                        TimePoint Received,
                                        std::function<void()> Acknowledge) {
  MeshEndpoint Record = recordOf(Report);
  auto Left = UnknownDepartures.find(Report.Id);
  bool HasLeft = Left != UnknownDepartures.end() &&
                 Time->now() - Left->second.Received < ReportDelayLimit;
  ReportError Error = HasLeft ? ReportError::Departed : reportError(Record);
  if (Error != ReportError::None) {
    logInfo("report_ignored", {{"server", Report.Id},
                               {"reason", nameOf(Error)},
                               {"service", Report.Service},
                               {"address", Report.ServerAddress.text()},
                               {"born", Report.StartedAtMs},
                               {"sequence", Report.Sequence}});
    Acknowledge();
    return;
  }
  bool TurnedCold = Inbound->reportWarmup(Record, Report.WarmupMs);
  auto Known = Servers.find(Report.Id);
  bool InUse = Known != Servers.end() && Known->second.Announced &&
               Known->second.Record.StartedAtMs == Report.StartedAtMs;
  bool AwaitsRecords =
      awaitsEvacuations() ||
      (!State->endpointsKnown() && Time->now() - StartedAt < RecordsWaitLimit);
  if (!Report.Draining &&
      (AwaitsRecords || needsHealthCheck(Record, Received))) {
    PendingReports[Report.Id] = {Report, Received};
    if (!AwaitsRecords)
      checkHealth(Record);
    Acknowledge();
    return;
  }
  PendingReports.erase(Report.Id);
  updateServer(Record, std::move(Acknowledge));
  if (InUse && TurnedCold)
    serverTurnedCold(Report.Id);
}

// Whether it is not known yet which failure domains are evacuated.
bool LocalServerRegistry::awaitsEvacuations() const {
  return !State->evacuations().isKnown() &&
         Time->now() - StartedAt < RecordsWaitLimit;
}

// Whether a report that was received at Received may have been sent before this
// process started.
bool LocalServerRegistry::mayPredateStart(TimePoint Received) const {
  // Reports that arrive during a pause of this process are read after it.
  bool WasPaused = Received - LastCheckAt > 2 * TimeoutCheckPeriod;
  return Received < ReportsDelayedUntil ||
         (WasPaused && LastCheckAt < ReportsDelayedUntil);
}

// Whether an earlier process may have acknowledged that the server of Record
// leaves, and Record may be older than that.
bool LocalServerRegistry::needsHealthCheck(const MeshEndpoint &Record,
                                           TimePoint Received) const {
  auto Found = Servers.find(Record.Id);
  bool InUse = Found != Servers.end() && Found->second.Announced &&
               Found->second.Record.StartedAtMs == Record.StartedAtMs;
  if (InUse || !mayPredateStart(Received))
    return false;
  if (State->routes() == nullptr)
    return true;
  const MeshService *ServiceConfig = State->routes()->service(Record.Service);
  return ServiceConfig == nullptr || !ServiceConfig->HealthPath.empty();
}

// Checks the health of a server that is not in use yet, if its service is known
// and no check of it is running.
void LocalServerRegistry::checkHealth(const MeshEndpoint &Record) {
  if (State->routes() == nullptr)
    return;
  const MeshService *ServiceConfig = State->routes()->service(Record.Service);
  if (ServiceConfig == nullptr || ServiceConfig->HealthPath.empty() ||
      !RunningHealthChecks.insert(Record.Id).second)
    return;
  Inbound->checkHealth(Record, ServiceConfig->HealthPath,
                       [this, Record](bool Healthy) {
                         RunningHealthChecks.erase(Record.Id);
                         onHealthChecked(Record, Healthy);
                       });
}

// Takes the server into use if it is healthy and has not left meanwhile. If
// not, a pending report of it is tried again at the next check of timeouts.
void LocalServerRegistry::onHealthChecked(const MeshEndpoint &Record,
                                          bool Healthy) {
  if (!Healthy || UnknownDepartures.count(Record.Id) != 0)
    return;
  MeshEndpoint Checked = Record;
  auto Pending = PendingReports.find(Record.Id);
  bool HasReported = Pending != PendingReports.end() &&
                     Pending->second.Report.StartedAtMs == Record.StartedAtMs;
  if (HasReported) {
    Checked = recordOf(Pending->second.Report);
    PendingReports.erase(Pending);
  }
  auto Found = Servers.find(Record.Id);
  bool InUse = Found != Servers.end() && Found->second.Announced;
  const MeshEndpoint *Known = State->directory().find(Record.Id);
  bool WasRemoved = Known == nullptr && !HasReported;
  bool HasLeft =
      Known != nullptr &&
      (Known->StartedAtMs > Checked.StartedAtMs ||
       (Known->StartedAtMs == Checked.StartedAtMs && Known->leaves()));
  if (InUse || WasRemoved || HasLeft)
    return;
  Checked.State = EndpointState::Ready;
  updateServer(Checked, [] {});
}

// Peers may know that a local backend server leaves when this process does not:
// an earlier process of this daemon acknowledged it and told them. That process
// may have ended before it wrote the record to the platform.
void LocalServerRegistry::applyRemoteRecord(const MeshEndpoint &Record) {
  if (Record.DaemonAddress != Options.DaemonAddress)
    return;
  if (!Record.leaves()) {
    auto Left = UnknownDepartures.find(Record.Id);
    if (Left != UnknownDepartures.end())
      leave(Record.Id, Left->second.StartedAtMs, [] {});
    return;
  }
  PendingReports.erase(Record.Id);
  auto [Position, IsNew] = Servers.try_emplace(Record.Id);
  ServerEntry &Entry = Position->second;
  if (!IsNew && !State->directory().supersedes(Record, Entry.Record))
    return;
  logInfo("server_leaving_learned", {{"server", Record.Id},
                                     {"state", nameOf(Record.State)},
                                     {"sequence", Record.Sequence}});
  Entry.Record = Record;
  Inbound->serverChanged(Record);
  Publisher->publish(Record, [](bool) {});
}

// A local server may have kept running while this daemon was down. The record
// may be older than the server's last report, so a health check of the server
// decides whether it is ready or leaving.
void LocalServerRegistry::adoptRecordedServers() {
  if (Adopted || !State->endpointsKnown() || State->routes() == nullptr ||
      awaitsEvacuations())
    return;
  Adopted = true;
  std::vector<MeshEndpoint> LocalRecords;
  for (const auto &[Id, Record] : State->directory().all())
    if (Record.DaemonAddress == Options.DaemonAddress && !Record.leaves() &&
        Servers.count(Id) == 0)
      LocalRecords.push_back(Record);
  for (const MeshEndpoint &Record : LocalRecords)
    checkHealth(Record);
}

void LocalServerRegistry::retryPendingReports() {
  std::map<std::string, PendingReport> Reports;
  Reports.swap(PendingReports);
  for (const auto &[Id, Pending] : Reports)
    processReport(Pending.Report, Pending.Received, [] {});
}

void LocalServerRegistry::leave(const std::string &Id, int64_t StartedAtMs,
                                std::function<void()> Acknowledge) {
  PendingReports.erase(Id);
  auto Found = Servers.find(Id);
  const MeshEndpoint *Recorded = State->directory().find(Id);
  if (Found == Servers.end() && Recorded == nullptr) {
    logInfo("leave_of_unknown_server", {{"server", Id}});
    UnknownDepartures[Id] = {StartedAtMs, Time->now()};
    Acknowledge();
    return;
  }
  MeshEndpoint Record =
      Found != Servers.end() ? Found->second.Record : *Recorded;
  if (Recorded != nullptr && Recorded->supersedes(Record))
    Record = *Recorded;
  if (StartedAtMs != 0 && StartedAtMs < Record.StartedAtMs) {
    logInfo("leave_of_earlier_incarnation",
            {{"server", Id}, {"born", StartedAtMs}});
    Acknowledge();
    return;
  }
  Record.State = EndpointState::Gone;
  updateServer(Record, std::move(Acknowledge));
}

void LocalServerRegistry::serverSaysLeaving(const std::string &Id) {
  auto Found = Servers.find(Id);
  if (Found == Servers.end() || Found->second.Record.leaves())
    return;
  MeshEndpoint Record = Found->second.Record;
  Record.State = EndpointState::Draining;
  updateServer(Record, [] {});
}

// Whether the directory has a record of the server of Record, and not of
// another server under its id.
bool LocalServerRegistry::isKnown(const MeshEndpoint &Record) const {
  const MeshEndpoint *Known = State->directory().find(Record.Id);
  return Known != nullptr && Known->Service == Record.Service;
}

void LocalServerRegistry::updateServer(const MeshEndpoint &Record,
                                       std::function<void()> Acknowledge) {
  ServerEntry &Entry = Servers[Record.Id];
  bool Changed = !Entry.Announced || Entry.TimedOut ||
                 Entry.Record.State != Record.State ||
                 Entry.Record.StartedAtMs != Record.StartedAtMs ||
                 Entry.Record.Slots != Record.Slots ||
                 Entry.Record.Version != Record.Version ||
                 Entry.Record.ServerAddress != Record.ServerAddress ||
                 !isKnown(Record);
  Entry.Record = Record;
  Entry.LastReceived = Time->now();
  Entry.TimedOut = false;
  bool Leaves = Record.State != EndpointState::Ready;
  if (!Changed && !Leaves) {
    Acknowledge();
    return;
  }
  if (Changed) {
    Entry.Announced = true;
    logInfo("server_reported", {{"server", Record.Id},
                                {"service", Record.Service},
                                {"version", Record.Version},
                                {"state", nameOf(Record.State)},
                                {"born", Record.StartedAtMs},
                                {"sequence", Record.Sequence}});
    Inbound->serverChanged(Record);
    announce(Record);
  }
  if (!Leaves) {
    Publisher->publish(Record, [](bool) {});
    Acknowledge();
    return;
  }
  // A server repeats a departure that was not acknowledged in time; the record
  // may still not be written then.
  Publisher->publish(Record, [AckOnce = acknowledgeInTime(std::move(
                                  Acknowledge))](bool) { AckOnce(); });
}

// Returns a function that calls Acknowledge unless it was called before, which
// happens after AckTimeout.
std::function<void()>
LocalServerRegistry::acknowledgeInTime(std::function<void()> Acknowledge) {
  auto PendingAck =
      std::make_shared<std::function<void()>>(std::move(Acknowledge));
  auto AckOnce = [PendingAck] {
    std::function<void()> Action = std::move(*PendingAck);
    *PendingAck = nullptr;
    if (Action)
      Action();
  };
  uint64_t AckId = NextAckId++;
  AckTimers[AckId] = Timers->after(AckTimeout, [this, AckId, AckOnce] {
    TimerHandle Fired = std::move(AckTimers[AckId]);
    AckTimers.erase(AckId);
    AckOnce();
  });
  return AckOnce;
}

bool LocalServerRegistry::holdsOnlyCopy() const {
  return Publisher->unwrittenDepartures() > 0 &&
         Peers->connectedPeers().empty();
}

void LocalServerRegistry::announce(const MeshEndpoint &Record) {
  State->mergeFromOwner(Record);
  wire::EndpointAnnounce Message;
  Message.endpoints.push_back(toWire(Record));
  std::optional<ServerWarmup> Warmup = Inbound->warmup(Record.Id);
  if (Warmup && Record.State == EndpointState::Ready) {
    Message.endpoints.back().__set_coldForUs(Warmup->Left.count());
    Message.endpoints.back().__set_coldRate(Warmup->PerSecond);
    State->reportWarmup(Record.Id, *Warmup);
  }
  for (const Address &Peer : State->directory().daemonAddresses())
    if (Peer != Options.DaemonAddress)
      Peers->sendMessage(Peer, FrameType::EndpointAnnounce, Message);
}

// Tells the senders, which would otherwise learn it from the first reply only.
void LocalServerRegistry::serverTurnedCold(const std::string &Id) {
  auto Found = Servers.find(Id);
  if (Found != Servers.end() && Found->second.Announced &&
      Found->second.Record.State == EndpointState::Ready)
    announce(Found->second.Record);
}

void LocalServerRegistry::announceStopping() {
  for (auto &[Id, Entry] : Servers) {
    if (Entry.Record.State != EndpointState::Ready)
      continue;
    MeshEndpoint Record = Entry.Record;
    Record.State = EndpointState::Unreachable;
    announce(Record);
  }
}

void LocalServerRegistry::checkTimeouts() {
  TimePoint Now = Time->now();
  // After a pause of this process, the reports that arrived during the pause
  // are read before servers are timed out.
  bool WasPaused = Now - LastCheckAt > 2 * TimeoutCheckPeriod;
  if (WasPaused && LastCheckAt < ReportsDelayedUntil)
    ReportsDelayedUntil = Now + ReportDelayLimit;
  LastCheckAt = Now;
  retryPendingReports();
  adoptRecordedServers();
  // The server reports again if it has not left.
  std::erase_if(PendingReports, [Now](const auto &Entry) {
    return Now - Entry.second.Received >= ReportDelayLimit;
  });
  // A departure is kept until it is known whether there is a record of it.
  if (State->endpointsKnown())
    std::erase_if(UnknownDepartures, [Now](const auto &Entry) {
      return Now - Entry.second.Received >= ReportDelayLimit;
    });
  // The directory keeps records of servers that left longer than a report can
  // be delayed.
  std::erase_if(Servers, [this](const auto &Entry) {
    return Entry.second.Record.State == EndpointState::Gone &&
           State->directory().find(Entry.first) == nullptr;
  });
  if (WasPaused)
    return;
  for (auto &[Id, Entry] : Servers) {
    if (Entry.TimedOut || Entry.Record.State != EndpointState::Ready ||
        Now - Entry.LastReceived < Options.ReportPeriod * MaxMissedReports)
      continue;
    Entry.TimedOut = true;
    logWarning("server_silent",
               {{"server", Id},
                {"silent_ms", milliseconds(Now - Entry.LastReceived)}});
    Inbound->serverTimedOut(Id);
    MeshEndpoint Record = Entry.Record;
    Record.State = EndpointState::Unreachable;
    announce(Record);
  }
  withdrawSilentRecords(Now);
}

std::vector<MeshEndpoint> LocalServerRegistry::localRecordsNotNamed() const {
  std::vector<MeshEndpoint> Result;
  for (const auto &[Id, Record] : State->directory().all())
    if (Record.DaemonAddress == Options.DaemonAddress && !Record.leaves() &&
        !State->directory().isNamed(Record.Service))
      Result.push_back(Record);
  return Result;
}

// Withdraws the local records of services that the configuration does not name
// and of which no report has come for MaxMissedReports. Another writer may have
// made them, and they would count as servers once their service is named. A
// server that goes on to report is recorded again.
void LocalServerRegistry::withdrawSilentRecords(TimePoint Now) {
  std::map<std::string, TimePoint> StillUnreported;
  for (const MeshEndpoint &Record : localRecordsNotNamed()) {
    auto Reported = Servers.find(Record.Id);
    TimePoint Since;
    if (Reported != Servers.end())
      Since = Reported->second.LastReceived;
    else
      Since = UnreportedSince.emplace(Record.Id, Now).first->second;
    if (Now - Since >= Options.ReportPeriod * MaxMissedReports)
      withdraw(Record, Now - Since);
    else if (Reported == Servers.end())
      StillUnreported.emplace(Record.Id, Since);
  }
  UnreportedSince = std::move(StillUnreported);
}

void LocalServerRegistry::withdraw(const MeshEndpoint &Record,
                                   Duration Silence) {
  logWarning("server_withdrawn", {{"server", Record.Id},
                                  {"service", Record.Service},
                                  {"silent_ms", milliseconds(Silence)}});
  PendingReports.erase(Record.Id);
  if (Servers.erase(Record.Id) != 0) {
    MeshEndpoint Ended = Record;
    Ended.State = EndpointState::Gone;
    Inbound->serverChanged(Ended);
  }
  Publisher->withdraw(Record.Id);
  State->remove(Record.Id);
}

} // namespace cyclamenwind
