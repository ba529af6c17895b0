#include "cyclamenwind/rollouts/canary_analyzer.h"

#include "cyclamenwind/rollouts/power.h"

#include <algorithm>
#include <cmath>

namespace cyclamenwind {
namespace {

// Calls of both versions that a block has at least.
constexpr uint64_t MinBlockCalls = 8;
// Calls of the old version after which its past is halved, so that it follows
// changes of load.
constexpr double MaxBaselineCalls = 4000;
// The error rate of an old version of which nothing is known, and how many
// calls that counts for.
constexpr double PriorErrorRate = 0.005;
constexpr double PriorCalls = 100;
// Latencies of the old version without which latency is not judged.
constexpr uint64_t MinBaselineLatencies = 50;
// Increases of the share of slow calls that the latency test is built on.
constexpr double SmallSlowIncrease = 0.15;
constexpr double LargeSlowIncrease = 0.45;
// The larger increase of errors that the test is built on, as a multiple of the
// least one that is looked for.
constexpr double LargeErrorFactor = 6;
// Looks at an estimate that grows are alike; they count as this many.
constexpr double IndependentLooks = 5;
constexpr double MinRate = 0.01;
constexpr double MaxRate = 0.97;
// One test of errors and one of latency for each route and for the service.
constexpr double MeasuresTested = 2;

} // namespace

void TestGroup::add(const LogFactors &All,
                    const std::map<std::string, LogFactors> &Without,
                    double Weight) {
  for (const auto &[Server, Factors] : Without)
    if (Reduced.size() < MaxServers)
      Reduced.try_emplace(Server, Whole);
  Whole.add(All, Weight);
  for (auto &[Server, Test] : Reduced) {
    auto Own = Without.find(Server);
    Test.add(Own == Without.end() ? All : Own->second, Weight);
  }
}

double TestGroup::logEvidence() const {
  double Least = Whole.logEvidence();
  if (Reduced.size() < 2)
    return Least;
  for (const auto &[Server, Test] : Reduced)
    Least = std::min(Least, Test.logEvidence());
  return Least;
}

SideCounts CanaryAnalyzer::Block::newTotal() const {
  SideCounts Sum;
  for (const auto &[Server, Counts] : New)
    Sum.add(Counts);
  return Sum;
}

double CanaryAnalyzer::Baseline::errorRate() const {
  return (Errors + PriorErrorRate * PriorCalls) / (Calls + PriorCalls);
}

void CanaryAnalyzer::Baseline::add(const SideCounts &Old) {
  constexpr double Half = 0.5;
  Calls += static_cast<double>(Old.Calls);
  Errors += static_cast<double>(Old.Errors);
  Latencies.add(Old.Latencies);
  if (Calls > MaxBaselineCalls) {
    Calls *= Half;
    Errors *= Half;
    Latencies.fade(Half);
  }
}

void CanaryAnalyzer::Factors::add(const Factors &Other) {
  for (const auto &[Server, Reduced] : Other.Without)
    Without.try_emplace(Server, All);
  for (auto &[Server, Sum] : Without) {
    auto Own = Other.Without.find(Server);
    const auto &Added = Own == Other.Without.end() ? Other.All : Own->second;
    for (size_t I = 0; I < Sum.size(); ++I)
      Sum[I] += Added[I];
  }
  for (size_t I = 0; I < All.size(); ++I)
    All[I] += Other.All[I];
}

CanaryAnalyzer::CanaryAnalyzer(const RolloutSpec &Spec,
                               std::vector<RouteSpec> Routes, WallTime Begun)
    : Spec(Spec), MissDeviations(normalQuantile(Spec.MissRate)),
      LookDeviations(normalQuantile(Spec.MissRate / IndependentLooks)),
      RouteSpecs(std::move(Routes)), Begun(Begun), LastJudged(Begun) {}

void CanaryAnalyzer::add(const Evidence &Added) {
  for (const auto &[Key, Counts] : Added) {
    auto [Place, IsNew] = Routes.try_emplace(Key.Route);
    RouteState &State = Place->second;
    if (IsNew)
      State.LastBlock = LastJudged;
    if (!Key.OnNew) {
      State.Open.Old.add(Counts);
      continue;
    }
    State.Open.New[Key.Server].add(Counts);
    Servers.insert(Key.Server);
    State.NewCalls += Counts.Calls;
    CallsInStep += Counts.Calls;
  }
}

void CanaryAnalyzer::judge(WallTime Now) {
  for (auto &[Route, State] : Routes)
    closeBlock(Route, State, Now);
  double Weight = weightSince(LastJudged, Now);
  ServiceErrors.add(ErrorFactors.All, ErrorFactors.Without, Weight);
  ServiceLatency.add(LatencyFactors.All, LatencyFactors.Without, Weight);
  ErrorFactors = {};
  LatencyFactors = {};
  LastJudged = Now;
  check(ServiceErrors, RolloutReason::Errors, "all routes");
  check(ServiceLatency, RolloutReason::Latency, "all routes");
}

void CanaryAnalyzer::closeBlock(const std::string &Route, RouteState &State,
                                WallTime Now) {
  SideCounts New = State.Open.newTotal();
  const SideCounts &Old = State.Open.Old;
  if (New.Calls == 0) {
    // Nothing to compare: the old version's calls only add to its past.
    State.Past.add(Old);
    State.Open = {};
    return;
  }
  if (Old.Calls == 0 || New.Calls + Old.Calls < MinBlockCalls)
    return;
  double Weight = weightSince(State.LastBlock, Now);
  Measurement Failed = errorMeasurement(State.Past);
  State.ErrorDifference.add(Failed.Read(New), Failed.Read(Old));
  ErrorDifferenceInStep.add(Failed.Read(New), Failed.Read(Old));
  Factors Errors = factorsOf(State.Open, Failed);
  State.Errors.add(Errors.All, Errors.Without, Weight);
  ErrorFactors.add(Errors);
  if (std::optional<Measurement> Slow = latencyMeasurement(State.Past)) {
    Factors Latency = factorsOf(State.Open, *Slow);
    State.Latency.add(Latency.All, Latency.Without, Weight);
    LatencyFactors.add(Latency);
  }
  State.Past.add(Old);
  State.Open = {};
  State.LastBlock = Now;
  check(State.Errors, RolloutReason::Errors, Route);
  check(State.Latency, RolloutReason::Latency, Route);
}

CanaryAnalyzer::Factors CanaryAnalyzer::factorsOf(const Block &Closed,
                                                  const Measurement &How) {
  SideBlock Old = How.Read(Closed.Old);
  SideBlock New = How.Read(Closed.newTotal());
  auto Compute = [&](const SideBlock &Side) {
    SequentialTest::LogFactors Result{};
    for (size_t I = 0; I < Result.size(); ++I)
      Result[I] = blockEvidence(Side, Old, How.NewRates[I], How.OldRate);
    return Result;
  };
  Factors Result;
  Result.All = Compute(New);
  for (const auto &[Server, Counts] : Closed.New) {
    SideBlock Own = How.Read(Counts);
    Result.Without[Server] =
        Compute({New.Calls - Own.Calls, New.Hits - Own.Hits});
  }
  return Result;
}

CanaryAnalyzer::Measurement
CanaryAnalyzer::errorMeasurement(const Baseline &Past) const {
  Measurement How;
  How.Read = [](const SideCounts &Side) {
    return SideBlock{static_cast<double>(Side.Calls),
                     static_cast<double>(Side.Errors)};
  };
  How.OldRate = Past.errorRate();
  double Large = LargeErrorFactor * Spec.MaxErrorIncrease;
  How.NewRates = {std::min(How.OldRate + Spec.MaxErrorIncrease, MaxRate),
                  std::min(How.OldRate + Large, MaxRate)};
  return How;
}

std::optional<CanaryAnalyzer::Measurement>
CanaryAnalyzer::latencyMeasurement(const Baseline &Past) const {
  uint64_t Known = Past.Latencies.total();
  if (Known < MinBaselineLatencies)
    return std::nullopt;
  double Octaves = std::log2(Spec.MaxLatencyFactor) / 2;
  auto Above = static_cast<size_t>(
      std::ceil(Octaves * LatencyHistogram::BucketsPerOctave));
  size_t First = std::min(Past.Latencies.medianBucket() + Above,
                          LatencyHistogram::BucketCount - 1);
  Measurement How;
  How.Read = [First](const SideCounts &Side) {
    return SideBlock{static_cast<double>(Side.Latencies.total()),
                     static_cast<double>(Side.Latencies.countFrom(First))};
  };
  double Slow = static_cast<double>(Past.Latencies.countFrom(First));
  How.OldRate = std::clamp(Slow / static_cast<double>(Known), MinRate,
                           MaxRate - SmallSlowIncrease);
  How.NewRates = {How.OldRate + SmallSlowIncrease,
                  std::min(How.OldRate + LargeSlowIncrease, MaxRate)};
  return How;
}

double CanaryAnalyzer::weightSince(WallTime Last, WallTime Now) const {
  double Whole = static_cast<double>((Spec.Deadline - Begun).count());
  double Part = static_cast<double>((Now - Last).count());
  if (Whole <= 0)
    return 0;
  return (1 - SequentialTest::WeightAtStart) * std::min(1.0, Part / Whole);
}

double CanaryAnalyzer::logThreshold() const {
  double Tests = MeasuresTested * static_cast<double>(RouteSpecs.size() + 1);
  return std::log(Tests / Spec.FalseAlarmRate);
}

void CanaryAnalyzer::check(const TestGroup &Group, RolloutReason Reason,
                           const std::string &Where) {
  if (!Found && Group.logEvidence() >= logThreshold())
    Found = RolloutFault{Reason, Where};
}

double CanaryAnalyzer::neededCalls(double OldRate, double Share) const {
  PowerParameters Question;
  Question.Share = Share;
  Question.OldRate = OldRate;
  Question.Increase = Spec.MaxErrorIncrease;
  Question.LogThreshold =
      logThreshold() - std::log(SequentialTest::WeightAtStart /
                                SequentialTest::AlternativeCount);
  Question.MissDeviations = MissDeviations;
  // One server may be left out.
  double Count = static_cast<double>(Servers.size());
  double LeftOut = Count > 1 ? Count / (Count - 1) : 1;
  return requiredCalls(Question) * LeftOut;
}

double CanaryAnalyzer::neededCalls(const std::string &Route,
                                   double Share) const {
  auto State = Routes.find(Route);
  return neededCalls(State == Routes.end() ? PriorErrorRate
                                           : State->second.Past.errorRate(),
                     Share);
}

uint64_t CanaryAnalyzer::newCalls(const std::string &Route) const {
  auto State = Routes.find(Route);
  return State == Routes.end() ? 0 : State->second.NewCalls;
}

double CanaryAnalyzer::serviceErrorRate() const {
  Baseline Sum;
  for (const auto &[Route, State] : Routes) {
    Sum.Calls += State.Past.Calls;
    Sum.Errors += State.Past.Errors;
  }
  return Sum.errorRate();
}

void CanaryAnalyzer::beginStep() {
  CallsInStep = 0;
  ErrorDifferenceInStep = {};
}

bool CanaryAnalyzer::enoughFor(const RolloutStep &Step) const {
  if (Step.Share >= 1)
    return true;
  if (Step.Share > SmallShare &&
      static_cast<double>(CallsInStep) <
          neededCalls(serviceErrorRate(), Step.Share) &&
      !ErrorDifferenceInStep.below(Spec.MaxErrorIncrease, LookDeviations))
    return false;
  for (const RouteSpec &Route : RouteSpecs) {
    double Share = Route.Idempotent ? Step.Share : Step.NonIdempotentShare;
    // A route that no one calls has nothing to show.
    auto State = Routes.find(Route.Name);
    if (Share < SmallShare || State == Routes.end())
      continue;
    if (static_cast<double>(State->second.NewCalls) <
            neededCalls(Route.Name, SmallShare) &&
        !State->second.ErrorDifference.below(Spec.MaxErrorIncrease,
                                             LookDeviations))
      return false;
  }
  return true;
}

} // namespace cyclamenwind
