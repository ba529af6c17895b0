// SequentialTest: tests whether calls on the new version have a higher hit rate
// than calls on the old one. The result may be read at any time; the false
// alarm rate is bounded over the whole test.
//
// Calls are added in blocks that contain both versions. Each block yields an
// e-variable against the hypothesis "both versions have the same rate". That
// rate may differ from block to block, so that a fault of a dependency shared
// by both versions is no evidence (Turner, Ly and Grunwald, "Generic
// E-variables for exact sequential k-sample tests", 2024). The test statistic
// is a weighted sum, with weights that sum to one, of the products of
// e-variables starting at each block, so that a fault that begins late is
// detected soon after it begins (Shiryaev-Roberts; Shin, Ramdas and Rinaldo,
// "E-detectors", 2024). By Ville's inequality the sum reaches 1/a with a
// probability of at most a if the versions are equal.

#ifndef CYCLAMENWIND_ROLLOUTS_SEQUENTIAL_TEST_H
#define CYCLAMENWIND_ROLLOUTS_SEQUENTIAL_TEST_H

#include <array>
#include <cstddef>
#include <cstdint>

namespace cyclamenwind {

// Calls of one version in a block, and how many of them were hits: had an
// error, or exceeded a latency.
struct SideBlock {
  double Calls = 0;
  double Hits = 0;
};

// Natural logarithm of a block's e-variable. The rates must not depend on the
// block itself.
double blockEvidence(const SideBlock &New, const SideBlock &Old, double NewRate,
                     double OldRate);

class SequentialTest {
public:
  static constexpr size_t AlternativeCount = 2;
  using LogFactors = std::array<double, AlternativeCount>;

  // Weight of a fault that is present from the start; the rest is spread over
  // the duration of the rollout.
  static constexpr double WeightAtStart = 0.3;

  // Adds a block's e-variables, one per alternative hypothesis, after assigning
  // Weight to a fault that begins with this block.
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
