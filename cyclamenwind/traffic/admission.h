// Admission: which calls a backend server runs now, later or not at all.
//
// A server runs as many calls at once as it has slots. Beyond that, calls wait
// in a bounded queue: the higher priority first, then the earlier deadline. A
// full queue refuses a newcomer unless it displaces a waiting call of lower
// priority. This is pure deciding code.

#ifndef CYCLAMENWIND_TRAFFIC_ADMISSION_H
#define CYCLAMENWIND_TRAFFIC_ADMISSION_H

#include "cyclamenwind/base/time.h"
#include "cyclamenwind/document/document.h"

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
  std::vector<AdmissionId> Expired;   // Refused: the deadline passed.
};

class Admission {
public:
  Admission(int Slots, int QueueLimit) : Slots(Slots), QueueLimit(QueueLimit) {}

  // Offers a new call. Displaced calls are added to Actions.
  AdmissionVerdict offer(AdmissionId Id, Priority Urgency, TimePoint Deadline,
                         TimePoint Now, AdmissionActions &Actions);

  // A running call has ended; waiting ones may run.
  AdmissionActions finished(AdmissionId Id, TimePoint Now);

  // Removes waiting calls whose deadline has passed.
  AdmissionActions expire(TimePoint Now);

  // A waiting call is given up; says whether it was waiting.
  bool withdraw(AdmissionId Id);

  void resize(int NewSlots, int NewQueueLimit);

  int running() const { return static_cast<int>(Running.size()); }
  int queued() const { return static_cast<int>(Queue.size()); }

private:
  // Ordered by urgency (most urgent first), deadline, id.
  using QueueKey = std::tuple<int, TimePoint, AdmissionId>;

  int Slots;
  int QueueLimit;
  std::set<AdmissionId> Running;
  std::set<QueueKey> Queue;
  std::map<AdmissionId, QueueKey> Waiting;
};

} // namespace cyclamenwind

#endif
