// RetryPolicy: whether a failed attempt of a call is retried.
//
// An attempt refused before execution may be retried on another server, on any
// route. An attempt with an unknown outcome may have run, and is retried only
// on an idempotent route. Each of the two kinds draws on a retry budget of its
// own, which the first attempts of this daemon's calls refill, so that retries
// stay a bounded share of the load.
//
// Only attempts that may have run cause nested calls to further services, so
// only UnknownRetryShare multiplies along a chain of calls: at six levels the
// factor (1 + UnknownRetryShare)^6 stays below two.
//
// Does no I/O and reads no clock: callers pass the current time.

#ifndef CYCLAMENWIND_TRAFFIC_RETRY_H
#define CYCLAMENWIND_TRAFFIC_RETRY_H

#include "cyclamenwind/base/time.h"
#include "cyclamenwind/traffic/call_outcome.h"

namespace cyclamenwind {

enum class RetryDecision {
  Retry,
  NotIdempotent,  // The request may have run, and must run only once.
  DeadlinePassed, // The deadline of the call has passed.
  AttemptsSpent,  // The call has reached its limit of attempts.
  BudgetSpent,    // The retry budget for this kind of attempt is empty.
};

std::string_view nameOf(RetryDecision Decision);

// State of a call that the decision depends on.
struct RetryState {
  int Attempts = 0;
  int UnknownAttempts = 0;
  bool Idempotent = false;
  TimePoint Deadline;
};

class RetryPolicy {
public:
  // Long-term retries per first attempt.
  static constexpr double RefusedRetryShare = 0.5; // After a refused attempt.
  static constexpr double UnknownRetryShare = 0.1; // After an unknown outcome.
  // Capacity of each budget: retries that may follow at once.
  static constexpr double Burst = 20;
  static constexpr int MaxAttempts = 4;
  static constexpr int MaxUnknownAttempts = 2;

  // Counts the first attempt of a call, which refills both budgets.
  void recordFirstAttempt();

  // Decides after an attempt that ended with Outcome; the decision Retry takes
  // 1 from the budget.
  RetryDecision decide(const RetryState &State, CallOutcome Outcome,
                       TimePoint Now);

private:
  double RefusedBudget = Burst;
  double UnknownBudget = Burst;
};

} // namespace cyclamenwind

#endif
