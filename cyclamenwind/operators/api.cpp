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
  for (const ServiceInstance &Instance : Record.Instances)
    Instances.push_back({{"service", Instance.Service},
                         {"version", Instance.Version},
                         {"slots", Instance.Slots},
                         {"draining", Instance.Draining}});
  return {{"id", Record.Id},
          {"state", nameOf(Record.State)},
          {"failure_domain", Record.FailureDomain},
          {"peer", Record.Peer.text()},
          {"servers", Instances}};
}

struct RegistrationRequest {
  BackendServer Server;
  DocumentErrors Errors;
};

RegistrationRequest parseRegistration(const std::string &Body) {
  RegistrationRequest Parsed;
  json Node = json::parse(Body, nullptr, /*allow_exceptions=*/false);
  if (Node.is_discarded()) {
    Parsed.Errors.push_back({"", "is not JSON"});
    return Parsed;
  }
  ObjectReader Reader(Node, "", Parsed.Errors);
  std::string AddressText = Reader.text("address", 100);
  std::optional<Address> Listen = parseAddress(AddressText);
  if (!Listen)
    Reader.fail("address", "must be an IP number and port");
  else
    Parsed.Server.Listen = *Listen;
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
  // Queries and records of peers may hold any bytes; those that are not UTF-8
  // are written as replacement characters.
  std::string Text =
      Body.dump(-1, ' ', false, json::error_handler_t::replace) + "\n";
  Received->reply(
      {Status, {{"Content-Type", "application/json"}}, std::move(Text)});
}

json jsonOf(const DocumentErrors &Errors) {
  json List = json::array();
  for (const DocumentError &Error : Errors)
    List.push_back({{"path", Error.Path}, {"message", Error.Message}});
  return List;
}

OperatorApi::OperatorApi(const Settings &TheSettings)
    : TheSettings(TheSettings) {}

void OperatorApi::start(Kernel &TheKernel) {
  Time = &TheKernel.clock();
  Config = &TheKernel.find<ConfigStore>("config");
  Members = &TheKernel.find<MembershipView>("membership");
  Registrations = &TheKernel.find<ServerRegistrations>("announcements");
  Counters = &TheKernel.find<Metrics>("metrics");
  RuntimeGauges = &TheKernel.find<RuntimeMetrics>("runtime_metrics");
  route("GET", "/metrics", [this](const ExchangePtr &Received) {
    RuntimeGauges->refresh();
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
    updateRegistration(Received, /*Remove=*/false);
  });
  route("DELETE", "/announcements", [this](const ExchangePtr &Received) {
    updateRegistration(Received, /*Remove=*/true);
  });
}

void OperatorApi::route(const std::string &Method, const std::string &Path,
                        ExchangeHandler Handler) {
  Routes[{Path, Method}] = std::move(Handler);
}

void OperatorApi::addStatus(const std::string &Key,
                            std::function<json()> Provider) {
  StatusProviders[Key] = std::move(Provider);
}

void OperatorApi::accept(ExchangePtr Received) {
  std::string Path(Received->request().path());
  auto Found = Routes.find({Path, Received->request().Method});
  if (Found != Routes.end()) {
    Found->second(std::move(Received));
    return;
  }
  auto SamePath = Routes.lower_bound({Path, ""});
  bool PathExists = SamePath != Routes.end() && SamePath->first.first == Path;
  replyJson(Received, PathExists ? 405 : 404,
            {{"error", PathExists ? "method not allowed" : "no such path"}});
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
  if (!DrainHandler) {
    replyJson(Received, 503, {{"error", "this daemon cannot be drained"}});
    return;
  }
  replyJson(Received, 200, {{"draining", true}, {"already", Draining}});
  if (!Draining)
    DrainHandler();
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
  for (const auto &[Key, Provider] : StatusProviders)
    Body[Key] = Provider();
  replyJson(Received, 200, Body);
}

void OperatorApi::updateRegistration(const ExchangePtr &Received, bool Remove) {
  if (isCrossSite(Received->request())) {
    replyJson(Received, 403, {{"error", "cross_site"}});
    return;
  }
  RegistrationRequest Parsed = parseRegistration(Received->request().Body);
  if (!Parsed.Errors.empty()) {
    replyJson(Received, 400, {{"errors", jsonOf(Parsed.Errors)}});
    return;
  }
  if (Remove)
    Registrations->withdraw(Parsed.Server.Listen);
  else
    Registrations->announce(Parsed.Server, Time->now());
  replyJson(Received, 200,
            {{"lifetime_ms",
              milliseconds(TheSettings.Membership.AnnouncementLifetime)}});
}

} // namespace cyclamenwind
