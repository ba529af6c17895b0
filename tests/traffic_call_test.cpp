#include "cyclamenwind/base/log.h"
#include "testing/traffic_world.h"

#include <catch2/catch.hpp>

using namespace cyclamenwind;
using namespace cyclamenwind::testing;

namespace {

std::string headerOf(const CallerRecord &Call, const char *Name) {
  const std::string *Found = findHeader(Call.Response.Headers, Name);
  return Found == nullptr ? "" : *Found;
}

std::string outcomeOf(const CallerRecord &Call) {
  return headerOf(Call, OutcomeHeader);
}

std::string reasonOf(const CallerRecord &Call) {
  return headerOf(Call, ReasonHeader);
}

} // namespace

TEST_CASE("retries are a bounded share of first attempts") {
  TimePoint Now{};
  RetryState State = {1, 1, /*Idempotent=*/true, Now + 1s};
  auto CountRetries = [&](CallOutcome Outcome, int Calls) {
    RetryPolicy Policy;
    int Count = 0;
    for (int I = 0; I < Calls; ++I) {
      Policy.recordFirstAttempt();
      Count +=
          Policy.decide(State, Outcome, Now) == RetryDecision::Retry ? 1 : 0;
    }
    return Count;
  };
  constexpr int Calls = 10000;
  CHECK(CountRetries(CallOutcome::Unknown, Calls) <=
        Calls * RetryPolicy::UnknownRetryShare + RetryPolicy::Burst);
  CHECK(CountRetries(CallOutcome::Refused, Calls) <=
        Calls * RetryPolicy::RefusedRetryShare + RetryPolicy::Burst);
}

TEST_CASE("a retry is granted only where the policy allows it") {
  TimePoint Now{};
  RetryPolicy Policy;
  CHECK(Policy.decide({1, 1, false, Now + 1s}, CallOutcome::Unknown, Now) ==
        RetryDecision::NotIdempotent);
  CHECK(Policy.decide({1, 0, false, Now + 1s}, CallOutcome::Refused, Now) ==
        RetryDecision::Retry);
  CHECK(Policy.decide({1, 0, true, Now}, CallOutcome::Refused, Now) ==
        RetryDecision::DeadlinePassed);
  CHECK(Policy.decide({RetryPolicy::MaxAttempts, 0, true, Now + 1s},
                      CallOutcome::Refused,
                      Now) == RetryDecision::AttemptsSpent);
  CHECK(Policy.decide({2, RetryPolicy::MaxUnknownAttempts, true, Now + 1s},
                      CallOutcome::Unknown,
                      Now) == RetryDecision::AttemptsSpent);
}

TEST_CASE("lost server: idempotent calls are retried, others end unknown") {
  bool Idempotent = GENERATE(true, false);
  TrafficWorld World({.Seed = 3});
  World.onStep(CallStep::Waiting,
               [&](int Server) { World.killServer(Server); });
  World.call(Idempotent);
  World.Time.advance(2s);
  const CallerRecord &Call = World.Callers[0];
  CHECK(outcomeOf(Call) == (Idempotent ? "answered" : "unknown"));
  CHECK(headerOf(Call, NoRetryHeader) == (Idempotent ? "" : "not_repeatable"));
  CHECK(World.ServerRecords[Call.Id].Runs == (Idempotent ? 2 : 1));
  CHECK(World.violations(false).empty());
}

TEST_CASE("replies to an earlier process at the same address are dropped") {
  TrafficWorld World({.Seed = 4});
  for (int I = 0; I < 20; ++I) {
    World.call(false);
    World.Time.advance(10ms);
  }
  World.killDaemon(0);
  World.startDaemon(0);
  for (int I = 0; I < 20; ++I) {
    World.call(false);
    World.replayReplies();
    World.Time.advance(10ms);
  }
  World.Time.advance(2s);
  CHECK(World.violations(false).empty());
}

TEST_CASE(
    "draining server: waiting calls are refused at once, running calls end") {
  TrafficOptions Options;
  Options.Daemons = 1;
  Options.Work = 100ms;
  TrafficWorld World(Options);
  for (int I = 0; I < 5; ++I)
    World.call(false);
  World.Time.advance(10ms);
  World.drainServer(0);
  World.Time.advance(5ms);
  int Refused = 0;
  for (const CallerRecord &Call : World.Callers)
    if (Call.Ended) {
      CHECK(reasonOf(Call) == "server_left");
      ++Refused;
    }
  CHECK(Refused == 3);
  World.Time.advance(1s);
  CHECK(World.violations(/*PlannedOnly=*/true).empty());
}

TEST_CASE("a resubmission gets the first answer through any daemon") {
  int DaemonIndex = GENERATE(0, 1, 2);
  TrafficWorld World({.Seed = 5});
  World.call(false, "key");
  World.Time.advance(1s);
  World.call(false, "key", DaemonIndex);
  World.Time.advance(1s);
  CHECK(outcomeOf(World.Callers[0]) == "answered");
  CHECK(outcomeOf(World.Callers[1]) == "answered");
  CHECK(World.Callers[1].Response.Body == World.Callers[0].Response.Body);
  CHECK(headerOf(World.Callers[1], ReplayedHeader) == "true");
  CHECK(World.violations(false).empty());
}

TEST_CASE(
    "a resubmission is not run while the first request is running or after its "
    "server died") {
  bool ServerDies = GENERATE(false, true);
  TrafficWorld World({.Seed = 6});
  if (ServerDies)
    World.onStep(CallStep::Waiting,
                 [&](int Server) { World.killServer(Server); });
  World.call(false, "key");
  World.Time.advance(ServerDies ? 1s : 15ms);
  World.call(false, "key", 1);
  World.Time.advance(2s);
  CHECK(outcomeOf(World.Callers[0]) == (ServerDies ? "unknown" : "answered"));
  CHECK(outcomeOf(World.Callers[1]) == "unknown");
  CHECK(reasonOf(World.Callers[1]) == "already_claimed");
  CHECK(World.violations(false).empty());
}

TEST_CASE("a refused request may be resubmitted with its key") {
  TrafficWorld World({.Seed = 7, .Daemons = 1});
  World.killServer(0);
  World.call(false, "key");
  World.Time.advance(100ms);
  CHECK(reasonOf(World.Callers[0]) == "server_down");
  World.startServer(0);
  World.call(false, "key");
  World.Time.advance(1s);
  CHECK(outcomeOf(World.Callers[1]) == "answered");
  CHECK(World.violations(false).empty());
}

TEST_CASE("nothing is run unless the platform confirms the claim") {
  TrafficWorld World({.Seed = 8});
  World.Platform.Outage = true;
  World.call(false, "key");
  World.Time.advance(5s);
  CHECK(reasonOf(World.Callers[0]) == "no_claim");
  CHECK(outcomeOf(World.Callers[0]) == "refused");
  CHECK(World.ServerRecords[World.Callers[0].Id].ReceivedAttempts == 0);
}

TEST_CASE("a key runs at most once under lost answers, outages and restarts") {
  for (uint64_t Seed = 1; Seed <= 40; ++Seed) {
    TrafficWorld World({.Seed = Seed});
    Random Rng(Seed);
    World.Platform.Spread = 5;
    for (int I = 0; I < 120; ++I) {
      switch (Rng.below(12)) {
      case 0:
        World.Platform.LoseAnswers = 2;
        break;
      case 1:
        World.Platform.Outage = !World.Platform.Outage;
        break;
      case 2:
        World.killServer(static_cast<int>(Rng.below(3)));
        break;
      case 3:
        for (int Server = 0; Server < 3; ++Server)
          World.startServer(Server);
        break;
      case 4:
        World.killDaemon(1);
        World.startDaemon(1);
        break;
      default:
        World.call(false, "key-" + std::to_string(Rng.below(10)),
                   static_cast<int>(Rng.below(3)));
      }
      World.Time.advance(Duration(static_cast<int64_t>(Rng.below(30000))));
    }
    World.Time.advance(3s);
    std::vector<std::string> Violations = World.violations(false);
    INFO("seed " << Seed);
    CHECK(Violations == std::vector<std::string>());
  }
}
