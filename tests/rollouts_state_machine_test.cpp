#include "cyclamenwind/rollouts/record_writer.h"
#include "testing/fake_platform.h"
#include "testing/virtual_time.h"

#include <catch2/catch.hpp>

using namespace cyclamenwind;
using namespace cyclamenwind::testing;

namespace {

constexpr char Text[] = R"({
  "services": [{"name": "quote", "version": "v1"}],
  "routes": [{"name": "r", "service": "quote", "repeatable": true,
              "match": {"path_prefix": "/r"}}],
  "moves": [{"name": "m", "service": "quote", "to": "v2",
             "done_by": "2026-01-01T01:00:00Z"}]})";

Document document() { return parseDocument(Text).value(); }

const WallTime Start = *parseWallTime("2026-01-01T00:00:00Z");

struct World {
  Document Body = document();
  RolloutContext Context;

  World() {
    Context.Spec = &Body.Rollouts[0];
    Context.Target = &Body.Services[0];
    Context.ServersReady = true;
    Context.DocumentVersion = 1;
    Context.Epoch = 1;
  }

  RolloutRecord first() {
    return firstRecord(Body.Rollouts[0], Body.Services[0],
                       planSteps(Body, "quote"), Context, Start);
  }

  void carried(const RolloutRecord &Record) {
    Context.Standing = RolloutProgress{Record.Revision, true, true};
  }

  // Steps of the good case up to Wanted.
  RolloutRecord upTo(RolloutPhase Wanted, uint64_t Step = 0) {
    RolloutRecord Record = first();
    WallTime Now = Start;
    while (Record.State != Wanted || Record.Step < Step) {
      carried(Record);
      Now += 1s;
      Record = nextRecord(Record, Context, Now).value_or(Record);
    }
    return Record;
  }
};

} // namespace

TEST_CASE("steps and hold times are planned backwards from the set time") {
  RolloutSteps Both = planSteps(true, true);
  RolloutSteps One = planSteps(true, false);
  CHECK(Both.size() == 2 * One.size());
  for (size_t I = 0; I < Both.size(); ++I) {
    CHECK(Both[I].NonIdempotentShare <= Both[I].Share);
    if (I > 0) {
      CHECK(Both[I].Share >= Both[I - 1].Share);
      CHECK(Both[I].NonIdempotentShare >= Both[I - 1].NonIdempotentShare);
    }
  }
  WallTime Now = Start;
  WallTime Deadline = Start + 10min;
  for (size_t I = 0; I < One.size(); ++I)
    Now += plannedHold(One, I, Now, Deadline);
  CHECK(Now + MinStepHold + DeadlineMargin <= Deadline);
  CHECK(plannedHold(One, 0, Deadline, Deadline) == MinStepHold);
}

TEST_CASE("a set time that is too close is refused with its path") {
  Document Body = document();
  CHECK(checkRolloutDeadlines(Body, nullptr, Start).empty());
  DocumentErrors Errors =
      checkRolloutDeadlines(Body, nullptr, Start + 59min + 30s);
  REQUIRE(Errors.size() == 1);
  CHECK(Errors[0].Path == "/moves/0/done_by");
  CHECK(checkRolloutDeadlines(Body, &Body, Start + 59min + 30s).empty());
}

TEST_CASE("a record survives its text and a malformed one is nothing") {
  World Home;
  RolloutRecord Record = Home.upTo(RolloutPhase::Stepping, 2);
  Record.Detail = "a \"quoted\" detail";
  CHECK(parseRolloutRecord(formatRolloutRecord(Record)) == Record);
  CHECK_FALSE(parseRolloutRecord("{}"));
  CHECK_FALSE(parseRolloutRecord("no"));
}

TEST_CASE("a good move is done in time") {
  World Home;
  RolloutRecord Done = Home.upTo(RolloutPhase::Done);
  CHECK(Done.Entered < Home.Body.Rollouts[0].Deadline);
  CHECK(Done.share(true) == 1);
}

TEST_CASE("final records have no successor, whatever comes") {
  World Home;
  RolloutRecord Done = Home.upTo(RolloutPhase::Done);
  RolloutRecord Stopped = Home.upTo(RolloutPhase::Stepping, 1);
  Home.Context.Fault = RolloutFault{RolloutReason::Errors, "r"};
  RolloutRecord Back = nextRecord(Stopped, Home.Context, Start + 20min).value();
  CHECK(Back.State == RolloutPhase::RolledBack);
  CHECK(Back.Reason == RolloutReason::Errors);
  Home.Context.Epoch = 9;
  for (const RolloutRecord &Final : {Done, Back})
    CHECK_FALSE(nextRecord(Final, Home.Context, Start + 2h));
}

TEST_CASE("a move does not advance without agreement or evidence") {
  World Home;
  RolloutRecord Record = Home.upTo(RolloutPhase::Stepping, 1);
  WallTime Late = Start + 50min;
  Home.Context.Standing.reset();
  CHECK_FALSE(nextRecord(Record, Home.Context, Late));
  Home.Context.Standing = RolloutProgress{Record.Revision, true, false};
  CHECK_FALSE(nextRecord(Record, Home.Context, Late));
  Home.Context.Standing = RolloutProgress{Record.Revision - 1, true, true};
  CHECK_FALSE(nextRecord(Record, Home.Context, Late));
  Home.Context.Standing = RolloutProgress{Record.Revision, false, true};
  CHECK_FALSE(nextRecord(Record, Home.Context, Late));
  Home.Body.Rollouts[0].WhenEvidenceIsShort = InsufficientEvidenceRule::Advance;
  std::optional<RolloutRecord> Next = nextRecord(Record, Home.Context, Late);
  REQUIRE(Next);
  CHECK(Next->Step == Record.Step + 1);
  CHECK(Next->InsufficientEvidence);
}

TEST_CASE("at the set time the rule of the document decides") {
  World Home;
  RolloutRecord Record = Home.upTo(RolloutPhase::Stepping, 2);
  WallTime Late = Start + 1h;
  CHECK(nextRecord(Record, Home.Context, Late)->State ==
        RolloutPhase::RolledBack);
  Home.Body.Rollouts[0].AtSetTime = DeadlineRule::StayUndecided;
  for (const RolloutRecord &From :
       {Record, Home.upTo(RolloutPhase::Holding), Home.first()}) {
    RolloutRecord Stands = nextRecord(From, Home.Context, Late).value();
    CHECK(Stands.State == RolloutPhase::Undecided);
    CHECK(Stands.share(true) == From.share(true));
    CHECK_FALSE(nextRecord(Stands, Home.Context, Late + 1h));
    Document Later = Home.Body;
    Later.Rollouts[0].Deadline = Late + 2h;
    RolloutContext Context = Home.Context;
    Context.Spec = &Later.Rollouts[0];
    RolloutRecord Resumed = nextRecord(Stands, Context, Late + 1h).value();
    CHECK_FALSE(Resumed.final());
    CHECK(Resumed.share(true) == From.share(true));
  }
}

TEST_CASE("a changed document ends the move, an older one does not") {
  World Home;
  RolloutRecord Record = Home.upTo(RolloutPhase::Stepping, 1);
  RolloutContext Gone = Home.Context;
  Gone.Spec = nullptr;
  CHECK(nextRecord(Record, Gone, Start + 10min)->Reason ==
        RolloutReason::Removed);
  Gone.DocumentVersion = 0;
  CHECK_FALSE(nextRecord(Record, Gone, Start + 10min));
  ServiceSpec Other = {"quote", "v9"};
  RolloutContext Changed = Home.Context;
  Changed.Target = &Other;
  CHECK(nextRecord(Record, Changed, Start + 10min)->Reason ==
        RolloutReason::DocumentChanged);
}

TEST_CASE("a later epoch claims the record and an earlier one leaves it") {
  World Home;
  RolloutRecord Record = Home.upTo(RolloutPhase::Stepping, 1);
  Home.Context.Standing.reset();
  Home.Context.Epoch = 5;
  RolloutRecord Claimed =
      nextRecord(Record, Home.Context, Start + 5min).value();
  CHECK(Claimed.Epoch == 5);
  CHECK(Claimed.Step == Record.Step);
  Home.Context.Epoch = 4;
  Home.Context.Fault = RolloutFault{RolloutReason::Errors, "r"};
  CHECK_FALSE(nextRecord(Claimed, Home.Context, Start + 5min));
}

namespace {

// A daemon that believes what its lease and its view tell it.
class Daemon final : public RolloutInputs {
public:
  Daemon(FakePlatform &Shared, Random &Rng, const std::string &Id,
         SnapshotPtr Config)
      : Client(Shared), Keeper(Client, Rng, Id, *this),
        Config(std::move(Config)) {}

  SnapshotPtr snapshot() const override { return Config; }
  bool serversReady(const RolloutSpec &) const override { return true; }
  std::optional<RolloutProgress> standing(const std::string &) const override {
    return Report;
  }
  std::optional<RolloutFault> fault(const std::string &) const override {
    return Fault;
  }
  void recorded(const RolloutRecord &Record, bool) override { Told = Record; }

  FakePlatformClient Client;
  RolloutRecordWriter Keeper;
  SnapshotPtr Config;
  std::optional<RolloutProgress> Report;
  std::optional<RolloutFault> Fault;
  std::optional<RolloutRecord> Told;
  LeaseEpoch Lease;
};

struct Exploration {
  VirtualTime Time;
  Random Rng;
  FakePlatform Shared;
  SnapshotPtr Config;
  std::vector<std::unique_ptr<Daemon>> Daemons;
  std::vector<RolloutRecord> History; // As it stood on the platform.
  uint64_t LastEpoch = 0;
  uint64_t SeenRevision = 0;

  explicit Exploration(uint64_t Seed) : Rng(Seed), Shared(Time, Rng) {
    Shared.Spread = 20;
    Envelope Accepted = {1, "op", "a", Start, document()};
    Accepted.Body.Rollouts[0].Deadline = Time.wallNow() + 10min;
    if (Rng.below(2) == 0)
      Accepted.Body.Rollouts[0].AtSetTime = DeadlineRule::StayUndecided;
    Config = std::make_shared<Snapshot>(Accepted, formatEnvelope(Accepted));
    for (const char *Id : {"a", "b", "c"})
      Daemons.push_back(std::make_unique<Daemon>(Shared, Rng, Id, Config));
  }

  // The record on the platform is appended to the history when it changes.
  void watch() {
    if (Shared.Store.revision() == SeenRevision)
      return;
    SeenRevision = Shared.Store.revision();
    auto Read = Shared.Store.read("moves/m");
    if (!Read)
      return;
    RolloutRecord Record = parseRolloutRecord(Read.value().Value).value();
    if (History.empty() || History.back().Revision != Record.Revision)
      History.push_back(Record);
  }

  // Gives the lease to one more daemon; those before may not know yet.
  void misfortune(bool Faulty) {
    Daemon &Chosen = *Daemons[Rng.below(Daemons.size())];
    switch (Rng.below(9)) {
    case 0:
      Chosen.Lease.Epoch = ++LastEpoch;
      break;
    case 1:
      Chosen.Lease.Epoch = 0;
      break;
    case 2:
      Shared.LoseAnswers = 1 + static_cast<int>(Rng.below(2));
      break;
    case 3:
      Shared.Outage = !Shared.Outage;
      break;
    case 4:
      Chosen.Client.CutOff = !Chosen.Client.CutOff;
      break;
    case 5:
      if (Faulty && Rng.below(8) == 0)
        Chosen.Fault = RolloutFault{RolloutReason::Errors, "r"};
      break;
    default:
      // A report about some earlier record may come late.
      if (!History.empty())
        Chosen.Report = RolloutProgress{
            History[Rng.below(History.size())].Revision, true, true};
    }
  }

  void play(bool Faulty) {
    for (int I = 0; I < 6000; ++I) {
      if (Rng.below(4) == 0)
        misfortune(Faulty);
      for (const auto &Each : Daemons) {
        // A paused daemon takes no turn.
        if (Rng.below(3) != 0)
          Each->Keeper.turn(Each->Lease, Time.wallNow());
        if (!History.empty() && Rng.below(3) == 0)
          Each->Report = RolloutProgress{History.back().Revision, true, true};
      }
      for (int Tick = 0; Tick < 4; ++Tick) {
        Time.advance(25ms);
        watch();
      }
    }
  }

  void check() const {
    for (size_t I = 1; I < History.size(); ++I) {
      const RolloutRecord &Before = History[I - 1];
      const RolloutRecord &After = History[I];
      REQUIRE(After.Revision == Before.Revision + 1);
      REQUIRE(After.Epoch >= Before.Epoch);
      REQUIRE_FALSE(Before.final());
      if (After.State != RolloutPhase::RolledBack)
        REQUIRE(After.share(true) >= Before.share(true));
      if (After.State == RolloutPhase::Done)
        REQUIRE(Before.State == RolloutPhase::Holding);
    }
    // Whatever a daemon was told stood on the platform.
    for (const auto &Each : Daemons)
      if (Each->Told)
        REQUIRE(std::find(History.begin(), History.end(), *Each->Told) !=
                History.end());
  }
};

} // namespace

TEST_CASE("no interleaving of holders, pauses and lost answers breaks a move") {
  int Finished = 0;
  int RolledBack = 0;
  for (uint64_t Seed = 1; Seed <= 60; ++Seed) {
    Exploration World(Seed);
    World.play(/*Faulty=*/Seed % 2 == 0);
    INFO("seed " << Seed);
    World.check();
    REQUIRE_FALSE(World.History.empty());
    Finished += World.History.back().State == RolloutPhase::Done;
    RolledBack += World.History.back().State == RolloutPhase::RolledBack;
  }
  CHECK(Finished > 5);
  CHECK(RolledBack > 5);
}
