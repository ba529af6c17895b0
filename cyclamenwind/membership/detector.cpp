#include "cyclamenwind/membership/detector.h"

#include <algorithm>

namespace cyclamenwind {
namespace {

// All but the probe period are multiplied by the health score plus one.
constexpr Duration DirectTimeout = 150ms;
constexpr Duration IndirectTimeout = 250ms;
// How long a helper waits for an ack; leaves time for its nack to arrive.
constexpr Duration RelayTimeout = 100ms;
constexpr size_t HelperCount = 3;
constexpr int MaxScore = 8;
constexpr size_t MaxRelays = 256;

} // namespace

void FailureDetector::watch(const std::vector<ProbeTarget> &Targets,
                            TimePoint Now) {
  std::map<std::string, Watch> Kept;
  for (const ProbeTarget &Each : Targets) {
    auto Found = Watches.find(Each.Id);
    if (Found != Watches.end() && Found->second.Target.Peer == Each.Peer) {
      Kept[Each.Id] = Found->second;
      continue;
    }
    Watch &Added = Kept[Each.Id];
    Added.Target = Each;
    Added.NextProbe =
        Now + Duration(static_cast<int64_t>(
                  Rng.below(static_cast<uint64_t>(ProbePeriod.count()) + 1)));
  }
  Watches = std::move(Kept);
}

DetectorActions FailureDetector::tick(TimePoint Now,
                                      const std::vector<Address> &Helpers) {
  DetectorActions Actions;
  for (auto &[Id, Each] : Watches) {
    if (Each.Sequence == 0) {
      if (Now < Each.NextProbe)
        continue;
      Each.Sequence = ++LastSequence;
      Each.Sent = Now;
      Each.Indirect = false;
      Each.Asked = Each.Nacks = 0;
      Each.NextProbe = Now + Rng.jittered(ProbePeriod, 0.1);
      Actions.Probes.push_back({Each.Target, Each.Sequence});
      continue;
    }
    Duration Waited = Now - Each.Sent;
    if (!Each.Indirect && Waited >= scaled(DirectTimeout))
      askHelpers(Each, Helpers, Actions);
    else if (Each.Indirect && Waited >= scaled(DirectTimeout + IndirectTimeout))
      conclude(Each, Actions);
  }
  for (auto Each = Relays.begin(); Each != Relays.end();) {
    if (Now < Each->second.Until) {
      ++Each;
      continue;
    }
    Actions.Answers.push_back(
        {Each->second.From, Each->second.Sequence, /*Acked=*/false});
    Each = Relays.erase(Each);
  }
  return Actions;
}

DetectorActions FailureDetector::requested(const Address &From,
                                           int64_t Sequence,
                                           const ProbeTarget &Target,
                                           TimePoint Now) {
  DetectorActions Actions;
  if (Relays.size() >= MaxRelays)
    return Actions;
  int64_t Own = ++LastSequence;
  Relays[Own] = {From, Sequence, Now + RelayTimeout};
  Actions.Probes.push_back({Target, Own});
  return Actions;
}

DetectorActions FailureDetector::acked(int64_t Sequence) {
  DetectorActions Actions;
  auto Helped = Relays.find(Sequence);
  if (Helped != Relays.end()) {
    Actions.Answers.push_back(
        {Helped->second.From, Helped->second.Sequence, /*Acked=*/true});
    Relays.erase(Helped);
    return Actions;
  }
  for (auto &[Id, Each] : Watches) {
    if (Each.Sequence != Sequence)
      continue;
    Each.Sequence = 0;
    if (!Each.Indirect)
      Score = std::max(0, Score - 1);
  }
  return Actions;
}

void FailureDetector::nacked(int64_t Sequence) {
  for (auto &[Id, Each] : Watches)
    if (Each.Sequence == Sequence)
      ++Each.Nacks;
}

void FailureDetector::resumed(TimePoint Now) {
  lowerHealth();
  Relays.clear();
  for (auto &[Id, Each] : Watches) {
    Each.Sequence = 0;
    Each.NextProbe = Now;
  }
}

void FailureDetector::askHelpers(Watch &Late,
                                 const std::vector<Address> &Helpers,
                                 DetectorActions &Actions) const {
  Late.Indirect = true;
  for (const Address &Each : Helpers) {
    if (Late.Asked == static_cast<int>(HelperCount))
      return;
    if (Each == Late.Target.Peer)
      continue;
    ++Late.Asked;
    Actions.Requests.push_back({Each, Late.Target, Late.Sequence});
  }
}

// Without helpers, in a fleet of two, the missing ack alone decides.
void FailureDetector::conclude(Watch &Silent, DetectorActions &Actions) {
  Silent.Sequence = 0;
  if (Silent.Nacks < Silent.Asked)
    lowerHealth();
  if (Silent.Nacks > 0 || Silent.Asked == 0)
    Actions.Accused.push_back(Silent.Target.Id);
}

void FailureDetector::lowerHealth() { Score = std::min(MaxScore, Score + 1); }

} // namespace cyclamenwind
