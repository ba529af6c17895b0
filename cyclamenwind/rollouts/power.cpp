#include "cyclamenwind/rollouts/power.h"

#include <algorithm>
#include <cmath>

namespace cyclamenwind {
namespace {

// Mean and variance of the log likelihood ratio of one call on a version.
struct Moments {
  double Mean = 0;
  double Variance = 0;
};

Moments computeMoments(double Rate, double PooledRate) {
  double Hit = std::log(Rate / PooledRate);
  double NoHit = std::log((1 - Rate) / (1 - PooledRate));
  double Mean = Rate * Hit + (1 - Rate) * NoHit;
  double Square = Rate * Hit * Hit + (1 - Rate) * NoHit * NoHit;
  return {Mean, Square - Mean * Mean};
}

} // namespace

double normalQuantile(double Probability) {
  // Bisection: the tail probability decreases monotonically.
  constexpr int Rounds = 60;
  double Low = 0;
  double High = 10;
  for (int I = 0; I < Rounds; ++I) {
    double Middle = (Low + High) / 2;
    double Tail = std::erfc(Middle / std::sqrt(2.0)) / 2;
    (Tail > Probability ? Low : High) = Middle;
  }
  return Low;
}

double requiredCalls(const PowerParameters &Parameters) {
  constexpr double MaxRate = 0.95;
  double OldPerNew = (1 - Parameters.Share) / std::max(Parameters.Share, 1e-6);
  double NewRate = std::min(Parameters.OldRate + Parameters.Increase, MaxRate);
  double PooledRate =
      Parameters.Share * NewRate + (1 - Parameters.Share) * Parameters.OldRate;
  Moments New = computeMoments(NewRate, PooledRate);
  Moments Old = computeMoments(Parameters.OldRate, PooledRate);
  double Mean = New.Mean + OldPerNew * Old.Mean;
  double Deviation = std::sqrt(New.Variance + OldPerNew * Old.Variance);
  double Margin = Parameters.MissDeviations * Deviation;
  double Root = (Margin + std::sqrt(Margin * Margin +
                                    4 * Mean * Parameters.LogThreshold)) /
                (2 * Mean);
  return Root * Root;
}

} // namespace cyclamenwind
