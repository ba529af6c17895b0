#include "cyclamenwind/rollouts/sequential_test.h"

#include <algorithm>
#include <cmath>

namespace cyclamenwind {
namespace {

double logSum(double A, double B) {
  double High = std::max(A, B);
  return High + std::log1p(std::exp(std::min(A, B) - High));
}

// Log likelihood ratio of one version at Rate against PooledRate.
double sideEvidence(const SideBlock &Side, double Rate, double PooledRate) {
  return Side.Hits * std::log(Rate / PooledRate) +
         (Side.Calls - Side.Hits) * std::log((1 - Rate) / (1 - PooledRate));
}

} // namespace

double blockEvidence(const SideBlock &New, const SideBlock &Old, double NewRate,
                     double OldRate) {
  double Calls = New.Calls + Old.Calls;
  if (New.Calls <= 0 || Old.Calls <= 0)
    return 0;
  double PooledRate = (New.Calls * NewRate + Old.Calls * OldRate) / Calls;
  return sideEvidence(New, NewRate, PooledRate) +
         sideEvidence(Old, OldRate, PooledRate);
}

double SequentialTest::startLog() {
  return std::log(WeightAtStart / AlternativeCount);
}

void SequentialTest::add(const LogFactors &Factors, double Weight) {
  Weight = std::clamp(Weight, 0.0, 1 - WeightUsed);
  WeightUsed += Weight;
  for (size_t I = 0; I < AlternativeCount; ++I) {
    if (Weight > 0)
      LogSums[I] = logSum(LogSums[I], std::log(Weight / AlternativeCount));
    LogSums[I] += Factors[I];
  }
}

double SequentialTest::logEvidence() const {
  double Sum = logSum(LogSums[0], LogSums[1]);
  double Unused = 1 - WeightUsed;
  return Unused > 0 ? logSum(Sum, std::log(Unused)) : Sum;
}

} // namespace cyclamenwind
