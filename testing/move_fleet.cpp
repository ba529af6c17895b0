#include "testing/move_fleet.h"

#include "cyclamenwind/moves/ranking.h"

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
  const Roster &roster() const override { return Known; }
  const Member &self() const override { return Self; }

  Member Self;
  Roster Known;
  std::vector<Endpoint> Servers;
};

} // namespace

// One daemon, assembled from the fakes and the real service.
struct MoveFleet::Daemon {
  Random Dice;
  Kernel Host;
  FakePlatformClient *Platform = nullptr;
  FixedMembership *Members = nullptr;
  ConfigStore *Config = nullptr;
  MoveService *Moves = nullptr;

  Daemon(MoveFleet &Fleet, const Member &Self)
      : Dice(Fleet.Dice.next()), Host(Fleet.Time, Fleet.Time, Dice) {
    Platform = add(std::make_unique<FakePlatformClient>(Fleet.Platform));
    add(std::make_unique<FakePeers>(Fleet.Network, Self.Peer));
    Members = add(std::make_unique<FixedMembership>());
    Members->Self = Self;
    Config = add(std::make_unique<ConfigStore>());
    Moves = add(std::make_unique<MoveService>());
  }
  ~Daemon() { Host.stop(); }

  template <typename T> T *add(std::unique_ptr<T> Added) {
    T *Kept = Added.get();
    Host.add(std::move(Added));
    return Kept;
  }
};

MoveFleet::MoveFleet(const MoveFleetOptions &Options)
    : Dice(Options.Seed), Platform(Time, Dice), Network(Time, Time, Dice),
      Options(Options) {
  Accepted = {1, "op", "operator", Time.wallNow(), parseDocument(Text).value()};
  Accepted.Body.Moves[0].DoneBy = Time.wallNow() + Options.Length;
  Accepted.Body.Moves[0].AtSetTime = Options.AtSetTime;
  for (size_t I = 0; I < Options.Daemons; ++I) {
    Member Each;
    Each.Id = "m" + std::to_string(I);
    Each.Incarnation = 1;
    Each.Peer = {"127.0.0.1", static_cast<uint16_t>(1000 + I)};
    Roster.push_back(Each);
  }
  Daemons.resize(Options.Daemons);
  for (size_t I = 0; I < Options.Daemons; ++I)
    start(I);
}

MoveFleet::~MoveFleet() = default;

std::string MoveFleet::envelope() const { return formatEnvelope(Accepted); }

void MoveFleet::start(size_t Index) {
  Daemons[Index] = std::make_unique<Daemon>(*this, Roster[Index]);
  Roster[Index].State = MemberState::Alive;
  ++Roster[Index].Incarnation;
  rebuildRosters();
  Daemons[Index]->Host.start();
  Daemons[Index]->Config->apply(envelope());
}

void MoveFleet::rebuildRosters() {
  for (const auto &Each : Daemons) {
    if (!Each)
      continue;
    for (const Member &Known : Roster)
      Each->Members->Known.merge(Known);
    Each->Members->Servers.clear();
    for (size_t I = 0; I < 2 * Options.ServersPerVersion; ++I) {
      const Member &Beside = Roster[I % Roster.size()];
      Each->Members->Servers.push_back(
          {Beside.Id, Beside.Peer, "", I % 2 == 0 ? "v1" : "v2", 10});
    }
  }
}

void MoveFleet::kill(size_t Index) {
  Daemons[Index].reset();
  Roster[Index].State = MemberState::Dead;
  ++Roster[Index].Incarnation;
  rebuildRosters();
}

void MoveFleet::restart(size_t Index) {
  Daemons[Index].reset();
  start(Index);
}

void MoveFleet::pause(size_t Index, bool Stopped) {
  Network.pause(Roster[Index].Peer, Stopped);
  Daemons[Index]->Platform->CutOff = Stopped;
  if (Stopped)
    Paused.insert(Index);
  else
    Paused.erase(Index);
}

void MoveFleet::isolate(size_t Index, bool Isolated) {
  for (size_t I = 0; I < Roster.size(); ++I)
    if (I != Index)
      Network.cut(Roster[Index].Peer, Roster[I].Peer, Isolated);
}

std::optional<size_t> MoveFleet::holder() const {
  for (size_t I = 0; I < Daemons.size(); ++I)
    if (Daemons[I] && !paused(I) && Daemons[I]->Moves->holdsLease())
      return I;
  return std::nullopt;
}

size_t MoveFleet::collector() const {
  for (const auto &Each : Daemons)
    if (Each)
      return std::stoul(
          rankedFor("m", 1, Each->Members->Known, Each->Members->Self)
              .front()
              ->Id.substr(1));
  return 0;
}

MoveService &MoveFleet::moves(size_t Index) { return *Daemons[Index]->Moves; }

void MoveFleet::accept(const std::function<void(Document &)> &Change) {
  Change(Accepted.Body);
  ++Accepted.Version;
  for (const auto &Each : Daemons)
    if (Each)
      Each->Config->apply(envelope());
}

std::optional<MoveRecord> MoveFleet::record() const { return LastRecord; }

void MoveFleet::run(Duration Span) {
  for (Duration Passed{}; Passed < Span; Passed += Tick)
    tick();
}

bool MoveFleet::runUntil(const std::function<bool()> &Reached, Duration Limit) {
  for (Duration Passed{}; Passed < Limit; Passed += Tick) {
    if (Reached())
      return true;
    tick();
  }
  return Reached();
}

void MoveFleet::tick() {
  Time.advance(Tick);
  watchRecord();
  constexpr double TicksPerSecond = 1s / Tick;
  CallsDue += Options.CallsPerSecond / TicksPerSecond;
  for (; CallsDue >= 1; CallsDue -= 1)
    call();
  for (const auto &Each : Daemons) {
    const MoveBook::Entry *Known =
        Each ? Each->Moves->book().find("m") : nullptr;
    if (Known != nullptr && Known->stopped() && !FirstStop)
      FirstStop = Time.now();
  }
}

void MoveFleet::call() {
  size_t Index = Dice.below(Daemons.size());
  if (!Daemons[Index] || paused(Index))
    return;
  Daemon &Chosen = *Daemons[Index];
  const Document &Body = Chosen.Config->current()->document();
  const RouteSpec &Route = Body.Routes[Dice.below(Body.Routes.size())];
  std::string Version = Chosen.Moves->versionFor(
      Body.Services[0], Route, Dice.next(), false, Time.now());
  bool OnNew = Version == "v2";
  ++(OnNew ? NewCalls : OldCalls);
  if (OnNew) {
    LastNewCall = Time.now();
    const MoveBook::Entry *Known = Chosen.Moves->book().find("m");
    if (Known == nullptr || Known->stopped())
      violated("a call went to a stopped version");
  }
  const VersionBehaviour &How = OnNew ? New : Old;
  AttemptOutcome Outcome;
  Outcome.Service = "quote";
  Outcome.Version = Version;
  Outcome.Route = Route.Name;
  Outcome.MemberId = (OnNew ? "n" : "o") +
                     std::to_string(Dice.below(Options.ServersPerVersion));
  Outcome.Status = Dice.fraction() < How.ErrorRate ? 500 : 200;
  Outcome.Latency = Dice.jittered(How.Latency, 0.4);
  Chosen.Moves->observe(Outcome, Time.now());
}

void MoveFleet::watchRecord() {
  if (Platform.Store.revision() == SeenRevision)
    return;
  SeenRevision = Platform.Store.revision();
  auto Read = Platform.Store.read("moves/m");
  if (!Read)
    return;
  std::optional<MoveRecord> Record = parseMoveRecord(Read.value().Value);
  if (!Record) {
    violated("the record does not parse");
    return;
  }
  if (LastRecord && LastRecord->Revision != Record->Revision) {
    if (LastRecord->final())
      violated("a final record was changed");
    if (Record->Epoch < LastRecord->Epoch)
      violated("an earlier epoch wrote");
    if (Record->State != MoveState::TakenBack &&
        Record->share(true) < LastRecord->share(true))
      violated("a share fell");
  }
  LastRecord = Record;
}

void MoveFleet::violated(const std::string &What) {
  if (Violations.size() < 10)
    Violations.push_back(What);
}

} // namespace cyclamenwind::testing
