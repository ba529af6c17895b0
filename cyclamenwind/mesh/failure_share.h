// FailureShare: recency-weighted share of failures among a backend server's
// outcomes (exponentially weighted moving average).

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

  // Zero until MinSamples outcomes have been counted.
  double value() const { return Samples < MinSamples ? 0 : Share; }

private:
  static constexpr double NewestWeight = 0.08;
  static constexpr int MinSamples = 4;

  int Samples = 0;
  double Share = 0;
};

} // namespace cyclamenwind

#endif
