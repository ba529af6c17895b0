// RateDifference: estimates the difference of the hit rates of the new and the
// old version, over blocks in which both were called during the same time.
//
// The Mantel-Haenszel estimate of a risk difference (Greenland and Robins,
// 1985): blocks are weighted by the calls of both versions, so that a rate that
// changes over time, while the share changes too, does not appear as a
// difference.

#ifndef CYCLAMENWIND_ROLLOUTS_DIFFERENCE_H
#define CYCLAMENWIND_ROLLOUTS_DIFFERENCE_H

#include "cyclamenwind/rollouts/sequential_test.h"

namespace cyclamenwind {

class RateDifference {
public:
  void add(const SideBlock &New, const SideBlock &Old);

  // Whether the upper bound, Deviations standard deviations above the estimate,
  // is below Limit.
  bool below(double Limit, double Deviations) const;

private:
  double Weight = 0;
  double Sum = 0;      // Of the weighted differences.
  double Variance = 0; // Of Sum.
};

} // namespace cyclamenwind

#endif
