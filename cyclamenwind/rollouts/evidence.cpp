#include "cyclamenwind/rollouts/evidence.h"

namespace cyclamenwind {
namespace {

constexpr int FirstErrorStatus = 500;

bool isError(const AttemptOutcome &Outcome) {
  return Outcome.End == CallOutcome::Unknown ||
         Outcome.Status >= FirstErrorStatus;
}

} // namespace

void SideCounts::add(const SideCounts &Other) {
  Calls += Other.Calls;
  Errors += Other.Errors;
  Latencies.add(Other.Latencies);
}

void addEvidence(Evidence &Total, const Evidence &Added) {
  for (const auto &[Key, Counts] : Added)
    Total[Key].add(Counts);
}

bool isEvidence(const AttemptOutcome &Outcome) {
  return Outcome.End != CallOutcome::Refused &&
         Outcome.Reason != CallReason::Cancelled;
}

void addOutcome(Evidence &Total, const AttemptOutcome &Outcome, bool OnNew,
                bool InSlowStart) {
  if (!isEvidence(Outcome))
    return;
  EvidenceKey Key = {Outcome.Route, OnNew, OnNew ? Outcome.MemberId : ""};
  SideCounts &Counts = Total[Key];
  ++Counts.Calls;
  if (isError(Outcome))
    ++Counts.Errors;
  if (!InSlowStart)
    Counts.Latencies.add(Outcome.Latency);
}

} // namespace cyclamenwind
