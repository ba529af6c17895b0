#include "cyclamenwind/rollouts/plan.h"

#include <algorithm>

namespace cyclamenwind {
namespace {

struct Level {
  double Share;
  double Weight;
};

// The first level exposes versions that fail immediately. The second is held
// longest, because it needs enough calls on each route. Above one half the old
// version gets too few calls for a comparison.
constexpr Level Levels[] = {
    {0.01, 0.05}, {SmallShare, 0.5}, {0.2, 0.15}, {0.5, 0.15}, {0.75, 0.15}};

// Part of the time, relative to the steps' weights, that is reserved at the end
// for outages and lost leases.
constexpr double ReserveWeight = 0.1;

} // namespace

RolloutSteps planSteps(bool HasIdempotent, bool HasNonIdempotent) {
  RolloutSteps Steps;
  double PreviousShare = 0;
  for (const Level &Target : Levels) {
    if (!HasIdempotent || !HasNonIdempotent) {
      Steps.push_back({Target.Share, Target.Share, Target.Weight});
      continue;
    }
    Steps.push_back({Target.Share, PreviousShare, Target.Weight / 2});
    PreviousShare = Target.Share;
    Steps.push_back({Target.Share, Target.Share, Target.Weight / 2});
  }
  return Steps;
}

RolloutSteps planSteps(const Document &Doc, const std::string &Service) {
  bool HasIdempotent = false;
  bool HasNonIdempotent = false;
  for (const RouteSpec &Route : Doc.Routes)
    if (Route.Service == Service)
      (Route.Idempotent ? HasIdempotent : HasNonIdempotent) = true;
  return planSteps(HasIdempotent, HasNonIdempotent);
}

Duration minRolloutDuration(const RolloutSpec &Spec,
                            const RolloutSteps &Steps) {
  // One more hold after the steps: in RolloutPhase::Holding all calls go to the
  // new version.
  return Spec.SlowStart + MinStepHold * static_cast<int>(Steps.size() + 1) +
         DeadlineMargin;
}

Duration plannedHold(const RolloutSteps &Steps, size_t Index, WallTime Entered,
                     WallTime Deadline) {
  double RemainingWeight = ReserveWeight;
  for (size_t I = Index; I < Steps.size(); ++I)
    RemainingWeight += Steps[I].Weight;
  Duration Remaining =
      std::chrono::duration_cast<Duration>(Deadline - Entered) -
      DeadlineMargin - MinStepHold;
  double Fraction = Steps[Index].Weight / RemainingWeight;
  Duration Hold(
      static_cast<int64_t>(static_cast<double>(Remaining.count()) * Fraction));
  return std::max(Hold, MinStepHold);
}

DocumentErrors checkRolloutDeadlines(const Document &Doc,
                                     const Document *Current, WallTime Now) {
  DocumentErrors Errors;
  for (size_t I = 0; I < Doc.Rollouts.size(); ++I) {
    const RolloutSpec &Spec = Doc.Rollouts[I];
    if (Current != nullptr &&
        std::find(Current->Rollouts.begin(), Current->Rollouts.end(), Spec) !=
            Current->Rollouts.end())
      continue;
    Duration MinDuration =
        minRolloutDuration(Spec, planSteps(Doc, Spec.Service));
    if (Spec.Deadline - Now >= MinDuration)
      continue;
    WallTime Earliest = Now + MinDuration;
    Errors.push_back({"/moves/" + std::to_string(I) + "/done_by",
                      "is too soon: the steps need " +
                          std::to_string(milliseconds(MinDuration) / 1000) +
                          " s, so " + formatWallTime(Earliest) +
                          " is the earliest"});
  }
  return Errors;
}

} // namespace cyclamenwind
