#include "cyclamenwind/mesh/dependency_admission.h"

#include <algorithm>
#include <cmath>

namespace cyclamenwind {
namespace {

// Half-life of the counts. Long enough to hold several requests of a route on a
// server with a few slots, short enough to follow a burst of a few seconds.
constexpr double HalfLifeSeconds = 1;
// Shares of failures from which a route is limited. An application's own errors
// are a few per cent; a route that makes two calls fails more often than they.
constexpr double MinNestedFailureShare = 0.1;
constexpr double MinRouteFailureShare = 0.2;
// Outcomes without which a share says nothing.
constexpr double MinOutcomes = 4;
// A limited route may start this many times the requests that succeeded, so
// that it finds out when more succeed.
constexpr double GrowthFactor = 1.25;
// Starts that a limited route always has, weighted like the counts: without
// any, no outcome would end the limit.
constexpr double MinStarts = 2;

double decay(Duration Elapsed) {
  return std::exp2(-std::chrono::duration<double>(Elapsed).count() /
                   HalfLifeSeconds);
}

} // namespace

void DependencyAdmission::DecayingCount::add(TimePoint Now, double Added) {
  Amount = std::max(0.0, value(Now) + Added);
  UpdatedAt = Now;
}

double DependencyAdmission::DecayingCount::value(TimePoint Now) const {
  return Amount * decay(std::max(Duration::zero(), Now - UpdatedAt));
}

double DependencyAdmission::Outcomes::total(TimePoint Now) const {
  return Succeeded.value(Now) + Failed.value(Now);
}

double DependencyAdmission::Outcomes::failureShare(TimePoint Now) const {
  double All = total(Now);
  return All < MinOutcomes ? 0 : Failed.value(Now) / All;
}

double DependencyAdmission::allowedStarts(const RouteState &State,
                                          TimePoint Now) {
  return std::max(MinStarts, GrowthFactor * State.Ended.Succeeded.value(Now));
}

bool DependencyAdmission::isLimited(const std::string &Route,
                                    TimePoint Now) const {
  auto Found = Routes.find(Route);
  return Found != Routes.end() &&
         NestedCalls.failureShare(Now) >= MinNestedFailureShare &&
         Found->second.Ended.failureShare(Now) >= MinRouteFailureShare;
}

bool DependencyAdmission::tryStart(const std::string &Route, TimePoint Now) {
  RouteState &State = Routes[Route];
  if (isLimited(Route, Now) &&
      State.Started.value(Now) + 1 > allowedStarts(State, Now))
    return false;
  State.Started.add(Now);
  return true;
}

void DependencyAdmission::withdrawStart(const std::string &Route,
                                        TimePoint Now) {
  Routes[Route].Started.add(Now, -1);
}

void DependencyAdmission::requestEnded(const std::string &Route, bool Succeeded,
                                       TimePoint Now) {
  Outcomes &Ended = Routes[Route].Ended;
  (Succeeded ? Ended.Succeeded : Ended.Failed).add(Now);
}

void DependencyAdmission::nestedCallEnded(bool Succeeded, TimePoint Now) {
  (Succeeded ? NestedCalls.Succeeded : NestedCalls.Failed).add(Now);
}

// The time in which the count of starts decays to what is allowed.
Duration DependencyAdmission::retryDelay(const std::string &Route,
                                         TimePoint Now) const {
  auto Found = Routes.find(Route);
  if (Found == Routes.end() || !isLimited(Route, Now))
    return Duration::zero();
  double Excess = Found->second.Started.value(Now) /
                  (allowedStarts(Found->second, Now) - 1);
  if (Excess <= 1)
    return Duration::zero();
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(HalfLifeSeconds * std::log2(Excess)));
}

} // namespace cyclamenwind
