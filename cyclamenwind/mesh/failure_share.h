// FailureShare: the share of failures among the last outcomes, weighted by
// recency.

#ifndef CYCLAMENWIND_MESH_FAILURE_SHARE_H
#define CYCLAMENWIND_MESH_FAILURE_SHARE_H

#include <algorithm>

namespace cyclamenwind {

class FailureShare {
public:
  void count(bool Failed) {
    ++Samples;
    double Weight = std::max(NewestWeight, 1.0 / Samples);
    Share += Weight * ((Failed ? 1.0 : 0.0) - Share);
  }

  // Zero before MinSamples outcomes.
  double value() const { return Samples < MinSamples ? 0 : Share; }

private:
  static constexpr double NewestWeight = 0.08;
  static constexpr int MinSamples = 4;

  int Samples = 0;
  double Share = 0;
};

} // namespace cyclamenwind

#endif
