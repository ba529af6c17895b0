#include "cyclamenwind/mesh/local_server_registry.h"

#include "cyclamenwind/base/log.h"

#include <algorithm>

namespace cyclamenwind {
namespace {

// Reports that a server may miss before it is taken to be dead. A report may
// come seconds late.
constexpr int MissedReports = 4;
constexpr Duration SilenceCheckPeriod = 500ms;
// A new process may have acknowledged in an earlier life that a server leaves:
// it waits this long for the records of that, from the platform or from peers.
// Peers open streams to a host that came back within two seconds.
constexpr Duration RecordsWait = 2500ms;
// A report may come this late.
constexpr Duration ReportDelayLimit = 10s;
// An acknowledgement that takes a second counts as none.
constexpr Duration AckLimit = 600ms;

} // namespace

void LocalServerRegistry::start(Kernel &TheKernel) {
  Time = &TheKernel.clock();
  Timers = &TheKernel.scheduler();
  Inbound = &TheKernel.find<InboundProxy>("gate");
  State = &TheKernel.find<MeshState>("mesh_state");
  Publisher = &TheKernel.find<EndpointPublisher>("store_sync");
  Peers = &TheKernel.find<PeerTransport>("peers");
  Started = LastCheck = Time->now();
  State->onEndpointsKnown([this] {
    retryHeldReports();
    adoptRecorded();
  });
  State->onConfig([this] { adoptRecorded(); });
  State->onEndpoint(
      [this](const MeshEndpoint &Each) { applyRemoteRecord(Each); });
  SilenceTimer = Timers->every(SilenceCheckPeriod, [this] { checkSilence(); });
}

// Whether Record is of the newest incarnation at its address and newer than
// what is known, here or elsewhere, of that incarnation.
bool LocalServerRegistry::isLater(const MeshEndpoint &Record) const {
  for (const auto &[Id, Each] : State->directory().all()) {
    if (Id == Record.Id) {
      if (Each.Born != Record.Born) {
        if (Each.Born > Record.Born)
          return false;
        continue;
      }
      // A server that leaves comes back as a new incarnation only.
      bool Leaves = Each.State > EndpointState::Unreachable;
      if (Record.Sequence <= Each.Sequence ||
          (Leaves && Record.State < Each.State))
        return false;
    } else if (Each.Server == Record.Server && Each.Born > Record.Born) {
      return false;
    }
  }
  return true;
}

void LocalServerRegistry::report(const ServerReport &Report,
                                 std::function<void()> Acknowledge) {
  MeshEndpoint Record;
  Record.Id = Report.Id;
  Record.Service = Report.Service;
  Record.Version = Report.Version;
  Record.FailureDomain = Report.FailureDomain;
  Record.DaemonAddress = Options.DaemonAddress;
  Record.Server = Report.Server;
  Record.Slots = Report.Slots;
  Record.Born = Report.Born;
  Record.Sequence = Report.Sequence;
  Record.State =
      Report.Draining ? EndpointState::Draining : EndpointState::Ready;
  auto Left = LeftUnknown.find(Report.Id);
  bool HasLeft = Left != LeftUnknown.end() &&
                 Time->now() - Left->second < ReportDelayLimit;
  if (HasLeft || !isLater(Record)) {
    logInfo("report_ignored", {{"server", Report.Id},
                               {"born", Report.Born},
                               {"sequence", Report.Sequence}});
    Acknowledge();
    return;
  }
  bool RecordsUnread =
      !State->endpointsKnown() && Time->now() - Started < RecordsWait;
  if (!Report.Draining && RecordsUnread) {
    Held[Report.Id] = Report;
    Acknowledge();
    return;
  }
  Held.erase(Report.Id);
  take(Record, std::move(Acknowledge));
}

// Others may know that a server beside this daemon leaves: an earlier process
// of this daemon acknowledged it and told them.
void LocalServerRegistry::applyRemoteRecord(const MeshEndpoint &Record) {
  if (Record.DaemonAddress != Options.DaemonAddress ||
      Record.State <= EndpointState::Unreachable)
    return;
  Known &Entry = Servers[Record.Id];
  if (!Record.supersedes(Entry.Record))
    return;
  logInfo("server_leaving_learned", {{"server", Record.Id},
                                     {"state", nameOf(Record.State)},
                                     {"sequence", Record.Sequence}});
  Entry.Record = Record;
  Inbound->serverChanged(Record);
}

// The server ran on while this daemon was away. Whether it leaves meanwhile is
// its own word to say: the record may be older than what it last said.
void LocalServerRegistry::adoptRecorded() {
  if (Adopted || !State->endpointsKnown() || State->routes() == nullptr)
    return;
  Adopted = true;
  std::vector<MeshEndpoint> Own;
  for (const auto &[Id, Each] : State->directory().all())
    if (Each.DaemonAddress == Options.DaemonAddress &&
        Each.State <= EndpointState::Unreachable && Servers.count(Id) == 0)
      Own.push_back(Each);
  for (const MeshEndpoint &Each : Own) {
    const MeshService *Of = State->routes()->service(Each.Service);
    if (Of == nullptr || Of->HealthPath.empty())
      continue;
    Inbound->checkHealth(Each, Of->HealthPath, [this, Each](bool Healthy) {
      if (Healthy)
        adopt(Each);
    });
  }
}

void LocalServerRegistry::adopt(MeshEndpoint Record) {
  const MeshEndpoint *Present = State->directory().find(Record.Id);
  if (Servers.count(Record.Id) != 0 || LeftUnknown.count(Record.Id) != 0 ||
      Present == nullptr || Present->Born != Record.Born ||
      Present->State > EndpointState::Unreachable)
    return;
  Record.State = EndpointState::Ready;
  take(Record, [] {});
}

void LocalServerRegistry::retryHeldReports() {
  std::map<std::string, ServerReport> Reports;
  Reports.swap(Held);
  for (const auto &[Id, Each] : Reports)
    report(Each, [] {});
}

void LocalServerRegistry::leave(const std::string &Id, int64_t Born,
                                std::function<void()> Acknowledge) {
  Held.erase(Id);
  auto Found = Servers.find(Id);
  const MeshEndpoint *Listed = State->directory().find(Id);
  if (Found == Servers.end() && Listed == nullptr) {
    logInfo("leave_of_unknown_server", {{"server", Id}});
    LeftUnknown[Id] = Time->now();
    Acknowledge();
    return;
  }
  MeshEndpoint Record = Found != Servers.end() ? Found->second.Record : *Listed;
  if (Listed != nullptr && Listed->supersedes(Record))
    Record = *Listed;
  if (Born != 0 && Born < Record.Born) {
    logInfo("leave_of_earlier_incarnation", {{"server", Id}, {"born", Born}});
    Acknowledge();
    return;
  }
  Record.State = EndpointState::Gone;
  take(Record, std::move(Acknowledge));
}

void LocalServerRegistry::take(const MeshEndpoint &Record,
                               std::function<void()> Acknowledge) {
  Known &Entry = Servers[Record.Id];
  bool Changed =
      !Entry.Announced || Entry.Silent || Entry.Record.State != Record.State ||
      Entry.Record.Born != Record.Born || Entry.Record.Slots != Record.Slots ||
      Entry.Record.Version != Record.Version ||
      Entry.Record.Server != Record.Server;
  Entry.Record = Record;
  Entry.LastReceived = Time->now();
  Entry.Silent = false;
  if (!Changed) {
    Acknowledge();
    return;
  }
  Entry.Announced = true;
  logInfo("server_reported", {{"server", Record.Id},
                              {"service", Record.Service},
                              {"version", Record.Version},
                              {"state", nameOf(Record.State)},
                              {"born", Record.Born},
                              {"sequence", Record.Sequence}});
  Inbound->serverChanged(Record);
  announce(Record);
  if (Record.State == EndpointState::Ready) {
    Publisher->publish(Record, [](bool) {});
    Acknowledge();
    return;
  }
  auto Once = std::make_shared<std::function<void()>>(std::move(Acknowledge));
  auto AckOnce = [Once] {
    std::function<void()> Action = std::move(*Once);
    *Once = nullptr;
    if (Action)
      Action();
  };
  uint64_t Ack = NextAck++;
  AckTimers[Ack] = Timers->after(AckLimit, [this, Ack, AckOnce] {
    TimerHandle Fired = std::move(AckTimers[Ack]);
    AckTimers.erase(Ack);
    AckOnce();
  });
  Publisher->publish(Record, [AckOnce](bool) { AckOnce(); });
}

void LocalServerRegistry::announce(const MeshEndpoint &Record) {
  State->mergeFromOwner(Record);
  wire::EndpointAnnounce Message;
  Message.endpoints.push_back(recordOf(Record));
  for (const Address &Each : State->directory().daemonAddresses())
    if (Each != Options.DaemonAddress)
      Peers->sendMessage(Each, FrameType::EndpointAnnounce, Message);
}

void LocalServerRegistry::announceStopping() {
  for (auto &[Id, Each] : Servers) {
    if (Each.Record.State != EndpointState::Ready)
      continue;
    MeshEndpoint Record = Each.Record;
    Record.State = EndpointState::Unreachable;
    announce(Record);
  }
}

void LocalServerRegistry::checkSilence() {
  TimePoint Now = Time->now();
  // After a pause of this process the reports that came meanwhile are read
  // first.
  bool WasPaused = Now - LastCheck > 2 * SilenceCheckPeriod;
  LastCheck = Now;
  retryHeldReports();
  std::erase_if(LeftUnknown, [Now](const auto &Entry) {
    return Now - Entry.second >= ReportDelayLimit;
  });
  // The directory keeps those that left for longer than a report may be late.
  std::erase_if(Servers, [this](const auto &Entry) {
    return Entry.second.Record.State == EndpointState::Gone &&
           State->directory().find(Entry.first) == nullptr;
  });
  if (WasPaused)
    return;
  for (auto &[Id, Each] : Servers) {
    if (Each.Silent || Each.Record.State != EndpointState::Ready ||
        Now - Each.LastReceived < Options.ReportPeriod * MissedReports)
      continue;
    Each.Silent = true;
    logWarning(
        "server_silent",
        {{"server", Id}, {"silent_ms", milliseconds(Now - Each.LastReceived)}});
    Inbound->serverTimedOut(Id);
    MeshEndpoint Record = Each.Record;
    Record.State = EndpointState::Unreachable;
    announce(Record);
  }
}

} // namespace cyclamenwind
