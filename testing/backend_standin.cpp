#include "testing/backend_standin.h"

#include <cstdio>
#include <cstdlib>

#include <nlohmann/json.hpp>

namespace cyclamenwind::testing {
namespace {

using nlohmann::json;

constexpr Duration RegistrationPeriod = 1s;
constexpr Duration RegistrationTimeout = 1s;
constexpr Duration IdleCheckPeriod = 20ms;
// Time for the fleet to learn of the drain before an idle server deregisters.
constexpr Duration MinDrainTime = 500ms;

} // namespace

BackendStandin::BackendStandin(Loop &TheLoop, const BackendOptions &Options)
    : TheLoop(TheLoop), Options(Options), Rng(Options.Seed),
      Client(TheLoop, {}), Started(TheLoop.now()) {
  auto Listening =
      HttpServer::listen(TheLoop, Options.Listen, {},
                         [this](ExchangePtr Received) { accept(Received); });
  if (!Listening) {
    std::fprintf(stderr, "backend stand-in: %s is in use\n",
                 Options.Listen.text().c_str());
    std::exit(1);
  }
  Server = std::move(Listening.value());
  if (!Options.Trace.empty())
    Trace.open(Options.Trace, std::ios::app);
  RegistrationTimer =
      TheLoop.every(RegistrationPeriod, [this] { registerServer(); });
  registerServer();
}

void BackendStandin::accept(const ExchangePtr &Received) {
  const HttpRequest &Request = Received->request();
  if (Request.path() == "/standin/counts") {
    counts(Received);
    return;
  }
  if (Request.path() == "/standin/control") {
    control(Received);
    return;
  }
  if (Running.size() >= static_cast<size_t>(Options.Slots)) {
    ++Shed;
    Received->reply({503, {}, "no slot\n"});
    return;
  }
  const std::string *IdHeader = findHeader(Request.Headers, RequestIdHeader);
  std::string Id = IdHeader == nullptr ? "" : *IdHeader;
  ++RunsById[Id];
  if (Trace.is_open())
    Trace << Id + " " + Request.Method + "\n" << std::flush;
  if (Draining)
    ++RunsAfterDrain;
  bool IsFaulty = isFaulty(Request);
  bool Failed = IsFaulty && Rng.fraction() < Options.Behaviour.FailRate;
  double Factor = IsFaulty ? Options.Behaviour.SlowFactor : 1;
  Duration Work = Rng.jittered(Options.Behaviour.Work, 0.2);
  Work = Duration(static_cast<int64_t>(Work.count() * Factor));
  uint64_t Run = NextRun++;
  TimerHandle &Timer = Running[Run];
  if (Options.Behaviour.NeverRespond)
    Work = 1h;
  Timer = TheLoop.after(Work, [this, Run, Received, Id, Failed] {
    TimerHandle Fired = std::move(Running[Run]);
    Running.erase(Run);
    finish(Received, Id, Failed);
  });
  Received->onPeerGone([this, Run] {
    ++Cancelled;
    Running.erase(Run);
  });
}

void BackendStandin::finish(const ExchangePtr &Received, const std::string &Id,
                            bool Failed) {
  if (Options.Behaviour.CloseWithoutResponse) {
    Received->abandon();
    return;
  }
  Received->reply({Failed ? 500 : 200,
                   {{RequestIdHeader, Id}},
                   "id=" + Id + " version=" + Options.Version + "\n"});
}

bool BackendStandin::isFaulty(const HttpRequest &Request) const {
  const BackendBehaviour &Behaviour = Options.Behaviour;
  if (TheLoop.now() - Started < Behaviour.FaultAfter)
    return false;
  if (static_cast<int>(Running.size()) < Behaviour.FaultAboveRunning)
    return false;
  return Request.path().starts_with(Behaviour.FaultPath);
}

void BackendStandin::control(const ExchangePtr &Received) {
  json Node = json::parse(Received->request().Body, nullptr, false);
  if (!Node.is_object()) {
    Received->reply({400, {}, "not a JSON object\n"});
    return;
  }
  BackendBehaviour &Behaviour = Options.Behaviour;
  Behaviour.Work = std::chrono::milliseconds(
      Node.value("work_ms", milliseconds(Behaviour.Work)));
  Behaviour.FailRate = Node.value("fail_rate", Behaviour.FailRate);
  Behaviour.SlowFactor = Node.value("slow_factor", Behaviour.SlowFactor);
  Behaviour.FaultPath = Node.value("fault_path", Behaviour.FaultPath);
  Behaviour.FaultAboveRunning =
      Node.value("fault_above_running", Behaviour.FaultAboveRunning);
  Behaviour.CloseWithoutResponse =
      Node.value("cut_answers", Behaviour.CloseWithoutResponse);
  Behaviour.NeverRespond = Node.value("silent", Behaviour.NeverRespond);
  Received->reply({200, {}, "{}\n"});
}

void BackendStandin::counts(const ExchangePtr &Received) {
  uint64_t Runs = 0;
  json RepeatedIds = json::array();
  for (const auto &[Id, Times] : RunsById) {
    Runs += static_cast<uint64_t>(Times);
    if (Times > 1)
      RepeatedIds.push_back(Id);
  }
  json Body = {{"service", Options.Service},
               {"version", Options.Version},
               {"runs", Runs},
               {"repeated", RepeatedIds},
               {"shed", Shed},
               {"cancelled", Cancelled},
               {"runs_after_drain", RunsAfterDrain}};
  if (!Received->request().queryValue("ids").empty())
    Body["ids"] = RunsById;
  Received->reply({200, {}, Body.dump() + "\n"});
}

void BackendStandin::registerServer() {
  json Body = {{"address", Options.Listen.text()},
               {"service", Options.Service},
               {"version", Options.Version},
               {"slots", Options.Slots},
               {"draining", Draining}};
  RegistrationCall =
      Client.send(Options.Daemon, {"PUT", "/announcements", {}, Body.dump()},
                  RegistrationTimeout, [](auto) {});
}

void BackendStandin::drain() {
  if (Draining)
    return;
  Draining = true;
  DrainStarted = TheLoop.now();
  registerServer();
  IdleTimer = TheLoop.every(IdleCheckPeriod, [this] { deregisterWhenIdle(); });
}

void BackendStandin::deregisterWhenIdle() {
  if (!Running.empty() || TheLoop.now() - DrainStarted < MinDrainTime)
    return;
  IdleTimer.reset();
  RegistrationTimer.reset();
  json Body = {{"address", Options.Listen.text()},
               {"service", Options.Service},
               {"version", Options.Version}};
  RegistrationCall =
      Client.send(Options.Daemon, {"DELETE", "/announcements", {}, Body.dump()},
                  RegistrationTimeout, [this](auto) { TheLoop.stop(); });
}

} // namespace cyclamenwind::testing
