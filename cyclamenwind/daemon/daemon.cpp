#include "cyclamenwind/daemon/daemon.h"

#include "cyclamenwind/base/log.h"
#include "cyclamenwind/config/acceptance.h"
#include "cyclamenwind/config/config_distribution.h"
#include "cyclamenwind/config/status.h"
#include "cyclamenwind/config/store.h"
#include "cyclamenwind/membership/membership.h"
#include "cyclamenwind/operators/api.h"
#include "cyclamenwind/operators/audit_api.h"
#include "cyclamenwind/operators/metrics.h"
#include "cyclamenwind/peer/tcp_transport.h"
#include "cyclamenwind/rollouts/service.h"
#include "cyclamenwind/store/service.h"
#include "cyclamenwind/traffic/inbound_calls.h"
#include "cyclamenwind/traffic/outbound_calls.h"

#include <random>

namespace cyclamenwind {
namespace {

constexpr Duration DrainCheckPeriod = 20ms;
// Period after the leave announcement in which this daemon still accepts calls
// from other daemons, so that all of them receive the announcement first.
constexpr Duration LeaveAnnouncementTime = 1500ms;
// Limit of the time in which the streams to other daemons close in agreement
// with them.
constexpr Duration StreamCloseLimit = 2s;

uint64_t randomSeed() {
  std::random_device Source;
  return (uint64_t(Source()) << 32) | Source();
}

} // namespace

std::string DaemonError::text() const {
  return "error=address_in_use key=" + Key +
         " address=" + FailedAddress.text() +
         " message=\"the address cannot be bound\"";
}

Result<std::unique_ptr<Daemon>, DaemonError>
Daemon::create(Loop &TheLoop, const Settings &TheSettings,
               std::unique_ptr<PlatformClient> Platform) {
  std::unique_ptr<Daemon> Created(
      new Daemon(TheLoop, TheSettings, std::move(Platform)));
  Result<void, DaemonError> Bound = Created->bind();
  if (!Bound)
    return Bound.error();
  return Created;
}

Daemon::Daemon(Loop &TheLoop, const Settings &TheSettings,
               std::unique_ptr<PlatformClient> Platform)
    : TheLoop(TheLoop), TheSettings(TheSettings), Rng(randomSeed()),
      Services(TheLoop, TheLoop, Rng) {
  addServices(std::move(Platform));
}

Daemon::~Daemon() { Services.stop(); }

void Daemon::addServices(std::unique_ptr<PlatformClient> Platform) {
  int64_t Incarnation = TheLoop.wallNow().time_since_epoch().count();
  Services.add(std::make_unique<PlatformService>(std::move(Platform), TheLoop,
                                                 TheSettings.Platform, Rng));
  Services.add(std::make_unique<Metrics>());
  Services.add(std::make_unique<AuditTrail>());
  Services.add(std::make_unique<ConfigStore>());
  Services.add(std::make_unique<ConfigDistribution>(TheSettings));
  Services.add(std::make_unique<Acceptance>());
  Services.add(std::make_unique<ServerRegistrations>(
      TheSettings.Membership.AnnouncementLifetime));
  Services.add(std::make_unique<Membership>(TheSettings, Incarnation));
  Services.add(std::make_unique<RolloutService>());
  Services.add(std::make_unique<InboundCalls>(
      std::make_unique<HttpClient>(
          TheLoop,
          HttpClientOptions{
              TheSettings.Traffic.MaxBodyBytes,
              static_cast<size_t>(TheSettings.Traffic.ConnectionsPerServer)}),
      TheSettings.Traffic));
  Services.add(std::make_unique<OutboundCalls>(TheSettings));
  Services.add(std::make_unique<RuntimeMetrics>());
  Services.add(std::make_unique<OperatorApi>(TheSettings));
  Services.add(std::make_unique<DocumentApi>(TheSettings.Member.FailureDomain));
  Services.add(std::make_unique<AuditApi>());
}

Result<void, DaemonError> Daemon::bind() {
  const AddressSettings &Addresses = TheSettings.Addresses;
  Result<std::unique_ptr<TcpTransport>, PeerTransportError> Peers =
      TcpTransport::listen(TheLoop, Addresses.Peers);
  if (!Peers)
    return DaemonError{"addresses.peers", Addresses.Peers};
  Services.add(std::move(Peers.value()));

  HttpLimits Limits = {TheSettings.Traffic.MaxHeaderBytes,
                       TheSettings.Traffic.MaxBodyBytes};
  auto Callers = HttpServer::listen(
      TheLoop, Addresses.Callers, Limits, [this](ExchangePtr Received) {
        Services.find<OutboundCalls>("caller_side").accept(std::move(Received));
      });
  if (!Callers)
    return DaemonError{"addresses.callers", Addresses.Callers};
  CallerServer = std::move(Callers.value());

  HttpLimits OperatorLimits = {TheSettings.Traffic.MaxHeaderBytes,
                               2 * MaxDocumentBytes};
  auto Operators = HttpServer::listen(
      TheLoop, Addresses.Operators, OperatorLimits,
      [this](ExchangePtr Received) {
        Services.find<OperatorApi>("operators").accept(std::move(Received));
      });
  if (!Operators)
    return DaemonError{"addresses.operators", Addresses.Operators};
  OperatorServer = std::move(Operators.value());
  return success();
}

void Daemon::start() {
  Services.start();
  addDistributionStatus();
  auto &Operators = Services.find<OperatorApi>("operators");
  auto &Rollouts = Services.find<RolloutService>("versions");
  Operators.onDrain([this] { shutdown(); });
  Operators.addStatus("moves", [&Rollouts] { return Rollouts.status(); });
  Operators.route("GET", "/api/moves",
                  [&Rollouts](const ExchangePtr &Received) {
                    replyJson(Received, 200, Rollouts.status());
                  });
  logInfo("daemon_started",
          {{"callers", TheSettings.Addresses.Callers.text()},
           {"peers", TheSettings.Addresses.Peers.text()},
           {"operators", TheSettings.Addresses.Operators.text()},
           {"failure_domain", TheSettings.Member.FailureDomain}});
}

void Daemon::addDistributionStatus() {
  auto &Distribution = Services.find<ConfigDistribution>("config_distribution");
  auto &Members = Services.find<MembershipView>("membership");
  auto &Operators = Services.find<OperatorApi>("operators");
  Operators.addStatus("standing", [this, &Distribution, &Members] {
    return fleetVersionsJson(Distribution, Members.memberList(), TheLoop.now());
  });
  Operators.addStatus("distribution", [this, &Distribution] {
    return distributionJson(Distribution, TheLoop.now());
  });
  Operators.addStatus("control", [this] {
    return controlJson(Services.find<PeerTransport>("peers"));
  });
}

void Daemon::shutdown() {
  if (Draining) {
    logWarning("daemon_stopped", {{"cause", "second request"}});
    TheLoop.stop();
    return;
  }
  Draining = true;
  DrainStart = TheLoop.now();
  logInfo("daemon_draining");
  Services.find<Membership>("membership").leave();
  Services.find<OperatorApi>("operators").setDraining();
  Services.find<OutboundCalls>("caller_side").refuseNew();
  DrainTimer = TheLoop.every(DrainCheckPeriod, [this] { checkDrained(); });
}

// Counts the requests of callers and the calls on backend servers that have not
// finished, and the responses that have not been written.
size_t Daemon::unfinished() {
  return Services.find<OutboundCalls>("caller_side").active() +
         Services.find<InboundCalls>("server_side").active() +
         CallerServer->unfinished();
}

void Daemon::checkDrained() {
  TimePoint Now = TheLoop.now();
  if (Now - DrainStart >= TheSettings.Traffic.DrainLimit) {
    logWarning("daemon_stopped",
               {{"cause", "drain limit"}, {"calls_cut", unfinished()}});
    TheLoop.stop();
    return;
  }
  if (Now - DrainStart < LeaveAnnouncementTime)
    return;
  Services.find<InboundCalls>("server_side").refuseNew();
  if (unfinished() > 0)
    return;
  if (!ClosingStart)
    closeConnections();
  bool Closed = Services.find<TcpTransport>("peers").links() == 0;
  if (!Closed && Now - *ClosingStart < StreamCloseLimit)
    return;
  logInfo("daemon_stopped", {{"cause", "drained"}});
  TheLoop.stop();
}

// Called when nothing is running any more. Requests that still arrive on open
// connections and streams are rejected until these are closed.
void Daemon::closeConnections() {
  ClosingStart = TheLoop.now();
  CallerServer->stopAccepting();
  Services.find<TcpTransport>("peers").leave();
}

} // namespace cyclamenwind
