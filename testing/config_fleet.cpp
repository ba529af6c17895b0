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
  auto Owned = std::make_unique<PausableProcess>(Time, Client);
  Pausable = Owned.get();
  Services = std::make_unique<Kernel>(Time, *Pausable, Rng);
  Services->add(std::move(Owned));
  auto Add = [this](auto Added) {
    auto *Service = Added.get();
    Services->add(std::move(Added));
    return Service;
  };
  Peers =
      Add(std::make_unique<FakePeers>(Network, TheSettings.Addresses.Peers));
  Store = Add(std::make_unique<ConfigStore>());
  Distribution = Add(std::make_unique<ConfigDistribution>(TheSettings));
  Acceptor = Add(std::make_unique<Acceptance>());
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

Member ConfigFleet::memberRecord(size_t Host) const {
  const Settings &From = Hosts[Host].TheSettings;
  Member Record;
  Record.Id = From.Member.Id;
  Record.FailureDomain = From.Member.FailureDomain;
  Record.Peer = From.Addresses.Peers;
  return Record;
}

void ConfigFleet::start(size_t Host) {
  ConfigHost &TheHost = Hosts[Host];
  if (TheHost.Process)
    return;
  note("start " + TheHost.TheSettings.Member.Id);
  Member Record = memberRecord(Host);
  Record.Incarnation = ++LastIncarnation;
  Members.merge(Record);
  TheHost.Process = std::make_unique<ConfigProcess>(
      Time, Rng, Platform, Network, Members, TheHost.TheSettings);
  TheHost.Process->Client.CutOff = TheHost.CutOff;
}

void ConfigFleet::crash(size_t Host) {
  if (!Hosts[Host].Process)
    return;
  note("crash " + Hosts[Host].TheSettings.Member.Id);
  pause(Host, false);
  Hosts[Host].Process.reset();
  Member Record = memberRecord(Host);
  Record.Incarnation = ++LastIncarnation;
  Record.State = MemberState::Dead;
  Members.merge(Record);
}

void ConfigFleet::pause(size_t Host, bool Paused) {
  ConfigHost &TheHost = Hosts[Host];
  if (!TheHost.Process || TheHost.Paused == Paused)
    return;
  note((Paused ? "pause " : "resume ") + TheHost.TheSettings.Member.Id);
  TheHost.Paused = Paused;
  if (Paused)
    TheHost.Process->Pausable->pause();
  Network.pause(peerOf(Host), Paused);
  if (!Paused)
    TheHost.Process->Pausable->resume();
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

// A document of up to 6 services and routes that differs from all earlier ones.
// Each service except the first is absent with probability 1/3, with its route.
Document ConfigFleet::nextDocument() {
  uint64_t Number = ++DocumentCount;
  Document Next;
  for (uint64_t I = 0; I < 6; ++I) {
    if (I != 0 && Rng.below(3) == 0)
      continue;
    std::string Name = "service-" + std::to_string(I);
    Next.Services.push_back({Name, "v" + std::to_string(1 + Rng.below(3))});
    RouteSpec Route;
    Route.Name = "route-" + std::to_string(I);
    Route.Service = Name;
    Route.PathPrefix = "/" + std::to_string(I);
    Route.Deadline = std::chrono::milliseconds(1 + Number);
    Next.Routes.push_back(Route);
  }
  if (Rng.below(8) == 0)
    std::swap(Next.Services.front(), Next.Services.back());
  return Next;
}

bool ConfigFleet::accept(size_t Host) {
  ConfigHost &TheHost = Hosts[Host];
  if (!TheHost.Process || TheHost.Paused)
    return false;
  AcceptanceRequest Request;
  Request.Body = nextDocument();
  Request.Author = TheHost.TheSettings.Member.Id;
  Request.OperationId = "op-" + std::to_string(DocumentCount);
  Request.Now = Time.wallNow();
  note("accept " + Request.OperationId + " through " + Request.Author);
  TheHost.Process->Acceptor->accept(
      Request, [this, Id = Request.OperationId](auto Outcome) {
        std::string Name =
            Outcome ? "accepted" : std::string(nameOf(Outcome.error().Code));
        ++Outcomes[Name];
        note(Id + ": " + Name);
      });
  return true;
}

void ConfigFleet::run(Duration Span) {
  for (Duration Elapsed{}; Elapsed < Span; Elapsed += Step) {
    Time.advance(std::min(Step, Span - Elapsed));
    check();
  }
}

void ConfigFleet::heal() {
  note("heal all");
  Platform.Outage = false;
  Platform.Delay = 2ms;
  Platform.LoseAnswers = 0;
  Network.DuplicationRate = 0;
  Network.LossRate = 0;
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

bool ConfigFleet::appliedEverywhere() const {
  for (const ConfigHost &Host : Hosts)
    if (Host.Process && Host.Process->Store->version() != newest())
      return false;
  return true;
}

size_t ConfigFleet::relays() const {
  size_t Count = 0;
  for (const ConfigHost &Host : Hosts)
    Count += Host.Process && Host.Process->Distribution->isRelay(Time.now());
  return Count;
}

std::optional<Duration> ConfigFleet::runUntilApplied(Duration Limit) {
  for (Duration Elapsed{}; Elapsed <= Limit; Elapsed += Step) {
    check();
    if (appliedEverywhere())
      return Elapsed;
    run(Step);
  }
  for (const ConfigHost &Host : Hosts)
    if (Host.Process && Host.Process->Store->version() != newest())
      note(Host.TheSettings.Member.Id + " still has " +
           std::to_string(Host.Process->Store->version()) +
           (Host.Process->Distribution->startComplete() ? "" : " (starting)"));
  return std::nullopt;
}

void ConfigFleet::check() {
  Result<PlatformObject, PlatformError> Stored =
      Platform.Store.read(DocumentKey);
  if (Stored) {
    nlohmann::json Node = nlohmann::json::parse(Stored.value().Value);
    Accepted[Node.at("version").get<uint64_t>()] = Stored.value().Value;
  }
  for (size_t I = 0; I < Hosts.size(); ++I)
    if (Hosts[I].Process)
      checkHost(I, Hosts[I]);
}

void ConfigFleet::checkHost(size_t, ConfigHost &TheHost) {
  const SnapshotPtr &Current = TheHost.Process->Store->current();
  if (!Current || Current->version() == TheHost.HighestServed)
    return;
  auto ReportViolation = [&](const std::string &Message) {
    note("VIOLATION: " + TheHost.TheSettings.Member.Id + " " + Message);
    Violations.push_back(TheHost.TheSettings.Member.Id + " " + Message);
  };
  if (Current->version() < TheHost.HighestServed)
    ReportViolation("returned from " + std::to_string(TheHost.HighestServed) +
                    " to " + std::to_string(Current->version()));
  TheHost.HighestServed = std::max(TheHost.HighestServed, Current->version());
  if (Accepted[Current->version()] != Current->text())
    ReportViolation("applied a text that was never accepted");
  std::set<std::string> Services;
  nlohmann::json Body = nlohmann::json::parse(Current->text()).at("document");
  for (const auto &Service : Body.at("services"))
    Services.insert(Service.at("name").get<std::string>());
  for (const RouteSpec &Route : Current->document().Routes)
    if (Services.count(Route.Service) == 0 ||
        Current->service(Route.Service) == nullptr)
      ReportViolation("has route " + Route.Name + " without its service");
}

void ConfigFleet::note(const std::string &Event) {
  Trace.push_back(std::to_string(milliseconds(Time.now().time_since_epoch())) +
                  " ms: " + Event);
  if (Trace.size() > MaxTrace)
    Trace.erase(Trace.begin());
}

std::string ConfigFleet::traceText() const {
  std::string Text;
  for (const std::string &Line : Trace)
    Text += Line + "\n";
  return Text;
}

} // namespace cyclamenwind::testing
