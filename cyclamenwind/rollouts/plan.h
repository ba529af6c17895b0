// The steps of a rollout and how long each is held.
//
// The steps raise the share of calls that go to the new version. Non-idempotent
// routes reach each share one step after the idempotent routes. Hold times are
// computed backwards from the deadline: each step gets its part of the
// remaining time, and at least MinStepHold.

#ifndef CYCLAMENWIND_ROLLOUTS_PLAN_H
#define CYCLAMENWIND_ROLLOUTS_PLAN_H

#include "cyclamenwind/document/document.h"

#include <vector>

namespace cyclamenwind {

struct RolloutStep {
  double Share = 0;              // Of calls on idempotent routes.
  double NonIdempotentShare = 0; // Of calls on the other routes.
  double Weight = 0;             // Part of the rollout's time, relative.

  bool operator==(const RolloutStep &) const = default;
};

using RolloutSteps = std::vector<RolloutStep>;

// A step with at most this share needs enough calls on each route before a step
// with a larger share begins.
inline constexpr double SmallShare = 0.05;

// Shortest time in a step: daemons must receive the record, calls must end, and
// evidence must be summed.
inline constexpr Duration MinStepHold = 5s;

// Reserved before the deadline for writing the outcome.
inline constexpr Duration DeadlineMargin = 10s;

// Steps for a service with idempotent routes, non-idempotent routes or both.
RolloutSteps planSteps(bool HasIdempotent, bool HasNonIdempotent);

// Steps for Service in Doc.
RolloutSteps planSteps(const Document &Doc, const std::string &Service);

// Minimum time from the acceptance of a rollout to its deadline.
Duration minRolloutDuration(const RolloutSpec &Spec, const RolloutSteps &Steps);

// How long the step at Index is held if it began at Entered.
Duration plannedHold(const RolloutSteps &Steps, size_t Index, WallTime Entered,
                     WallTime Deadline);

// Errors, with paths, for rollouts in Doc that cannot finish by their deadline.
// Rollouts that are in Current unchanged are not checked; Current may be null.
DocumentErrors checkRolloutDeadlines(const Document &Doc,
                                     const Document *Current, WallTime Now);

} // namespace cyclamenwind

#endif
