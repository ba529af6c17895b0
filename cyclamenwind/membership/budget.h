// ByteBudget: a token bucket that bounds the octets sent per second.

#ifndef CYCLAMENWIND_MEMBERSHIP_BUDGET_H
#define CYCLAMENWIND_MEMBERSHIP_BUDGET_H

#include "cyclamenwind/base/time.h"

#include <algorithm>

namespace cyclamenwind {

class ByteBudget {
public:
  ByteBudget(double BytesPerSecond, double Burst)
      : BytesPerSecond(BytesPerSecond), Burst(Burst), Tokens(Burst) {}

  // Whether something may be sent now; what is then spent may overdraw.
  bool available(TimePoint Now) {
    Duration Elapsed = Now - Last;
    Last = Now;
    double Earned = BytesPerSecond * static_cast<double>(Elapsed.count()) / 1e6;
    Tokens = std::min(Burst, Tokens + Earned);
    return Tokens > 0;
  }

  void spend(size_t Bytes) { Tokens -= static_cast<double>(Bytes); }

private:
  double BytesPerSecond;
  double Burst;
  double Tokens;
  TimePoint Last{};
};

} // namespace cyclamenwind

#endif
