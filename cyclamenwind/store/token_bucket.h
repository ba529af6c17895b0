// TokenBucket: a rate limit with a burst.

#ifndef CYCLAMENWIND_STORE_TOKEN_BUCKET_H
#define CYCLAMENWIND_STORE_TOKEN_BUCKET_H

#include "cyclamenwind/base/time.h"

#include <algorithm>

namespace cyclamenwind {

class TokenBucket {
public:
  // Rate in tokens a second; Burst is how many can gather.
  TokenBucket(double Rate, double Burst)
      : Rate(Rate), Burst(Burst), Tokens(Burst) {}

  // Takes a token if more than Reserve would be left without it.
  bool take(double Reserve, TimePoint Now) {
    refill(Now);
    if (Tokens < Reserve + 1)
      return false;
    Tokens -= 1;
    return true;
  }

  // How long until take(Reserve) succeeds, if nothing else takes tokens.
  Duration wait(double Reserve, TimePoint Now) {
    refill(Now);
    double Missing = std::max(0.0, Reserve + 1 - Tokens);
    return Duration(static_cast<int64_t>(Missing / Rate * 1e6) + 1);
  }

private:
  void refill(TimePoint Now) {
    double Elapsed = std::chrono::duration<double>(Now - Last).count();
    Tokens = std::min(Burst, Tokens + std::max(0.0, Elapsed) * Rate);
    Last = Now;
  }

  double Rate;
  double Burst;
  double Tokens;
  TimePoint Last;
};

} // namespace cyclamenwind

#endif
