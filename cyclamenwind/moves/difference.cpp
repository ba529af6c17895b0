#include "cyclamenwind/moves/difference.h"

#include "cyclamenwind/moves/power.h"

#include <algorithm>
#include <cmath>

namespace cyclamenwind {
namespace {

// Looks at the estimate are many and alike; this many count as independent.
constexpr double IndependentLooks = 5;

} // namespace

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

bool RateDifference::below(double Limit, double MissRate) const {
  if (Weight <= 0)
    return false;
  // Were the difference Limit, the variance would be at least this.
  double Least = Weight * Limit * (1 - Limit);
  double Deviation = std::sqrt(std::max(Variance, Least)) / Weight;
  return Sum / Weight +
             normalQuantile(MissRate / IndependentLooks) * Deviation <
         Limit;
}

} // namespace cyclamenwind
