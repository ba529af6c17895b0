// TokenBucket: a token bucket rate limiter.

#ifndef CYCLAMENWIND_STORE_TOKEN_BUCKET_H
#define CYCLAMENWIND_STORE_TOKEN_BUCKET_H

#include "cyclamenwind/base/time.h"

#include <algorithm>

namespace cyclamenwind {

class TokenBucket {
public:
  // Rate is in tokens per second; Burst is the capacity of the bucket, which
  // starts full.
  TokenBucket(double Rate, double Burst)
      : Rate(Rate), Burst(Burst), Tokens(Burst) {}

  // Changes the rate and the capacity. Tokens beyond the capacity are lost.
  void setRate(double NewRate, double NewBurst, TimePoint Now) {
    refill(Now);
    Rate = NewRate;
    Burst = NewBurst;
    Tokens = std::min(Burst, Tokens);
  }

  // Takes a token if at least Reserve tokens remain afterwards.
  bool tryTake(double Reserve, TimePoint Now) {
    refill(Now);
    if (Tokens < Reserve + 1)
      return false;
    Tokens -= 1;
    return true;
  }

  // Time until tryTake(Reserve) succeeds if no other token is taken meanwhile.
  Duration timeUntilAvailable(double Reserve, TimePoint Now) const {
    double Missing = std::max(0.0, Reserve + 1 - tokensAt(Now));
    return Duration(static_cast<int64_t>(Missing / Rate * 1e6) + 1);
  }

private:
  double tokensAt(TimePoint Now) const {
    double Elapsed = std::chrono::duration<double>(Now - LastRefill).count();
    return std::min(Burst, Tokens + std::max(0.0, Elapsed) * Rate);
  }

  void refill(TimePoint Now) {
    Tokens = tokensAt(Now);
    LastRefill = Now;
  }

  double Rate;
  double Burst;
  double Tokens;
  TimePoint LastRefill;
};

} // namespace cyclamenwind

#endif
