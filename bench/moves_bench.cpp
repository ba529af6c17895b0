// Benchmark of rollouts, in virtual time: the real plan, state machine, split,
// evidence, canary analyzer and sequential test, on simulated calls.
//
// Each scenario (kind of new version) is rolled out with many seeds, at a high
// and a low call rate, by three policies: the real one, a timed ramp without
// evidence, and a fixed error threshold. All three follow the same plan. "--ci"
// runs fewer seeds; "--kind NAME" runs one scenario by the real policy.

#include "cyclamenwind/base/names.h"
#include "cyclamenwind/base/random.h"
#include "cyclamenwind/rollouts/canary_analyzer.h"
#include "cyclamenwind/rollouts/split.h"
#include "testing/report.h"
#include "testing/rollout_fleet.h"

#include <algorithm>
#include <cmath>
#include <cstring>

using namespace cyclamenwind;
using namespace cyclamenwind::testing;

namespace {

enum class Scenario {
  Good,
  GoodOneBadServer,
  GoodColdStart,
  GoodSharedFault,
  GoodOldFault,
  GoodShedding,
  FailsAtOnce,
  FailsLater,
  Slow,
  SlowUnderLoad,
  OneRoute,
};

constexpr std::array<EnumName<Scenario>, 11> ScenarioNames = {{
    {Scenario::Good, "good"},
    {Scenario::GoodOneBadServer, "good_one_bad_server"},
    {Scenario::GoodColdStart, "good_cold_start"},
    {Scenario::GoodSharedFault, "good_shared_fault"},
    {Scenario::GoodOldFault, "good_old_fault"},
    {Scenario::GoodShedding, "good_shedding"},
    {Scenario::FailsAtOnce, "fails_at_once"},
    {Scenario::FailsLater, "fails_later"},
    {Scenario::Slow, "slow"},
    {Scenario::SlowUnderLoad, "slow_under_load"},
    {Scenario::OneRoute, "one_route"},
}};

bool isBad(Scenario Case) { return Case >= Scenario::FailsAtOnce; }

// Whether the fault is present from the first call.
bool faultyFromStart(Scenario Case) {
  return Case == Scenario::FailsAtOnce || Case == Scenario::Slow ||
         Case == Scenario::OneRoute;
}

enum class RolloutPolicy { Evidence, TimedRamp, FixedThreshold };

constexpr std::array<EnumName<RolloutPolicy>, 3> PolicyNames = {{
    {RolloutPolicy::Evidence, "evidence"},
    {RolloutPolicy::TimedRamp, "timed_ramp"},
    {RolloutPolicy::FixedThreshold, "fixed_threshold"},
}};

struct CallRate {
  const char *Name;
  int CallsPerSecond;
  Duration TimeToDeadline;
  int AnalysisPeriodS;
};

// Both give about the same number of calls in a rollout.
constexpr CallRate High = {"high", 160, 12min, 1};
constexpr CallRate Low = {"low", 4, 8h, 20};

constexpr size_t Servers = 4;
constexpr double BaseErrors = 0.002;
constexpr double FaultErrors = 0.05;
constexpr double SharedErrors = 0.3;
// Four buckets double the latency.
constexpr size_t FaultBuckets = 4;
constexpr size_t ColdBuckets = 6;
constexpr size_t NonIdempotentRoute = 2;
constexpr double ShedShare = 0.3;
// The fixed-threshold policy stops above this share of errors, measured over
// FixedWindowS.
constexpr double FixedErrorShare = 0.05;
constexpr int FixedWindowS = 60;
constexpr int FixedMinCalls = 20;
// Time from a call until all daemons have the stop: a report period, an
// analysis and the gossip.
constexpr int StopSpreadS = 3;
// Time until all daemons have reported that they applied a record.
constexpr int AcknowledgeS = 2;

const char DocumentText[] = R"({
  "services": [{"name": "quote", "version": "v1"}],
  "routes": [{"name": "check", "service": "quote", "repeatable": true,
              "match": {"path_prefix": "/a"}},
             {"name": "list", "service": "quote", "repeatable": true,
              "match": {"path_prefix": "/b"}},
             {"name": "submit", "service": "quote",
              "match": {"path_prefix": "/c"}}],
  "moves": [{"name": "m", "service": "quote", "to": "v2",
             "done_by": "2026-01-01T00:00:00Z"}]})";

// Cumulative shares of the calls, by route.
constexpr double RouteParts[] = {0.45, 0.75, 1.0};

// Latency buckets drawn from a log-normal distribution, by a table for speed.
class LatencyTable {
public:
  static constexpr size_t Size = 4096;

  LatencyTable() {
    Random Rng(99);
    for (size_t &Bucket : Buckets) {
      double Normal = -6;
      for (int I = 0; I < 12; ++I)
        Normal += Rng.fraction();
      Bucket = LatencyHistogram::bucketOf(
          Duration(static_cast<int64_t>(5000 * std::exp(0.5 * Normal))));
    }
  }
  size_t draw(uint64_t Number) const { return Buckets[Number % Size]; }

private:
  std::array<size_t, Size> Buckets;
};

const LatencyTable Latencies;

struct RunResult {
  RolloutPhase Phase = RolloutPhase::WaitingForServers;
  bool InTime = false;
  RolloutReason Reason = RolloutReason::None;
  uint64_t Calls = 0;
  uint64_t NewCalls = 0;
  uint64_t NewAfterFault = 0;
};

// One rollout from its acceptance to its end.
class Simulation {
public:
  Simulation(Scenario Case, RolloutPolicy Policy, const CallRate &Rate,
             uint64_t Seed)
      : Case(Case), Policy(Policy), Rate(Rate), Rng(Seed),
        Body(parseDocument(DocumentText).value()) {
    Body.Rollouts[0].Deadline = Now + Rate.TimeToDeadline;
    Body.Rollouts[0].WhenEvidenceIsShort =
        Policy == RolloutPolicy::Evidence ? InsufficientEvidenceRule::Hold
                                          : InsufficientEvidenceRule::Advance;
    Analyzer =
        std::make_unique<CanaryAnalyzer>(Body.Rollouts[0], Body.Routes, Now);
    Context.Spec = &Body.Rollouts[0];
    Context.Target = &Body.Services[0];
    Context.ServersReady = true;
    Context.Epoch = 1;
    SplitSeed = splitSeed("m");
    Record = firstRecord(Body.Rollouts[0], Body.Services[0],
                         planSteps(Body, "quote"), Context, Now);
    // Late faults begin at a random time, after 20 to 70 % of the duration.
    double Fraction = 0.2 + 0.5 * Rng.fraction();
    FaultStart = static_cast<int>(Fraction * seconds());
    LoadLimit = 0.1 + 0.5 * Rng.fraction();
  }

  RunResult run() {
    for (Second = 0; Second < seconds() && !Record.final(); ++Second) {
      Now += 1s;
      Share = Record.share(true);
      NonIdempotentShare = Record.share(false);
      for (int I = 0; I < Rate.CallsPerSecond; ++I)
        call();
      if (Policy != RolloutPolicy::TimedRamp &&
          Second % Rate.AnalysisPeriodS == 0)
        analyze(takeEvidence());
      advance();
    }
    if (!Record.final()) {
      Now = Body.Rollouts[0].Deadline;
      advance();
    }
    Result.Phase = Record.Phase;
    Result.Reason = Record.Reason;
    Result.InTime = Now < Body.Rollouts[0].Deadline;
    return Result;
  }

private:
  int seconds() const { return static_cast<int>(Rate.TimeToDeadline / 1s); }

  bool faultActive() const {
    if (faultyFromStart(Case))
      return true;
    if (Case == Scenario::SlowUnderLoad)
      return Record.share(true) > LoadLimit;
    return Second >= FaultStart;
  }

  // Calls go to the new version until all daemons have the stop.
  bool newVersionAllowed() const {
    return StopSecond < 0 || Second < StopSecond;
  }

  // Draws route, server, error and latency from different bits of one random
  // number.
  void call() {
    constexpr double RouteRange = 1 << 16;
    constexpr double ErrorRange = 1 << 24;
    ++Result.Calls;
    uint64_t Bits = Rng.next();
    double Position = static_cast<double>(Bits & 0xffff) / RouteRange;
    size_t Index = Position < RouteParts[0]   ? 0
                   : Position < RouteParts[1] ? 1
                                              : 2;
    bool OnNew = newVersionAllowed() &&
                 selectsNewVersion(
                     Index == NonIdempotentRoute ? NonIdempotentShare : Share,
                     Rng.next(), SplitSeed);
    size_t Server = OnNew ? 1 + ((Bits >> 16) & 3) : 0;
    if (OnNew) {
      ++Result.NewCalls;
      Result.NewAfterFault += faultActive();
      // A call refused before execution is not evidence.
      if (Case == Scenario::GoodShedding && Rng.fraction() < ShedShare)
        return;
    }
    SideCounts &Counts = Cells[Index][Server];
    ++Counts.Calls;
    double Failing = static_cast<double>((Bits >> 18) & 0xffffff) / ErrorRange;
    Counts.Errors += Failing < errorRate(OnNew, Index, Server);
    bool InSlowStart = Second < milliseconds(Body.Rollouts[0].SlowStart) / 1000;
    if (!OnNew || !InSlowStart)
      Counts.Latencies.add(
          Latencies.draw(Bits >> 42) + extraLatencyBuckets(OnNew), 1);
  }

  // Returns the counts since the last call and resets them.
  Evidence takeEvidence() {
    static const std::string Names[] = {"", "a", "b", "c", "d"};
    Evidence Observed;
    for (size_t Route = 0; Route < Cells.size(); ++Route)
      for (size_t Server = 0; Server < Cells[Route].size(); ++Server)
        if (SideCounts &Counts = Cells[Route][Server]; Counts.Calls > 0) {
          Observed[{Body.Routes[Route].Name, Server > 0, Names[Server]}] =
              Counts;
          Counts = {};
        }
    return Observed;
  }

  double errorRate(bool OnNew, size_t Route, size_t Server) const {
    bool Late = Second >= FaultStart;
    switch (Case) {
    case Scenario::GoodSharedFault:
      return Late ? SharedErrors : BaseErrors;
    case Scenario::GoodOldFault:
      return !OnNew && Late ? SharedErrors : BaseErrors;
    case Scenario::GoodOneBadServer:
      return OnNew && Server == 1 ? 0.5 : BaseErrors;
    case Scenario::FailsAtOnce:
      return BaseErrors + (OnNew ? FaultErrors : 0);
    case Scenario::FailsLater:
      return BaseErrors + (OnNew && Late ? FaultErrors : 0);
    case Scenario::OneRoute:
      return BaseErrors + (OnNew && Route == 1 ? FaultErrors : 0);
    default:
      return BaseErrors;
    }
  }

  // Number of buckets by which latencies are longer.
  size_t extraLatencyBuckets(bool OnNew) const {
    if (!OnNew)
      return 0;
    if (Case == Scenario::GoodColdStart && Second < 20)
      return ColdBuckets;
    if (Case == Scenario::Slow ||
        (Case == Scenario::SlowUnderLoad && faultActive()))
      return FaultBuckets;
    return 0;
  }

  void analyze(const Evidence &Observed) {
    if (Policy == RolloutPolicy::Evidence) {
      Analyzer->add(Observed);
      Analyzer->analyze(Now);
      if (Analyzer->fault() && StopSecond < 0) {
        StopSecond = Second + StopSpreadS;
        Fault = Analyzer->fault();
      }
      return;
    }
    std::pair<uint64_t, uint64_t> NewCounts;
    for (const auto &[Key, Counts] : Observed)
      if (Key.OnNew)
        NewCounts = {NewCounts.first + Counts.Calls,
                     NewCounts.second + Counts.Errors};
    Window.push_back(NewCounts);
    if (Window.size() >
        static_cast<size_t>(FixedWindowS / Rate.AnalysisPeriodS))
      Window.erase(Window.begin());
    uint64_t Calls = 0;
    uint64_t Errors = 0;
    for (const auto &[Count, Failed] : Window) {
      Calls += Count;
      Errors += Failed;
    }
    if (StopSecond < 0 && Calls >= FixedMinCalls &&
        static_cast<double>(Errors) >
            FixedErrorShare * static_cast<double>(Calls)) {
      StopSecond = Second + StopSpreadS;
      Fault = RolloutFault{RolloutReason::Errors, "threshold"};
    }
  }

  void advance() {
    bool AllApplied =
        Now - Record.Entered >= std::chrono::seconds(AcknowledgeS);
    RolloutStep Step = {Record.share(true), Record.share(false), 0};
    Context.Progress = RolloutProgress{Record.Revision,
                                       Policy == RolloutPolicy::Evidence &&
                                           Analyzer->enoughFor(Step),
                                       AllApplied};
    if (StopSecond >= 0 && Second >= StopSecond)
      Context.Fault = Fault;
    // A step does not end while a stop is spreading.
    if (StopSecond >= 0 && !Context.Fault)
      Context.Progress.reset();
    if (std::optional<RolloutRecord> Next = nextRecord(Record, Context, Now)) {
      if (Next->Step != Record.Step)
        Analyzer->beginStep();
      Record = *Next;
    }
  }

  Scenario Case;
  RolloutPolicy Policy;
  CallRate Rate;
  Random Rng;
  Document Body;
  WallTime Now{};
  RolloutContext Context;
  RolloutRecord Record;
  std::unique_ptr<CanaryAnalyzer> Analyzer;
  std::optional<RolloutFault> Fault;
  std::vector<std::pair<uint64_t, uint64_t>> Window;
  // By route and server; server 0 stands for the old version.
  std::array<std::array<SideCounts, Servers + 1>, 3> Cells;
  uint64_t SplitSeed = 0;
  double Share = 0;
  double NonIdempotentShare = 0;
  int Second = 0;
  int FaultStart = 0;
  double LoadLimit = 0;
  int StopSecond = -1;
  RunResult Result;
};

// Results of one scenario, call rate and policy.
struct Summary {
  int Runs = 0;
  int Done = 0;
  int DoneInTime = 0;
  int RolledBack = 0;
  int RolledBackInTime = 0;
  int DeadlinePassed = 0;
  std::vector<double> Exposures; // Share of the service's calls, sorted.
  uint64_t NewCalls = 0;

  double percent(int Count) const { return 100.0 * Count / Runs; }
};

Summary summarize(Scenario Case, RolloutPolicy Policy, const CallRate &Rate,
                  int Seeds) {
  Summary Totals;
  for (int Seed = 1; Seed <= Seeds; ++Seed) {
    RunResult Run =
        Simulation(Case, Policy, Rate, static_cast<uint64_t>(Seed)).run();
    ++Totals.Runs;
    Totals.Done += Run.Phase == RolloutPhase::Done;
    Totals.DoneInTime += Run.Phase == RolloutPhase::Done && Run.InTime;
    Totals.RolledBack += Run.Phase == RolloutPhase::RolledBack;
    Totals.RolledBackInTime +=
        Run.Phase == RolloutPhase::RolledBack && Run.InTime;
    Totals.DeadlinePassed += Run.Reason == RolloutReason::DeadlinePassed;
    uint64_t CountedCalls =
        faultyFromStart(Case) ? Run.NewCalls : Run.NewAfterFault;
    Totals.Exposures.push_back(static_cast<double>(CountedCalls) /
                               static_cast<double>(Run.Calls));
    Totals.NewCalls += CountedCalls;
  }
  std::sort(Totals.Exposures.begin(), Totals.Exposures.end());
  return Totals;
}

void reportBad(BenchReport &Report, const std::string &Name,
               const Summary &Totals, bool Bounded) {
  double RolledBack = Totals.percent(Totals.RolledBackInTime);
  double Done = Totals.percent(Totals.Done);
  double MaxExposure = 100 * Totals.Exposures.back();
  double MeanCalls = static_cast<double>(Totals.NewCalls) / Totals.Runs;
  if (Bounded) {
    Report.atLeast(Name + ".taken_back", RolledBack, "%", 99);
    Report.atMost(Name + ".called_done", Done, "%", 0);
    Report.atMost(Name + ".most_exposure", MaxExposure, "%", 5);
  } else {
    Report.figure(Name + ".taken_back", RolledBack, "%");
    Report.figure(Name + ".called_done", Done, "%");
    Report.figure(Name + ".most_exposure", MaxExposure, "%");
  }
  Report.figure(Name + ".mean_requests", MeanCalls, "calls");
}

void reportGood(BenchReport &Report, const std::string &Name,
                const Summary &Totals, bool Bounded) {
  Report.figure(Name + ".set_time_passed",
                Totals.percent(Totals.DeadlinePassed), "%");
  double InTime = Totals.percent(Totals.DoneInTime);
  double RolledBack = Totals.percent(Totals.RolledBack);
  if (Bounded) {
    Report.atLeast(Name + ".done_in_time", InTime, "%", 99);
    Report.atMost(Name + ".taken_back", RolledBack, "%", 1);
  } else {
    Report.figure(Name + ".done_in_time", InTime, "%");
    Report.figure(Name + ".taken_back", RolledBack, "%");
  }
}

// Reports the time from the first daemon's stop to the last call on the new
// version in a fleet of Daemons real RolloutServices.
void reportStop(BenchReport &Report, size_t Daemons, int Seeds) {
  double Longest = 0;
  for (int Seed = 1; Seed <= Seeds; ++Seed) {
    RolloutFleetOptions Options;
    Options.Seed = static_cast<uint64_t>(Seed);
    Options.Daemons = Daemons;
    RolloutFleet Fleet(Options);
    Fleet.runUntil(
        [&] {
          return Fleet.record() && Fleet.record()->share(true) >= SmallShare;
        },
        4min);
    Fleet.New.ErrorRate = 0.5;
    Fleet.runUntil([&] { return Fleet.FirstStop.has_value(); }, 1min);
    Fleet.run(5s);
    if (!Fleet.FirstStop)
      continue;
    Duration Span = Fleet.LastNewCall - *Fleet.FirstStop;
    Longest = std::max(Longest, static_cast<double>(milliseconds(Span)));
  }
  Report.atMost("last_request_after_stop." + std::to_string(Daemons), Longest,
                "ms", 3000);
}

} // namespace

int main(int Count, char **Arguments) {
  bool CiMode = Count > 1 && std::strcmp(Arguments[1], "--ci") == 0;
  int Seeds = CiMode ? 5 : 200;
  BenchReport Report("moves");
  std::string_view OnlyScenario =
      Count > 2 && std::strcmp(Arguments[1], "--kind") == 0 ? Arguments[2] : "";
  for (const CallRate &Rate : {High, Low}) {
    for (const EnumName<RolloutPolicy> &Policy : PolicyNames) {
      for (const EnumName<Scenario> &Case : ScenarioNames) {
        if (!OnlyScenario.empty() && (OnlyScenario != Case.Name ||
                                      Policy.Value != RolloutPolicy::Evidence))
          continue;
        Summary Totals = summarize(Case.Value, Policy.Value, Rate, Seeds);
        std::string Name = std::string(Policy.Name) + "." + Rate.Name + "." +
                           std::string(Case.Name);
        bool Bounded = Policy.Value == RolloutPolicy::Evidence;
        if (isBad(Case.Value))
          reportBad(Report, Name, Totals, Bounded);
        else
          reportGood(Report, Name, Totals, Bounded);
      }
    }
  }
  for (size_t Daemons : {16, 64})
    if (OnlyScenario.empty())
      reportStop(Report, Daemons, CiMode ? 1 : 5);
  return Report.status();
}
