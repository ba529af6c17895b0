// ConcurrencyLimit: how many calls a backend server runs at once.
//
// The limit is at most the slots that the server registered with, and is
// updated once per limit() finished calls. If the short average of the latency
// is far above the long average, the server has less capacity than its slots
// say, and the limit falls by a factor. Otherwise it grows by one if limit()
// calls were running.
//
// Does no I/O and reads no clock.

#ifndef CYCLAMENWIND_TRAFFIC_CONCURRENCY_H
#define CYCLAMENWIND_TRAFFIC_CONCURRENCY_H

#include "cyclamenwind/base/time.h"

namespace cyclamenwind {

class ConcurrencyLimit {
public:
  explicit ConcurrencyLimit(int Slots) : Slots(Slots), Limit(Slots) {}

  // Records a call that took Latency; Running is the number of running calls
  // including it.
  void callFinished(Duration Latency, int Running, TimePoint Now);

  void resize(int NewSlots);

  // At least 1 if the server has a slot.
  int limit() const { return static_cast<int>(Limit); }

  // Long average of the latency; zero before the first call.
  Duration typicalLatency() const {
    return Duration(static_cast<int64_t>(LongAverage));
  }

private:
  int Slots;
  double Limit;
  double LongAverage = 0;  // Microseconds; smoothed by LongSmoothing.
  double ShortAverage = 0; // Microseconds; smoothed by ShortSmoothing.
  int CallsSinceUpdate = 0;
};

} // namespace cyclamenwind

#endif
