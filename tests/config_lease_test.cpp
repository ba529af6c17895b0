#include "cyclamenwind/store/lease.h"
#include "testing/fake_platform.h"
#include "testing/pausable.h"
#include "testing/virtual_time.h"

#include <catch2/catch.hpp>

using namespace cyclamenwind;
using namespace cyclamenwind::testing;

namespace {

constexpr Duration Term = 3s;

struct Process {
  Process(VirtualTime &Time, FakePlatform &Shared, Random &Rng, int Number)
      : Client(Shared), Body(Time, Client),
        Held(Body, Time, Body, Rng, "lease", "p" + std::to_string(Number),
             Term) {}

  FakePlatformClient Client;
  PausableProcess Body;
  Lease Held;
};

// Processes that contend for one lease, and what went wrong among them.
struct Contest {
  Contest(uint64_t Seed, int Count) : Rng(Seed), Shared(Time, Rng) {
    for (int I = 0; I < Count; ++I)
      add(I);
  }

  void add(int Number) {
    auto Made = std::make_unique<Process>(Time, Shared, Rng, Number);
    Made->Held.onGained([this, P = Made.get()] {
      Ordered = Ordered && P->Held.epoch() > LastEpoch;
      LastEpoch = P->Held.epoch();
    });
    Made->Held.start();
    Processes.push_back(std::move(Made));
  }

  int holders() const {
    int Count = 0;
    for (const auto &Each : Processes)
      Count += Each->Held.held(Time.now());
    return Count;
  }

  void run(Duration Span) {
    for (Duration OnDone{}; OnDone < Span; OnDone += 50ms) {
      Time.advance(50ms);
      Single = Single && holders() <= 1;
    }
  }

  VirtualTime Time;
  Random Rng;
  FakePlatform Shared;
  std::vector<std::unique_ptr<Process>> Processes;
  uint64_t LastEpoch = 0;
  bool Ordered = true;
  bool Single = true;
};

} // namespace

TEST_CASE("one of two holds the lease, and the other after its release") {
  Contest Run(1, 2);
  Run.run(2s);
  REQUIRE(Run.holders() == 1);
  Process &First =
      *Run.Processes[Run.Processes[0]->Held.held(Run.Time.now()) ? 0 : 1];
  First.Held.stop();
  Run.run(2 * Term);
  CHECK(Run.holders() == 1);
  CHECK_FALSE(First.Held.held(Run.Time.now()));
  CHECK((Run.Single && Run.Ordered));
}

TEST_CASE("a paused holder knows on resuming that the lease lapsed") {
  Contest Run(2, 1);
  Run.run(1s);
  REQUIRE(Run.holders() == 1);
  Process &First = *Run.Processes[0];
  uint64_t Before = First.Held.epoch();
  First.Body.pause();
  Run.add(1);
  Run.run(2 * Term);
  CHECK(Run.Processes[1]->Held.held(Run.Time.now()));
  CHECK(Run.Processes[1]->Held.epoch() > Before);
  CHECK_FALSE(First.Held.held(Run.Time.now()));
  First.Body.resume();
  Run.run(2 * Term);
  CHECK(Run.Processes[1]->Held.held(Run.Time.now()));
  CHECK((Run.Single && Run.Ordered));
}

TEST_CASE("a renewal whose answer is lost keeps the lease") {
  Contest Run(3, 1);
  Run.run(1s);
  uint64_t Before = Run.Processes[0]->Held.epoch();
  for (int I = 0; I < 10; ++I) {
    Run.Shared.LoseAnswers = 1;
    Run.run(1s);
  }
  CHECK(Run.holders() == 1);
  CHECK(Run.Processes[0]->Held.epoch() == Before);
}

TEST_CASE("never two holders, and one again after healing") {
  for (uint64_t Seed = 1; Seed <= 150; ++Seed) {
    Contest Run(Seed, 3);
    Run.Shared.Spread = 20;
    for (int Step = 0; Step < 40; ++Step) {
      Process &Chosen = *Run.Processes[Run.Rng.below(3)];
      switch (Run.Rng.below(7)) {
      case 0:
        Chosen.Body.pause();
        break;
      case 1:
        Chosen.Body.resume();
        break;
      case 2:
        Run.Shared.Outage = !Run.Shared.Outage;
        break;
      case 3:
        Run.Shared.LoseAnswers = 2;
        break;
      case 4:
        Run.Shared.Delay = Duration(2ms) * (1 + Run.Rng.below(100));
        break;
      case 5:
        Chosen.Held.stop();
        Chosen.Held.start();
        break;
      default:
        Chosen.Client.CutOff = !Chosen.Client.CutOff;
      }
      Run.run(Run.Rng.below(4) * 1s);
    }
    Run.Shared.Outage = false;
    Run.Shared.LoseAnswers = 0;
    Run.Shared.Delay = 2ms;
    for (const auto &Each : Run.Processes) {
      Each->Client.CutOff = false;
      Each->Body.resume();
    }
    Run.run(5 * Term);
    INFO("seed " << Seed);
    REQUIRE(Run.Single);
    REQUIRE(Run.Ordered);
    REQUIRE(Run.holders() == 1);
  }
}
