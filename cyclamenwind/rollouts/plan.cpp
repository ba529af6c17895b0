#include "cyclamenwind/rollouts/plan.h"

#include <algorithm>

namespace cyclamenwind {
namespace {

struct Level {
  double Share;
  double Weight;
};

// The first level meets versions that fail at once; the second is held longest,
// because it must see enough calls on each route; above one half the old
// version's calls become too few to compare with.
constexpr Level Levels[] = {
    {0.01, 0.05}, {SmallShare, 0.5}, {0.2, 0.15}, {0.5, 0.15}, {0.75, 0.15}};

// Part of the time, relative to the steps' weights, that is kept free at the
// end for outages and lost leases.
constexpr double ReserveWeight = 0.1;

} // namespace

RolloutSteps planSteps(bool HasIdempotent, bool HasNonIdempotent) {
  RolloutSteps Steps;
  double Reached = 0;
  for (const Level &Each : Levels) {
    if (!HasIdempotent || !HasNonIdempotent) {
      Steps.push_back({Each.Share, Each.Share, Each.Weight});
      continue;
    }
    Steps.push_back({Each.Share, Reached, Each.Weight / 2});
    Reached = Each.Share;
    Steps.push_back({Each.Share, Each.Share, Each.Weight / 2});
  }
  return Steps;
}

RolloutSteps planSteps(const Document &Value, const std::string &Service) {
  bool HasIdempotent = false;
  bool HasNonIdempotent = false;
  for (const RouteSpec &Each : Value.Routes)
    if (Each.Service == Service)
      (Each.Idempotent ? HasIdempotent : HasNonIdempotent) = true;
  return planSteps(HasIdempotent, HasNonIdempotent);
}

Duration minRolloutDuration(const RolloutSpec &Move,
                            const RolloutSteps &Steps) {
  // One more hold for the last state, in which all calls go to the new version.
  return Move.SlowStart + MinStepHold * static_cast<int>(Steps.size() + 1) +
         DeadlineMargin;
}

Duration plannedHold(const RolloutSteps &Steps, size_t Index, WallTime Entered,
                     WallTime Deadline) {
  double Later = ReserveWeight;
  for (size_t I = Index; I < Steps.size(); ++I)
    Later += Steps[I].Weight;
  Duration Left = std::chrono::duration_cast<Duration>(Deadline - Entered) -
                  DeadlineMargin - MinStepHold;
  double Part = Steps[Index].Weight / Later;
  Duration Hold(static_cast<int64_t>(static_cast<double>(Left.count()) * Part));
  return std::max(Hold, MinStepHold);
}

DocumentErrors checkRolloutDeadlines(const Document &Value,
                                     const Document *Present, WallTime Now) {
  DocumentErrors Errors;
  for (size_t I = 0; I < Value.Rollouts.size(); ++I) {
    const RolloutSpec &Move = Value.Rollouts[I];
    if (Present != nullptr &&
        std::find(Present->Rollouts.begin(), Present->Rollouts.end(), Move) !=
            Present->Rollouts.end())
      continue;
    Duration Least = minRolloutDuration(Move, planSteps(Value, Move.Service));
    if (Move.Deadline - Now >= Least)
      continue;
    WallTime Earliest = Now + Least;
    Errors.push_back({"/moves/" + std::to_string(I) + "/done_by",
                      "is too soon: the steps need " +
                          std::to_string(milliseconds(Least) / 1000) +
                          " s, so " + formatWallTime(Earliest) +
                          " is the earliest"});
  }
  return Errors;
}

} // namespace cyclamenwind
