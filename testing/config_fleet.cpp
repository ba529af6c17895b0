#include "testing/config_fleet.h"

#include "cyclamenwind/config/keys.h"

#include <set>

#include <nlohmann/json.hpp>

namespace cyclamenwind::testing {
namespace {

constexpr Duration Step = 20ms;
constexpr size_t MaxTrace = 400;

} // namespace

ConfigProcess::ConfigProcess(VirtualTime &Time, Random &Rng,
                             FakePlatform &Platform, FakeNetwork &Network,
                             const MemberList &Members,
                             const Settings &TheSettings)
    : Client(Platform) {
  auto Pausable = std::make_unique<PausableProcess>(Time, Client);
  Body = Pausable.get();
  Services = std::make_unique<Kernel>(Time, *Body, Rng);
  Services->add(std::move(Pausable));
  auto Add = [this](auto Made) {
    auto *Raw = Made.get();
    Services->add(std::move(Made));
    return Raw;
  };
  Peers =
      Add(std::make_unique<FakePeers>(Network, TheSettings.Addresses.Peers));
  Store = Add(std::make_unique<ConfigStore>());
  Spread = Add(std::make_unique<ConfigDistribution>(TheSettings));
  Accepting = Add(std::make_unique<Acceptance>());
  Member Self;
  Self.Id = TheSettings.Member.Id;
  Add(std::make_unique<FixedMembership>(Members, Self));
  Services->start();
}

ConfigFleet::ConfigFleet(uint64_t Seed, size_t Count, size_t Domains)
    : Rng(Seed), Platform(Time, Rng), Network(Time, Time, Rng),
      Domains(Domains) {
  for (size_t I = 0; I < Count; ++I) {
    ConfigHost Added;
    Added.TheSettings.Member.Id = "m" + std::to_string(I);
    Added.TheSettings.Member.FailureDomain = "d" + std::to_string(I % Domains);
    Added.TheSettings.Addresses.Peers = {"10.0." + std::to_string(I / 200) +
                                             "." + std::to_string(I % 200 + 1),
                                         7100};
    Hosts.push_back(std::move(Added));
  }
  for (size_t I = 0; I < Count; ++I)
    start(I);
}

Member ConfigFleet::recordOf(size_t Host) const {
  const Settings &From = Hosts[Host].TheSettings;
  Member Record;
  Record.Id = From.Member.Id;
  Record.FailureDomain = From.Member.FailureDomain;
  Record.Peer = From.Addresses.Peers;
  return Record;
}

void ConfigFleet::start(size_t Host) {
  ConfigHost &Started = Hosts[Host];
  if (Started.Process)
    return;
  note("start " + Started.TheSettings.Member.Id);
  Member Record = recordOf(Host);
  Record.Incarnation = ++Incarnation;
  Members.merge(Record);
  Started.Process = std::make_unique<ConfigProcess>(
      Time, Rng, Platform, Network, Members, Started.TheSettings);
  Started.Process->Client.CutOff = Started.CutOff;
}

void ConfigFleet::crash(size_t Host) {
  if (!Hosts[Host].Process)
    return;
  note("crash " + Hosts[Host].TheSettings.Member.Id);
  pause(Host, false);
  Hosts[Host].Process.reset();
  Member Record = recordOf(Host);
  Record.Incarnation = ++Incarnation;
  Record.State = MemberState::Dead;
  Members.merge(Record);
}

void ConfigFleet::pause(size_t Host, bool Paused) {
  ConfigHost &Chosen = Hosts[Host];
  if (!Chosen.Process || Chosen.Paused == Paused)
    return;
  note((Paused ? "pause " : "resume ") + Chosen.TheSettings.Member.Id);
  Chosen.Paused = Paused;
  if (Paused)
    Chosen.Process->Body->pause();
  Network.pause(peerOf(Host), Paused);
  if (!Paused)
    Chosen.Process->Body->resume();
}

void ConfigFleet::cutOffPlatform(size_t Host, bool CutOff) {
  note((CutOff ? "cut from platform " : "reach platform ") +
       Hosts[Host].TheSettings.Member.Id);
  Hosts[Host].CutOff = CutOff;
  if (Hosts[Host].Process)
    Hosts[Host].Process->Client.CutOff = CutOff;
}

void ConfigFleet::cutOffDomain(size_t Domain, bool Cut) {
  note((Cut ? "cut off domain " : "heal domain ") + std::to_string(Domain));
  for (size_t A = 0; A < Hosts.size(); ++A)
    for (size_t B = 0; B < Hosts.size(); ++B)
      if (A % Domains == Domain && B % Domains != Domain)
        Network.cut(peerOf(A), peerOf(B), Cut);
}

// A document of a few services and routes that differs from those before; at
// times a service and its routes are gone or new.
Document ConfigFleet::nextDocument() {
  uint64_t Number = ++Documents;
  Document Made;
  for (uint64_t I = 0; I < 6; ++I) {
    if (I != 0 && Rng.below(3) == 0)
      continue;
    std::string Name = "service-" + std::to_string(I);
    Made.Services.push_back({Name, "v" + std::to_string(1 + Rng.below(3))});
    RouteSpec Route;
    Route.Name = "route-" + std::to_string(I);
    Route.Service = Name;
    Route.PathPrefix = "/" + std::to_string(I);
    Route.Deadline = std::chrono::milliseconds(1 + Number);
    Made.Routes.push_back(Route);
  }
  if (Rng.below(8) == 0)
    std::swap(Made.Services.front(), Made.Services.back());
  return Made;
}

bool ConfigFleet::accept(size_t Host) {
  ConfigHost &Chosen = Hosts[Host];
  if (!Chosen.Process || Chosen.Paused)
    return false;
  AcceptanceRequest Request;
  Request.Body = nextDocument();
  Request.Author = Chosen.TheSettings.Member.Id;
  Request.OperationId = "op-" + std::to_string(Documents);
  Request.Now = Time.wallNow();
  note("accept " + Request.OperationId + " through " + Request.Author);
  Chosen.Process->Accepting->accept(
      Request, [this, Id = Request.OperationId](auto Outcome) {
        std::string Name =
            Outcome ? "accepted" : std::string(nameOf(Outcome.error().Code));
        ++Outcomes[Name];
        note(Id + ": " + Name);
      });
  return true;
}

void ConfigFleet::run(Duration Span) {
  for (Duration OnDone{}; OnDone < Span; OnDone += Step) {
    Time.advance(std::min(Step, Span - OnDone));
    check();
  }
}

void ConfigFleet::heal() {
  note("heal all");
  Platform.Outage = false;
  Platform.Delay = 2ms;
  Platform.LoseAnswers = 0;
  Network.DoubleShare = 0;
  Network.LoseShare = 0;
  Network.Delay = 1ms;
  for (size_t Domain = 0; Domain < Domains; ++Domain)
    cutOffDomain(Domain, false);
  for (size_t I = 0; I < Hosts.size(); ++I) {
    cutOffPlatform(I, false);
    pause(I, false);
    start(I);
  }
}

uint64_t ConfigFleet::newest() const {
  return Accepted.empty() ? 0 : Accepted.rbegin()->first;
}

bool ConfigFleet::inForceEverywhere() const {
  for (const ConfigHost &Each : Hosts)
    if (Each.Process && Each.Process->Store->version() != newest())
      return false;
  return true;
}

size_t ConfigFleet::relays() const {
  size_t Count = 0;
  for (const ConfigHost &Each : Hosts)
    Count += Each.Process && Each.Process->Spread->isRelay(Time.now());
  return Count;
}

std::optional<Duration> ConfigFleet::settle(Duration Limit) {
  for (Duration Taken{}; Taken <= Limit; Taken += Step) {
    check();
    if (inForceEverywhere())
      return Taken;
    run(Step);
  }
  for (const ConfigHost &Each : Hosts)
    if (Each.Process && Each.Process->Store->version() != newest())
      note(Each.TheSettings.Member.Id + " still has " +
           std::to_string(Each.Process->Store->version()) +
           (Each.Process->Spread->open() ? "" : " (starting)"));
  return std::nullopt;
}

void ConfigFleet::check() {
  Result<PlatformObject, PlatformError> Present =
      Platform.Store.read(DocumentKey);
  if (Present) {
    nlohmann::json Node = nlohmann::json::parse(Present.value().Value);
    Accepted[Node.at("version").get<uint64_t>()] = Present.value().Value;
  }
  for (size_t I = 0; I < Hosts.size(); ++I)
    if (Hosts[I].Process)
      checkHost(I, Hosts[I]);
}

void ConfigFleet::checkHost(size_t, ConfigHost &Checked) {
  const SnapshotPtr &Current = Checked.Process->Store->current();
  if (!Current || Current->version() == Checked.Served)
    return;
  auto Violated = [&](const std::string &What) {
    note("VIOLATION: " + Checked.TheSettings.Member.Id + " " + What);
    Violations.push_back(Checked.TheSettings.Member.Id + " " + What);
  };
  if (Current->version() < Checked.Served)
    Violated("returned from " + std::to_string(Checked.Served) + " to " +
             std::to_string(Current->version()));
  Checked.Served = std::max(Checked.Served, Current->version());
  if (Accepted[Current->version()] != Current->text())
    Violated("has a text in force that was never accepted");
  std::set<std::string> Services;
  nlohmann::json Body = nlohmann::json::parse(Current->text()).at("document");
  for (const auto &Each : Body.at("services"))
    Services.insert(Each.at("name").get<std::string>());
  for (const RouteSpec &Each : Current->document().Routes)
    if (Services.count(Each.Service) == 0 ||
        Current->service(Each.Service) == nullptr)
      Violated("has route " + Each.Name + " without its service");
}

void ConfigFleet::note(const std::string &Event) {
  Trace.push_back(std::to_string(milliseconds(Time.now().time_since_epoch())) +
                  " ms: " + Event);
  if (Trace.size() > MaxTrace)
    Trace.erase(Trace.begin());
}

std::string ConfigFleet::traceText() const {
  std::string Text;
  for (const std::string &Each : Trace)
    Text += Each + "\n";
  return Text;
}

} // namespace cyclamenwind::testing
