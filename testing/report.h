// BenchReport, FaultReport: output of the benchmarks and of the fault tests.

#ifndef CYCLAMENWIND_TESTING_REPORT_H
#define CYCLAMENWIND_TESTING_REPORT_H

#include <cstdio>
#include <string>

namespace cyclamenwind::testing {

// Prints one line per figure and records whether a bound was violated.
class BenchReport {
public:
  explicit BenchReport(std::string Bench) : Bench(std::move(Bench)) {}

  // Reports a figure without a bound.
  void figure(const std::string &Name, double Value, const std::string &Unit) {
    std::printf("bench=%s figure=%s value=%.6g unit=%s\n", Bench.c_str(),
                Name.c_str(), Value, Unit.c_str());
  }

  // Reports a figure that must be at most Bound.
  void atMost(const std::string &Name, double Value, const std::string &Unit,
              double Bound) {
    bounded(Name, Value, Unit, Bound, Value <= Bound);
  }

  // Reports a figure that must be at least Bound.
  void atLeast(const std::string &Name, double Value, const std::string &Unit,
               double Bound) {
    bounded(Name, Value, Unit, Bound, Value >= Bound);
  }

  // Returns the exit status: 1 if a bound was violated, else 0.
  int status() const { return BoundViolated ? 1 : 0; }

private:
  void bounded(const std::string &Name, double Value, const std::string &Unit,
               double Bound, bool Ok) {
    std::printf("bench=%s figure=%s value=%.6g unit=%s bound=%.6g ok=%s\n",
                Bench.c_str(), Name.c_str(), Value, Unit.c_str(), Bound,
                Ok ? "true" : "false");
    std::fflush(stdout);
    BoundViolated = BoundViolated || !Ok;
  }

  std::string Bench;
  bool BoundViolated = false;
};

// Prints one line per case of a fault matrix and a summary line.
class FaultReport {
public:
  // Reports one case. Detail contains how to reproduce it and what was
  // violated.
  void add(const std::string &Fault, const std::string &Step, int Violations,
           const std::string &Detail = "") {
    ++(Violations == 0 ? PassedCases : FailedCases);
    std::printf("fault=%s step=%s violations=%d%s%s\n", Fault.c_str(),
                Step.c_str(), Violations, Detail.empty() ? "" : " ",
                Detail.c_str());
    std::fflush(stdout);
  }

  // Prints the summary line and returns the exit status: 0 if there was at
  // least one case and none failed, else 1.
  int close() const {
    std::printf("%d passed, %d failed\n", PassedCases, FailedCases);
    return FailedCases == 0 && PassedCases > 0 ? 0 : 1;
  }

private:
  int PassedCases = 0;
  int FailedCases = 0;
};

} // namespace cyclamenwind::testing

#endif
