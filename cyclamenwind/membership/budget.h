// ByteBudget: a token bucket that limits the bytes sent per second.

#ifndef CYCLAMENWIND_MEMBERSHIP_BUDGET_H
#define CYCLAMENWIND_MEMBERSHIP_BUDGET_H

#include "cyclamenwind/base/time.h"

#include <algorithm>

namespace cyclamenwind {

class ByteBudget {
public:
  ByteBudget(double BytesPerSecond, double Burst)
      : BytesPerSecond(BytesPerSecond), Burst(Burst), Tokens(Burst) {}

  // Refills the bucket; true if a message may be sent now. Since any positive
  // balance allows a message, spend() may take the balance below zero.
  bool available(TimePoint Now) {
    Duration Elapsed = Now - LastRefill;
    LastRefill = Now;
    double Refill = BytesPerSecond * static_cast<double>(Elapsed.count()) / 1e6;
    Tokens = std::min(Burst, Tokens + Refill);
    return Tokens > 0;
  }

  void spend(size_t Bytes) { Tokens -= static_cast<double>(Bytes); }

private:
  double BytesPerSecond;
  double Burst;
  double Tokens;
  TimePoint LastRefill{};
};

} // namespace cyclamenwind

#endif
