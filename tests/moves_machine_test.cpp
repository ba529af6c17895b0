#include "cyclamenwind/moves/keeper.h"
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
  MoveContext Context;

  World() {
    Context.Spec = &Body.Moves[0];
    Context.Target = &Body.Services[0];
    Context.ServersReady = true;
    Context.DocumentVersion = 1;
    Context.Epoch = 1;
  }

  MoveRecord first() {
    return firstRecord(Body.Moves[0], Body.Services[0],
                       planSteps(Body, "quote"), Context, Start);
  }

  void carried(const MoveRecord &Record) {
    Context.Standing = MoveStanding{Record.Revision, true, true};
  }

  // Steps of the good case up to Wanted.
  MoveRecord upTo(MoveState Wanted, uint64_t Step = 0) {
    MoveRecord Record = first();
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
  MoveSteps Both = planSteps(true, true);
  MoveSteps One = planSteps(true, false);
  CHECK(Both.size() == 2 * One.size());
  for (size_t I = 0; I < Both.size(); ++I) {
    CHECK(Both[I].NonRepeatableShare <= Both[I].Share);
    if (I > 0) {
      CHECK(Both[I].Share >= Both[I - 1].Share);
      CHECK(Both[I].NonRepeatableShare >= Both[I - 1].NonRepeatableShare);
    }
  }
  WallTime Now = Start;
  WallTime DoneBy = Start + 10min;
  for (size_t I = 0; I < One.size(); ++I)
    Now += plannedHold(One, I, Now, DoneBy);
  CHECK(Now + MinStepHold + SetTimeMargin <= DoneBy);
  CHECK(plannedHold(One, 0, DoneBy, DoneBy) == MinStepHold);
}

TEST_CASE("a set time that is too close is refused with its path") {
  Document Body = document();
  CHECK(checkMoveTimes(Body, nullptr, Start).empty());
  DocumentErrors Errors = checkMoveTimes(Body, nullptr, Start + 59min + 30s);
  REQUIRE(Errors.size() == 1);
  CHECK(Errors[0].Path == "/moves/0/done_by");
  CHECK(checkMoveTimes(Body, &Body, Start + 59min + 30s).empty());
}

TEST_CASE("a record survives its text and a malformed one is nothing") {
  World Home;
  MoveRecord Record = Home.upTo(MoveState::Stepping, 2);
  Record.Detail = "a \"quoted\" detail";
  CHECK(parseMoveRecord(formatMoveRecord(Record)) == Record);
  CHECK_FALSE(parseMoveRecord("{}"));
  CHECK_FALSE(parseMoveRecord("no"));
}

TEST_CASE("a good move is done in time") {
  World Home;
  MoveRecord Done = Home.upTo(MoveState::Done);
  CHECK(Done.Entered < Home.Body.Moves[0].DoneBy);
  CHECK(Done.share(true) == 1);
}

TEST_CASE("final records have no successor, whatever comes") {
  World Home;
  MoveRecord Done = Home.upTo(MoveState::Done);
  MoveRecord Stopped = Home.upTo(MoveState::Stepping, 1);
  Home.Context.Fault = MoveFault{MoveReason::Errors, "r"};
  MoveRecord Back = nextRecord(Stopped, Home.Context, Start + 20min).value();
  CHECK(Back.State == MoveState::TakenBack);
  CHECK(Back.Reason == MoveReason::Errors);
  Home.Context.Epoch = 9;
  for (const MoveRecord &Final : {Done, Back})
    CHECK_FALSE(nextRecord(Final, Home.Context, Start + 2h));
}

TEST_CASE("a move does not advance without agreement or evidence") {
  World Home;
  MoveRecord Record = Home.upTo(MoveState::Stepping, 1);
  WallTime Late = Start + 50min;
  Home.Context.Standing.reset();
  CHECK_FALSE(nextRecord(Record, Home.Context, Late));
  Home.Context.Standing = MoveStanding{Record.Revision, true, false};
  CHECK_FALSE(nextRecord(Record, Home.Context, Late));
  Home.Context.Standing = MoveStanding{Record.Revision - 1, true, true};
  CHECK_FALSE(nextRecord(Record, Home.Context, Late));
  Home.Context.Standing = MoveStanding{Record.Revision, false, true};
  CHECK_FALSE(nextRecord(Record, Home.Context, Late));
  Home.Body.Moves[0].WhenEvidenceIsShort = ShortEvidenceRule::Advance;
  std::optional<MoveRecord> Next = nextRecord(Record, Home.Context, Late);
  REQUIRE(Next);
  CHECK(Next->Step == Record.Step + 1);
  CHECK(Next->ShortOfEvidence);
}

TEST_CASE("at the set time the rule of the document decides") {
  World Home;
  MoveRecord Record = Home.upTo(MoveState::Stepping, 2);
  WallTime Late = Start + 1h;
  CHECK(nextRecord(Record, Home.Context, Late)->State == MoveState::TakenBack);
  Home.Body.Moves[0].AtSetTime = SetTimeRule::StayUndecided;
  for (const MoveRecord &From :
       {Record, Home.upTo(MoveState::Holding), Home.first()}) {
    MoveRecord Stands = nextRecord(From, Home.Context, Late).value();
    CHECK(Stands.State == MoveState::Undecided);
    CHECK(Stands.share(true) == From.share(true));
    CHECK_FALSE(nextRecord(Stands, Home.Context, Late + 1h));
    Document Later = Home.Body;
    Later.Moves[0].DoneBy = Late + 2h;
    MoveContext Context = Home.Context;
    Context.Spec = &Later.Moves[0];
    MoveRecord Resumed = nextRecord(Stands, Context, Late + 1h).value();
    CHECK_FALSE(Resumed.final());
    CHECK(Resumed.share(true) == From.share(true));
  }
}

TEST_CASE("a changed document ends the move, an older one does not") {
  World Home;
  MoveRecord Record = Home.upTo(MoveState::Stepping, 1);
  MoveContext Gone = Home.Context;
  Gone.Spec = nullptr;
  CHECK(nextRecord(Record, Gone, Start + 10min)->Reason == MoveReason::Removed);
  Gone.DocumentVersion = 0;
  CHECK_FALSE(nextRecord(Record, Gone, Start + 10min));
  ServiceSpec Other = {"quote", "v9"};
  MoveContext Changed = Home.Context;
  Changed.Target = &Other;
  CHECK(nextRecord(Record, Changed, Start + 10min)->Reason ==
        MoveReason::DocumentChanged);
}

TEST_CASE("a later epoch claims the record and an earlier one leaves it") {
  World Home;
  MoveRecord Record = Home.upTo(MoveState::Stepping, 1);
  Home.Context.Standing.reset();
  Home.Context.Epoch = 5;
  MoveRecord Claimed = nextRecord(Record, Home.Context, Start + 5min).value();
  CHECK(Claimed.Epoch == 5);
  CHECK(Claimed.Step == Record.Step);
  Home.Context.Epoch = 4;
  Home.Context.Fault = MoveFault{MoveReason::Errors, "r"};
  CHECK_FALSE(nextRecord(Claimed, Home.Context, Start + 5min));
}

namespace {

// A daemon that believes what its lease and its view tell it.
class Daemon final : public MoveInputs {
public:
  Daemon(FakePlatform &Shared, Random &Dice, const std::string &Id,
         SnapshotPtr Config)
      : Client(Shared), Keeper(Client, Dice, Id, *this),
        Config(std::move(Config)) {}

  SnapshotPtr snapshot() const override { return Config; }
  bool serversReady(const MoveSpec &) const override { return true; }
  std::optional<MoveStanding> standing(const std::string &) const override {
    return Report;
  }
  std::optional<MoveFault> fault(const std::string &) const override {
    return Fault;
  }
  void recorded(const MoveRecord &Record, bool) override { Told = Record; }

  FakePlatformClient Client;
  MoveKeeper Keeper;
  SnapshotPtr Config;
  std::optional<MoveStanding> Report;
  std::optional<MoveFault> Fault;
  std::optional<MoveRecord> Told;
  LeaseEpoch Lease;
};

struct Exploration {
  VirtualTime Time;
  Random Dice;
  FakePlatform Shared;
  SnapshotPtr Config;
  std::vector<std::unique_ptr<Daemon>> Daemons;
  std::vector<MoveRecord> History; // As it stood on the platform.
  uint64_t LastEpoch = 0;
  uint64_t SeenRevision = 0;

  explicit Exploration(uint64_t Seed) : Dice(Seed), Shared(Time, Dice) {
    Shared.Spread = 20;
    Envelope Accepted = {1, "op", "a", Start, document()};
    Accepted.Body.Moves[0].DoneBy = Time.wallNow() + 10min;
    if (Dice.below(2) == 0)
      Accepted.Body.Moves[0].AtSetTime = SetTimeRule::StayUndecided;
    Config = std::make_shared<Snapshot>(Accepted, formatEnvelope(Accepted));
    for (const char *Id : {"a", "b", "c"})
      Daemons.push_back(std::make_unique<Daemon>(Shared, Dice, Id, Config));
  }

  // The record on the platform is appended to the history when it changes.
  void watch() {
    if (Shared.Store.revision() == SeenRevision)
      return;
    SeenRevision = Shared.Store.revision();
    auto Read = Shared.Store.read("moves/m");
    if (!Read)
      return;
    MoveRecord Record = parseMoveRecord(Read.value().Value).value();
    if (History.empty() || History.back().Revision != Record.Revision)
      History.push_back(Record);
  }

  // Gives the lease to one more daemon; those before may not know yet.
  void misfortune(bool Faulty) {
    Daemon &Chosen = *Daemons[Dice.below(Daemons.size())];
    switch (Dice.below(9)) {
    case 0:
      Chosen.Lease.Epoch = ++LastEpoch;
      break;
    case 1:
      Chosen.Lease.Epoch = 0;
      break;
    case 2:
      Shared.LoseAnswers = 1 + static_cast<int>(Dice.below(2));
      break;
    case 3:
      Shared.Outage = !Shared.Outage;
      break;
    case 4:
      Chosen.Client.CutOff = !Chosen.Client.CutOff;
      break;
    case 5:
      if (Faulty && Dice.below(8) == 0)
        Chosen.Fault = MoveFault{MoveReason::Errors, "r"};
      break;
    default:
      // A report about some earlier record may come late.
      if (!History.empty())
        Chosen.Report = MoveStanding{
            History[Dice.below(History.size())].Revision, true, true};
    }
  }

  void play(bool Faulty) {
    for (int I = 0; I < 6000; ++I) {
      if (Dice.below(4) == 0)
        misfortune(Faulty);
      for (const auto &Each : Daemons) {
        // A paused daemon takes no turn.
        if (Dice.below(3) != 0)
          Each->Keeper.turn(Each->Lease, Time.wallNow());
        if (!History.empty() && Dice.below(3) == 0)
          Each->Report = MoveStanding{History.back().Revision, true, true};
      }
      for (int Tick = 0; Tick < 4; ++Tick) {
        Time.advance(25ms);
        watch();
      }
    }
  }

  void check() const {
    for (size_t I = 1; I < History.size(); ++I) {
      const MoveRecord &Before = History[I - 1];
      const MoveRecord &After = History[I];
      REQUIRE(After.Revision == Before.Revision + 1);
      REQUIRE(After.Epoch >= Before.Epoch);
      REQUIRE_FALSE(Before.final());
      if (After.State != MoveState::TakenBack)
        REQUIRE(After.share(true) >= Before.share(true));
      if (After.State == MoveState::Done)
        REQUIRE(Before.State == MoveState::Holding);
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
  int TakenBack = 0;
  for (uint64_t Seed = 1; Seed <= 60; ++Seed) {
    Exploration World(Seed);
    World.play(/*Faulty=*/Seed % 2 == 0);
    INFO("seed " << Seed);
    World.check();
    REQUIRE_FALSE(World.History.empty());
    Finished += World.History.back().State == MoveState::Done;
    TakenBack += World.History.back().State == MoveState::TakenBack;
  }
  CHECK(Finished > 5);
  CHECK(TakenBack > 5);
}
