// Report: the lines that benches and fault runs print.

#ifndef CYCLAMENWIND_TESTING_REPORT_H
#define CYCLAMENWIND_TESTING_REPORT_H

#include <cstdio>
#include <string>

namespace cyclamenwind::testing {

// Prints a line a figure; remembers whether a bound was passed.
class BenchReport {
public:
  explicit BenchReport(std::string Bench) : Bench(std::move(Bench)) {}

  // A figure without a bound.
  void figure(const std::string &Name, double Value, const std::string &Unit) {
    std::printf("bench=%s figure=%s value=%.6g unit=%s\n", Bench.c_str(),
                Name.c_str(), Value, Unit.c_str());
  }

  // A figure that must not exceed Bound.
  void atMost(const std::string &Name, double Value, const std::string &Unit,
              double Bound) {
    bounded(Name, Value, Unit, Bound, Value <= Bound);
  }

  // A figure that must reach Bound.
  void atLeast(const std::string &Name, double Value, const std::string &Unit,
               double Bound) {
    bounded(Name, Value, Unit, Bound, Value >= Bound);
  }

  // Exit status: 1 if a bound was passed.
  int status() const { return Passed ? 1 : 0; }

private:
  void bounded(const std::string &Name, double Value, const std::string &Unit,
               double Bound, bool Ok) {
    std::printf("bench=%s figure=%s value=%.6g unit=%s bound=%.6g ok=%s\n",
                Bench.c_str(), Name.c_str(), Value, Unit.c_str(), Bound,
                Ok ? "true" : "false");
    std::fflush(stdout);
    Passed = Passed || !Ok;
  }

  std::string Bench;
  bool Passed = false;
};

// Prints a line a case of a fault matrix and the closing line.
class FaultReport {
public:
  // One case; Detail says how to run it again and what was violated.
  void add(const std::string &Fault, const std::string &Step, int Violations,
           const std::string &Detail = "") {
    ++(Violations == 0 ? Good : Bad);
    std::printf("fault=%s step=%s violations=%d%s%s\n", Fault.c_str(),
                Step.c_str(), Violations, Detail.empty() ? "" : " ",
                Detail.c_str());
    std::fflush(stdout);
  }

  // Prints the closing line; returns the exit status.
  int close() const {
    std::printf("%d passed, %d failed\n", Good, Bad);
    return Bad == 0 && Good > 0 ? 0 : 1;
  }

private:
  int Good = 0;
  int Bad = 0;
};

} // namespace cyclamenwind::testing

#endif
