#include "cyclamenwind/rollouts/power.h"

#include <algorithm>
#include <cmath>

namespace cyclamenwind {
namespace {

// Mean and variance, of the log likelihood ratio for each call on a side.
struct Moments {
  double Mean = 0;
  double Variance = 0;
};

Moments momentsOf(double Rate, double Common) {
  double Hit = std::log(Rate / Common);
  double NoHit = std::log((1 - Rate) / (1 - Common));
  double Mean = Rate * Hit + (1 - Rate) * NoHit;
  double Square = Rate * Hit * Hit + (1 - Rate) * NoHit * NoHit;
  return {Mean, Square - Mean * Mean};
}

} // namespace

double normalQuantile(double Probability) {
  // Bisection: the tail falls monotonically.
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

double requiredCalls(const PowerParameters &Question) {
  constexpr double MaxRate = 0.95;
  double OldPerNew = (1 - Question.Share) / std::max(Question.Share, 1e-6);
  double NewRate = std::min(Question.OldRate + Question.Increase, MaxRate);
  double Common =
      Question.Share * NewRate + (1 - Question.Share) * Question.OldRate;
  Moments New = momentsOf(NewRate, Common);
  Moments Old = momentsOf(Question.OldRate, Common);
  double Mean = New.Mean + OldPerNew * Old.Mean;
  double Deviation = std::sqrt(New.Variance + OldPerNew * Old.Variance);
  double Spread = Question.MissDeviations * Deviation;
  double Root =
      (Spread + std::sqrt(Spread * Spread + 4 * Mean * Question.LogThreshold)) /
      (2 * Mean);
  return Root * Root;
}

} // namespace cyclamenwind
