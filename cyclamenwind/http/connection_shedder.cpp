#include "cyclamenwind/http/connection_shedder.h"

namespace cyclamenwind {
namespace {

using Phase = ShedCandidate::Phase;

// A connection that was used this recently is not idle: its caller may be about
// to send the next request.
constexpr Duration MinIdle = 200ms;

bool isStalled(const ShedCandidate &Candidate) {
  return (Candidate.State == Phase::Reading ||
          Candidate.State == Phase::Sending) &&
         Candidate.StalledFor > ProgressPeriod;
}

} // namespace

std::optional<size_t>
chooseForMemory(const std::vector<ShedCandidate> &Candidates) {
  std::optional<size_t> Best;
  double BestWeight = 0;
  for (size_t Index = 0; Index < Candidates.size(); ++Index) {
    const ShedCandidate &Candidate = Candidates[Index];
    double Weight = static_cast<double>(Candidate.Held) *
                    static_cast<double>(Candidate.StalledFor.count());
    if (!isStalled(Candidate) || Weight <= BestWeight)
      continue;
    Best = Index;
    BestWeight = Weight;
  }
  return Best;
}

std::optional<size_t>
chooseForNewConnection(const std::vector<ShedCandidate> &Candidates) {
  std::optional<size_t> Idle;
  std::optional<size_t> Stalled;
  for (size_t Index = 0; Index < Candidates.size(); ++Index) {
    const ShedCandidate &Candidate = Candidates[Index];
    bool IsIdle =
        Candidate.State == Phase::Idle && Candidate.StalledFor > MinIdle;
    if (!IsIdle && !isStalled(Candidate))
      continue;
    std::optional<size_t> &Best = IsIdle ? Idle : Stalled;
    if (!Best || Candidate.StalledFor > Candidates[*Best].StalledFor)
      Best = Index;
  }
  return Idle ? Idle : Stalled;
}

ShedCause causeOf(ShedCandidate::Phase State) {
  switch (State) {
  case Phase::Idle:
    return ShedCause::Idle;
  case Phase::Sending:
    return ShedCause::UnreadResponse;
  default:
    return ShedCause::Stalled;
  }
}

} // namespace cyclamenwind
