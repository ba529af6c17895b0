// Exponential backoff with jitter.

#ifndef CYCLAMENWIND_BASE_BACKOFF_H
#define CYCLAMENWIND_BASE_BACKOFF_H

#include "cyclamenwind/base/random.h"

#include <algorithm>

namespace cyclamenwind {

// Returns the delay before the next attempt after Failures consecutive
// failures: Base, doubled for each failure after the first, at most Limit, then
// multiplied by a random factor in [0.5, 1.5).
inline Duration backoffDelay(int Failures, Duration Base, Duration Limit,
                             Random &Jitter) {
  constexpr int MaxDoublings = 20;
  constexpr double Spread = 0.5;
  int Doublings = std::clamp(Failures - 1, 0, MaxDoublings);
  Duration Delay = std::min(Limit, Base * (int64_t(1) << Doublings));
  return Jitter.jittered(Delay, Spread);
}

} // namespace cyclamenwind

#endif
