#include "cyclamenwind/traffic/concurrency.h"

#include <algorithm>

namespace cyclamenwind {
namespace {

constexpr double RecentSmoothing = 0.1;
constexpr double UsualSmoothing = 0.005;
// Recent latency above the usual one by this factor and margin is congestion.
constexpr double CongestionFactor = 2.0;
constexpr double CongestionMargin = 2e3; // Microseconds.
constexpr double Decrease = 0.9;
// A share of the slots that is always given.
constexpr double MinShare = 0.3;

} // namespace

void ConcurrencyLimit::finished(Duration Latency, int Running, TimePoint) {
  double Micros = static_cast<double>(Latency.count());
  if (Usual == 0)
    Usual = Recent = Micros;
  Recent += RecentSmoothing * (Micros - Recent);
  Usual += UsualSmoothing * (Micros - Usual);
  // The usual latency follows a faster one soon.
  Usual = std::min(Usual, std::max(Recent, Usual * (1 - RecentSmoothing)));
  if (++SinceChange < static_cast<int>(Limit))
    return;
  SinceChange = 0;
  double Least = std::min<double>(Slots, std::max(1.0, MinShare * Slots));
  bool Congested = Recent > CongestionFactor * Usual + CongestionMargin;
  if (Congested)
    Limit = std::max(Least, Limit * Decrease);
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
