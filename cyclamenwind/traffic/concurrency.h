// ConcurrencyLimit: how many calls a backend server is given at once.
//
// The limit is at most the slots that the server announced. It falls by a share
// when recent calls take much longer than calls usually do on this server,
// since the server then has less room than it says, and grows by one at a time
// when they do not. Pure deciding code.

#ifndef CYCLAMENWIND_TRAFFIC_CONCURRENCY_H
#define CYCLAMENWIND_TRAFFIC_CONCURRENCY_H

#include "cyclamenwind/base/time.h"

namespace cyclamenwind {

class ConcurrencyLimit {
public:
  explicit ConcurrencyLimit(int Slots) : Slots(Slots), Limit(Slots) {}

  // A call ended after Latency while Running calls, with it, were running.
  void finished(Duration Latency, int Running, TimePoint Now);

  void resize(int NewSlots);

  // At least 1 if there is a slot.
  int limit() const { return static_cast<int>(Limit); }

  // Usual time of a call; zero before the first.
  Duration usualLatency() const {
    return Duration(static_cast<int64_t>(Usual));
  }

private:
  int Slots;
  double Limit;
  double Usual = 0;  // Microseconds, smoothed over long.
  double Recent = 0; // Microseconds, smoothed over short.
  int SinceChange = 0;
};

} // namespace cyclamenwind

#endif
