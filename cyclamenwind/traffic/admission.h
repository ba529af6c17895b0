// Admission: which calls a backend server runs now, later or not at all.
//
// A server runs as many calls at once as its limit, which is at most its slots
// and falls while its latency grows (concurrency.h). Beyond that, calls wait in
// a bounded queue: the higher priority first, then the earlier deadline. One
// turn in a few goes to the call that has waited longest, so that no priority
// starves. A call that could not start and end before its deadline is refused
// at once; so is a newcomer to a full queue, unless it displaces a waiting call
// of lower priority. This is pure deciding code.

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

enum class AdmissionVerdict { Run, Queued, Refused };

// What to do with calls after a change.
struct AdmissionActions {
  std::vector<AdmissionId> Run;
  std::vector<AdmissionId> Displaced; // Refused: a higher priority came.
  std::vector<AdmissionId> Expired;   // Refused: no time is left to run.
};

class Admission {
public:
  Admission(int Slots, int QueueLimit)
      : QueueLimit(QueueLimit), Concurrency(Slots) {}

  // Offers a new call. Displaced calls are added to Actions.
  AdmissionVerdict offer(AdmissionId Id, Priority Urgency, TimePoint Deadline,
                         TimePoint Now, AdmissionActions &Actions);

  // A running call has ended; waiting ones may run.
  AdmissionActions finished(AdmissionId Id, TimePoint Now);

  // Removes waiting calls that can no longer end before their deadline.
  AdmissionActions expire(TimePoint Now);

  // A waiting call is given up; says whether it was waiting.
  bool withdraw(AdmissionId Id);

  void resize(int NewSlots, int NewQueueLimit);

  int running() const { return static_cast<int>(Running.size()); }
  int queued() const { return static_cast<int>(Queue.size()); }
  int limit() const { return Concurrency.limit(); }

private:
  // Ordered by urgency (most urgent first), deadline, id.
  using QueueKey = std::tuple<int, TimePoint, AdmissionId>;

  bool hopeless(const QueueKey &Key, TimePoint Now) const;
  AdmissionId nextToRun();
  void runWaiting(TimePoint Now, AdmissionActions &Actions);

  int QueueLimit;
  ConcurrencyLimit Concurrency;
  int TurnsSinceOldest = 0;
  std::map<AdmissionId, TimePoint> Running; // With the time of the start.
  std::set<QueueKey> Queue;
  std::map<AdmissionId, QueueKey> Waiting; // In order of arrival.
};

} // namespace cyclamenwind

#endif
