#include "testing/rollout_fleet.h"

#include "cyclamenwind/rollouts/ranking.h"

namespace cyclamenwind::testing {
namespace {

constexpr Duration Tick = 20ms;

constexpr char Text[] = R"({
  "services": [{"name": "quote", "version": "v1"}],
  "routes": [{"name": "check", "service": "quote", "repeatable": true,
              "match": {"method": "GET", "path_prefix": "/q"}},
             {"name": "submit", "service": "quote",
              "match": {"method": "POST", "path_prefix": "/q"}}],
  "moves": [{"name": "m", "service": "quote", "to": "v2",
             "done_by": "2030-01-01T00:00:00Z", "slow_start_ms": 0}]})";

// A membership that knows what it is told.
class FixedMembership final : public Service, public MembershipView {
public:
  std::string_view name() const override { return "membership"; }
  void start(Kernel &) override {}
  const std::vector<Endpoint> &endpoints(const std::string &) const override {
    return Servers;
  }
  const MemberList &memberList() const override { return Known; }
  const Member &self() const override { return Self; }

  Member Self;
  MemberList Known;
  std::vector<Endpoint> Servers;
};

} // namespace

// One daemon, assembled from the fakes and the real service.
struct RolloutFleet::Daemon {
  Random Rng;
  Kernel Host;
  FakePlatformClient *Platform = nullptr;
  FixedMembership *Members = nullptr;
  ConfigStore *Config = nullptr;
  RolloutService *Rollouts = nullptr;

  Daemon(RolloutFleet &Fleet, const Member &Self)
      : Rng(Fleet.Rng.next()), Host(Fleet.Time, Fleet.Time, Rng) {
    Platform = add(std::make_unique<FakePlatformClient>(Fleet.Platform));
    add(std::make_unique<FakePeers>(Fleet.Network, Self.Peer));
    Members = add(std::make_unique<FixedMembership>());
    Members->Self = Self;
    Config = add(std::make_unique<ConfigStore>());
    Rollouts = add(std::make_unique<RolloutService>());
  }
  ~Daemon() { Host.stop(); }

  template <typename T> T *add(std::unique_ptr<T> Added) {
    T *Kept = Added.get();
    Host.add(std::move(Added));
    return Kept;
  }
};

RolloutFleet::RolloutFleet(const MoveFleetOptions &Options)
    : Rng(Options.Seed), Platform(Time, Rng), Network(Time, Time, Rng),
      Options(Options) {
  Accepted = {1, "op", "operator", Time.wallNow(), parseDocument(Text).value()};
  Accepted.Body.Rollouts[0].Deadline = Time.wallNow() + Options.Length;
  Accepted.Body.Rollouts[0].AtSetTime = Options.AtSetTime;
  for (size_t I = 0; I < Options.Daemons; ++I) {
    Member Each;
    Each.Id = "m" + std::to_string(I);
    Each.Incarnation = 1;
    Each.Peer = {"127.0.0.1", static_cast<uint16_t>(1000 + I)};
    MemberList.push_back(Each);
  }
  Daemons.resize(Options.Daemons);
  for (size_t I = 0; I < Options.Daemons; ++I)
    start(I);
}

RolloutFleet::~RolloutFleet() = default;

std::string RolloutFleet::envelope() const { return formatEnvelope(Accepted); }

void RolloutFleet::start(size_t Index) {
  Daemons[Index] = std::make_unique<Daemon>(*this, MemberList[Index]);
  MemberList[Index].State = MemberState::Alive;
  ++MemberList[Index].Incarnation;
  rebuildRosters();
  Daemons[Index]->Host.start();
  Daemons[Index]->Config->apply(envelope());
}

void RolloutFleet::rebuildRosters() {
  for (const auto &Each : Daemons) {
    if (!Each)
      continue;
    for (const Member &Known : MemberList)
      Each->Members->Known.merge(Known);
    Each->Members->Servers.clear();
    for (size_t I = 0; I < 2 * Options.ServersPerVersion; ++I) {
      const Member &Beside = MemberList[I % MemberList.size()];
      Each->Members->Servers.push_back(
          {Beside.Id, Beside.Peer, "", I % 2 == 0 ? "v1" : "v2", 10});
    }
  }
}

void RolloutFleet::kill(size_t Index) {
  Daemons[Index].reset();
  MemberList[Index].State = MemberState::Dead;
  ++MemberList[Index].Incarnation;
  rebuildRosters();
}

void RolloutFleet::restart(size_t Index) {
  Daemons[Index].reset();
  start(Index);
}

void RolloutFleet::pause(size_t Index, bool Stopped) {
  Network.pause(MemberList[Index].Peer, Stopped);
  Daemons[Index]->Platform->CutOff = Stopped;
  if (Stopped)
    Paused.insert(Index);
  else
    Paused.erase(Index);
}

void RolloutFleet::isolate(size_t Index, bool Isolated) {
  for (size_t I = 0; I < MemberList.size(); ++I)
    if (I != Index)
      Network.cut(MemberList[Index].Peer, MemberList[I].Peer, Isolated);
}

std::optional<size_t> RolloutFleet::holder() const {
  for (size_t I = 0; I < Daemons.size(); ++I)
    if (Daemons[I] && !paused(I) && Daemons[I]->Rollouts->holdsLease())
      return I;
  return std::nullopt;
}

size_t RolloutFleet::collector() const {
  for (const auto &Each : Daemons)
    if (Each)
      return std::stoul(
          rankedFor("m", 1, Each->Members->Known, Each->Members->Self)
              .front()
              ->Id.substr(1));
  return 0;
}

RolloutService &RolloutFleet::moves(size_t Index) {
  return *Daemons[Index]->Rollouts;
}

void RolloutFleet::accept(const std::function<void(Document &)> &Change) {
  Change(Accepted.Body);
  ++Accepted.Version;
  for (const auto &Each : Daemons)
    if (Each)
      Each->Config->apply(envelope());
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
  watchRecord();
  constexpr double TicksPerSecond = 1s / Tick;
  CallsDue += Options.CallsPerSecond / TicksPerSecond;
  for (; CallsDue >= 1; CallsDue -= 1)
    call();
  for (const auto &Each : Daemons) {
    const RolloutRecords::Entry *Known =
        Each ? Each->Rollouts->book().find("m") : nullptr;
    if (Known != nullptr && Known->stopped() && !FirstStop)
      FirstStop = Time.now();
  }
}

void RolloutFleet::call() {
  size_t Index = Rng.below(Daemons.size());
  if (!Daemons[Index] || paused(Index))
    return;
  Daemon &Chosen = *Daemons[Index];
  const Document &Body = Chosen.Config->current()->document();
  const RouteSpec &Route = Body.Routes[Rng.below(Body.Routes.size())];
  std::string Version = Chosen.Rollouts->versionFor(
      Body.Services[0], Route, Rng.next(), false, Time.now());
  bool OnNew = Version == "v2";
  ++(OnNew ? NewCalls : OldCalls);
  if (OnNew) {
    LastNewCall = Time.now();
    const RolloutRecords::Entry *Known = Chosen.Rollouts->book().find("m");
    if (Known == nullptr || Known->stopped())
      violated("a call went to a stopped version");
  }
  const VersionBehaviour &How = OnNew ? New : Old;
  AttemptOutcome Outcome;
  Outcome.Service = "quote";
  Outcome.Version = Version;
  Outcome.Route = Route.Name;
  Outcome.MemberId = (OnNew ? "n" : "o") +
                     std::to_string(Rng.below(Options.ServersPerVersion));
  Outcome.Status = Rng.fraction() < How.ErrorRate ? 500 : 200;
  Outcome.Latency = Rng.jittered(How.Latency, 0.4);
  Chosen.Rollouts->observe(Outcome, Time.now());
}

void RolloutFleet::watchRecord() {
  if (Platform.Store.revision() == SeenRevision)
    return;
  SeenRevision = Platform.Store.revision();
  auto Read = Platform.Store.read("moves/m");
  if (!Read)
    return;
  std::optional<RolloutRecord> Record = parseRolloutRecord(Read.value().Value);
  if (!Record) {
    violated("the record does not parse");
    return;
  }
  if (LastRecord && LastRecord->Revision != Record->Revision) {
    if (LastRecord->final())
      violated("a final record was changed");
    if (Record->Epoch < LastRecord->Epoch)
      violated("an earlier epoch wrote");
    if (Record->State != RolloutPhase::RolledBack &&
        Record->share(true) < LastRecord->share(true))
      violated("a share fell");
  }
  LastRecord = Record;
}

void RolloutFleet::violated(const std::string &What) {
  if (Violations.size() < 10)
    Violations.push_back(What);
}

} // namespace cyclamenwind::testing
