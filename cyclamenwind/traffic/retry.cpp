#include "cyclamenwind/traffic/retry.h"

#include "cyclamenwind/base/names.h"

#include <algorithm>

namespace cyclamenwind {
namespace {

constexpr std::array<EnumName<RetryVerdict>, 5> VerdictNames = {{
    {RetryVerdict::Retry, "retry"},
    {RetryVerdict::NotIdempotent, "not_repeatable"},
    {RetryVerdict::DeadlinePassed, "deadline_passed"},
    {RetryVerdict::AttemptsSpent, "attempts_spent"},
    {RetryVerdict::BudgetSpent, "budget_spent"},
}};

} // namespace

std::string_view nameOf(RetryVerdict Verdict) {
  return nameIn(VerdictNames, Verdict);
}

void RetryPolicy::firstAttempt() {
  Elsewhere = std::min(Burst, Elsewhere + ElsewhereShare);
  Repeats = std::min(Burst, Repeats + RepeatShare);
}

RetryVerdict RetryPolicy::decide(const RetryState &State, CallOutcome Last,
                                 TimePoint Now) {
  bool MayHaveRun = Last == CallOutcome::Unknown;
  if (MayHaveRun && !State.Idempotent)
    return RetryVerdict::NotIdempotent;
  if (Now >= State.Deadline)
    return RetryVerdict::DeadlinePassed;
  if (State.Attempts >= MaxAttempts ||
      (MayHaveRun && State.UnknownAttempts >= MaxUnknownAttempts))
    return RetryVerdict::AttemptsSpent;
  double &Budget = MayHaveRun ? Repeats : Elsewhere;
  if (Budget < 1)
    return RetryVerdict::BudgetSpent;
  Budget -= 1;
  return RetryVerdict::Retry;
}

} // namespace cyclamenwind
