// CanaryAnalyzer: compares the new version of a rollout with the old one, on
// evidence summed over the fleet.
//
// Each route has a sequential test of errors and one of latency, and so has the
// service as a whole. A call counts as slow if its latency exceeds the old
// version's median by the square root of the latency factor to detect. If the
// new version has more than one backend server, each test also runs once
// without each server, and a fault must show in all of these tests: one bad
// server does not roll back a good version.
//
// Does no I/O and reads no clock; the rollout's EvidenceCollector adds evidence
// and acts on the result.

#ifndef CYCLAMENWIND_ROLLOUTS_CANARY_ANALYZER_H
#define CYCLAMENWIND_ROLLOUTS_CANARY_ANALYZER_H

#include "cyclamenwind/rollouts/difference.h"
#include "cyclamenwind/rollouts/evidence.h"
#include "cyclamenwind/rollouts/sequential_test.h"
#include "cyclamenwind/rollouts/state_machine.h"

#include <functional>
#include <set>

namespace cyclamenwind {

// The tests of one measure, on one route or on the service: one with all
// backend servers of the new version, and one without each server.
class TestGroup {
public:
  using LogFactors = SequentialTest::LogFactors;

  // Adds a block. Without holds the factors with a server left out, by server,
  // where they differ from All.
  void add(const LogFactors &All,
           const std::map<std::string, LogFactors> &Without, double Weight);

  // Evidence that no single server explains: the minimum over the tests.
  double logEvidence() const;

private:
  // Servers beyond this number get no test without them; with so many servers
  // one has too small a part of the calls to matter.
  static constexpr size_t MaxServers = 64;

  SequentialTest AllServers;
  std::map<std::string, SequentialTest> LeaveOneOut;
};

class CanaryAnalyzer {
public:
  // Routes are those of the rollout's service; evidence is gathered from Start.
  CanaryAnalyzer(const RolloutSpec &Spec, std::vector<RouteSpec> Routes,
                 WallTime Start);

  void add(const Evidence &Added);

  // Runs the tests on the evidence added since the last call.
  void analyze(WallTime Now);

  // The detected fault, if any; once detected it stays.
  const std::optional<RolloutFault> &fault() const { return DetectedFault; }

  // Whether the new version has had enough calls to advance from Step. Each
  // route that has had calls and has a share of at least SmallShare needs
  // enough calls over the whole rollout; above SmallShare the service also
  // needs enough calls within the step. Calls are enough if a fault would have
  // been detected with them, or if they show that there is none.
  bool enoughFor(const RolloutStep &Step) const;

  // Starts counting the calls of a step.
  void beginStep();

  // Calls that Route needs on the new version at Share.
  double neededCalls(const std::string &Route, double Share) const;

  // Calls on the new version so far.
  uint64_t newCalls(const std::string &Route) const;

private:
  // Counts since the last block ended.
  struct Block {
    SideCounts Old;
    std::map<std::string, SideCounts> New;

    SideCounts newTotal() const;
  };

  // Counts of the old version on a route; older calls have less weight.
  struct Baseline {
    double Calls = 0;
    double Errors = 0;
    LatencyHistogram Latencies;

    double errorRate() const;
    void add(const SideCounts &Old);
  };

  struct RouteState {
    Block CurrentBlock;
    Baseline OldBaseline;
    uint64_t NewCalls = 0;
    TestGroup Errors;
    TestGroup Latency;
    RateDifference ErrorDifference;
    WallTime LastBlock;
  };

  // Log factors of one block, with all servers and without each server.
  struct Factors {
    SequentialTest::LogFactors All{};
    std::map<std::string, SequentialTest::LogFactors> Without;

    void add(const Factors &Other);
  };

  // Extract returns a version's calls and hits; the rates are those for which
  // the test is constructed.
  struct Measurement {
    std::function<SideBlock(const SideCounts &)> Extract;
    double OldRate = 0;
    SequentialTest::LogFactors NewRates{};
  };

  Measurement errorMeasurement(const Baseline &OldBaseline) const;
  std::optional<Measurement>
  latencyMeasurement(const Baseline &OldBaseline) const;
  static Factors computeFactors(const Block &Closed,
                                const Measurement &Measure);
  double weightSince(WallTime Last, WallTime Now) const;
  double logThreshold() const;
  double neededCalls(double OldRate, double Share) const;
  double serviceErrorRate() const;
  void closeBlock(const std::string &Route, RouteState &State, WallTime Now);
  void check(const TestGroup &Group, RolloutReason Reason,
             const std::string &Where);

  RolloutSpec Spec;
  double MissDeviations; // normalQuantile() of the miss rate.
  double LookDeviations; // The same of MissRate / IndependentLooks.
  std::vector<RouteSpec> RouteSpecs;
  WallTime Start;
  WallTime LastAnalyzed;
  std::map<std::string, RouteState> Routes;
  TestGroup ServiceErrors;
  TestGroup ServiceLatency;
  Factors ErrorFactors;   // Of the service since the last analysis.
  Factors LatencyFactors; // Likewise.
  std::set<std::string> Servers;
  uint64_t CallsInStep = 0;
  RateDifference ErrorDifferenceInStep;
  std::optional<RolloutFault> DetectedFault;
};

} // namespace cyclamenwind

#endif
