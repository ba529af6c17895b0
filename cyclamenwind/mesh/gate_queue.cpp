#include "cyclamenwind/mesh/gate_queue.h"

#include <algorithm>

namespace cyclamenwind {
namespace {

// Weight of the newest request in the averages: the last dozen count most.
constexpr double NewestWeight = 0.12;

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

Duration GateQueue::timeOf(const std::string &Route) const {
  auto Found = RouteAverage.find(Route);
  return Found == RouteAverage.end() ? serviceTime() : Found->second;
}

// A slot comes free every serviceTime() / Slots.
Duration GateQueue::waitBehind(size_t Ahead) const {
  if (running() < Slots)
    return Duration::zero();
  return serviceTime() * static_cast<int64_t>(Ahead + 1) / std::max(1, Slots);
}

Duration GateQueue::expectedWait() const { return waitBehind(Order.size()); }

GateVerdict GateQueue::offer(const GateOffer &Offer, TimePoint Now) {
  if (running() < Slots && Order.empty()) {
    Running[Offer.Ticket] = {Offer.Route, Now};
    return GateVerdict::Run;
  }
  Key Position{!Offer.Nested, Offer.Priority, Arrivals++};
  auto Behind = Order.lower_bound({Position, 0});
  auto Ahead = static_cast<size_t>(std::distance(Order.begin(), Behind));
  TimePoint End = Now + waitBehind(Ahead) + timeOf(Offer.Route);
  if (End > std::min(Offer.Objective, Offer.Deadline))
    return GateVerdict::Refused;
  Queue[Offer.Ticket] = {Position, Offer};
  Order.insert({Position, Offer.Ticket});
  return GateVerdict::Queued;
}

GateTurns GateQueue::finished(GateTicket Ticket, bool Completed,
                              TimePoint Now) {
  GateTurns Turns;
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

GateTurns GateQueue::expire(TimePoint Now) {
  GateTurns Turns;
  for (const auto &[Ticket, Each] : Queue)
    if (Now + timeOf(Each.Offer.Route) >
        std::min(Each.Offer.Objective, Each.Offer.Deadline))
      Turns.Expired.push_back(Ticket);
  for (GateTicket Each : Turns.Expired)
    withdraw(Each);
  return Turns;
}

bool GateQueue::withdraw(GateTicket Ticket) {
  auto Found = Queue.find(Ticket);
  if (Found == Queue.end())
    return false;
  Order.erase({Found->second.Position, Ticket});
  Queue.erase(Found);
  return true;
}

std::vector<GateTicket> GateQueue::withdrawAll() {
  std::vector<GateTicket> Result;
  for (const auto &[Position, Ticket] : Order)
    Result.push_back(Ticket);
  Queue.clear();
  Order.clear();
  return Result;
}

GateTicket GateQueue::takeNext() {
  auto Next = Order.begin();
  if (++TurnsSinceOldest >= FairnessTurns) {
    TurnsSinceOldest = 0;
    Next = std::min_element(Order.begin(), Order.end(),
                            [](const auto &A, const auto &B) {
                              return std::get<2>(A.first) <
                                     std::get<2>(B.first);
                            });
  }
  GateTicket Ticket = Next->second;
  Order.erase(Next);
  return Ticket;
}

void GateQueue::startWaiting(TimePoint Now, GateTurns &Turns) {
  while (running() < Slots && !Order.empty()) {
    GateTicket Ticket = takeNext();
    const GateOffer &Offer = Queue.at(Ticket).Offer;
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
