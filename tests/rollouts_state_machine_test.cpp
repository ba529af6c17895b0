#include "cyclamenwind/rollouts/record_writer.h"
#include "testing/fake_platform.h"
#include "testing/virtual_time.h"

#include <catch2/catch.hpp>

using namespace cyclamenwind;
using namespace cyclamenwind::testing;

namespace {

constexpr char DocumentText[] = R"({
  "services": [{"name": "quote", "version": "v1"}],
  "routes": [{"name": "r", "service": "quote", "repeatable": true,
              "match": {"path_prefix": "/r"}}],
  "moves": [{"name": "m", "service": "quote", "to": "v2",
             "done_by": "2026-01-01T01:00:00Z"}]})";

Document document() { return parseDocument(DocumentText).value(); }

const WallTime Start = *parseWallTime("2026-01-01T00:00:00Z");

struct Fixture {
  Document Body = document();
  RolloutContext Context;

  Fixture() {
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

  void reportApplied(const RolloutRecord &Record) {
    Context.Progress = RolloutProgress{Record.Revision, true, true};
  }

  // Advances a good rollout to the phase Wanted and to Step.
  RolloutRecord advanceTo(RolloutPhase Wanted, uint64_t Step = 0) {
    RolloutRecord Record = first();
    WallTime Now = Start;
    while (Record.Phase != Wanted || Record.Step < Step) {
      reportApplied(Record);
      Now += 1s;
      Record = nextRecord(Record, Context, Now).value_or(Record);
    }
    return Record;
  }
};

} // namespace

TEST_CASE("steps and hold times are planned backwards from the deadline") {
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

TEST_CASE("a deadline that is too early is rejected with its path") {
  Document Body = document();
  CHECK(checkRolloutDeadlines(Body, nullptr, Start).empty());
  DocumentErrors Errors =
      checkRolloutDeadlines(Body, nullptr, Start + 59min + 30s);
  REQUIRE(Errors.size() == 1);
  CHECK(Errors[0].Path == "/moves/0/done_by");
  CHECK(checkRolloutDeadlines(Body, &Body, Start + 59min + 30s).empty());
}

TEST_CASE("records round-trip through text and malformed text is rejected") {
  Fixture Setup;
  RolloutRecord Record = Setup.advanceTo(RolloutPhase::Stepping, 2);
  Record.Detail = "a \"quoted\" detail";
  CHECK(parseRolloutRecord(formatRolloutRecord(Record)) == Record);
  CHECK_FALSE(parseRolloutRecord("{}"));
  CHECK_FALSE(parseRolloutRecord("no"));
}

TEST_CASE("a good rollout is done before its deadline") {
  Fixture Setup;
  RolloutRecord Done = Setup.advanceTo(RolloutPhase::Done);
  CHECK(Done.Entered < Setup.Body.Rollouts[0].Deadline);
  CHECK(Done.share(true) == 1);
}

TEST_CASE("final records never have a successor") {
  Fixture Setup;
  RolloutRecord Done = Setup.advanceTo(RolloutPhase::Done);
  RolloutRecord Stopped = Setup.advanceTo(RolloutPhase::Stepping, 1);
  Setup.Context.Fault = RolloutFault{RolloutReason::Errors, "r"};
  RolloutRecord RolledBack =
      nextRecord(Stopped, Setup.Context, Start + 20min).value();
  CHECK(RolledBack.Phase == RolloutPhase::RolledBack);
  CHECK(RolledBack.Reason == RolloutReason::Errors);
  Setup.Context.Epoch = 9;
  for (const RolloutRecord &Final : {Done, RolledBack})
    CHECK_FALSE(nextRecord(Final, Setup.Context, Start + 2h));
}

TEST_CASE("a step ends only if all daemons applied it and evidence suffices") {
  Fixture Setup;
  RolloutRecord Record = Setup.advanceTo(RolloutPhase::Stepping, 1);
  WallTime After = Start + 50min;
  Setup.Context.Progress.reset();
  CHECK_FALSE(nextRecord(Record, Setup.Context, After));
  Setup.Context.Progress = RolloutProgress{Record.Revision, true, false};
  CHECK_FALSE(nextRecord(Record, Setup.Context, After));
  Setup.Context.Progress = RolloutProgress{Record.Revision - 1, true, true};
  CHECK_FALSE(nextRecord(Record, Setup.Context, After));
  Setup.Context.Progress = RolloutProgress{Record.Revision, false, true};
  CHECK_FALSE(nextRecord(Record, Setup.Context, After));
  Setup.Body.Rollouts[0].WhenEvidenceIsShort =
      InsufficientEvidenceRule::Advance;
  std::optional<RolloutRecord> Next = nextRecord(Record, Setup.Context, After);
  REQUIRE(Next);
  CHECK(Next->Step == Record.Step + 1);
  CHECK(Next->InsufficientEvidence);
}

TEST_CASE("at the deadline the deadline rule of the document applies") {
  Fixture Setup;
  RolloutRecord Record = Setup.advanceTo(RolloutPhase::Stepping, 2);
  WallTime AtDeadline = Start + 1h;
  CHECK(nextRecord(Record, Setup.Context, AtDeadline)->Phase ==
        RolloutPhase::RolledBack);
  Setup.Body.Rollouts[0].AtSetTime = DeadlineRule::StayUndecided;
  for (const RolloutRecord &From :
       {Record, Setup.advanceTo(RolloutPhase::Holding), Setup.first()}) {
    RolloutRecord Undecided =
        nextRecord(From, Setup.Context, AtDeadline).value();
    CHECK(Undecided.Phase == RolloutPhase::Undecided);
    CHECK(Undecided.share(true) == From.share(true));
    CHECK_FALSE(nextRecord(Undecided, Setup.Context, AtDeadline + 1h));
    Document Later = Setup.Body;
    Later.Rollouts[0].Deadline = AtDeadline + 2h;
    RolloutContext Context = Setup.Context;
    Context.Spec = &Later.Rollouts[0];
    RolloutRecord Resumed =
        nextRecord(Undecided, Context, AtDeadline + 1h).value();
    CHECK_FALSE(Resumed.final());
    CHECK(Resumed.share(true) == From.share(true));
  }
}

TEST_CASE("a changed document ends the rollout, an older one does not") {
  Fixture Setup;
  RolloutRecord Record = Setup.advanceTo(RolloutPhase::Stepping, 1);
  RolloutContext WithoutSpec = Setup.Context;
  WithoutSpec.Spec = nullptr;
  CHECK(nextRecord(Record, WithoutSpec, Start + 10min)->Reason ==
        RolloutReason::Removed);
  WithoutSpec.DocumentVersion = 0;
  CHECK_FALSE(nextRecord(Record, WithoutSpec, Start + 10min));
  ServiceSpec Other = {"quote", "v9"};
  RolloutContext Changed = Setup.Context;
  Changed.Target = &Other;
  CHECK(nextRecord(Record, Changed, Start + 10min)->Reason ==
        RolloutReason::DocumentChanged);
}

TEST_CASE("a later epoch claims the record, an earlier one cannot change it") {
  Fixture Setup;
  RolloutRecord Record = Setup.advanceTo(RolloutPhase::Stepping, 1);
  Setup.Context.Progress.reset();
  Setup.Context.Epoch = 5;
  RolloutRecord Claimed =
      nextRecord(Record, Setup.Context, Start + 5min).value();
  CHECK(Claimed.Epoch == 5);
  CHECK(Claimed.Step == Record.Step);
  Setup.Context.Epoch = 4;
  Setup.Context.Fault = RolloutFault{RolloutReason::Errors, "r"};
  CHECK_FALSE(nextRecord(Claimed, Setup.Context, Start + 5min));
}

namespace {

// A record writer whose lease and inputs are set by the test.
class Daemon final : public RolloutInputs {
public:
  Daemon(FakePlatform &Shared, Random &Rng, const std::string &Id,
         SnapshotPtr Config)
      : Client(Shared), Writer(Client, Rng, Id, *this),
        Config(std::move(Config)) {}

  SnapshotPtr snapshot() const override { return Config; }
  bool serversReady(const RolloutSpec &) const override { return true; }
  std::optional<RolloutProgress> progress(const std::string &) const override {
    return Progress;
  }
  std::optional<RolloutFault> fault(const std::string &) const override {
    return Fault;
  }
  void onRecorded(const RolloutRecord &Record, bool) override {
    LastRecorded = Record;
  }

  FakePlatformClient Client;
  RolloutRecordWriter Writer;
  SnapshotPtr Config;
  std::optional<RolloutProgress> Progress;
  std::optional<RolloutFault> Fault;
  std::optional<RolloutRecord> LastRecorded;
  LeaseEpoch CurrentLease;
};

struct Exploration {
  VirtualTime Time;
  Random Rng;
  FakePlatform Shared;
  SnapshotPtr Config;
  std::vector<std::unique_ptr<Daemon>> Daemons;
  std::vector<RolloutRecord> History; // Records on the platform, in order.
  uint64_t LastEpoch = 0;
  uint64_t LastStoreRevision = 0;

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

  // Appends the record on the platform to History when it has changed.
  void appendHistory() {
    if (Shared.Store.revision() == LastStoreRevision)
      return;
    LastStoreRevision = Shared.Store.revision();
    auto Read = Shared.Store.read("moves/m");
    if (!Read)
      return;
    RolloutRecord Record = parseRolloutRecord(Read.value().Value).value();
    if (History.empty() || History.back().Revision != Record.Revision)
      History.push_back(Record);
  }

  // Injects one random fault. When a daemon gains the lease, earlier holders
  // keep theirs, as if they had not noticed its expiry yet.
  void injectFault(bool Faulty) {
    Daemon &Target = *Daemons[Rng.below(Daemons.size())];
    switch (Rng.below(9)) {
    case 0:
      Target.CurrentLease.Epoch = ++LastEpoch;
      break;
    case 1:
      Target.CurrentLease.Epoch = 0;
      break;
    case 2:
      Shared.LoseAnswers = 1 + static_cast<int>(Rng.below(2));
      break;
    case 3:
      Shared.Outage = !Shared.Outage;
      break;
    case 4:
      Target.Client.CutOff = !Target.Client.CutOff;
      break;
    case 5:
      if (Faulty && Rng.below(8) == 0)
        Target.Fault = RolloutFault{RolloutReason::Errors, "r"};
      break;
    default:
      // A report about an earlier record may arrive late.
      if (!History.empty())
        Target.Progress = RolloutProgress{
            History[Rng.below(History.size())].Revision, true, true};
    }
  }

  void run(bool Faulty) {
    for (int I = 0; I < 6000; ++I) {
      if (Rng.below(4) == 0)
        injectFault(Faulty);
      for (const auto &Target : Daemons) {
        // A paused daemon does not tick.
        if (Rng.below(3) != 0)
          Target->Writer.tick(Target->CurrentLease, Time.wallNow());
        if (!History.empty() && Rng.below(3) == 0)
          Target->Progress =
              RolloutProgress{History.back().Revision, true, true};
      }
      for (int Tick = 0; Tick < 4; ++Tick) {
        Time.advance(25ms);
        appendHistory();
      }
    }
  }

  void check() const {
    for (size_t I = 1; I < History.size(); ++I) {
      const RolloutRecord &Previous = History[I - 1];
      const RolloutRecord &Next = History[I];
      REQUIRE(Next.Revision == Previous.Revision + 1);
      REQUIRE(Next.Epoch >= Previous.Epoch);
      REQUIRE_FALSE(Previous.final());
      if (Next.Phase != RolloutPhase::RolledBack)
        REQUIRE(Next.share(true) >= Previous.share(true));
      if (Next.Phase == RolloutPhase::Done)
        REQUIRE(Previous.Phase == RolloutPhase::Holding);
    }
    // Every record that a writer reported was on the platform.
    for (const auto &Target : Daemons)
      if (Target->LastRecorded)
        REQUIRE(std::find(History.begin(), History.end(),
                          *Target->LastRecorded) != History.end());
  }
};

} // namespace

TEST_CASE("invariants hold with competing holders, pauses and lost answers") {
  int Finished = 0;
  int RolledBack = 0;
  for (uint64_t Seed = 1; Seed <= 60; ++Seed) {
    Exploration Run(Seed);
    Run.run(/*Faulty=*/Seed % 2 == 0);
    INFO("seed " << Seed);
    Run.check();
    REQUIRE_FALSE(Run.History.empty());
    Finished += Run.History.back().Phase == RolloutPhase::Done;
    RolledBack += Run.History.back().Phase == RolloutPhase::RolledBack;
  }
  CHECK(Finished > 5);
  CHECK(RolledBack > 5);
}
