#include "cyclamenwind/mesh/admission_queue.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace cyclamenwind {
namespace {

// Weight of the newest request in the moving averages; mostly the last dozen
// requests count.
constexpr double NewestWeight = 0.12;
// A route is starved if its rate of admission is less than this part of the
// rate of all routes. The platform counts a route as starved below a quarter.
constexpr double StarvedShare = 0.5;
// Factor by which each further request decays the counts of admissions; mostly
// the last fifty requests count.
constexpr double AdmissionDecay = 0.98;
// A server that takes nothing still gets a request every two seconds: only its
// answers tell when the limit ends.
constexpr double MinRateLimit = 0.5;
// The part of a second's requests that may start at once.
constexpr double RateBurstSeconds = 0.2;

void updateAverage(std::optional<Duration> &Mean, Duration Newest) {
  if (!Mean) {
    Mean = Newest;
    return;
  }
  double Mixed = static_cast<double>(Mean->count()) * (1 - NewestWeight) +
                 static_cast<double>(Newest.count()) * NewestWeight;
  Mean = Duration(static_cast<int64_t>(Mixed));
}

} // namespace

Duration AdmissionQueue::expectedTime(const std::string &Route) const {
  auto Found = RouteAverage.find(Route);
  return Found == RouteAverage.end() ? serviceTime() : Found->second;
}

TimePoint AdmissionQueue::latestStart(const QueuedRequest &Request) const {
  TimePoint EndBy = std::min(Request.Objective, Request.Deadline);
  if (Request.AnswerBy)
    EndBy = std::min(EndBy, *Request.AnswerBy);
  return EndBy - expectedTime(Request.Route);
}

int AdmissionQueue::patience(const QueuedRequest &Request,
                             TimePoint Now) const {
  auto Left = static_cast<double>(milliseconds(latestStart(Request) - Now));
  return std::ilogb(std::max(1.0, Left));
}

// On average, one slot becomes free every serviceTime() / Slots, and those
// ahead in the queue occupy the slots for their expected times first. Each of
// them also takes its part of the rate limit and of the limit of a cold server.
Duration AdmissionQueue::waitAt(const Key &Position, TimePoint Now) const {
  Duration Work = serviceTime();
  int RequestsAhead = 0;
  for (const auto &[Ahead, Handle] : Order) {
    if (Position < Ahead)
      break;
    Work += expectedTime(Queue.at(Handle).Request.Route);
    ++RequestsAhead;
  }
  Duration ForSlot =
      running() < Slots ? Duration::zero() : Work / std::max(1, Slots);
  Duration ForRate =
      Rate ? Rate->timeUntilAvailable(RequestsAhead, Now) : Duration::zero();
  Duration ForWarmup =
      Warmup == nullptr
          ? Duration::zero()
          : Warmup->timeUntilSend(static_cast<size_t>(RequestsAhead), Now);
  return std::max({ForSlot, ForRate, ForWarmup});
}

void AdmissionQueue::limitRate(std::optional<double> PerSecond, TimePoint Now) {
  RateLimit = PerSecond;
  if (!PerSecond) {
    Rate.reset();
    return;
  }
  double Limit = std::max(*PerSecond, MinRateLimit);
  double Burst = std::max(1.0, Limit * RateBurstSeconds);
  if (Rate)
    Rate->setRate(Limit, Burst, Now);
  else
    Rate.emplace(Limit, Burst);
}

bool AdmissionQueue::takeRate(TimePoint Now) {
  if (Warmup != nullptr && !Warmup->maySend(Now))
    return false;
  if (Rate && !Rate->tryTake(/*Reserve=*/0, Now))
    return false;
  if (Warmup != nullptr)
    Warmup->countSend(Now);
  return true;
}

Duration AdmissionQueue::expectedWait(TimePoint Now) const {
  constexpr int AnyPriority = std::numeric_limits<int>::max();
  constexpr int AnyPatience = std::numeric_limits<int>::max();
  return waitAt(Key(true, AnyPriority, AnyPriority, AnyPatience, Arrivals),
                Now);
}

void AdmissionQueue::Admissions::count(bool IsAdmitted) {
  Offered = Offered * AdmissionDecay + 1;
  Admitted = Admitted * AdmissionDecay + (IsAdmitted ? 1 : 0);
}

bool AdmissionQueue::Admissions::isStarvedAmong(const Admissions &All) const {
  if (All.Offered < 1)
    return false;
  double OverallRate = All.Admitted / All.Offered;
  return Admitted < StarvedShare * OverallRate * Offered;
}

bool AdmissionQueue::isStarved(const QueuedRequest &Request) const {
  auto Route = ByRoute.find(Request.Route);
  if (Route != ByRoute.end() && Route->second.isStarvedAmong(AllRoutes))
    return true;
  auto Found = ByWorkspace.find(Request.Workspace);
  return Found != ByWorkspace.end() &&
         Found->second.isStarvedAmong(AllWorkspaces);
}

void AdmissionQueue::countOffer(const QueuedRequest &Request, bool Admitted) {
  ByRoute[Request.Route].count(Admitted);
  AllRoutes.count(Admitted);
  if (Request.Workspace.empty())
    return;
  ByWorkspace[Request.Workspace].count(Admitted);
  AllWorkspaces.count(Admitted);
}

QueueDecision AdmissionQueue::offer(const QueuedRequest &Request,
                                    TimePoint Now) {
  if (Request.AnswerBy &&
      Now + expectedTime(Request.Route) > *Request.AnswerBy) {
    countOffer(Request, false);
    return QueueDecision::Refused;
  }
  if (running() < Slots && Order.empty() && takeRate(Now)) {
    Running[Request.Handle] = {Request.Route, Now};
    countOffer(Request, true);
    return QueueDecision::Run;
  }
  bool GoesFirst = Request.Nested || isStarved(Request);
  Key Position{!GoesFirst, Request.rank(), Request.Priority,
               patience(Request, Now), Arrivals++};
  bool Admitted = Now + waitAt(Position, Now) <= latestStart(Request);
  countOffer(Request, Admitted);
  if (!Admitted)
    return QueueDecision::Refused;
  Queue[Request.Handle] = {Position, Request};
  Order.insert({Position, Request.Handle});
  return QueueDecision::Queued;
}

bool AdmissionQueue::canServe(const QueuedRequest &Request, Duration Delay,
                              int Ahead, TimePoint Now) const {
  if (Request.AnswerBy &&
      Now + Delay + expectedTime(Request.Route) > *Request.AnswerBy)
    return false;
  Duration ForRate =
      Rate ? Rate->timeUntilAvailable(Ahead, Now) : Duration::zero();
  if (running() + Ahead < Slots && Order.empty() && ForRate <= Delay)
    return true;
  bool GoesFirst = Request.Nested || isStarved(Request);
  Key Position{!GoesFirst, Request.rank(), Request.Priority,
               patience(Request, Now), Arrivals};
  Duration ForSlot =
      waitAt(Position, Now) + Ahead * serviceTime() / std::max(1, Slots);
  return Now + std::max({Delay, ForSlot, ForRate}) <= latestStart(Request);
}

QueueActions AdmissionQueue::finished(RequestHandle Handle, bool Completed,
                                      TimePoint Now) {
  QueueActions Actions;
  auto Found = Running.find(Handle);
  if (Found == Running.end())
    return Actions;
  if (Completed) {
    Duration Elapsed = Now - Found->second.StartedAt;
    updateAverage(Average, Elapsed);
    std::optional<Duration> RouteMean;
    auto Previous = RouteAverage.find(Found->second.Route);
    if (Previous != RouteAverage.end())
      RouteMean = Previous->second;
    updateAverage(RouteMean, Elapsed);
    RouteAverage[Found->second.Route] = *RouteMean;
  }
  Running.erase(Found);
  runWaiting(Now, Actions);
  return Actions;
}

QueueActions AdmissionQueue::startDue(TimePoint Now) {
  QueueActions Actions;
  runWaiting(Now, Actions);
  return Actions;
}

QueueActions AdmissionQueue::expire(TimePoint Now) {
  QueueActions Actions;
  for (const auto &[Handle, Entry] : Queue)
    if (Now > latestStart(Entry.Request))
      Actions.Expired.push_back(Handle);
  for (RequestHandle Handle : Actions.Expired)
    withdraw(Handle);
  return Actions;
}

QueueActions AdmissionQueue::limitAnswer(RequestHandle Handle,
                                         TimePoint AnswerBy, TimePoint Now) {
  QueueActions Actions;
  auto Found = Queue.find(Handle);
  if (Found == Queue.end())
    return Actions;
  Waiting Entry = Found->second;
  withdraw(Handle);
  Entry.Request.AnswerBy =
      std::min(AnswerBy, Entry.Request.AnswerBy.value_or(AnswerBy));
  if (Now + waitAt(Entry.Position, Now) > latestStart(Entry.Request)) {
    Actions.Expired.push_back(Handle);
    return Actions;
  }
  Order.insert({Entry.Position, Handle});
  Queue[Handle] = std::move(Entry);
  return Actions;
}

QueueActions AdmissionQueue::limitAnswers(TimePoint AnswerBy, TimePoint Now) {
  std::vector<RequestHandle> Handles;
  for (const auto &[Position, Handle] : Order)
    Handles.push_back(Handle);
  QueueActions Actions;
  for (RequestHandle Handle : Handles)
    for (RequestHandle Expired : limitAnswer(Handle, AnswerBy, Now).Expired)
      Actions.Expired.push_back(Expired);
  return Actions;
}

bool AdmissionQueue::withdraw(RequestHandle Handle) {
  auto Found = Queue.find(Handle);
  if (Found == Queue.end())
    return false;
  Order.erase({Found->second.Position, Handle});
  Queue.erase(Found);
  return true;
}

std::vector<RequestHandle> AdmissionQueue::withdrawAll() {
  std::vector<RequestHandle> Result;
  for (const auto &[Position, Handle] : Order)
    Result.push_back(Handle);
  Queue.clear();
  Order.clear();
  return Result;
}

void AdmissionQueue::runWaiting(TimePoint Now, QueueActions &Actions) {
  while (running() < Slots && !Order.empty()) {
    RequestHandle Handle = Order.begin()->second;
    const QueuedRequest &Request = Queue.at(Handle).Request;
    if (Now > latestStart(Request)) {
      Actions.Expired.push_back(Handle);
    } else if (takeRate(Now)) {
      Running[Handle] = {Request.Route, Now};
      Actions.Run.push_back(Handle);
    } else {
      return;
    }
    withdraw(Handle);
  }
}

} // namespace cyclamenwind
