#include "cyclamenwind/rollouts/canary_analyzer.h"

#include "cyclamenwind/rollouts/power.h"

#include <algorithm>
#include <cmath>

namespace cyclamenwind {
namespace {

// Minimum number of calls in a block, of both versions together.
constexpr uint64_t MinBlockCalls = 8;
// Above this number of calls the old version's baseline is halved, so that it
// follows changes of load.
constexpr double MaxBaselineCalls = 4000;
// Assumed error rate of an old version without calls, and the number of calls
// that this prior counts for.
constexpr double PriorErrorRate = 0.005;
constexpr double PriorCalls = 100;
// Latency is not tested with fewer latencies of the old version than this.
constexpr uint64_t MinBaselineLatencies = 50;
// Increases of the share of slow calls for which the latency test is
// constructed.
constexpr double SmallSlowIncrease = 0.15;
constexpr double LargeSlowIncrease = 0.45;
// The larger error increase for which the test is constructed, as a multiple of
// the smallest increase to detect.
constexpr double LargeErrorFactor = 6;
// Repeated looks at a growing sample are correlated; they count as this many
// independent looks.
constexpr double IndependentLooks = 5;
constexpr double MinRate = 0.01;
constexpr double MaxRate = 0.97;
// Errors and latency, tested for each route and for the service.
constexpr double MeasuresTested = 2;

} // namespace

void TestGroup::add(const LogFactors &All,
                    const std::map<std::string, LogFactors> &Without,
                    double Weight) {
  for (const auto &[Server, Factors] : Without)
    if (LeaveOneOut.size() < MaxServers)
      LeaveOneOut.try_emplace(Server, AllServers);
  AllServers.add(All, Weight);
  for (auto &[Server, Test] : LeaveOneOut) {
    auto Override = Without.find(Server);
    Test.add(Override == Without.end() ? All : Override->second, Weight);
  }
}

double TestGroup::logEvidence() const {
  double Lowest = AllServers.logEvidence();
  if (LeaveOneOut.size() < 2)
    return Lowest;
  for (const auto &[Server, Test] : LeaveOneOut)
    Lowest = std::min(Lowest, Test.logEvidence());
  return Lowest;
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
    Latencies.scale(Half);
  }
}

void CanaryAnalyzer::Factors::add(const Factors &Other) {
  for (const auto &[Server, ServerFactors] : Other.Without)
    Without.try_emplace(Server, All);
  for (auto &[Server, Sum] : Without) {
    auto Override = Other.Without.find(Server);
    const auto &Added =
        Override == Other.Without.end() ? Other.All : Override->second;
    for (size_t I = 0; I < Sum.size(); ++I)
      Sum[I] += Added[I];
  }
  for (size_t I = 0; I < All.size(); ++I)
    All[I] += Other.All[I];
}

CanaryAnalyzer::CanaryAnalyzer(const RolloutSpec &Spec,
                               std::vector<RouteSpec> Routes, WallTime Start)
    : Spec(Spec), MissDeviations(normalQuantile(Spec.MissRate)),
      LookDeviations(normalQuantile(Spec.MissRate / IndependentLooks)),
      RouteSpecs(std::move(Routes)), Start(Start), LastAnalyzed(Start) {}

void CanaryAnalyzer::add(const Evidence &Added) {
  for (const auto &[Key, Counts] : Added) {
    auto [It, Inserted] = Routes.try_emplace(Key.Route);
    RouteState &State = It->second;
    if (Inserted)
      State.LastBlock = LastAnalyzed;
    if (!Key.OnNew) {
      State.CurrentBlock.Old.add(Counts);
      continue;
    }
    State.CurrentBlock.New[Key.Server].add(Counts);
    Servers.insert(Key.Server);
    State.NewCalls += Counts.Calls;
    CallsInStep += Counts.Calls;
  }
}

void CanaryAnalyzer::analyze(WallTime Now) {
  for (auto &[Route, State] : Routes)
    closeBlock(Route, State, Now);
  double Weight = weightSince(LastAnalyzed, Now);
  ServiceErrors.add(ErrorFactors.All, ErrorFactors.Without, Weight);
  ServiceLatency.add(LatencyFactors.All, LatencyFactors.Without, Weight);
  ErrorFactors = {};
  LatencyFactors = {};
  LastAnalyzed = Now;
  check(ServiceErrors, RolloutReason::Errors, "all routes");
  check(ServiceLatency, RolloutReason::Latency, "all routes");
}

void CanaryAnalyzer::closeBlock(const std::string &Route, RouteState &State,
                                WallTime Now) {
  SideCounts New = State.CurrentBlock.newTotal();
  const SideCounts &Old = State.CurrentBlock.Old;
  if (New.Calls == 0) {
    // Nothing to compare: the old version's calls only go into its baseline.
    State.OldBaseline.add(Old);
    State.CurrentBlock = {};
    return;
  }
  if (Old.Calls == 0 || New.Calls + Old.Calls < MinBlockCalls)
    return;
  double Weight = weightSince(State.LastBlock, Now);
  Measurement ErrorMeasure = errorMeasurement(State.OldBaseline);
  State.ErrorDifference.add(ErrorMeasure.Extract(New),
                            ErrorMeasure.Extract(Old));
  ErrorDifferenceInStep.add(ErrorMeasure.Extract(New),
                            ErrorMeasure.Extract(Old));
  Factors Errors = computeFactors(State.CurrentBlock, ErrorMeasure);
  State.Errors.add(Errors.All, Errors.Without, Weight);
  ErrorFactors.add(Errors);
  if (std::optional<Measurement> LatencyMeasure =
          latencyMeasurement(State.OldBaseline)) {
    Factors Latency = computeFactors(State.CurrentBlock, *LatencyMeasure);
    State.Latency.add(Latency.All, Latency.Without, Weight);
    LatencyFactors.add(Latency);
  }
  State.OldBaseline.add(Old);
  State.CurrentBlock = {};
  State.LastBlock = Now;
  check(State.Errors, RolloutReason::Errors, Route);
  check(State.Latency, RolloutReason::Latency, Route);
}

CanaryAnalyzer::Factors
CanaryAnalyzer::computeFactors(const Block &Closed,
                               const Measurement &Measure) {
  SideBlock Old = Measure.Extract(Closed.Old);
  SideBlock New = Measure.Extract(Closed.newTotal());
  auto Compute = [&](const SideBlock &Side) {
    SequentialTest::LogFactors Result{};
    for (size_t I = 0; I < Result.size(); ++I)
      Result[I] =
          blockEvidence(Side, Old, Measure.NewRates[I], Measure.OldRate);
    return Result;
  };
  Factors Result;
  Result.All = Compute(New);
  for (const auto &[Server, Counts] : Closed.New) {
    SideBlock ServerCalls = Measure.Extract(Counts);
    Result.Without[Server] =
        Compute({New.Calls - ServerCalls.Calls, New.Hits - ServerCalls.Hits});
  }
  return Result;
}

CanaryAnalyzer::Measurement
CanaryAnalyzer::errorMeasurement(const Baseline &OldBaseline) const {
  Measurement Measure;
  Measure.Extract = [](const SideCounts &Side) {
    return SideBlock{static_cast<double>(Side.Calls),
                     static_cast<double>(Side.Errors)};
  };
  Measure.OldRate = OldBaseline.errorRate();
  double Large = LargeErrorFactor * Spec.MaxErrorIncrease;
  Measure.NewRates = {
      std::min(Measure.OldRate + Spec.MaxErrorIncrease, MaxRate),
      std::min(Measure.OldRate + Large, MaxRate)};
  return Measure;
}

std::optional<CanaryAnalyzer::Measurement>
CanaryAnalyzer::latencyMeasurement(const Baseline &OldBaseline) const {
  uint64_t Total = OldBaseline.Latencies.total();
  if (Total < MinBaselineLatencies)
    return std::nullopt;
  double Octaves = std::log2(Spec.MaxLatencyFactor) / 2;
  auto BucketsAbove = static_cast<size_t>(
      std::ceil(Octaves * LatencyHistogram::BucketsPerOctave));
  size_t First = std::min(OldBaseline.Latencies.medianBucket() + BucketsAbove,
                          LatencyHistogram::BucketCount - 1);
  Measurement Measure;
  Measure.Extract = [First](const SideCounts &Side) {
    return SideBlock{static_cast<double>(Side.Latencies.total()),
                     static_cast<double>(Side.Latencies.countFrom(First))};
  };
  double SlowCalls =
      static_cast<double>(OldBaseline.Latencies.countFrom(First));
  Measure.OldRate = std::clamp(SlowCalls / static_cast<double>(Total), MinRate,
                               MaxRate - SmallSlowIncrease);
  Measure.NewRates = {Measure.OldRate + SmallSlowIncrease,
                      std::min(Measure.OldRate + LargeSlowIncrease, MaxRate)};
  return Measure;
}

double CanaryAnalyzer::weightSince(WallTime Last, WallTime Now) const {
  double Total = static_cast<double>((Spec.Deadline - Start).count());
  double Elapsed = static_cast<double>((Now - Last).count());
  if (Total <= 0)
    return 0;
  return (1 - SequentialTest::WeightAtStart) * std::min(1.0, Elapsed / Total);
}

double CanaryAnalyzer::logThreshold() const {
  double Tests = MeasuresTested * static_cast<double>(RouteSpecs.size() + 1);
  return std::log(Tests / Spec.FalseAlarmRate);
}

void CanaryAnalyzer::check(const TestGroup &Group, RolloutReason Reason,
                           const std::string &Where) {
  if (!DetectedFault && Group.logEvidence() >= logThreshold())
    DetectedFault = RolloutFault{Reason, Where};
}

double CanaryAnalyzer::neededCalls(double OldRate, double Share) const {
  PowerParameters Parameters;
  Parameters.Share = Share;
  Parameters.OldRate = OldRate;
  Parameters.Increase = Spec.MaxErrorIncrease;
  Parameters.LogThreshold =
      logThreshold() - std::log(SequentialTest::WeightAtStart /
                                SequentialTest::AlternativeCount);
  Parameters.MissDeviations = MissDeviations;
  // The tests without one server must have enough calls too.
  double ServerCount = static_cast<double>(Servers.size());
  double LeaveOutFactor = ServerCount > 1 ? ServerCount / (ServerCount - 1) : 1;
  return requiredCalls(Parameters) * LeaveOutFactor;
}

double CanaryAnalyzer::neededCalls(const std::string &Route,
                                   double Share) const {
  auto State = Routes.find(Route);
  return neededCalls(State == Routes.end()
                         ? PriorErrorRate
                         : State->second.OldBaseline.errorRate(),
                     Share);
}

uint64_t CanaryAnalyzer::newCalls(const std::string &Route) const {
  auto State = Routes.find(Route);
  return State == Routes.end() ? 0 : State->second.NewCalls;
}

double CanaryAnalyzer::serviceErrorRate() const {
  Baseline Sum;
  for (const auto &[Route, State] : Routes) {
    Sum.Calls += State.OldBaseline.Calls;
    Sum.Errors += State.OldBaseline.Errors;
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
    // A route without calls has no evidence to wait for.
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
