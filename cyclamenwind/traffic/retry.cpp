#include "cyclamenwind/traffic/retry.h"

#include "cyclamenwind/base/names.h"

#include <algorithm>

namespace cyclamenwind {
namespace {

constexpr std::array<EnumName<RetryDecision>, 5> DecisionNames = {{
    {RetryDecision::Retry, "retry"},
    {RetryDecision::NotIdempotent, "not_repeatable"},
    {RetryDecision::DeadlinePassed, "deadline_passed"},
    {RetryDecision::AttemptsSpent, "attempts_spent"},
    {RetryDecision::BudgetSpent, "budget_spent"},
}};

} // namespace

std::string_view nameOf(RetryDecision Decision) {
  return nameIn(DecisionNames, Decision);
}

void RetryPolicy::recordFirstAttempt() {
  RefusedBudget = std::min(Burst, RefusedBudget + RefusedRetryShare);
  UnknownBudget = std::min(Burst, UnknownBudget + UnknownRetryShare);
}

RetryDecision RetryPolicy::decide(const RetryState &State, CallOutcome Outcome,
                                  TimePoint Now) {
  bool MayHaveRun = Outcome == CallOutcome::Unknown;
  if (MayHaveRun && !State.Idempotent)
    return RetryDecision::NotIdempotent;
  if (Now >= State.Deadline)
    return RetryDecision::DeadlinePassed;
  if (State.Attempts >= MaxAttempts ||
      (MayHaveRun && State.UnknownAttempts >= MaxUnknownAttempts))
    return RetryDecision::AttemptsSpent;
  double &Budget = MayHaveRun ? UnknownBudget : RefusedBudget;
  if (Budget < 1)
    return RetryDecision::BudgetSpent;
  Budget -= 1;
  return RetryDecision::Retry;
}

} // namespace cyclamenwind
