#include "cyclamenwind/mesh/admission_queue.h"

#include <algorithm>

namespace cyclamenwind {
namespace {

// Weight of the newest request in the averages: the last dozen count most.
constexpr double NewestWeight = 0.12;
// A route is starved when its requests are admitted less often than this part
// of how often all are. Below a quarter the platform calls it starved.
constexpr double StarvedShare = 0.5;
// Weight that counts of admissions keep with each further one: the last fifty
// count most.
constexpr double AdmissionMemory = 0.98;

void average(std::optional<Duration> &Mean, Duration Newest) {
  if (!Mean) {
    Mean = Newest;
    return;
  }
  double Mixed = static_cast<double>(Mean->count()) * (1 - NewestWeight) +
                 static_cast<double>(Newest.count()) * NewestWeight;
  Mean = Duration(static_cast<int64_t>(Mixed));
}

} // namespace

Duration AdmissionQueue::timeOf(const std::string &Route) const {
  auto Found = RouteAverage.find(Route);
  return Found == RouteAverage.end() ? serviceTime() : Found->second;
}

// A slot comes free every serviceTime() / Slots.
Duration AdmissionQueue::waitBehind(size_t Ahead) const {
  if (running() < Slots)
    return Duration::zero();
  return serviceTime() * static_cast<int64_t>(Ahead + 1) / std::max(1, Slots);
}

Duration AdmissionQueue::expectedWait() const {
  return waitBehind(Order.size());
}

bool AdmissionQueue::isStarved(const std::string &Route) const {
  auto Found = ByRoute.find(Route);
  if (Found == ByRoute.end() || All.Offered < 1)
    return false;
  double Usual = All.Admitted / All.Offered;
  return Found->second.Admitted < StarvedShare * Usual * Found->second.Offered;
}

void AdmissionQueue::countOffer(const std::string &Route, bool Admitted) {
  for (Admissions *Each : {&ByRoute[Route], &All}) {
    Each->Offered = Each->Offered * AdmissionMemory + 1;
    Each->Admitted = Each->Admitted * AdmissionMemory + (Admitted ? 1 : 0);
  }
}

QueueDecision AdmissionQueue::offer(const QueuedRequest &Offer, TimePoint Now) {
  if (running() < Slots && Order.empty()) {
    Running[Offer.Ticket] = {Offer.Route, Now};
    countOffer(Offer.Route, true);
    return QueueDecision::Run;
  }
  bool First = Offer.Nested || isStarved(Offer.Route);
  Key Position{!First, Offer.Priority, Arrivals++};
  auto Behind = Order.lower_bound({Position, 0});
  auto Ahead = static_cast<size_t>(std::distance(Order.begin(), Behind));
  TimePoint End = Now + waitBehind(Ahead) + timeOf(Offer.Route);
  bool Admitted = End <= std::min(Offer.Objective, Offer.Deadline);
  countOffer(Offer.Route, Admitted);
  if (!Admitted)
    return QueueDecision::Refused;
  Queue[Offer.Ticket] = {Position, Offer};
  Order.insert({Position, Offer.Ticket});
  return QueueDecision::Queued;
}

QueueActions AdmissionQueue::finished(RequestHandle Ticket, bool Completed,
                                      TimePoint Now) {
  QueueActions Turns;
  auto Found = Running.find(Ticket);
  if (Found == Running.end())
    return Turns;
  if (Completed) {
    Duration Taken = Now - Found->second.At;
    average(Average, Taken);
    std::optional<Duration> OfRoute;
    auto Known = RouteAverage.find(Found->second.Route);
    if (Known != RouteAverage.end())
      OfRoute = Known->second;
    average(OfRoute, Taken);
    RouteAverage[Found->second.Route] = *OfRoute;
  }
  Running.erase(Found);
  startWaiting(Now, Turns);
  return Turns;
}

QueueActions AdmissionQueue::expire(TimePoint Now) {
  QueueActions Turns;
  for (const auto &[Ticket, Each] : Queue)
    if (Now + timeOf(Each.Offer.Route) >
        std::min(Each.Offer.Objective, Each.Offer.Deadline))
      Turns.Expired.push_back(Ticket);
  for (RequestHandle Each : Turns.Expired)
    withdraw(Each);
  return Turns;
}

bool AdmissionQueue::withdraw(RequestHandle Ticket) {
  auto Found = Queue.find(Ticket);
  if (Found == Queue.end())
    return false;
  Order.erase({Found->second.Position, Ticket});
  Queue.erase(Found);
  return true;
}

std::vector<RequestHandle> AdmissionQueue::withdrawAll() {
  std::vector<RequestHandle> Result;
  for (const auto &[Position, Ticket] : Order)
    Result.push_back(Ticket);
  Queue.clear();
  Order.clear();
  return Result;
}

void AdmissionQueue::startWaiting(TimePoint Now, QueueActions &Turns) {
  while (running() < Slots && !Order.empty()) {
    RequestHandle Ticket = Order.begin()->second;
    Order.erase(Order.begin());
    const QueuedRequest &Offer = Queue.at(Ticket).Offer;
    if (Now + timeOf(Offer.Route) > std::min(Offer.Objective, Offer.Deadline)) {
      Turns.Expired.push_back(Ticket);
    } else {
      Running[Ticket] = {Offer.Route, Now};
      Turns.Run.push_back(Ticket);
    }
    Queue.erase(Ticket);
  }
}

} // namespace cyclamenwind
