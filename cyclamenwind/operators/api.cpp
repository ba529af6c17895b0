#include "cyclamenwind/operators/api.h"

#include "cyclamenwind/base/log.h"
#include "cyclamenwind/document/reader.h"
#include "cyclamenwind/operators/access.h"

namespace cyclamenwind {
namespace {

using nlohmann::json;

constexpr int MaxSlots = 10000;

json statusOfMember(const Member &Record) {
  json Instances = json::array();
  for (const ServiceInstance &Each : Record.Instances)
    Instances.push_back({{"service", Each.Service},
                         {"version", Each.Version},
                         {"slots", Each.Slots},
                         {"draining", Each.Draining}});
  return {{"id", Record.Id},
          {"state", nameOf(Record.State)},
          {"failure_domain", Record.FailureDomain},
          {"peer", Record.Peer.text()},
          {"servers", Instances}};
}

struct Announcement {
  BackendServer Server;
  DocumentErrors Errors;
};

Announcement parseAnnouncement(const std::string &Body) {
  Announcement Parsed;
  json Node = json::parse(Body, nullptr, /*allow_exceptions=*/false);
  if (Node.is_discarded()) {
    Parsed.Errors.push_back({"", "is not JSON"});
    return Parsed;
  }
  ObjectReader Reader(Node, "", Parsed.Errors);
  std::string Listen = Reader.text("address", 100);
  std::optional<Address> Where = parseAddress(Listen);
  if (!Where)
    Reader.fail("address", "must be an IP number and port");
  else
    Parsed.Server.Listen = *Where;
  Parsed.Server.Service = Reader.name("service");
  Parsed.Server.Version = Reader.name("version");
  Parsed.Server.Slots =
      static_cast<int>(Reader.integerOr("slots", 1, MaxSlots, 1));
  Parsed.Server.Draining = Reader.booleanOr("draining", false);
  Reader.finish();
  return Parsed;
}

} // namespace

void replyJson(const ExchangePtr &Received, int Status, const json &Body) {
  Received->reply(
      {Status, {{"Content-Type", "application/json"}}, Body.dump() + "\n"});
}

json jsonOf(const DocumentErrors &Errors) {
  json List = json::array();
  for (const DocumentError &Each : Errors)
    List.push_back({{"path", Each.Path}, {"message", Each.Message}});
  return List;
}

OperatorApi::OperatorApi(const Settings &TheSettings)
    : TheSettings(TheSettings) {}

void OperatorApi::start(Kernel &TheKernel) {
  Time = &TheKernel.clock();
  Config = &TheKernel.find<ConfigStore>("config");
  Members = &TheKernel.find<MembershipView>("membership");
  Local = &TheKernel.find<ServerRegistrations>("announcements");
  Counters = &TheKernel.find<Metrics>("metrics");
  Gauges = &TheKernel.find<RuntimeMetrics>("runtime_metrics");
  route("GET", "/metrics", [this](const ExchangePtr &Received) {
    Gauges->refresh();
    Received->reply({200,
                     {{"Content-Type", "text/plain; version=0.0.4"}},
                     Counters->text()});
  });
  route("GET", "/healthz", [](const ExchangePtr &Received) {
    Received->reply({200, {}, "ok\n"});
  });
  route("GET", "/readyz", [this](const ExchangePtr &Received) {
    bool Ready = Config->version() > 0 && !Draining;
    Received->reply({Ready ? 200 : 503, {}, Ready ? "ready\n" : "not ready\n"});
  });
  route("GET", "/status",
        [this](const ExchangePtr &Received) { status(Received); });
  route("POST", "/api/drain",
        [this](const ExchangePtr &Received) { drain(Received); });
  route("PUT", "/announcements", [this](const ExchangePtr &Received) {
    announce(Received, /*Withdraw=*/false);
  });
  route("DELETE", "/announcements", [this](const ExchangePtr &Received) {
    announce(Received, /*Withdraw=*/true);
  });
}

void OperatorApi::route(const std::string &Method, const std::string &Path,
                        ExchangeHandler Handler) {
  Routes[{Path, Method}] = std::move(Handler);
}

void OperatorApi::addStatus(const std::string &Key,
                            std::function<json()> Provider) {
  StatusParts[Key] = std::move(Provider);
}

void OperatorApi::accept(ExchangePtr Received) {
  std::string Path(Received->request().path());
  auto Found = Routes.find({Path, Received->request().Method});
  if (Found != Routes.end()) {
    Found->second(std::move(Received));
    return;
  }
  auto SamePath = Routes.lower_bound({Path, ""});
  bool Known = SamePath != Routes.end() && SamePath->first.first == Path;
  replyJson(Received, Known ? 405 : 404,
            {{"error", Known ? "method not allowed" : "no such path"}});
}

bool OperatorApi::authorised(const ExchangePtr &Received) const {
  const HttpRequest &Request = Received->request();
  AccessDecision Decision = checkWrite(Request, TheSettings.Operators.Token);
  if (Decision == AccessDecision::Granted)
    return true;
  logWarning("write_refused",
             {{"path", Request.path()}, {"cause", nameOf(Decision)}});
  replyJson(Received, 403,
            {{"error", nameOf(Decision)}, {"advice", adviceFor(Decision)}});
  return false;
}

void OperatorApi::drain(const ExchangePtr &Received) {
  if (!authorised(Received))
    return;
  if (!Drain) {
    replyJson(Received, 503, {{"error", "this daemon cannot be drained"}});
    return;
  }
  replyJson(Received, 200, {{"draining", true}, {"already", Draining}});
  if (!Draining)
    Drain();
}

void OperatorApi::status(const ExchangePtr &Received) {
  json MemberList = json::array();
  for (const auto &[Id, Record] : Members->memberList().members())
    MemberList.push_back(statusOfMember(Record));
  json Body = {
      {"member", TheSettings.Member.Id},
      {"failure_domain", TheSettings.Member.FailureDomain},
      {"draining", Draining},
      {"config_version", Config->version()},
      {"config_digest", Config->current() ? Config->current()->digest() : 0},
      {"members", MemberList}};
  for (const auto &[Key, Provider] : StatusParts)
    Body[Key] = Provider();
  replyJson(Received, 200, Body);
}

void OperatorApi::announce(const ExchangePtr &Received, bool Withdraw) {
  if (crossSite(Received->request())) {
    replyJson(Received, 403, {{"error", "cross_site"}});
    return;
  }
  Announcement Parsed = parseAnnouncement(Received->request().Body);
  if (!Parsed.Errors.empty()) {
    replyJson(Received, 400, {{"errors", jsonOf(Parsed.Errors)}});
    return;
  }
  if (Withdraw)
    Local->withdraw(Parsed.Server.Listen);
  else
    Local->announce(Parsed.Server, Time->now());
  replyJson(Received, 200,
            {{"lifetime_ms",
              milliseconds(TheSettings.Membership.AnnouncementLifetime)}});
}

} // namespace cyclamenwind
