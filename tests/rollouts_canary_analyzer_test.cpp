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

// How the calls of one simulated second go.
struct Second {
  double OldErrors = 0.002;
  double NewErrors = 0.002;
  double NewFactor = 1; // Of latency.
  int BadServer = -1;   // Fails every call.
  int OldCalls = 95;
  int NewCalls = 5;
  std::string OnlyRoute; // Where the new version's fault shows; empty: all.
};

class Run {
public:
  explicit Run(uint64_t Seed) : Rng(Seed), Judge(spec(), Routes, {}) {}

  static RolloutSpec spec() {
    RolloutSpec Spec;
    Spec.Name = "m";
    Spec.Deadline = WallTime(600s);
    return Spec;
  }

  // Runs for up to Seconds; the second in which a fault was found, or -1.
  int play(const Second &How, int Seconds) {
    for (int I = 0; I < Seconds; ++I) {
      Evidence Seen;
      for (int C = 0; C < How.OldCalls; ++C)
        call(Seen, How, false);
      for (int C = 0; C < How.NewCalls; ++C)
        call(Seen, How, true);
      Judge.add(Seen);
      Judge.judge(WallTime(++Now * 1s));
      if (Judge.fault())
        return I;
    }
    return -1;
  }

  Random Rng;
  CanaryAnalyzer Judge;
  int Now = 0;

private:
  void call(Evidence &Seen, const Second &How, bool OnNew) {
    AttemptOutcome Outcome;
    Outcome.Route = Routes[Rng.below(2)].Name;
    int Server = static_cast<int>(Rng.below(4));
    Outcome.MemberId = "m" + std::to_string(Server);
    bool Here = How.OnlyRoute.empty() || How.OnlyRoute == Outcome.Route;
    double Rate = OnNew && Here ? How.NewErrors : How.OldErrors;
    if (OnNew && Server == How.BadServer)
      Rate = 1;
    Outcome.Status = Rng.fraction() < Rate ? 500 : 200;
    double Factor = OnNew && Here ? How.NewFactor : 1;
    Outcome.Latency =
        Rng.jittered(Duration(static_cast<int64_t>(5000 * Factor)), 0.5);
    addOutcome(Seen, Outcome, OnNew, false);
  }
};

template <typename Play> int found(int Seeds, Play Each) {
  int Count = 0;
  for (int Seed = 1; Seed <= Seeds; ++Seed) {
    Run Game(static_cast<uint64_t>(Seed));
    Count += Each(Game) >= 0;
  }
  return Count;
}

} // namespace

TEST_CASE("a version that fails or is slow is found, whenever it begins") {
  Second Good;
  Second Fails;
  Fails.NewErrors = 0.052;
  Second Slow;
  Slow.NewFactor = 2;
  Second OneRoute = Fails;
  OneRoute.NewErrors = 0.1;
  OneRoute.OnlyRoute = "submit";
  for (const Second &Bad : {Fails, Slow, OneRoute}) {
    CHECK(found(20, [&](Run &G) { return G.play(Bad, 400); }) == 20);
    CHECK(found(20, [&](Run &G) {
            return G.play(Good, 200) >= 0 ? -1 : G.play(Bad, 400);
          }) == 20);
  }
  Run Game(1);
  CHECK(Game.play(OneRoute, 400) >= 0);
  CHECK(Game.Judge.fault() == RolloutFault{RolloutReason::Errors, "submit"});
}

TEST_CASE("what is not the new version's fault is not held against it") {
  Second Good;
  Second OldFails;
  OldFails.OldErrors = 0.3;
  Second Shared;
  Shared.OldErrors = Shared.NewErrors = 0.4;
  Second OneServer;
  OneServer.BadServer = 2;
  for (const Second &Case : {Good, OldFails, Shared, OneServer}) {
    CHECK(found(20, [&](Run &G) { return G.play(Case, 600); }) == 0);
    CHECK(found(20, [&](Run &G) {
            int First = G.play(Good, 100);
            return First >= 0 ? First : G.play(Case, 200);
          }) == 0);
  }
}

TEST_CASE("few calls do not decide, many decide at once") {
  Second Broken;
  Broken.NewErrors = 1;
  Broken.NewCalls = 1;
  Broken.OldCalls = 1;
  Run Few(1);
  CHECK(Few.play(Broken, 4) < 0);
  Broken.NewCalls = 100;
  Broken.OldCalls = 100;
  Run Many(1);
  CHECK(Many.play(Broken, 1) == 0);
}

TEST_CASE("a step is left when the new version has had enough calls") {
  Run Game(3);
  RolloutStep Small = {SmallShare, SmallShare, 0.5};
  Second Good;
  CHECK(Game.play(Good, 50) < 0);
  CHECK_FALSE(Game.Judge.enoughFor(Small));
  double Needed = Game.Judge.neededCalls("check", SmallShare);
  CHECK(Needed > 200);
  CHECK(Needed < 1500);
  Good.NewCalls = 100;
  CHECK(Game.play(Good, 50) < 0);
  CHECK(Game.Judge.enoughFor(Small));
  Game.Judge.beginStep();
  CHECK_FALSE(Game.Judge.enoughFor({0.5, 0.5, 0.1}));
}

TEST_CASE("refusals and calls that callers gave up are no evidence") {
  Evidence Seen;
  AttemptOutcome Outcome;
  Outcome.End = CallOutcome::Refused;
  Outcome.Reason = CallReason::QueueFull;
  addOutcome(Seen, Outcome, true, false);
  Outcome.End = CallOutcome::Unknown;
  Outcome.Reason = CallReason::Cancelled;
  addOutcome(Seen, Outcome, true, false);
  CHECK(Seen.empty());
  Outcome.Reason = CallReason::ConnectionLost;
  addOutcome(Seen, Outcome, true, true);
  REQUIRE(Seen.size() == 1);
  CHECK(Seen.begin()->second.Errors == 1);
  CHECK(Seen.begin()->second.Latencies.total() == 0);
}

TEST_CASE("the split is stable, even, and grows without moving callers back") {
  uint64_t Seed = splitSeed("m");
  Random Rng(7);
  int Small = 0;
  int Large = 0;
  constexpr int Callers = 100000;
  for (int I = 0; I < Callers; ++I) {
    uint64_t Hash = Rng.next();
    bool In = fallsInto(0.05, Hash, Seed);
    Small += In;
    Large += fallsInto(0.5, Hash, Seed);
    CHECK_FALSE((In && !fallsInto(0.2, Hash, Seed)));
    CHECK(fallsInto(1, Hash, Seed));
    CHECK_FALSE(fallsInto(0, Hash, Seed));
  }
  CHECK(Small == Approx(Callers * 0.05).epsilon(0.05));
  CHECK(Large == Approx(Callers * 0.5).epsilon(0.02));
  CHECK(splitSeed("m") != splitSeed("n"));
}
