// Random: a seeded random number generator. The same seed gives the same
// sequence, so that a run can be reproduced.

#ifndef CYCLAMENWIND_BASE_RANDOM_H
#define CYCLAMENWIND_BASE_RANDOM_H

#include "cyclamenwind/base/time.h"

#include <cstdint>
#include <random>

namespace cyclamenwind {

class Random {
public:
  explicit Random(uint64_t Seed) : Engine(Seed) {}

  // Returns a uniform integer in [0, Limit). Limit must be positive.
  uint64_t below(uint64_t Limit) {
    return std::uniform_int_distribution<uint64_t>(0, Limit - 1)(Engine);
  }

  // Returns a uniform number in [0, 1).
  double fraction() {
    return std::uniform_real_distribution<double>(0.0, 1.0)(Engine);
  }

  // Returns a uniform duration in [Span * (1 - Spread), Span * (1 + Spread)).
  Duration jittered(Duration Span, double Spread) {
    double Factor = 1.0 + Spread * (2.0 * fraction() - 1.0);
    return Duration(static_cast<int64_t>(Span.count() * Factor));
  }

  // Returns 64 uniform bits.
  uint64_t next() { return Engine(); }

private:
  std::mt19937_64 Engine;
};

} // namespace cyclamenwind

#endif
