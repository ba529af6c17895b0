#include "cyclamenwind/mesh/retry_budget.h"

#include <catch2/catch.hpp>

using namespace cyclamenwind;
using namespace cyclamenwind::literals;

namespace {

constexpr size_t Daemons = 16;
const TimePoint Start = TimePoint(1000s);

RetryBudget makeBudget() { return RetryBudget({0.2, 56, 10s}); }

// Number of retries granted out of Wanted.
int granted(RetryBudget &Budget, bool Executed, int Wanted, TimePoint Now) {
  int Count = 0;
  for (int I = 0; I < Wanted; ++I)
    Count += Budget.takeRetry("quote", Executed, Daemons, Now) ? 1 : 0;
  return Count;
}

} // namespace

TEST_CASE("retries stay below their share of the first attempts") {
  RetryBudget Budget = makeBudget();
  for (int I = 0; I < 500; ++I)
    Budget.countFirstAttempt("quote", Start);
  int Count = granted(Budget, false, 500, Start);
  CHECK(Count > 0);
  CHECK(Count <= (0.2 * 500 + 56.0 / Daemons) / 2);
}

TEST_CASE("a service without requests gets only its share of Extra") {
  RetryBudget Budget = makeBudget();
  CHECK(granted(Budget, false, 100, Start) <= 56 / int(Daemons));
}

// All servers of "quote" shed their requests. Each "basket" request that calls
// it therefore fails, is retried on another server and repeats its two nested
// calls.
TEST_CASE("shedding callee: retries of callers and their nested calls stay "
          "within the budget of the callee") {
  RetryBudget Budget = makeBudget();
  const int Callers = 250;
  const int CallsPerRequest = 2;
  const int DirectCalls = 280;
  int Requests = 0;
  int Retries = 0;
  for (int Second = 0; Second < 10; ++Second) {
    TimePoint Now = Start + std::chrono::seconds(Second);
    for (int I = 0; I < Callers / 10; ++I)
      Budget.countFirstAttempt("basket", Now);
    int CallerRetries = 0;
    for (int I = 0; I < Callers / 10; ++I)
      CallerRetries += Budget.takeRetry("basket", true, Daemons, Now) ? 1 : 0;
    int Calls = DirectCalls / 10 + CallsPerRequest * Callers / 10;
    for (int I = 0; I < Calls; ++I)
      Budget.countFirstAttempt("quote", Now);
    Requests += Calls;
    Retries +=
        CallsPerRequest * CallerRetries + granted(Budget, false, Calls, Now);
  }
  CHECK(Retries <= 0.2 * Requests + 56.0 / Daemons);
}

TEST_CASE("counts older than the window are dropped") {
  RetryBudget Budget = makeBudget();
  for (int I = 0; I < 500; ++I)
    Budget.countFirstAttempt("quote", Start);
  int Earlier = granted(Budget, false, 500, Start);
  CHECK(granted(Budget, false, 500, Start + 4s) == 0);
  int Later = granted(Budget, false, 500, Start + 11s);
  CHECK(Later < Earlier);
  CHECK(Later <= 56 / int(Daemons));
}
