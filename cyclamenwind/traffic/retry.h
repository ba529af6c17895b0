// RetryPolicy: whether a call whose attempt failed is tried again.
//
// A refused attempt was not run and may be tried elsewhere, whatever the route.
// An attempt of unknown end may have run; only a repeatable route allows
// another. Both draw on budgets that first attempts of this daemon fill, so
// that retries stay a bounded share of the load. Only attempts that may have
// run cause calls further down, so their share is the one that nested calls
// multiply: at six levels (1 + RepeatShare)^6 stays below two. This is pure
// deciding code.

#ifndef CYCLAMENWIND_TRAFFIC_RETRY_H
#define CYCLAMENWIND_TRAFFIC_RETRY_H

#include "cyclamenwind/base/time.h"
#include "cyclamenwind/traffic/call_outcome.h"

namespace cyclamenwind {

enum class RetryVerdict {
  Retry,
  NotIdempotent,  // The request may have run, and may run only once.
  DeadlinePassed, // No time is left.
  AttemptsSpent,  // The call has had its number of attempts.
  BudgetSpent,    // The daemon's retries are a large enough share already.
};

std::string_view nameOf(RetryVerdict Verdict);

// What the policy needs to know of a call.
struct RetryState {
  int Attempts = 0;
  int UnknownAttempts = 0;
  bool Idempotent = false;
  TimePoint Deadline;
};

class RetryPolicy {
public:
  // Retries per first attempt in the long run.
  static constexpr double ElsewhereShare = 0.5; // After a refused attempt.
  static constexpr double RepeatShare = 0.1;    // After one of unknown end.
  // Retries that may come at once.
  static constexpr double Burst = 20;
  static constexpr int MaxAttempts = 4;
  static constexpr int MaxUnknownAttempts = 2;

  // Counts the first attempt of a call.
  void firstAttempt();

  // Decides after an attempt that ended with Last; a Retry is paid for.
  RetryVerdict decide(const RetryState &State, CallOutcome Last, TimePoint Now);

private:
  double Elsewhere = Burst;
  double Repeats = Burst;
};

} // namespace cyclamenwind

#endif
