#include "testing/rollout_fleet.h"

#include "cyclamenwind/rollouts/ranking.h"

namespace cyclamenwind::testing {
namespace {

constexpr Duration Tick = 20ms;

constexpr char DocumentText[] = R"({
  "services": [{"name": "quote", "version": "v1"}],
  "routes": [{"name": "check", "service": "quote", "repeatable": true,
              "match": {"method": "GET", "path_prefix": "/q"}},
             {"name": "submit", "service": "quote",
              "match": {"method": "POST", "path_prefix": "/q"}}],
  "moves": [{"name": "m", "service": "quote", "to": "v2",
             "done_by": "2030-01-01T00:00:00Z", "slow_start_ms": 0}]})";

// A MembershipView with contents that the fleet sets.
class FixedMembership final : public Service, public MembershipView {
public:
  std::string_view name() const override { return "membership"; }
  void start(Kernel &) override {}
  const std::vector<Endpoint> &endpoints(const std::string &) const override {
    return Servers;
  }
  const MemberList &memberList() const override { return List; }
  const Member &self() const override { return Self; }

  Member Self;
  MemberList List;
  std::vector<Endpoint> Servers;
};

} // namespace

// One daemon: the real RolloutService on fakes of the other services.
struct RolloutFleet::Daemon {
  Random Rng;
  Kernel TheKernel;
  FakePlatformClient *Platform = nullptr;
  FixedMembership *Members = nullptr;
  ConfigStore *Config = nullptr;
  RolloutService *Rollouts = nullptr;

  Daemon(RolloutFleet &Fleet, const Member &Self)
      : Rng(Fleet.Rng.next()), TheKernel(Fleet.Time, Fleet.Time, Rng) {
    Platform = add(std::make_unique<FakePlatformClient>(Fleet.Platform));
    add(std::make_unique<FakePeers>(Fleet.Network, Self.Peer));
    Members = add(std::make_unique<FixedMembership>());
    Members->Self = Self;
    Config = add(std::make_unique<ConfigStore>());
    Rollouts = add(std::make_unique<RolloutService>());
  }
  ~Daemon() { TheKernel.stop(); }

  template <typename T> T *add(std::unique_ptr<T> Added) {
    T *Raw = Added.get();
    TheKernel.add(std::move(Added));
    return Raw;
  }
};

RolloutFleet::RolloutFleet(const RolloutFleetOptions &Options)
    : Rng(Options.Seed), Platform(Time, Rng), Network(Time, Time, Rng),
      Options(Options) {
  Accepted = {1, "op", "operator", Time.wallNow(),
              parseDocument(DocumentText).value()};
  Accepted.Body.Rollouts[0].Deadline = Time.wallNow() + Options.TimeToDeadline;
  Accepted.Body.Rollouts[0].AtSetTime = Options.AtSetTime;
  for (size_t I = 0; I < Options.Daemons; ++I) {
    Member Info;
    Info.Id = "m" + std::to_string(I);
    Info.Incarnation = 1;
    Info.Peer = {"127.0.0.1", static_cast<uint16_t>(1000 + I)};
    FleetMembers.push_back(Info);
  }
  Daemons.resize(Options.Daemons);
  for (size_t I = 0; I < Options.Daemons; ++I)
    start(I);
}

RolloutFleet::~RolloutFleet() = default;

std::string RolloutFleet::envelope() const { return formatEnvelope(Accepted); }

void RolloutFleet::start(size_t Index) {
  Daemons[Index] = std::make_unique<Daemon>(*this, FleetMembers[Index]);
  FleetMembers[Index].State = MemberState::Alive;
  ++FleetMembers[Index].Incarnation;
  rebuildMemberLists();
  Daemons[Index]->TheKernel.start();
  Daemons[Index]->Config->apply(envelope());
}

void RolloutFleet::rebuildMemberLists() {
  for (const auto &Target : Daemons) {
    if (!Target)
      continue;
    for (const Member &Info : FleetMembers)
      Target->Members->List.merge(Info);
    Target->Members->Servers.clear();
    for (size_t I = 0; I < 2 * Options.ServersPerVersion; ++I) {
      const Member &Owner = FleetMembers[I % FleetMembers.size()];
      Target->Members->Servers.push_back(
          {Owner.Id, Owner.Peer, "", I % 2 == 0 ? "v1" : "v2", 10});
    }
  }
}

void RolloutFleet::kill(size_t Index) {
  Daemons[Index].reset();
  FleetMembers[Index].State = MemberState::Dead;
  ++FleetMembers[Index].Incarnation;
  rebuildMemberLists();
}

void RolloutFleet::restart(size_t Index) {
  Daemons[Index].reset();
  start(Index);
}

void RolloutFleet::pause(size_t Index, bool Stopped) {
  Network.pause(FleetMembers[Index].Peer, Stopped);
  Daemons[Index]->Platform->CutOff = Stopped;
  if (Stopped)
    Paused.insert(Index);
  else
    Paused.erase(Index);
}

void RolloutFleet::isolate(size_t Index, bool Isolated) {
  for (size_t I = 0; I < FleetMembers.size(); ++I)
    if (I != Index)
      Network.cut(FleetMembers[Index].Peer, FleetMembers[I].Peer, Isolated);
}

std::optional<size_t> RolloutFleet::holder() const {
  for (size_t I = 0; I < Daemons.size(); ++I)
    if (Daemons[I] && !paused(I) && Daemons[I]->Rollouts->holdsLease())
      return I;
  return std::nullopt;
}

size_t RolloutFleet::collector() const {
  for (const auto &Target : Daemons)
    if (Target)
      return std::stoul(
          rankedFor("m", 1, Target->Members->List, Target->Members->Self)
              .front()
              ->Id.substr(1));
  return 0;
}

RolloutService &RolloutFleet::rollouts(size_t Index) {
  return *Daemons[Index]->Rollouts;
}

void RolloutFleet::accept(const std::function<void(Document &)> &Change) {
  Change(Accepted.Body);
  ++Accepted.Version;
  for (const auto &Target : Daemons)
    if (Target)
      Target->Config->apply(envelope());
}

std::optional<RolloutRecord> RolloutFleet::record() const { return LastRecord; }

void RolloutFleet::run(Duration Span) {
  for (Duration Passed{}; Passed < Span; Passed += Tick)
    tick();
}

bool RolloutFleet::runUntil(const std::function<bool()> &Reached,
                            Duration Limit) {
  for (Duration Passed{}; Passed < Limit; Passed += Tick) {
    if (Reached())
      return true;
    tick();
  }
  return Reached();
}

void RolloutFleet::tick() {
  Time.advance(Tick);
  checkRecord();
  constexpr double TicksPerSecond = 1s / Tick;
  CallsDue += Options.CallsPerSecond / TicksPerSecond;
  for (; CallsDue >= 1; CallsDue -= 1)
    call();
  for (const auto &Target : Daemons) {
    const RolloutRecords::Entry *Entry =
        Target ? Target->Rollouts->records().find("m") : nullptr;
    if (Entry != nullptr && Entry->stopped() && !FirstStop)
      FirstStop = Time.now();
  }
}

void RolloutFleet::call() {
  size_t Index = Rng.below(Daemons.size());
  if (!Daemons[Index] || paused(Index))
    return;
  Daemon &Target = *Daemons[Index];
  const Document &Body = Target.Config->current()->document();
  const RouteSpec &Route = Body.Routes[Rng.below(Body.Routes.size())];
  std::string Version = Target.Rollouts->versionFor(
      Body.Services[0], Route, Rng.next(), false, Time.now());
  bool OnNew = Version == "v2";
  ++(OnNew ? NewCalls : OldCalls);
  if (OnNew) {
    LastNewCall = Time.now();
    const RolloutRecords::Entry *Entry = Target.Rollouts->records().find("m");
    if (Entry == nullptr || Entry->stopped())
      recordViolation("a call went to a stopped version");
  }
  const VersionBehaviour &Behaviour = OnNew ? New : Old;
  AttemptOutcome Outcome;
  Outcome.Service = "quote";
  Outcome.Version = Version;
  Outcome.Route = Route.Name;
  Outcome.MemberId = (OnNew ? "n" : "o") +
                     std::to_string(Rng.below(Options.ServersPerVersion));
  Outcome.Status = Rng.fraction() < Behaviour.ErrorRate ? 500 : 200;
  Outcome.Latency = Rng.jittered(Behaviour.Latency, 0.4);
  Target.Rollouts->observe(Outcome, Time.now());
}

void RolloutFleet::checkRecord() {
  if (Platform.Store.revision() == LastStoreRevision)
    return;
  LastStoreRevision = Platform.Store.revision();
  auto Read = Platform.Store.read("moves/m");
  if (!Read)
    return;
  std::optional<RolloutRecord> Record = parseRolloutRecord(Read.value().Value);
  if (!Record) {
    recordViolation("the record does not parse");
    return;
  }
  if (LastRecord && LastRecord->Revision != Record->Revision) {
    if (LastRecord->final())
      recordViolation("a final record was changed");
    if (Record->Epoch < LastRecord->Epoch)
      recordViolation("an earlier epoch wrote");
    if (Record->Phase != RolloutPhase::RolledBack &&
        Record->share(true) < LastRecord->share(true))
      recordViolation("a share fell");
  }
  LastRecord = Record;
}

void RolloutFleet::recordViolation(const std::string &What) {
  if (Violations.size() < 10)
    Violations.push_back(What);
}

} // namespace cyclamenwind::testing
