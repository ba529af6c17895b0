#include "cyclamenwind/membership/detector.h"

#include <algorithm>

namespace cyclamenwind {
namespace {

// Timeouts of direct and indirect probes, multiplied by (1 + health score).
constexpr Duration DirectTimeout = 150ms;
constexpr Duration IndirectTimeout = 250ms;
// How long a helper waits for an ack before it sends its nack. Shorter than
// IndirectTimeout so that the nack arrives in time; not multiplied.
constexpr Duration HelperTimeout = 100ms;
constexpr size_t HelperCount = 3;
constexpr int MaxHealthScore = 8;
constexpr size_t MaxRelayedProbes = 256;

} // namespace

void FailureDetector::setTargets(const std::vector<ProbeTarget> &Targets,
                                 TimePoint Now) {
  std::map<std::string, ProbeState> NewStates;
  for (const ProbeTarget &Target : Targets) {
    auto Found = ProbeStates.find(Target.Id);
    if (Found != ProbeStates.end() &&
        Found->second.Target.Peer == Target.Peer) {
      NewStates[Target.Id] = Found->second;
      continue;
    }
    ProbeState &Added = NewStates[Target.Id];
    Added.Target = Target;
    Added.NextProbe =
        Now + Duration(static_cast<int64_t>(
                  Rng.below(static_cast<uint64_t>(ProbePeriod.count()) + 1)));
  }
  ProbeStates = std::move(NewStates);
}

DetectorActions FailureDetector::tick(TimePoint Now,
                                      const std::vector<Address> &Helpers) {
  DetectorActions Actions;
  for (auto &[Id, State] : ProbeStates) {
    if (State.Sequence == 0) {
      if (Now < State.NextProbe)
        continue;
      State.Sequence = ++LastSequence;
      State.SentAt = Now;
      State.Indirect = false;
      State.HelpersAsked = State.NacksReceived = 0;
      State.NextProbe = Now + Rng.jittered(ProbePeriod, 0.1);
      Actions.Probes.push_back({State.Target, State.Sequence});
      continue;
    }
    Duration Elapsed = Now - State.SentAt;
    if (!State.Indirect && Elapsed >= scaled(DirectTimeout))
      sendIndirectProbes(State, Helpers, Actions);
    else if (State.Indirect &&
             Elapsed >= scaled(DirectTimeout + IndirectTimeout))
      finishProbe(State, Actions);
  }
  for (auto Relayed = RelayedProbes.begin(); Relayed != RelayedProbes.end();) {
    if (Now < Relayed->second.Deadline) {
      ++Relayed;
      continue;
    }
    Actions.HelperResults.push_back(
        {Relayed->second.Requester, Relayed->second.Sequence, /*Acked=*/false});
    Relayed = RelayedProbes.erase(Relayed);
  }
  return Actions;
}

DetectorActions FailureDetector::probeRequested(const Address &Requester,
                                                int64_t Sequence,
                                                const ProbeTarget &Target,
                                                TimePoint Now) {
  DetectorActions Actions;
  if (RelayedProbes.size() >= MaxRelayedProbes)
    return Actions;
  int64_t OwnSequence = ++LastSequence;
  RelayedProbes[OwnSequence] = {Requester, Sequence, Now + HelperTimeout};
  Actions.Probes.push_back({Target, OwnSequence});
  return Actions;
}

DetectorActions FailureDetector::ackReceived(int64_t Sequence) {
  DetectorActions Actions;
  auto Relayed = RelayedProbes.find(Sequence);
  if (Relayed != RelayedProbes.end()) {
    Actions.HelperResults.push_back(
        {Relayed->second.Requester, Relayed->second.Sequence, /*Acked=*/true});
    RelayedProbes.erase(Relayed);
    return Actions;
  }
  for (auto &[Id, State] : ProbeStates) {
    if (State.Sequence != Sequence)
      continue;
    State.Sequence = 0;
    if (!State.Indirect)
      HealthScore = std::max(0, HealthScore - 1);
  }
  return Actions;
}

void FailureDetector::nackReceived(int64_t Sequence) {
  for (auto &[Id, State] : ProbeStates)
    if (State.Sequence == Sequence)
      ++State.NacksReceived;
}

void FailureDetector::resumedAfterPause(TimePoint Now) {
  raiseHealthScore();
  RelayedProbes.clear();
  for (auto &[Id, State] : ProbeStates) {
    State.Sequence = 0;
    State.NextProbe = Now;
  }
}

void FailureDetector::sendIndirectProbes(ProbeState &State,
                                         const std::vector<Address> &Helpers,
                                         DetectorActions &Actions) const {
  State.Indirect = true;
  for (const Address &Helper : Helpers) {
    if (State.HelpersAsked == static_cast<int>(HelperCount))
      return;
    if (Helper == State.Target.Peer)
      continue;
    ++State.HelpersAsked;
    Actions.Requests.push_back({Helper, State.Target, State.Sequence});
  }
}

// Without helpers, as in a fleet of two, the missing ack alone makes the target
// a suspect.
void FailureDetector::finishProbe(ProbeState &State, DetectorActions &Actions) {
  State.Sequence = 0;
  if (State.NacksReceived < State.HelpersAsked)
    raiseHealthScore();
  if (State.NacksReceived > 0 || State.HelpersAsked == 0)
    Actions.Suspects.push_back(State.Target.Id);
}

void FailureDetector::raiseHealthScore() {
  HealthScore = std::min(MaxHealthScore, HealthScore + 1);
}

} // namespace cyclamenwind
