#include "testing/backend_standin.h"

#include <cstdio>
#include <cstdlib>

#include <nlohmann/json.hpp>

namespace cyclamenwind::testing {
namespace {

using nlohmann::json;

constexpr Duration AnnouncePeriod = 1s;
constexpr Duration AnnounceTimeout = 1s;
constexpr Duration IdleCheckPeriod = 20ms;
// Time that the fleet has to hear of the drain before idleness counts.
constexpr Duration DrainNotice = 500ms;

} // namespace

BackendStandin::BackendStandin(Loop &TheLoop, const BackendOptions &Options)
    : TheLoop(TheLoop), Options(Options), Rng(Options.Seed),
      Client(TheLoop, {}), Started(TheLoop.now()) {
  auto Made =
      HttpServer::listen(TheLoop, Options.Listen, {},
                         [this](ExchangePtr Received) { accept(Received); });
  if (!Made) {
    std::fprintf(stderr, "backend stand-in: %s is in use\n",
                 Options.Listen.text().c_str());
    std::exit(1);
  }
  Server = std::move(Made.value());
  if (!Options.Trace.empty())
    Trace.open(Options.Trace, std::ios::app);
  AnnounceTimer = TheLoop.every(AnnouncePeriod, [this] { announce(); });
  announce();
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
  const std::string *Given = findHeader(Request.Headers, RequestIdHeader);
  std::string Id = Given == nullptr ? "" : *Given;
  ++RunsById[Id];
  if (Trace.is_open())
    Trace << Id + " " + Request.Method + "\n" << std::flush;
  if (Draining)
    ++RunsAfterDrain;
  bool Faulty = faulty(Request);
  bool Failed = Faulty && Rng.fraction() < Options.Behaviour.FailRate;
  double Factor = Faulty ? Options.Behaviour.SlowFactor : 1;
  Duration Work = Rng.jittered(Options.Behaviour.Work, 0.2);
  Work = Duration(static_cast<int64_t>(Work.count() * Factor));
  uint64_t Run = NextRun++;
  TimerHandle &Timer = Running[Run];
  if (Options.Behaviour.Silent)
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
  if (Options.Behaviour.CutAnswers) {
    Received->abandon();
    return;
  }
  Received->reply({Failed ? 500 : 200,
                   {{RequestIdHeader, Id}},
                   "id=" + Id + " version=" + Options.Version + "\n"});
}

bool BackendStandin::faulty(const HttpRequest &Request) const {
  const BackendBehaviour &How = Options.Behaviour;
  if (TheLoop.now() - Started < How.FaultAfter)
    return false;
  if (static_cast<int>(Running.size()) < How.FaultAboveRunning)
    return false;
  return Request.path().starts_with(How.FaultPath);
}

void BackendStandin::control(const ExchangePtr &Received) {
  json Node = json::parse(Received->request().Body, nullptr, false);
  if (!Node.is_object()) {
    Received->reply({400, {}, "not a JSON object\n"});
    return;
  }
  BackendBehaviour &How = Options.Behaviour;
  How.Work =
      std::chrono::milliseconds(Node.value("work_ms", milliseconds(How.Work)));
  How.FailRate = Node.value("fail_rate", How.FailRate);
  How.SlowFactor = Node.value("slow_factor", How.SlowFactor);
  How.FaultPath = Node.value("fault_path", How.FaultPath);
  How.FaultAboveRunning =
      Node.value("fault_above_running", How.FaultAboveRunning);
  How.CutAnswers = Node.value("cut_answers", How.CutAnswers);
  How.Silent = Node.value("silent", How.Silent);
  Received->reply({200, {}, "{}\n"});
}

void BackendStandin::counts(const ExchangePtr &Received) {
  uint64_t Runs = 0;
  json Repeated = json::array();
  for (const auto &[Id, Times] : RunsById) {
    Runs += static_cast<uint64_t>(Times);
    if (Times > 1)
      Repeated.push_back(Id);
  }
  json Body = {{"service", Options.Service},
               {"version", Options.Version},
               {"runs", Runs},
               {"repeated", Repeated},
               {"shed", Shed},
               {"cancelled", Cancelled},
               {"runs_after_drain", RunsAfterDrain}};
  if (!Received->request().queryValue("ids").empty())
    Body["ids"] = RunsById;
  Received->reply({200, {}, Body.dump() + "\n"});
}

void BackendStandin::announce() {
  json Body = {{"address", Options.Listen.text()},
               {"service", Options.Service},
               {"version", Options.Version},
               {"slots", Options.Slots},
               {"draining", Draining}};
  Announcing =
      Client.send(Options.Daemon, {"PUT", "/announcements", {}, Body.dump()},
                  AnnounceTimeout, [](auto) {});
}

void BackendStandin::drain() {
  if (Draining)
    return;
  Draining = true;
  DrainBegun = TheLoop.now();
  announce();
  IdleTimer = TheLoop.every(IdleCheckPeriod, [this] { withdrawWhenIdle(); });
}

void BackendStandin::withdrawWhenIdle() {
  if (!Running.empty() || TheLoop.now() - DrainBegun < DrainNotice)
    return;
  IdleTimer.reset();
  AnnounceTimer.reset();
  json Body = {{"address", Options.Listen.text()},
               {"service", Options.Service},
               {"version", Options.Version}};
  Announcing =
      Client.send(Options.Daemon, {"DELETE", "/announcements", {}, Body.dump()},
                  AnnounceTimeout, [this](auto) { TheLoop.stop(); });
}

} // namespace cyclamenwind::testing
