// SequentialTest: whether something happens more often to calls on the new
// version than to calls on the old one, at any time and with a bound on false
// alarms.
//
// Calls come in blocks of both versions. Each block gives an e-variable against
// "both versions have the same rate", which may differ from block to block, so
// that a fault of a dependency shared by both is no evidence (Turner, Ly and
// Grunwald, "Generic E-variables for exact sequential k-sample tests", 2024).
// Products of e-variables begun at each block, weighted so that the weights sum
// to one, are summed, so that a fault which begins late shows soon after its
// beginning (Shiryaev-Roberts; Shin, Ramdas and Rinaldo, "E-detectors", 2024).
// By Ville's inequality the sum reaches 1/a with probability of at most a if
// the versions are alike.

#ifndef CYCLAMENWIND_ROLLOUTS_SEQUENTIAL_TEST_H
#define CYCLAMENWIND_ROLLOUTS_SEQUENTIAL_TEST_H

#include <array>
#include <cstddef>
#include <cstdint>

namespace cyclamenwind {

// One side's calls in a block, and how many of them were hits: had an error, or
// exceeded a latency.
struct SideBlock {
  double Calls = 0;
  double Hits = 0;
};

// Natural logarithm of a block's e-variable for rates that were chosen before
// the block was seen.
double blockEvidence(const SideBlock &New, const SideBlock &Old, double NewRate,
                     double OldRate);

class SequentialTest {
public:
  static constexpr size_t AlternativeCount = 2;
  using LogFactors = std::array<double, AlternativeCount>;

  // Part of the weight that faults from the start have; the rest is spread over
  // the move's time.
  static constexpr double WeightAtStart = 0.3;

  // Adds a block's e-variables, one for each alternative, after putting Weight
  // on a fault that begins with this block.
  void add(const LogFactors &Factors, double Weight);

  // Natural logarithm of the evidence against equal rates.
  double logEvidence() const;

private:
  // Weighted sums of products, as logarithms.
  LogFactors LogSums = {startLog(), startLog()};
  double WeightUsed = WeightAtStart;

  static double startLog();
};

} // namespace cyclamenwind

#endif
