#include "cyclamenwind/base/random.h"
#include "cyclamenwind/rollouts/canary_analyzer.h"
#include "cyclamenwind/rollouts/power.h"
#include "cyclamenwind/rollouts/split.h"

#include <catch2/catch.hpp>

using namespace cyclamenwind;

namespace {

const std::vector<RouteSpec> Routes = {
    {"check", "quote", "GET", "/quotes", 1s, true, Priority::Normal},
    {"submit", "quote", "POST", "/quotes", 1s, false, Priority::Normal}};

// Calls of one simulated second and how they fail.
struct TrafficProfile {
  double OldErrors = 0.002;
  double NewErrors = 0.002;
  double NewLatencyFactor = 1; // Relative to the old version.
  int BadServer = -1;          // Fails every call.
  int OldCalls = 95;
  int NewCalls = 5;
  std::string OnlyRoute; // The only faulty route; empty: all.
};

class Simulation {
public:
  explicit Simulation(uint64_t Seed)
      : Rng(Seed), Analyzer(spec(), Routes, {}) {}

  static RolloutSpec spec() {
    RolloutSpec Spec;
    Spec.Name = "m";
    Spec.Deadline = WallTime(600s);
    return Spec;
  }

  // Runs for up to Seconds; returns the second in which a fault was detected,
  // or -1.
  int run(const TrafficProfile &Profile, int Seconds) {
    for (int I = 0; I < Seconds; ++I) {
      Evidence Observed;
      for (int C = 0; C < Profile.OldCalls; ++C)
        call(Observed, Profile, false);
      for (int C = 0; C < Profile.NewCalls; ++C)
        call(Observed, Profile, true);
      Analyzer.add(Observed);
      Analyzer.analyze(WallTime(++Now * 1s));
      if (Analyzer.fault())
        return I;
    }
    return -1;
  }

  Random Rng;
  CanaryAnalyzer Analyzer;
  int Now = 0;

private:
  void call(Evidence &Observed, const TrafficProfile &Profile, bool OnNew) {
    AttemptOutcome Outcome;
    Outcome.Route = Routes[Rng.below(2)].Name;
    int Server = static_cast<int>(Rng.below(4));
    Outcome.MemberId = "m" + std::to_string(Server);
    bool OnThisRoute =
        Profile.OnlyRoute.empty() || Profile.OnlyRoute == Outcome.Route;
    double Rate = OnNew && OnThisRoute ? Profile.NewErrors : Profile.OldErrors;
    if (OnNew && Server == Profile.BadServer)
      Rate = 1;
    Outcome.Status = Rng.fraction() < Rate ? 500 : 200;
    double Factor = OnNew && OnThisRoute ? Profile.NewLatencyFactor : 1;
    Outcome.Latency =
        Rng.jittered(Duration(static_cast<int64_t>(5000 * Factor)), 0.5);
    addOutcome(Observed, Outcome, OnNew, false);
  }
};

template <typename Runner> int countDetections(int Seeds, Runner RunOnce) {
  int Count = 0;
  for (int Seed = 1; Seed <= Seeds; ++Seed) {
    Simulation Run(static_cast<uint64_t>(Seed));
    Count += RunOnce(Run) >= 0;
  }
  return Count;
}

} // namespace

TEST_CASE(
    "errors and latency of a new version are detected, early and late ones") {
  TrafficProfile Good;
  TrafficProfile Fails;
  Fails.NewErrors = 0.052;
  TrafficProfile Slow;
  Slow.NewLatencyFactor = 2;
  TrafficProfile OneRoute = Fails;
  OneRoute.NewErrors = 0.1;
  OneRoute.OnlyRoute = "submit";
  for (const TrafficProfile &Bad : {Fails, Slow, OneRoute}) {
    CHECK(countDetections(
              20, [&](Simulation &Run) { return Run.run(Bad, 400); }) == 20);
    CHECK(countDetections(20, [&](Simulation &Run) {
            return Run.run(Good, 200) >= 0 ? -1 : Run.run(Bad, 400);
          }) == 20);
  }
  Simulation Run(1);
  CHECK(Run.run(OneRoute, 400) >= 0);
  CHECK(Run.Analyzer.fault() == RolloutFault{RolloutReason::Errors, "submit"});
}

TEST_CASE("faults outside the new version are not attributed to it") {
  TrafficProfile Good;
  TrafficProfile OldFails;
  OldFails.OldErrors = 0.3;
  TrafficProfile Shared;
  Shared.OldErrors = Shared.NewErrors = 0.4;
  TrafficProfile OneServer;
  OneServer.BadServer = 2;
  for (const TrafficProfile &Case : {Good, OldFails, Shared, OneServer}) {
    CHECK(countDetections(
              20, [&](Simulation &Run) { return Run.run(Case, 600); }) == 0);
    CHECK(countDetections(20, [&](Simulation &Run) {
            int First = Run.run(Good, 100);
            return First >= 0 ? First : Run.run(Case, 200);
          }) == 0);
  }
}

TEST_CASE(
    "a few failed calls are not a fault, many are one in the first second") {
  TrafficProfile Broken;
  Broken.NewErrors = 1;
  Broken.NewCalls = 1;
  Broken.OldCalls = 1;
  Simulation Few(1);
  CHECK(Few.run(Broken, 4) < 0);
  Broken.NewCalls = 100;
  Broken.OldCalls = 100;
  Simulation Many(1);
  CHECK(Many.run(Broken, 1) == 0);
}

TEST_CASE("a step ends only after enough calls on the new version") {
  Simulation Run(3);
  RolloutStep Small = {SmallShare, SmallShare, 0.5};
  TrafficProfile Good;
  CHECK(Run.run(Good, 50) < 0);
  CHECK_FALSE(Run.Analyzer.enoughFor(Small));
  double Needed = Run.Analyzer.neededCalls("check", SmallShare);
  CHECK(Needed > 200);
  CHECK(Needed < 1500);
  Good.NewCalls = 100;
  CHECK(Run.run(Good, 50) < 0);
  CHECK(Run.Analyzer.enoughFor(Small));
  Run.Analyzer.beginStep();
  CHECK_FALSE(Run.Analyzer.enoughFor({0.5, 0.5, 0.1}));
}

TEST_CASE("refused and cancelled attempts are not evidence") {
  Evidence Observed;
  AttemptOutcome Outcome;
  Outcome.End = CallOutcome::Refused;
  Outcome.Reason = CallReason::QueueFull;
  addOutcome(Observed, Outcome, true, false);
  Outcome.End = CallOutcome::Unknown;
  Outcome.Reason = CallReason::Cancelled;
  addOutcome(Observed, Outcome, true, false);
  CHECK(Observed.empty());
  Outcome.Reason = CallReason::ConnectionLost;
  addOutcome(Observed, Outcome, true, true);
  REQUIRE(Observed.size() == 1);
  CHECK(Observed.begin()->second.Errors == 1);
  CHECK(Observed.begin()->second.Latencies.total() == 0);
}

TEST_CASE("the split matches the share, and callers stay as the share grows") {
  uint64_t Seed = splitSeed("m");
  Random Rng(7);
  int Small = 0;
  int Large = 0;
  constexpr int Callers = 100000;
  for (int I = 0; I < Callers; ++I) {
    uint64_t Hash = Rng.next();
    bool InSmall = selectsNewVersion(0.05, Hash, Seed);
    Small += InSmall;
    Large += selectsNewVersion(0.5, Hash, Seed);
    CHECK_FALSE((InSmall && !selectsNewVersion(0.2, Hash, Seed)));
    CHECK(selectsNewVersion(1, Hash, Seed));
    CHECK_FALSE(selectsNewVersion(0, Hash, Seed));
  }
  CHECK(Small == Approx(Callers * 0.05).epsilon(0.05));
  CHECK(Large == Approx(Callers * 0.5).epsilon(0.02));
  CHECK(splitSeed("m") != splitSeed("n"));
}
