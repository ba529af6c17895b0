#include "cyclamenwind/rollouts/difference.h"

#include <algorithm>
#include <cmath>

namespace cyclamenwind {
void RateDifference::add(const SideBlock &New, const SideBlock &Old) {
  double Calls = New.Calls + Old.Calls;
  if (New.Calls <= 0 || Old.Calls <= 0)
    return;
  double BlockWeight = New.Calls * Old.Calls / Calls;
  double Rate = (New.Hits + Old.Hits) / Calls;
  Weight += BlockWeight;
  Sum += BlockWeight * (New.Hits / New.Calls - Old.Hits / Old.Calls);
  Variance += BlockWeight * Rate * (1 - Rate) * Calls / (Calls - 1);
}

bool RateDifference::below(double Limit, double Deviations) const {
  if (Weight <= 0)
    return false;
  // If the difference were Limit, the variance would be at least this.
  double MinVariance = Weight * Limit * (1 - Limit);
  double Deviation = std::sqrt(std::max(Variance, MinVariance)) / Weight;
  return Sum / Weight + Deviations * Deviation < Limit;
}

} // namespace cyclamenwind
