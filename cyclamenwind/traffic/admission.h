// Admission: decides which calls to one backend server run now, are queued or
// are refused.
//
// A server runs at most limit() calls at once. The limit is at most the
// server's slots and falls while its latency grows (concurrency.h). Further
// calls wait in a bounded queue, ordered by priority (highest first), then by
// deadline (earliest first). Every StartsPerOldest-th start takes the call that
// has been queued longest, so that no priority starves.
//
// A call that is expected to miss its deadline is refused at once. A call that
// finds the queue full displaces the last queued call if that has a lower
// priority, and is refused otherwise.
//
// Does no I/O and reads no clock: callers pass the current time and carry out
// the returned actions.

#ifndef CYCLAMENWIND_TRAFFIC_ADMISSION_H
#define CYCLAMENWIND_TRAFFIC_ADMISSION_H

#include "cyclamenwind/base/time.h"
#include "cyclamenwind/document/document.h"
#include "cyclamenwind/traffic/concurrency.h"

#include <cstdint>
#include <map>
#include <set>
#include <tuple>
#include <vector>

namespace cyclamenwind {

using AdmissionId = uint64_t;

enum class AdmissionDecision { Run, Queued, Refused };

// Calls to start or refuse after a change of the queue.
struct AdmissionActions {
  std::vector<AdmissionId> Run;
  // Refused: displaced by a call of higher priority.
  std::vector<AdmissionId> Displaced;
  // Refused: too little time left before the deadline.
  std::vector<AdmissionId> Expired;
};

class Admission {
public:
  Admission(int Slots, int QueueLimit)
      : QueueLimit(QueueLimit), Concurrency(Slots) {}

  // Decides on a new call. A call displaced by it is added to Actions.
  AdmissionDecision tryAdmit(AdmissionId Id, Priority CallPriority,
                             TimePoint Deadline, TimePoint Now,
                             AdmissionActions &Actions);

  // Ends a running call. Returns the queued calls to start in its place, and
  // those that expired.
  AdmissionActions callFinished(AdmissionId Id, TimePoint Now);

  // Removes queued calls whose remaining time is at most MinLatencyShare of the
  // typical latency.
  AdmissionActions expire(TimePoint Now);

  // Removes a queued call; returns whether it was queued.
  bool removeQueued(AdmissionId Id);

  void resize(int NewSlots, int NewQueueLimit);

  int running() const { return static_cast<int>(Running.size()); }
  int queued() const { return static_cast<int>(Queue.size()); }
  int limit() const { return Concurrency.limit(); }

private:
  // Ordered by priority (highest first), deadline, id.
  using QueueKey = std::tuple<int, TimePoint, AdmissionId>;

  bool wouldMissDeadline(const QueueKey &Key, TimePoint Now) const;
  AdmissionId nextToRun();
  void runQueued(TimePoint Now, AdmissionActions &Actions);

  int QueueLimit;
  ConcurrencyLimit Concurrency;
  int StartsSinceOldest = 0;
  std::map<AdmissionId, TimePoint> Running; // Start time by call.
  std::set<QueueKey> Queue;
  std::map<AdmissionId, QueueKey> QueuedById; // Ids ascend in order of arrival.
};

} // namespace cyclamenwind

#endif
