// Exponential backoff with jitter.

#ifndef CYCLAMENWIND_BASE_BACKOFF_H
#define CYCLAMENWIND_BASE_BACKOFF_H

#include "cyclamenwind/base/random.h"

#include <algorithm>

namespace cyclamenwind {

// Delay before the attempt that follows Failures failures in a row: Base
// doubled for each failure after the first, at most Limit, spread over half its
// span.
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
