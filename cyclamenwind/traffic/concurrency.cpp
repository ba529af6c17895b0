#include "cyclamenwind/traffic/concurrency.h"

#include <algorithm>

namespace cyclamenwind {
namespace {

constexpr double ShortSmoothing = 0.1;
constexpr double LongSmoothing = 0.005;
// The server is congested if the short average exceeds CongestionFactor times
// the long average by more than CongestionMarginUs.
constexpr double CongestionFactor = 2.0;
constexpr double CongestionMarginUs = 2e3;
constexpr double DecreaseFactor = 0.9;
// The limit never falls below this share of the slots.
constexpr double MinLimitShare = 0.3;

} // namespace

void ConcurrencyLimit::callFinished(Duration Latency, int Running, TimePoint) {
  double LatencyUs = static_cast<double>(Latency.count());
  if (LongAverage == 0)
    LongAverage = ShortAverage = LatencyUs;
  ShortAverage += ShortSmoothing * (LatencyUs - ShortAverage);
  LongAverage += LongSmoothing * (LatencyUs - LongAverage);
  // The long average follows a lower short average by up to ShortSmoothing per
  // call instead of LongSmoothing.
  LongAverage = std::min(
      LongAverage, std::max(ShortAverage, LongAverage * (1 - ShortSmoothing)));
  if (++CallsSinceUpdate < static_cast<int>(Limit))
    return;
  CallsSinceUpdate = 0;
  double MinLimit =
      std::min<double>(Slots, std::max(1.0, MinLimitShare * Slots));
  bool Congested =
      ShortAverage > CongestionFactor * LongAverage + CongestionMarginUs;
  if (Congested)
    Limit = std::max(MinLimit, Limit * DecreaseFactor);
  else if (Running >= static_cast<int>(Limit))
    Limit = std::min<double>(Slots, Limit + 1);
}

void ConcurrencyLimit::resize(int NewSlots) {
  if (NewSlots == Slots)
    return;
  Slots = NewSlots;
  Limit = NewSlots;
}

} // namespace cyclamenwind
