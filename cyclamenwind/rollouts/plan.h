// Plan: the steps of a move and how long each is held.
//
// The steps raise the share of calls that go to the new version. Routes whose
// calls may not be repeated reach each level after the others have passed it.
// Hold times are computed from the set time backwards: each step gets its part
// of the time that is left, and at least its shortest hold time.

#ifndef CYCLAMENWIND_ROLLOUTS_PLAN_H
#define CYCLAMENWIND_ROLLOUTS_PLAN_H

#include "cyclamenwind/document/document.h"

#include <vector>

namespace cyclamenwind {

struct RolloutStep {
  double Share = 0;              // Of calls on repeatable routes.
  double NonIdempotentShare = 0; // Of calls on the other routes.
  double Weight = 0;             // Part of the move's time, relative.

  bool operator==(const RolloutStep &) const = default;
};

using RolloutSteps = std::vector<RolloutStep>;

// A step with at most this share must see enough calls on each route before a
// larger one begins.
inline constexpr double SmallShare = 0.05;

// Shortest time in a step: daemons hear of it, calls end, evidence is summed.
inline constexpr Duration MinStepHold = 5s;

// Kept free before the set time for the recording of the outcome.
inline constexpr Duration DeadlineMargin = 10s;

// Steps for a service that has routes of the given kinds.
RolloutSteps planSteps(bool HasIdempotent, bool HasNonIdempotent);

// Steps for Service of Value.
RolloutSteps planSteps(const Document &Value, const std::string &Service);

// The least time from the acceptance of Move to its set time.
Duration minRolloutDuration(const RolloutSpec &Move, const RolloutSteps &Steps);

// How long the step at Index is held if it was entered at Entered.
Duration plannedHold(const RolloutSteps &Steps, size_t Index, WallTime Entered,
                     WallTime Deadline);

// Errors, with paths, for moves of Value that cannot be done by their set time.
// Moves that stand unchanged in Present are not checked again; Present may be
// null.
DocumentErrors checkRolloutDeadlines(const Document &Value,
                                     const Document *Present, WallTime Now);

} // namespace cyclamenwind

#endif
