#include "cyclamenwind/mesh/mesh_daemon.h"

#include "cyclamenwind/base/log.h"
#include "cyclamenwind/http/pooled_client.h"
#include "cyclamenwind/mesh/allowance_service.h"
#include "cyclamenwind/mesh/config_relay.h"
#include "cyclamenwind/mesh/evacuation_sync.h"
#include "cyclamenwind/mesh/inbound_proxy.h"
#include "cyclamenwind/mesh/mesh_gauges.h"
#include "cyclamenwind/mesh/mesh_state.h"
#include "cyclamenwind/mesh/outbound_proxy.h"
#include "cyclamenwind/mesh/peer_sync.h"
#include "cyclamenwind/mesh/response_matcher.h"
#include "cyclamenwind/mesh/rollout_controller.h"
#include "cyclamenwind/operators/metrics.h"
#include "cyclamenwind/peer/tcp_transport.h"
#include "cyclamenwind/store/service.h"

#include <random>

namespace cyclamenwind {
namespace {

constexpr Duration StopCheckPeriod = 50ms;
// Callers are sent elsewhere after two failed readiness probes, one second
// apart; until then they still open connections.
constexpr Duration AcceptWhileStopping = 2400ms;
// Time until peers are told that this daemon stops. The local backend server
// keeps serving them until then, and also runs requests that they send before
// they receive the message.
constexpr Duration ServeWhileStopping = 1600ms;
// All requests are answered this long before the process would be killed, and
// the process ends StopMargin before that. In between, responses are sent.
constexpr Duration AnswerMargin = 600ms;
constexpr Duration StopMargin = 400ms;
// The body of one request may take MemoryBytes / BodyMemoryDivisor.
constexpr size_t BodyMemoryDivisor = 16;
constexpr size_t DefaultBodyBytes = 4 * 1024 * 1024;
// Descriptors that callers' connections may not take: those that the platform
// reserves for files (docs/MILESTONE.md, part 6), and a part for the streams to
// peers, the connections to the local backend server and to the store.
constexpr int FileDescriptors = 200;
constexpr int OtherSocketsDivisor = 8;
// Connections to each address that is not for callers: the platform's probes,
// the local backend server's reports and the collector of metrics.
constexpr size_t MaxServiceConnections = 32;
// Retry-After of a request that is refused for want of memory.
constexpr Duration MemoryRetryDelay = 500ms;
// Share of the platform's rate that one daemon may use, and the bounds of the
// result. A daemon makes less than one call a second, except for a few at once
// at its start and when many records change.
constexpr double RateShare = 0.05;
constexpr double MaxCallsPerSecond = 20;
constexpr double MinCallsPerSecond = 1;
constexpr int BurstSeconds = 2;
// A start makes five calls in a row.
constexpr int MinCallBurst = 10;

uint64_t randomSeed() {
  std::random_device Source;
  return (uint64_t(Source()) << 32) | Source();
}

PlatformSettings platformSettings(const HostSettings &Settings) {
  double Rate = std::min(Settings.WritesPerSecond, Settings.ReadsPerSecond);
  PlatformSettings Options;
  Options.CallsPerSecond =
      std::clamp(RateShare * Rate, MinCallsPerSecond, MaxCallsPerSecond);
  Options.Burst = std::max(
      MinCallBurst, static_cast<int>(BurstSeconds * Options.CallsPerSecond));
  Options.Timeout = PlatformCallTimeout;
  return Options;
}

// The outbound proxy probes the daemons that it waits for; other streams need
// few heartbeats.
PeerTimings peerTimings() {
  PeerTimings Timings;
  Timings.HeartbeatPeriod = 2s;
  Timings.SilenceLimit = 5s;
  return Timings;
}

// 0: no limit.
size_t maxCallerConnections(const HostSettings &Settings) {
  int Left = Settings.MaxDescriptors - FileDescriptors -
             Settings.MaxDescriptors / OtherSocketsDivisor;
  return Settings.MaxDescriptors == 0 ? 0
                                      : static_cast<size_t>(std::max(Left, 1));
}

PipelineLimits serviceLimits() {
  PipelineLimits Limits;
  Limits.MaxConnections = MaxServiceConnections;
  return Limits;
}

size_t maxBodyBytes(const HostSettings &Settings) {
  return Settings.MemoryBytes == 0 ? DefaultBodyBytes
                                   : Settings.MemoryBytes / BodyMemoryDivisor;
}

} // namespace

MeshDaemon::MeshDaemon(Loop &TheLoop, const HostSettings &Settings,
                       const MeshAdapters &Adapters,
                       std::unique_ptr<PlatformClient> Platform)
    : TheLoop(TheLoop), Settings(Settings), Adapters(Adapters),
      Rng(randomSeed()), Memory(MemoryBudget::forProcess(Settings.MemoryBytes)),
      Services(TheLoop, TheLoop, Rng) {
  auto Store = std::make_unique<PlatformService>(
      std::move(Platform), TheLoop, platformSettings(Settings), Rng);
  PlatformClient &Client = *Store;
  PooledClientOptions Options;
  Options.Parser.MaxBodyBytes = maxBodyBytes(Settings);
  Options.Memory = &Memory;
  Options.Matches = responseMatcher(Adapters.Headers);
  auto Counters = std::make_unique<Metrics>();
  Store->observe([RawCounters = Counters.get()](std::string_view Call,
                                                std::string_view Outcome) {
    RawCounters->countPlatformCall(std::string(Call), std::string(Outcome));
  });
  Services.add(std::move(Store));
  Services.add(std::move(Counters));
  Services.add(std::make_unique<MeshState>());
  Services.add(std::make_unique<InboundProxy>(
      std::make_unique<PooledClient>(TheLoop, std::move(Options)),
      Adapters.Headers,
      InboundProxyOptions{{Settings.ColdRateFactor, Settings.ColdSlack},
                          Settings.LinkBytesPerSecond}));
  Services.add(std::make_unique<OutboundProxy>(
      OutboundProxyOptions{
          Settings.FailureDomain,
          Settings.ServerService,
          {Settings.RetryRatio, Settings.RetryExtra, Settings.RetryWindow}},
      Adapters.Headers));
  Services.add(std::make_unique<AllowanceService>(
      AllowanceBounds{Settings.AllowanceWindow, Settings.AllowanceOverage,
                      Settings.AllowanceSlack}));
  Services.add(std::make_unique<StoreSync>(
      Client, Adapters.Objects, Settings.FailureDomain, Settings.FirstStart));
  Services.add(std::make_unique<LocalServerRegistry>(LocalServerRegistryOptions{
      Settings.Peers, Settings.ReportPeriod, Settings.FirstStart}));
  Services.add(
      std::make_unique<PeerSync>(Adapters.Objects, Settings.FirstStart));
  Services.add(std::make_unique<ConfigRelay>(Adapters.Objects));
  Services.add(std::make_unique<EvacuationSync>(
      Client, Adapters.Objects, Settings.EvacuationLimit, Settings.FirstStart));
  Services.add(std::make_unique<RolloutController>());
  if (Settings.LinkBytesPerSecond > 0)
    Pacer = std::make_unique<EgressPacer>(TheLoop, TheLoop,
                                          Settings.LinkBytesPerSecond);
}

// Connections that were closed in the loop's last iteration are destroyed with
// its deferred actions, after this daemon, and take themselves off the pacer.
MeshDaemon::~MeshDaemon() {
  Services.stop();
  if (Pacer)
    TheLoop.defer([Kept = std::shared_ptr<EgressPacer>(std::move(Pacer))] {});
}

std::optional<Address> MeshDaemon::start() {
  Result<std::unique_ptr<TcpTransport>, PeerTransportError> Transport =
      TcpTransport::listen(TheLoop, Settings.Peers, peerTimings());
  if (!Transport)
    return Settings.Peers;
  if (Pacer)
    Transport.value()->paceWith(*Pacer);
  Transport.value()->chargeTo(Memory);
  Peers = Transport.value().get();
  Services.add(std::move(Transport.value()));
  Services.start();
  auto &Outbound = Services.find<OutboundProxy>("forwarder");
  Outbound.limitWith(Services.find<AllowanceService>("allowances"));
  auto &Registry = Services.find<LocalServerRegistry>("registry");
  auto &State = Services.find<MeshState>("mesh_state");
  auto &Inbound = Services.find<InboundProxy>("gate");
  Inbound.VersionAllowed = [&State](const std::string &Service,
                                    const std::string &Version) {
    return State.rollouts().allowed(Service, Version);
  };
  Inbound.AppliedConfig = [&State] { return State.configPosition(); };
  Inbound.Memory = &Memory;
  Inbound.OnServerLeaving = [&Registry](const std::string &Id) {
    Registry.serverSaysLeaving(Id);
  };
  Inbound.OnPeerRevision = [&State](const Address &Peer,
                                    const ConfigPosition &Position) {
    State.reportPeerRevision(Peer, Position);
  };
  if (Pacer)
    Inbound.TransferWait = [this](size_t Bytes) {
      return Pacer->expectedWait(Bytes);
    };
  State.onConfig([this] { applyLimits(); });
  CallerServer = std::make_unique<PipelineServer>(
      TheLoop, Settings.Callers, callerLimits(),
      [&Outbound](const ExchangePtr &Exchange) { Outbound.accept(Exchange); });
  ReadyServer = std::make_unique<PipelineServer>(
      TheLoop, Settings.Readiness, serviceLimits(),
      [this](const ExchangePtr &Exchange) { answerReadiness(Exchange); });
  ReportServer = std::make_unique<PipelineServer>(
      TheLoop, Settings.Reports, serviceLimits(),
      [this, &Registry](const ExchangePtr &Exchange) {
        Adapters.HandleReport(Registry, Exchange);
      });
  MetricsServer = std::make_unique<PipelineServer>(
      TheLoop, Settings.Metrics, serviceLimits(),
      [this](const ExchangePtr &Exchange) { answerMetrics(Exchange); });
  CallerServer->chargeTo(Memory);
  if (Pacer)
    CallerServer->paceWith(*Pacer);
  if (!CallerServer->ok())
    return Settings.Callers;
  if (!ReadyServer->ok())
    return Settings.Readiness;
  if (!ReportServer->ok())
    return Settings.Reports;
  if (!MetricsServer->ok())
    return Settings.Metrics;
  applyLimits();
  logInfo("daemon_started", {{"callers", Settings.Callers.text()},
                             {"peers", Settings.Peers.text()},
                             {"service", Settings.ServerService},
                             {"platform", Settings.Platform.text()}});
  return std::nullopt;
}

// Limits that do not depend on the configuration.
PipelineLimits MeshDaemon::callerLimits() const {
  PipelineLimits Limits;
  Limits.MaxConnections = maxCallerConnections(Settings);
  Limits.RefusalHeaders = {Adapters.Headers.retryAfter(MemoryRetryDelay)};
  return Limits;
}

void MeshDaemon::applyLimits() {
  const RouteTablePtr &Routes = Services.find<MeshState>("mesh_state").routes();
  if (!Routes)
    return;
  const CallerLimits &Limits = Routes->config().Limits;
  PipelineLimits Applied = callerLimits();
  Applied.Parser.MaxHeaderBytes = Limits.MaxHeaderBytes;
  Applied.Parser.MaxBodyBytes =
      std::min(Limits.MaxBodyBytes, maxBodyBytes(Settings));
  Applied.HeaderTimeout = Limits.HeaderTimeout;
  Applied.IdleTimeout = Limits.IdleTimeout;
  CallerServer->setLimits(Applied);
}

bool MeshDaemon::ready() {
  return !StopRequestedAt &&
         Services.find<MeshState>("mesh_state").routes() != nullptr;
}

void MeshDaemon::answerReadiness(const ExchangePtr &Exchange) {
  if (Exchange->request().path() != Adapters.ReadinessPath) {
    Exchange->reply({404, {}, ""});
    return;
  }
  Exchange->reply({ready() ? 200 : 503, {}, ""});
}

void MeshDaemon::answerMetrics(const ExchangePtr &Exchange) {
  setMeshGauges({Services.find<MeshState>("mesh_state"),
                 Services.find<StoreSync>("store_sync"),
                 Services.find<PeerTransport>("peers"),
                 Services.find<OutboundProxy>("forwarder").retryBudget(),
                 droppedLogLines()},
                TheLoop.now(), Services.find<Metrics>("metrics"));
  Services.find<Metrics>("metrics").setGauge(
      "cyclamenwind_cold_servers",
      "Local backend servers that get fewer requests because they are cold.",
      {},
      static_cast<double>(Services.find<InboundProxy>("gate").coldServers()));
  setMemoryGauges(Memory, Services.find<Metrics>("metrics"));
  Services.find<AllowanceService>("allowances").setGauges();
  Exchange->reply({200,
                   {{"Content-Type", "text/plain; version=0.0.4"}},
                   Services.find<Metrics>("metrics").text()});
}

void MeshDaemon::reload(const HostSettings &Changed) {
  bool AddressesChanged = Changed.Callers != Settings.Callers ||
                          Changed.Peers != Settings.Peers ||
                          Changed.Reports != Settings.Reports ||
                          Changed.Readiness != Settings.Readiness;
  logInfo("settings_reloaded", {{"addresses_changed", int(AddressesChanged)}});
  if (AddressesChanged)
    logWarning("settings_need_restart", {{"name", Changed.Name}});
}

void MeshDaemon::shutdown() {
  if (StopRequestedAt)
    return;
  StopRequestedAt = TheLoop.now();
  logInfo("daemon_draining",
          {{"requests", Services.find<OutboundProxy>("forwarder").active()}});
  CallerServer->drain(/*CloseIdle=*/false);
  TimePoint AnswersEndAt = *StopRequestedAt + Settings.StopLimit - AnswerMargin;
  Services.find<InboundProxy>("gate").answerBy(AnswersEndAt);
  Services.find<OutboundProxy>("forwarder").answerBy(AnswersEndAt);
  StopTimer = TheLoop.every(StopCheckPeriod, [this] { checkDrained(); });
}

size_t MeshDaemon::unfinished() {
  return Services.find<OutboundProxy>("forwarder").active() +
         Services.find<InboundProxy>("gate").active() +
         CallerServer->unfinished() + (Peers->unsentBytes() > 0 ? 1 : 0);
}

void MeshDaemon::stopAccepting() {
  if (AcceptingStopped)
    return;
  AcceptingStopped = true;
  CallerServer->stopAccepting();
  CallerServer->stopReading();
  Services.find<InboundProxy>("gate").refuseNew();
}

void MeshDaemon::checkDrained() {
  TimePoint Now = TheLoop.now();
  Duration StoppingFor = Now - *StopRequestedAt;
  if (StoppingFor >= Settings.StopLimit - StopMargin) {
    logWarning("daemon_stopped",
               {{"cause", "stop limit"}, {"requests_cut", unfinished()}});
    TheLoop.stop();
    return;
  }
  if (StoppingFor >= Settings.StopLimit - AnswerMargin && !AllAnswered) {
    AllAnswered = true;
    logInfo("daemon_ends_requests", {{"requests", unfinished()}});
    stopAccepting();
    Services.find<InboundProxy>("gate").endAll();
    Services.find<OutboundProxy>("forwarder").answerAll();
  }
  if (StoppingFor >= ServeWhileStopping && !StopAnnounced) {
    StopAnnounced = true;
    Services.find<LocalServerRegistry>("registry").announceStopping();
  }
  if (StoppingFor < AcceptWhileStopping && !AllAnswered)
    return;
  stopAccepting();
  if (unfinished() > 0 ||
      Services.find<LocalServerRegistry>("registry").holdsOnlyCopy())
    return;
  logInfo("daemon_stopped", {{"cause", "drained"}});
  TheLoop.stop();
}

} // namespace cyclamenwind
