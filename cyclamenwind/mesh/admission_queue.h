// AdmissionQueue: which requests a backend server runs now, later or not at
// all.
//
// The daemon beside a server runs as many requests on it as it has slots.
// Others wait if they can be expected to end within their latency objective:
// requests that the server's peers send while they run one of their own go
// first, since they hold a slot there, then the more urgent priority, then the
// earlier arrival. A route whose requests are admitted much less often than all
// is put before the others until it is not, so that no kind starves. A request
// that cannot end in time is refused at once, and one that can no longer do so
// while it waits.
//
// The time a request takes is estimated by an exponential average of those that
// ended. Pure deciding code.

#ifndef CYCLAMENWIND_MESH_ADMISSION_QUEUE_H
#define CYCLAMENWIND_MESH_ADMISSION_QUEUE_H

#include "cyclamenwind/base/time.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <tuple>
#include <vector>

namespace cyclamenwind {

using RequestHandle = uint64_t;

enum class QueueDecision { Run, Queued, Refused };

struct QueuedRequest {
  RequestHandle Ticket = 0;
  std::string Route;
  bool Nested = false;
  int Priority = 0;
  TimePoint Objective; // When an answer loses most of its worth.
  TimePoint Deadline;  // When nobody waits for the answer any more.
};

// Requests whose turn has come, and those that are refused after all.
struct QueueActions {
  std::vector<RequestHandle> Run;
  std::vector<RequestHandle> Expired;
};

class AdmissionQueue {
public:
  explicit AdmissionQueue(int Slots) : Slots(Slots) {}

  QueueDecision offer(const QueuedRequest &Offer, TimePoint Now);

  // A running request has ended. Completed: it took its normal course, so its
  // time counts for the estimate.
  QueueActions finished(RequestHandle Ticket, bool Completed, TimePoint Now);

  // Refuses waiting requests that can no longer end in time.
  QueueActions expire(TimePoint Now);

  // Takes out a waiting request; says whether it was waiting.
  bool withdraw(RequestHandle Ticket);

  // Takes out all waiting requests.
  std::vector<RequestHandle> withdrawAll();

  void resize(int NewSlots) { Slots = NewSlots; }

  int running() const { return static_cast<int>(Running.size()); }
  int queued() const { return static_cast<int>(Order.size()); }
  int slots() const { return Slots; }

  // Expected time of a request, once it runs.
  Duration serviceTime() const { return Average.value_or(Duration::zero()); }

  // Expected wait of a request that comes now and is not nested.
  Duration expectedWait() const;

private:
  // Nested first, then priority, then arrival.
  using Key = std::tuple<bool, int, uint64_t>;
  struct Waiting {
    Key Position;
    QueuedRequest Offer;
  };
  // Requests offered and admitted, weighted by recency.
  struct Admissions {
    double Offered = 0;
    double Admitted = 0;
  };
  struct Started {
    std::string Route;
    TimePoint At;
  };

  Duration timeOf(const std::string &Route) const;
  Duration waitBehind(size_t Ahead) const;
  void startWaiting(TimePoint Now, QueueActions &Turns);
  bool isStarved(const std::string &Route) const;
  void countOffer(const std::string &Route, bool Admitted);

  int Slots;
  uint64_t Arrivals = 0;
  std::map<RequestHandle, Started> Running;
  std::map<RequestHandle, Waiting> Queue;
  std::set<std::pair<Key, RequestHandle>> Order;
  std::map<std::string, Admissions> ByRoute;
  Admissions All;
  std::optional<Duration> Average;
  std::map<std::string, Duration> RouteAverage;
};

} // namespace cyclamenwind

#endif
