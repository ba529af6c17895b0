// AdmissionQueue: decides whether a backend server runs a request now, later or
// not at all.
//
// At most as many requests run on a server as it has slots, and no more start
// per second than the server's rate limit allows, if it has one. The limit is
// spent evenly: what was not used a moment ago cannot be used later, because a
// server names a limit when it is short of capacity. While the server is cold,
// its WarmupLimiter limits the starts as well. Other requests wait if
// they are expected to end within their latency objective. Nested requests come
// first, because the servers that sent them hold a slot until they end; then
// the more urgent priority of the workspace, then that of the route; then the
// request that can wait less by a factor of two or more, since a long objective
// leaves time to let others pass; then the earlier arrival. Ordering by the
// latest start instead would not help under sustained overload: every waiting
// request is then close to it. A route whose requests are admitted much less
// often than those of all routes together (StarvedShare) is placed among the
// nested requests until its rate has recovered, so that no route starves; and
// so is a workspace, compared with all workspaces. A request that cannot end in
// time is refused when it is offered; a waiting request that can no longer end
// in time is refused by expire() or when its turn comes. While a daemon on a
// request's way stops, a request that is not expected to end before that is
// refused as well, also if a slot is free.
//
// Exponential moving averages over completed requests, one per route and one of
// all routes, estimate the time that a request takes. Does no I/O and reads no
// clock.

#ifndef CYCLAMENWIND_MESH_ADMISSION_QUEUE_H
#define CYCLAMENWIND_MESH_ADMISSION_QUEUE_H

#include "cyclamenwind/base/time.h"
#include "cyclamenwind/mesh/warmup_limiter.h"
#include "cyclamenwind/store/token_bucket.h"

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
  RequestHandle Handle = 0;
  std::string Route;
  bool Nested = false; // Sent by a backend server while it runs a request.
  int Priority = 0;
  TimePoint Objective; // A response after this is of little use.
  TimePoint Deadline;  // The caller stops waiting at this time.
  // A response after this cannot be passed on, because a daemon on its way
  // stops.
  std::optional<TimePoint> AnswerBy = std::nullopt;
  std::string Workspace = {};                          // Empty if it has none.
  std::optional<int> WorkspacePriority = std::nullopt; // 0 is the most urgent.

  // The workspace's priority takes precedence over the route's. A request
  // without it ranks by the route's priority among those that have one.
  int rank() const { return WorkspacePriority.value_or(Priority); }
};

// What the inbound proxy has to do after the queue has changed: run some
// requests and refuse others, which can no longer end in time.
struct QueueActions {
  std::vector<RequestHandle> Run;
  std::vector<RequestHandle> Expired;
};

class AdmissionQueue {
public:
  // Counts the requests that start in Warmup, which must outlive the queue;
  // null if the server has no limit for the time in which it is cold.
  explicit AdmissionQueue(int Slots, WarmupLimiter *Warmup = nullptr)
      : Slots(Slots), Warmup(Warmup) {}

  // Runs, queues or refuses a new request.
  QueueDecision offer(const QueuedRequest &Request, TimePoint Now);

  // Whether offer() would run or queue Request if it were offered after Delay,
  // with Ahead other requests offered before it. Changes nothing.
  bool canServe(const QueuedRequest &Request, Duration Delay, int Ahead,
                TimePoint Now) const;

  // Counts a request that was refused because of canServe() and is not offered,
  // so that its route does not starve unnoticed.
  void countRefusal(const QueuedRequest &Request) {
    countOffer(Request, false);
  }

  // Latest time at which Request can start to end in time.
  TimePoint latestStart(const QueuedRequest &Request) const;

  // Removes a running request that has ended. Completed: the server answered
  // it, so its duration is included in the estimate.
  QueueActions finished(RequestHandle Handle, bool Completed, TimePoint Now);

  // Removes and returns the waiting requests that can no longer end in time.
  QueueActions expire(TimePoint Now);

  // Starts waiting requests for which the limits have room by now. Has to be
  // called often while requests wait, since no other event does.
  QueueActions startDue(TimePoint Now);

  // Sets or removes the rate limit, in requests per second, of at least
  // MinRateLimit.
  void limitRate(std::optional<double> PerSecond, TimePoint Now);
  std::optional<double> rateLimit() const { return RateLimit; }

  // Sets AnswerBy of a waiting request, unless it is earlier already. Removes
  // and returns the request, as expired, if it is no longer expected to end in
  // time.
  QueueActions limitAnswer(RequestHandle Handle, TimePoint AnswerBy,
                           TimePoint Now);

  // The same for all waiting requests, in the order in which they would run.
  QueueActions limitAnswers(TimePoint AnswerBy, TimePoint Now);

  // Removes a waiting request. Returns whether it was waiting.
  bool withdraw(RequestHandle Handle);

  // Removes and returns all waiting requests.
  std::vector<RequestHandle> withdrawAll();

  void resize(int NewSlots) { Slots = NewSlots; }

  int running() const { return static_cast<int>(Running.size()); }
  int queued() const { return static_cast<int>(Order.size()); }
  int slots() const { return Slots; }

  // Expected time that a request takes once it runs.
  Duration serviceTime() const { return Average.value_or(Duration::zero()); }

  // Expected wait of a request that would be queued last now.
  Duration expectedWait(TimePoint Now) const;

private:
  // Whether the request is neither nested nor starved, its rank(), its
  // priority, its patience() and its arrival number; the smallest key goes
  // first.
  using Key = std::tuple<bool, int, int, int, uint64_t>;
  struct Waiting {
    Key Position;
    QueuedRequest Request;
  };
  // Numbers of requests offered and admitted, weighted by recency.
  struct Admissions {
    double Offered = 0;
    double Admitted = 0;

    void count(bool IsAdmitted);
    // Whether much fewer of these were admitted than of All.
    bool isStarvedAmong(const Admissions &All) const;
  };
  struct RunningRequest {
    std::string Route;
    TimePoint StartedAt;
  };

  Duration expectedTime(const std::string &Route) const;
  // Expected wait of a request that would be queued at Position.
  Duration waitAt(const Key &Position, TimePoint Now) const;
  // Whether the rate limit and the limit of a cold server allow a request to
  // start, which is counted.
  bool takeRate(TimePoint Now);
  // How long Request can wait from Now on, as a power of two in milliseconds.
  int patience(const QueuedRequest &Request, TimePoint Now) const;
  void runWaiting(TimePoint Now, QueueActions &Actions);
  bool isStarved(const QueuedRequest &Request) const;
  void countOffer(const QueuedRequest &Request, bool Admitted);

  int Slots;
  WarmupLimiter *Warmup;
  uint64_t Arrivals = 0;
  std::map<RequestHandle, RunningRequest> Running;
  std::map<RequestHandle, Waiting> Queue;
  std::set<std::pair<Key, RequestHandle>> Order;
  std::map<std::string, Admissions> ByRoute;
  Admissions AllRoutes;
  std::map<std::string, Admissions> ByWorkspace;
  Admissions AllWorkspaces;
  std::optional<double> RateLimit; // As it was set.
  std::optional<TokenBucket> Rate; // Has a value if RateLimit has one.
  std::optional<Duration> Average;
  std::map<std::string, Duration> RouteAverage;
};

} // namespace cyclamenwind

#endif
