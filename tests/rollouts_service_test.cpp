#include "testing/rollout_fleet.h"

#include <catch2/catch.hpp>

using namespace cyclamenwind;
using namespace cyclamenwind::testing;

namespace {

bool reached(RolloutFleet &Fleet, RolloutPhase Phase, Duration Limit = 10min) {
  return Fleet.runUntil(
      [&] { return Fleet.record() && Fleet.record()->Phase == Phase; }, Limit);
}

bool reachedShare(RolloutFleet &Fleet, double Share) {
  return Fleet.runUntil(
      [&] { return Fleet.record() && Fleet.record()->share(true) >= Share; },
      10min);
}

// Whether every live daemon has a record in Phase.
bool allRecorded(RolloutFleet &Fleet, RolloutPhase Phase) {
  for (size_t I = 0; I < Fleet.size(); ++I) {
    if (!Fleet.alive(I))
      continue;
    const RolloutRecords::Entry *Entry = Fleet.rollouts(I).records().find("m");
    if (Entry == nullptr || !Entry->Record || Entry->Record->Phase != Phase)
      return false;
  }
  return true;
}

} // namespace

TEST_CASE("a good version takes all calls by the deadline, on all daemons") {
  RolloutFleet Fleet({});
  REQUIRE(reached(Fleet, RolloutPhase::Done, 4min));
  Fleet.run(2s);
  CHECK(allRecorded(Fleet, RolloutPhase::Done));
  uint64_t Before = Fleet.OldCalls;
  Fleet.run(2s);
  CHECK(Fleet.OldCalls == Before);
  CHECK(Fleet.violations().empty());
}

TEST_CASE(
    "a bad version is stopped on all daemons within 3 s and rolled back") {
  RolloutFleet Fleet({});
  REQUIRE(reachedShare(Fleet, 0.5));
  Fleet.New.ErrorRate = 0.1;
  REQUIRE(reached(Fleet, RolloutPhase::RolledBack, 1min));
  Fleet.run(2s);
  CHECK(allRecorded(Fleet, RolloutPhase::RolledBack));
  REQUIRE(Fleet.FirstStop);
  CHECK(Fleet.LastNewCall - *Fleet.FirstStop <= 3s);
  CHECK(Fleet.record()->Reason == RolloutReason::Errors);
  CHECK(Fleet.violations().empty());
}

TEST_CASE("a stop spreads without the platform, also to restarted daemons") {
  RolloutFleet Fleet({});
  REQUIRE(reachedShare(Fleet, 0.2));
  Fleet.Platform.Outage = true;
  Fleet.New.Latency *= 3;
  REQUIRE(Fleet.runUntil([&] { return Fleet.FirstStop.has_value(); }, 1min));
  Fleet.run(3s);
  uint64_t Before = Fleet.NewCalls;
  for (size_t I = 0; I < Fleet.size(); ++I) {
    Fleet.restart(I);
    Fleet.run(5s);
  }
  CHECK(Fleet.NewCalls == Before);
  CHECK(Fleet.record()->Phase == RolloutPhase::Stepping);
  Fleet.Platform.Outage = false;
  REQUIRE(reached(Fleet, RolloutPhase::RolledBack, 1min));
  CHECK(Fleet.record()->Reason == RolloutReason::Latency);
  CHECK(Fleet.violations().empty());
}

TEST_CASE("a rollout finishes after its lease holder and collector die") {
  RolloutFleetOptions Options;
  Options.TimeToDeadline = 6min;
  RolloutFleet Fleet(Options);
  REQUIRE(reachedShare(Fleet, 0.05));
  Fleet.kill(*Fleet.holder());
  Fleet.run(10s);
  Fleet.kill(Fleet.collector());
  REQUIRE(reached(Fleet, RolloutPhase::Done, 6min));
  CHECK(Fleet.violations().empty());
}

TEST_CASE("a daemon that receives nothing sends calls to the old version") {
  RolloutFleet Fleet({});
  REQUIRE(reachedShare(Fleet, 0.5));
  Fleet.isolate(0, true);
  Fleet.Platform.Outage = true;
  Fleet.run(15s);
  const Document &Body = Fleet.rollouts(0).snapshot()->document();
  for (uint64_t Hash = 0; Hash < 200; ++Hash)
    CHECK(Fleet.rollouts(0).versionFor(Body.Services[0], Body.Routes[0], Hash,
                                       false, Fleet.Time.now()) == "v1");
}

TEST_CASE("a retry after a failure goes to the old version") {
  RolloutFleet Fleet({});
  REQUIRE(reachedShare(Fleet, 0.5));
  const Document &Body = Fleet.rollouts(0).snapshot()->document();
  for (uint64_t Hash = 0; Hash < 200; ++Hash)
    CHECK(Fleet.rollouts(0).versionFor(Body.Services[0], Body.Routes[0], Hash,
                                       true, Fleet.Time.now()) == "v1");
}

TEST_CASE("a rollout pauses during a platform outage, then follows its "
          "deadline rule") {
  RolloutFleetOptions Options;
  Options.AtSetTime = DeadlineRule::StayUndecided;
  RolloutFleet Fleet(Options);
  REQUIRE(reachedShare(Fleet, 0.2));
  Fleet.Platform.Outage = true;
  Fleet.run(6min);
  CHECK(Fleet.record()->Phase == RolloutPhase::Stepping);
  Fleet.Platform.Outage = false;
  REQUIRE(reached(Fleet, RolloutPhase::Undecided, 1min));
  Fleet.accept([&](Document &Body) {
    Body.Rollouts[0].Deadline = Fleet.Time.wallNow() + 5min;
  });
  REQUIRE(reached(Fleet, RolloutPhase::Done, 5min));
  CHECK(Fleet.violations().empty());
}

TEST_CASE("a rolled back rollout restarts only under a new name") {
  RolloutFleet Fleet({});
  REQUIRE(reachedShare(Fleet, 0.05));
  Fleet.accept([](Document &Body) { Body.Rollouts.clear(); });
  REQUIRE(reached(Fleet, RolloutPhase::RolledBack, 1min));
  RolloutSpec Second;
  Second.Name = "m";
  Second.Service = "quote";
  Second.To = "v2";
  Second.Deadline = Fleet.Time.wallNow() + 5min;
  Fleet.accept([&](Document &Body) { Body.Rollouts = {Second}; });
  uint64_t Before = Fleet.NewCalls;
  Fleet.run(30s);
  CHECK(Fleet.NewCalls == Before);
  Second.Name = "second";
  Fleet.accept([&](Document &Body) { Body.Rollouts = {Second}; });
  Fleet.run(1min);
  CHECK(Fleet.Platform.Store.read("moves/second"));
}
