// Decider: judges a move by the evidence summed over the fleet.
//
// Each route has a test of errors and one of latency, and so has the service as
// a whole. Latency is judged by how many calls exceed the old version's median
// by the square root of the factor that is looked for. With more than one
// backend server of the new version a test is repeated without each of them,
// and only a fault that shows in every one of these is the version's: one bad
// server does not take back a good version.
//
// Pure; the collector of a move feeds it and acts on its verdict.

#ifndef CYCLAMENWIND_ROLLOUTS_CANARY_ANALYZER_H
#define CYCLAMENWIND_ROLLOUTS_CANARY_ANALYZER_H

#include "cyclamenwind/rollouts/difference.h"
#include "cyclamenwind/rollouts/evidence.h"
#include "cyclamenwind/rollouts/sequential_test.h"
#include "cyclamenwind/rollouts/state_machine.h"

#include <functional>
#include <set>

namespace cyclamenwind {

// Tests of one measure, on one route or on the service: with all backend
// servers of the new version, and without each one.
class TestGroup {
public:
  using LogFactors = SequentialTest::LogFactors;

  // Adds a block. Without holds the factors that differ from All when a server
  // is left out.
  void add(const LogFactors &All,
           const std::map<std::string, LogFactors> &Without, double Weight);

  // Evidence that no single server explains.
  double logEvidence() const;

private:
  // A server beyond this number is not left out on its own; its part of the
  // calls is then too small to matter.
  static constexpr size_t MaxServers = 64;

  SequentialTest Whole;
  std::map<std::string, SequentialTest> Reduced;
};

class CanaryAnalyzer {
public:
  // Routes are those of the move's service; evidence is gathered from Begun on.
  CanaryAnalyzer(const RolloutSpec &Spec, std::vector<RouteSpec> Routes,
                 WallTime Begun);

  void add(const Evidence &Added);

  // Runs the tests on what was added since the last call.
  void judge(WallTime Now);

  // The fault found, if any; stays once found.
  const std::optional<RolloutFault> &fault() const { return Found; }

  // Whether the new version has had enough calls for the move to go on to the
  // step after Step: on each route in the whole move at a small share, on the
  // service in this step at a larger one. Enough are as many as a fault would
  // have been found with, or as many as show that there is none.
  bool enoughFor(const RolloutStep &Step) const;

  // Starts the count of a step's calls.
  void beginStep();

  // Calls on the new version that Route must have had at Share.
  double neededCalls(const std::string &Route, double Share) const;

  // Calls on the new version so far.
  uint64_t newCalls(const std::string &Route) const;

private:
  // Counts since the last block was closed.
  struct Block {
    SideCounts Old;
    std::map<std::string, SideCounts> New;

    SideCounts newTotal() const;
  };

  // What is known of the old version on a route; fades.
  struct Baseline {
    double Calls = 0;
    double Errors = 0;
    LatencyHistogram Latencies;

    double errorRate() const;
    void add(const SideCounts &Old);
  };

  struct RouteState {
    Block Open;
    Baseline Past;
    uint64_t NewCalls = 0;
    TestGroup Errors;
    TestGroup Latency;
    RateDifference ErrorDifference;
    WallTime LastBlock;
  };

  // Log factors of one block, with all servers and without each.
  struct Factors {
    SequentialTest::LogFactors All{};
    std::map<std::string, SequentialTest::LogFactors> Without;

    void add(const Factors &Other);
  };

  // Which of a side's calls are hits, and the rates that the test is built on.
  struct Measurement {
    std::function<SideBlock(const SideCounts &)> Read;
    double OldRate = 0;
    SequentialTest::LogFactors NewRates{};
  };

  Measurement errorMeasurement(const Baseline &Past) const;
  std::optional<Measurement> latencyMeasurement(const Baseline &Past) const;
  static Factors factorsOf(const Block &Closed, const Measurement &How);
  double weightSince(WallTime Last, WallTime Now) const;
  double logThreshold() const;
  double neededCalls(double OldRate, double Share) const;
  double serviceErrorRate() const;
  void closeBlock(const std::string &Route, RouteState &State, WallTime Now);
  void check(const TestGroup &Group, RolloutReason Reason,
             const std::string &Where);

  RolloutSpec Spec;
  double MissDeviations;
  double LookDeviations; // As above, for repeated looks.
  std::vector<RouteSpec> RouteSpecs;
  WallTime Begun;
  WallTime LastJudged;
  std::map<std::string, RouteState> Routes;
  TestGroup ServiceErrors;
  TestGroup ServiceLatency;
  Factors ErrorFactors;   // Of the service since the last judgement.
  Factors LatencyFactors; // As above.
  std::set<std::string> Servers;
  uint64_t CallsInStep = 0;
  RateDifference ErrorDifferenceInStep;
  std::optional<RolloutFault> Found;
};

} // namespace cyclamenwind

#endif
