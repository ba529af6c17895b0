#include "cyclamenwind/mesh/retry_budget.h"

#include <catch2/catch.hpp>

using namespace cyclamenwind;
using namespace cyclamenwind::literals;

namespace {

constexpr size_t Daemons = 16;
const TimePoint Start = TimePoint(1000s);

RetryBudget makeAllowance() { return RetryBudget({0.2, 56, 10s}); }

// Repeats granted out of Wanted.
int granted(RetryBudget &Allowance, bool Ran, int Wanted, TimePoint Now) {
  int Count = 0;
  for (int I = 0; I < Wanted; ++I)
    Count += Allowance.takeRepeat("quote", Ran, Daemons, Now) ? 1 : 0;
  return Count;
}

} // namespace

TEST_CASE("repeats stay below their part of the first requests") {
  RetryBudget Allowance = makeAllowance();
  for (int I = 0; I < 500; ++I)
    Allowance.countFirst("quote", Start);
  int Count = granted(Allowance, false, 500, Start);
  CHECK(Count > 0);
  CHECK(Count <= (0.2 * 500 + 56.0 / Daemons) / 2);
}

TEST_CASE("a service without requests has only its share of the extra") {
  RetryBudget Allowance = makeAllowance();
  CHECK(granted(Allowance, false, 100, Start) <= 56 / int(Daemons));
}

// All servers of a service shed: each basket request that calls it fails, is
// run again elsewhere, and makes its two calls again.
TEST_CASE("shedding callee: repeats of callers and their calls keep to the "
          "allowance of the callee") {
  RetryBudget Allowance = makeAllowance();
  const int Callers = 250;
  const int CallsEach = 2;
  const int Own = 280;
  int Requests = 0;
  int Repeats = 0;
  for (int Second = 0; Second < 10; ++Second) {
    TimePoint Now = Start + std::chrono::seconds(Second);
    for (int I = 0; I < Callers / 10; ++I)
      Allowance.countFirst("basket", Now);
    int RunAgain = 0;
    for (int I = 0; I < Callers / 10; ++I)
      RunAgain += Allowance.takeRepeat("basket", true, Daemons, Now) ? 1 : 0;
    int Calls = Own / 10 + CallsEach * Callers / 10;
    for (int I = 0; I < Calls; ++I)
      Allowance.countFirst("quote", Now);
    Requests += Calls;
    Repeats += CallsEach * RunAgain + granted(Allowance, false, Calls, Now);
  }
  CHECK(Repeats <= 0.2 * Requests + 56.0 / Daemons);
}

TEST_CASE("the window forgets what is older than its length") {
  RetryBudget Allowance = makeAllowance();
  for (int I = 0; I < 500; ++I)
    Allowance.countFirst("quote", Start);
  int Before = granted(Allowance, false, 500, Start);
  CHECK(granted(Allowance, false, 500, Start + 4s) == 0);
  int Later = granted(Allowance, false, 500, Start + 11s);
  CHECK(Later < Before);
  CHECK(Later <= 56 / int(Daemons));
}
