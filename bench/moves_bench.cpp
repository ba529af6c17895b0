// Bench of version moves, in virtual time: the real planner, state machine,
// split, evidence, decider and sequential test, on simulated calls.
//
// Each kind of version is moved to with many seeds at a high and a low call
// rate, by three policies: the real one, a timed ramp without evidence, and a
// fixed error threshold. All three follow the same plan. "--ci" runs fewer
// seeds; "--kind NAME" runs one kind by the real policy.

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

enum class Kind {
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

constexpr std::array<EnumName<Kind>, 11> KindNames = {{
    {Kind::Good, "good"},
    {Kind::GoodOneBadServer, "good_one_bad_server"},
    {Kind::GoodColdStart, "good_cold_start"},
    {Kind::GoodSharedFault, "good_shared_fault"},
    {Kind::GoodOldFault, "good_old_fault"},
    {Kind::GoodShedding, "good_shedding"},
    {Kind::FailsAtOnce, "fails_at_once"},
    {Kind::FailsLater, "fails_later"},
    {Kind::Slow, "slow"},
    {Kind::SlowUnderLoad, "slow_under_load"},
    {Kind::OneRoute, "one_route"},
}};

bool isBad(Kind Which) { return Which >= Kind::FailsAtOnce; }

// Whether the fault is there from the first call.
bool badFromStart(Kind Which) {
  return Which == Kind::FailsAtOnce || Which == Kind::Slow ||
         Which == Kind::OneRoute;
}

enum class Policy { Evidence, TimedRamp, FixedThreshold };

constexpr std::array<EnumName<Policy>, 3> PolicyNames = {{
    {Policy::Evidence, "evidence"},
    {Policy::TimedRamp, "timed_ramp"},
    {Policy::FixedThreshold, "fixed_threshold"},
}};

struct Rate {
  const char *Name;
  int CallsPerSecond;
  Duration Length;
  int JudgeEvery; // Seconds.
};

// About the same number of calls in a move.
constexpr Rate High = {"high", 160, 12min, 1};
constexpr Rate Low = {"low", 4, 8h, 20};

constexpr size_t Servers = 4;
constexpr double BaseErrors = 0.002;
constexpr double FaultErrors = 0.05;
constexpr double SharedErrors = 0.3;
// Four buckets are twice the latency.
constexpr size_t FaultBuckets = 4;
constexpr size_t ColdBuckets = 6;
constexpr size_t NonRepeatableRoute = 2;
constexpr double ShedShare = 0.3;
// The fixed threshold: more than this share of errors over a minute.
constexpr double FixedErrorShare = 0.05;
constexpr int FixedWindow = 60; // Seconds.
constexpr int FixedLeastCalls = 20;
// From a daemon's seeing a call to every daemon's knowing of a stop: a report
// period, a judgement and the spread.
constexpr int StopSeconds = 3;
constexpr int AcknowledgeSeconds = 2;

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

// Cumulative parts of the calls that each route gets.
constexpr double RouteParts[] = {0.45, 0.75, 1.0};

// Buckets of latencies of a log-normal distribution, drawn from a table.
class LatencyTable {
public:
  static constexpr size_t Size = 4096;

  LatencyTable() {
    Random Rng(99);
    for (size_t &Each : Buckets) {
      double Normal = -6;
      for (int I = 0; I < 12; ++I)
        Normal += Rng.fraction();
      Each = LatencyHistogram::bucketOf(
          Duration(static_cast<int64_t>(5000 * std::exp(0.5 * Normal))));
    }
  }
  size_t draw(uint64_t Number) const { return Buckets[Number % Size]; }

private:
  std::array<size_t, Size> Buckets;
};

const LatencyTable Latencies;

struct Outcome {
  RolloutPhase State = RolloutPhase::WaitingForServers;
  bool InTime = false;
  RolloutReason Reason = RolloutReason::None;
  uint64_t Calls = 0;
  uint64_t NewCalls = 0;
  uint64_t NewAfterFault = 0;
};

// One move from its acceptance to its end.
class Simulation {
public:
  Simulation(Kind Which, Policy How, const Rate &Pace, uint64_t Seed)
      : Which(Which), How(How), Pace(Pace), Rng(Seed),
        Body(parseDocument(DocumentText).value()) {
    Body.Rollouts[0].Deadline = Now + Pace.Length;
    Body.Rollouts[0].WhenEvidenceIsShort =
        How == Policy::Evidence ? InsufficientEvidenceRule::Hold
                                : InsufficientEvidenceRule::Advance;
    Judge =
        std::make_unique<CanaryAnalyzer>(Body.Rollouts[0], Body.Routes, Now);
    Context.Spec = &Body.Rollouts[0];
    Context.Target = &Body.Services[0];
    Context.ServersReady = true;
    Context.Epoch = 1;
    SplitSeed = splitSeed("m");
    Record = firstRecord(Body.Rollouts[0], Body.Services[0],
                         planSteps(Body, "quote"), Context, Now);
    // Faults that begin later do so at a random time of the middle.
    double Part = 0.2 + 0.5 * Rng.fraction();
    FaultFrom = static_cast<int>(Part * seconds());
    LoadLimit = 0.1 + 0.5 * Rng.fraction();
  }

  Outcome play() {
    for (Second = 0; Second < seconds() && !Record.final(); ++Second) {
      Now += 1s;
      Share = Record.share(true);
      OtherShare = Record.share(false);
      for (int I = 0; I < Pace.CallsPerSecond; ++I)
        call();
      if (How != Policy::TimedRamp && Second % Pace.JudgeEvery == 0)
        judge(takeEvidence());
      advance();
    }
    if (!Record.final()) {
      Now = Body.Rollouts[0].Deadline;
      advance();
    }
    Result.State = Record.State;
    Result.Reason = Record.Reason;
    Result.InTime = Now < Body.Rollouts[0].Deadline;
    return Result;
  }

private:
  int seconds() const { return static_cast<int>(Pace.Length / 1s); }

  bool faultShows() const {
    if (badFromStart(Which))
      return true;
    if (Which == Kind::SlowUnderLoad)
      return Record.share(true) > LoadLimit;
    return Second >= FaultFrom;
  }

  // Stopped calls still go out until every daemon has heard.
  bool sending() const { return StopSecond < 0 || Second < StopSecond; }

  // Takes bits of one random number for each choice.
  void call() {
    constexpr double RouteRange = 1 << 16;
    constexpr double ErrorRange = 1 << 24;
    ++Result.Calls;
    uint64_t Bits = Rng.next();
    double Place = static_cast<double>(Bits & 0xffff) / RouteRange;
    size_t Index = Place < RouteParts[0] ? 0 : Place < RouteParts[1] ? 1 : 2;
    bool OnNew =
        sending() && fallsInto(Index == NonRepeatableRoute ? OtherShare : Share,
                               Rng.next(), SplitSeed);
    size_t Server = OnNew ? 1 + ((Bits >> 16) & 3) : 0;
    if (OnNew) {
      ++Result.NewCalls;
      Result.NewAfterFault += faultShows();
      // A refused call is no evidence.
      if (Which == Kind::GoodShedding && Rng.fraction() < ShedShare)
        return;
    }
    SideCounts &Counts = Cells[Index][Server];
    ++Counts.Calls;
    double Failing = static_cast<double>((Bits >> 18) & 0xffffff) / ErrorRange;
    Counts.Errors += Failing < errorRate(OnNew, Index, Server);
    bool InSlowStart = Second < milliseconds(Body.Rollouts[0].SlowStart) / 1000;
    if (!OnNew || !InSlowStart)
      Counts.Latencies.add(Latencies.draw(Bits >> 42) + slowness(OnNew), 1);
  }

  // What was counted since the last time.
  Evidence takeEvidence() {
    static const std::string Names[] = {"", "a", "b", "c", "d"};
    Evidence Seen;
    for (size_t Route = 0; Route < Cells.size(); ++Route)
      for (size_t Server = 0; Server < Cells[Route].size(); ++Server)
        if (SideCounts &Counts = Cells[Route][Server]; Counts.Calls > 0) {
          Seen[{Body.Routes[Route].Name, Server > 0, Names[Server]}] = Counts;
          Counts = {};
        }
    return Seen;
  }

  double errorRate(bool OnNew, size_t Route, size_t Server) const {
    bool Late = Second >= FaultFrom;
    switch (Which) {
    case Kind::GoodSharedFault:
      return Late ? SharedErrors : BaseErrors;
    case Kind::GoodOldFault:
      return !OnNew && Late ? SharedErrors : BaseErrors;
    case Kind::GoodOneBadServer:
      return OnNew && Server == 1 ? 0.5 : BaseErrors;
    case Kind::FailsAtOnce:
      return BaseErrors + (OnNew ? FaultErrors : 0);
    case Kind::FailsLater:
      return BaseErrors + (OnNew && Late ? FaultErrors : 0);
    case Kind::OneRoute:
      return BaseErrors + (OnNew && Route == 1 ? FaultErrors : 0);
    default:
      return BaseErrors;
    }
  }

  // Buckets by which latencies are longer.
  size_t slowness(bool OnNew) const {
    if (!OnNew)
      return 0;
    if (Which == Kind::GoodColdStart && Second < 20)
      return ColdBuckets;
    if (Which == Kind::Slow || (Which == Kind::SlowUnderLoad && faultShows()))
      return FaultBuckets;
    return 0;
  }

  void judge(const Evidence &Seen) {
    if (How == Policy::Evidence) {
      Judge->add(Seen);
      Judge->judge(Now);
      if (Judge->fault() && StopSecond < 0) {
        StopSecond = Second + StopSeconds;
        Fault = Judge->fault();
      }
      return;
    }
    std::pair<uint64_t, uint64_t> Sum;
    for (const auto &[Key, Counts] : Seen)
      if (Key.OnNew)
        Sum = {Sum.first + Counts.Calls, Sum.second + Counts.Errors};
    Window.push_back(Sum);
    if (Window.size() > static_cast<size_t>(FixedWindow / Pace.JudgeEvery))
      Window.erase(Window.begin());
    uint64_t Calls = 0;
    uint64_t Errors = 0;
    for (const auto &[Each, Failed] : Window) {
      Calls += Each;
      Errors += Failed;
    }
    if (StopSecond < 0 && Calls >= FixedLeastCalls &&
        static_cast<double>(Errors) >
            FixedErrorShare * static_cast<double>(Calls)) {
      StopSecond = Second + StopSeconds;
      Fault = RolloutFault{RolloutReason::Errors, "threshold"};
    }
  }

  void advance() {
    bool Carried =
        Now - Record.Entered >= std::chrono::seconds(AcknowledgeSeconds);
    RolloutStep Step = {Record.share(true), Record.share(false), 0};
    Context.Standing = RolloutProgress{
        Record.Revision, How == Policy::Evidence && Judge->enoughFor(Step),
        Carried};
    if (StopSecond >= 0 && Second >= StopSecond)
      Context.Fault = Fault;
    // A step does not end while a stop is on its way.
    if (StopSecond >= 0 && !Context.Fault)
      Context.Standing.reset();
    if (std::optional<RolloutRecord> Next = nextRecord(Record, Context, Now)) {
      if (Next->Step != Record.Step)
        Judge->beginStep();
      Record = *Next;
    }
  }

  Kind Which;
  Policy How;
  Rate Pace;
  Random Rng;
  Document Body;
  WallTime Now{};
  RolloutContext Context;
  RolloutRecord Record;
  std::unique_ptr<CanaryAnalyzer> Judge;
  std::optional<RolloutFault> Fault;
  std::vector<std::pair<uint64_t, uint64_t>> Window;
  std::array<std::array<SideCounts, Servers + 1>, 3> Cells;
  uint64_t SplitSeed = 0;
  double Share = 0;
  double OtherShare = 0;
  int Second = 0;
  int FaultFrom = 0;
  double LoadLimit = 0;
  int StopSecond = -1;
  Outcome Result;
};

// Outcomes of one kind, rate and policy.
struct Summary {
  int Runs = 0;
  int Done = 0;
  int DoneInTime = 0;
  int RolledBack = 0;
  int TakenBackInTime = 0;
  int DeadlinePassed = 0;
  std::vector<double> Exposures; // Share of the service's calls, sorted.
  uint64_t NewCalls = 0;

  double percent(int Count) const { return 100.0 * Count / Runs; }
};

Summary summarise(Kind Which, Policy How, const Rate &Pace, int Seeds) {
  Summary Sum;
  for (int Seed = 1; Seed <= Seeds; ++Seed) {
    Outcome Ended =
        Simulation(Which, How, Pace, static_cast<uint64_t>(Seed)).play();
    ++Sum.Runs;
    Sum.Done += Ended.State == RolloutPhase::Done;
    Sum.DoneInTime += Ended.State == RolloutPhase::Done && Ended.InTime;
    Sum.RolledBack += Ended.State == RolloutPhase::RolledBack;
    Sum.TakenBackInTime +=
        Ended.State == RolloutPhase::RolledBack && Ended.InTime;
    Sum.DeadlinePassed += Ended.Reason == RolloutReason::DeadlinePassed;
    uint64_t Counted =
        badFromStart(Which) ? Ended.NewCalls : Ended.NewAfterFault;
    Sum.Exposures.push_back(static_cast<double>(Counted) /
                            static_cast<double>(Ended.Calls));
    Sum.NewCalls += Counted;
  }
  std::sort(Sum.Exposures.begin(), Sum.Exposures.end());
  return Sum;
}

void reportBad(BenchReport &Report, const std::string &Name, const Summary &Sum,
               bool Bounded) {
  double Back = Sum.percent(Sum.TakenBackInTime);
  double Done = Sum.percent(Sum.Done);
  double Most = 100 * Sum.Exposures.back();
  double Mean = static_cast<double>(Sum.NewCalls) / Sum.Runs;
  if (Bounded) {
    Report.atLeast(Name + ".taken_back", Back, "%", 99);
    Report.atMost(Name + ".called_done", Done, "%", 0);
    Report.atMost(Name + ".most_exposure", Most, "%", 5);
  } else {
    Report.figure(Name + ".taken_back", Back, "%");
    Report.figure(Name + ".called_done", Done, "%");
    Report.figure(Name + ".most_exposure", Most, "%");
  }
  Report.figure(Name + ".mean_requests", Mean, "calls");
}

void reportGood(BenchReport &Report, const std::string &Name,
                const Summary &Sum, bool Bounded) {
  Report.figure(Name + ".set_time_passed", Sum.percent(Sum.DeadlinePassed),
                "%");
  double InTime = Sum.percent(Sum.DoneInTime);
  double Back = Sum.percent(Sum.RolledBack);
  if (Bounded) {
    Report.atLeast(Name + ".done_in_time", InTime, "%", 99);
    Report.atMost(Name + ".taken_back", Back, "%", 1);
  } else {
    Report.figure(Name + ".done_in_time", InTime, "%");
    Report.figure(Name + ".taken_back", Back, "%");
  }
}

// Time from the first daemon's stop to the last call, fleet-wide, on real move
// services; Daemons of them.
void reportStop(BenchReport &Report, size_t Daemons, int Seeds) {
  double Longest = 0;
  for (int Seed = 1; Seed <= Seeds; ++Seed) {
    MoveFleetOptions Options;
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
  bool Short = Count > 1 && std::strcmp(Arguments[1], "--ci") == 0;
  int Seeds = Short ? 5 : 200;
  BenchReport Report("moves");
  std::string_view Only =
      Count > 2 && std::strcmp(Arguments[1], "--kind") == 0 ? Arguments[2] : "";
  for (const Rate &Pace : {High, Low}) {
    for (const EnumName<Policy> &How : PolicyNames) {
      for (const EnumName<Kind> &Which : KindNames) {
        if (!Only.empty() &&
            (Only != Which.Name || How.Value != Policy::Evidence))
          continue;
        Summary Sum = summarise(Which.Value, How.Value, Pace, Seeds);
        std::string Name = std::string(How.Name) + "." + Pace.Name + "." +
                           std::string(Which.Name);
        bool Bounded = How.Value == Policy::Evidence;
        if (isBad(Which.Value))
          reportBad(Report, Name, Sum, Bounded);
        else
          reportGood(Report, Name, Sum, Bounded);
      }
    }
  }
  for (size_t Daemons : {16, 64})
    if (Only.empty())
      reportStop(Report, Daemons, Short ? 1 : 5);
  return Report.status();
}
