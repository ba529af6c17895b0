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

std::string endOf(const CallerRecord &Call) {
  return headerOf(Call, EndHeader);
}

std::string reasonOf(const CallerRecord &Call) {
  return headerOf(Call, ReasonHeader);
}

} // namespace

TEST_CASE("retries are a bounded share of first attempts") {
  TimePoint Now{};
  RetryState State = {1, 1, /*Repeatable=*/true, Now + 1s};
  auto Retried = [&](CallOutcome Last, int Calls) {
    RetryPolicy Policy;
    int Count = 0;
    for (int I = 0; I < Calls; ++I) {
      Policy.firstAttempt();
      Count += Policy.decide(State, Last, Now) == RetryVerdict::Retry ? 1 : 0;
    }
    return Count;
  };
  constexpr int Calls = 10000;
  CHECK(Retried(CallOutcome::Unknown, Calls) <=
        Calls * RetryPolicy::RepeatShare + RetryPolicy::Burst);
  CHECK(Retried(CallOutcome::Refused, Calls) <=
        Calls * RetryPolicy::ElsewhereShare + RetryPolicy::Burst);
}

TEST_CASE("a retry is never granted where it must not be") {
  TimePoint Now{};
  RetryPolicy Policy;
  CHECK(Policy.decide({1, 1, false, Now + 1s}, CallOutcome::Unknown, Now) ==
        RetryVerdict::NotIdempotent);
  CHECK(Policy.decide({1, 0, false, Now + 1s}, CallOutcome::Refused, Now) ==
        RetryVerdict::Retry);
  CHECK(Policy.decide({1, 0, true, Now}, CallOutcome::Refused, Now) ==
        RetryVerdict::DeadlinePassed);
  CHECK(Policy.decide({RetryPolicy::MaxAttempts, 0, true, Now + 1s},
                      CallOutcome::Refused,
                      Now) == RetryVerdict::AttemptsSpent);
  CHECK(Policy.decide({2, RetryPolicy::MaxUnknownAttempts, true, Now + 1s},
                      CallOutcome::Unknown,
                      Now) == RetryVerdict::AttemptsSpent);
}

TEST_CASE("a lost server: repeatable calls go elsewhere, others end unknown") {
  bool Idempotent = GENERATE(true, false);
  TrafficWorld World({.Seed = 3});
  World.onStep(CallStep::Waiting,
               [&](int Server) { World.killServer(Server); });
  World.call(Idempotent);
  World.Time.advance(2s);
  const CallerRecord &Call = World.Callers[0];
  CHECK(endOf(Call) == (Idempotent ? "answered" : "unknown"));
  CHECK(headerOf(Call, NoRetryHeader) == (Idempotent ? "" : "not_repeatable"));
  CHECK(World.Seen[Call.Id].Runs == (Idempotent ? 2 : 1));
  CHECK(World.violations(false).empty());
}

TEST_CASE("an earlier process's replies are not taken for answers") {
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

TEST_CASE("a draining server: what waits for it is refused at once, what runs "
          "ends") {
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
  for (const CallerRecord &Each : World.Callers)
    if (Each.Ended) {
      CHECK(reasonOf(Each) == "server_left");
      ++Refused;
    }
  CHECK(Refused == 3);
  World.Time.advance(1s);
  CHECK(World.violations(/*Planned=*/true).empty());
}

TEST_CASE("a resubmission gets the first answer, whatever daemon it goes to") {
  int Through = GENERATE(0, 1, 2);
  TrafficWorld World({.Seed = 5});
  World.call(false, "key");
  World.Time.advance(1s);
  World.call(false, "key", Through);
  World.Time.advance(1s);
  CHECK(endOf(World.Callers[0]) == "answered");
  CHECK(endOf(World.Callers[1]) == "answered");
  CHECK(World.Callers[1].Response.Body == World.Callers[0].Response.Body);
  CHECK(headerOf(World.Callers[1], ReplayedHeader) == "true");
  CHECK(World.violations(false).empty());
}

TEST_CASE("a resubmission while the first runs, or after its server died, is "
          "not run") {
  bool Dies = GENERATE(false, true);
  TrafficWorld World({.Seed = 6});
  if (Dies)
    World.onStep(CallStep::Waiting,
                 [&](int Server) { World.killServer(Server); });
  World.call(false, "key");
  World.Time.advance(Dies ? 1s : 15ms);
  World.call(false, "key", 1);
  World.Time.advance(2s);
  CHECK(endOf(World.Callers[0]) == (Dies ? "unknown" : "answered"));
  CHECK(endOf(World.Callers[1]) == "unknown");
  CHECK(reasonOf(World.Callers[1]) == "already_claimed");
  CHECK(World.violations(false).empty());
}

TEST_CASE("a request that was refused may be sent again with its key") {
  TrafficWorld World({.Seed = 7, .Daemons = 1});
  World.killServer(0);
  World.call(false, "key");
  World.Time.advance(100ms);
  CHECK(reasonOf(World.Callers[0]) == "server_down");
  World.startServer(0);
  World.call(false, "key");
  World.Time.advance(1s);
  CHECK(endOf(World.Callers[1]) == "answered");
  CHECK(World.violations(false).empty());
}

TEST_CASE("without a certain word from the platform nothing is run") {
  TrafficWorld World({.Seed = 8});
  World.Platform.Outage = true;
  World.call(false, "key");
  World.Time.advance(5s);
  CHECK(reasonOf(World.Callers[0]) == "no_claim");
  CHECK(endOf(World.Callers[0]) == "refused");
  CHECK(World.Seen[World.Callers[0].Id].Touched == 0);
}

TEST_CASE("keys run at most once under lost answers, outages and restarts") {
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
    std::vector<std::string> Found = World.violations(false);
    INFO("seed " << Seed);
    CHECK(Found == std::vector<std::string>());
  }
}
