#include "cyclamenwind/mesh/ingress_scheduler.h"

#include <algorithm>

namespace cyclamenwind {
namespace {

// Time that the bodies under way take on the link: what a short call may wait
// behind them (docs/MILESTONE.md, part 8).
constexpr Duration MaxUnderWay = 50ms;
// Bodies that were accepted and have not arrived may take this many times
// MaxUnderWay, so that one late sender does not hold up the others.
constexpr int MaxUnarrived = 2;
// An accepted body may arrive this much later than expected, and as much again
// as it takes on the link: its sender's processor may be throttled for 100 ms,
// and its sender's link may be shared with two bodies of 60 KB for other hosts.
constexpr Duration ArrivalMargin = 250ms;
constexpr double MicrosecondsPerSecond = 1e6;

} // namespace

Duration IngressScheduler::timeFor(size_t Bytes) const {
  if (Rate <= 0)
    return Duration::zero();
  return Duration(static_cast<int64_t>(static_cast<double>(Bytes) / Rate *
                                       MicrosecondsPerSecond));
}

size_t IngressScheduler::bytesUnderWay() const {
  size_t Bytes = 0;
  for (const auto &[Handle, Body] : UnderWay)
    Bytes += Body.Bytes;
  return Bytes;
}

TimePoint IngressScheduler::linkFreeAt(TimePoint Now) const {
  return UnderWay.empty() ? Now : std::max(Now, FreeAt);
}

Duration IngressScheduler::expectedArrival(const BodyOffer &Offer,
                                           TimePoint Now) const {
  size_t Bytes = Offer.Bytes;
  Key Position{Offer.Priority, Offer.LatestStart, Offers};
  for (const auto &[Ahead, Handle] : Order) {
    if (Position < Ahead)
      break;
    Bytes += Waiting.at(Handle).Offer.Bytes;
  }
  return linkFreeAt(Now) - Now + timeFor(Bytes);
}

bool IngressScheduler::offer(const BodyOffer &Offer, TimePoint Now) {
  bool AtOnce = Rate <= 0 || (UnderWay.empty() && Waiting.empty());
  if (!AtOnce && Now + expectedArrival(Offer, Now) > Offer.LatestStart)
    return false;
  WaitingOffer Entry{Offer, Offers++, AtOnce};
  Order.insert({keyOf(Entry), Offer.Handle});
  Waiting[Offer.Handle] = Entry;
  return true;
}

std::optional<TimePoint> IngressScheduler::acceptTime(const BodyOffer &Offer,
                                                      TimePoint Now) const {
  if (Rate <= 0 || UnderWay.empty())
    return Now;
  Duration Transfer = timeFor(Offer.Bytes);
  if (timeFor(bytesUnderWay()) + Transfer > MaxUnarrived * MaxUnderWay)
    return std::nullopt;
  return std::max(Now, linkFreeAt(Now) + Transfer - MaxUnderWay);
}

TimePoint IngressScheduler::latestAccept(const WaitingOffer &Entry) const {
  if (Entry.AtOnce)
    return Entry.Offer.Deadline;
  return Entry.Offer.LatestStart - timeFor(Entry.Offer.Bytes);
}

void IngressScheduler::accept(const BodyOffer &Offer, TimePoint Now) {
  Duration Transfer = timeFor(Offer.Bytes);
  FreeAt = linkFreeAt(Now) + Transfer;
  AcceptedBody Body;
  Body.Bytes = Offer.Bytes;
  Body.ExpectedAt = FreeAt;
  Body.Limit = Offer.Deadline;
  if (Rate > 0)
    Body.Limit = std::min(Body.Limit, FreeAt + Transfer + ArrivalMargin);
  UnderWay[Offer.Handle] = Body;
}

IngressActions IngressScheduler::update(TimePoint Now) {
  IngressActions Actions;
  std::vector<RequestHandle> Ended;
  for (const auto &[Handle, Body] : UnderWay) {
    if (Now < Body.Limit)
      continue;
    Ended.push_back(Handle);
    if (!Body.Withdrawn)
      Actions.Missing.push_back(Handle);
  }
  for (RequestHandle Handle : Ended)
    forgetAccepted(Handle, Now);
  for (const auto &[Handle, Entry] : Waiting)
    if (Now > latestAccept(Entry))
      Actions.Expired.push_back(Handle);
  for (RequestHandle Handle : Actions.Expired)
    withdraw(Handle, Now);
  while (!Order.empty()) {
    RequestHandle Handle = Order.begin()->second;
    BodyOffer First = Waiting.at(Handle).Offer;
    std::optional<TimePoint> AcceptAt = acceptTime(First, Now);
    if (!AcceptAt || *AcceptAt > Now)
      break;
    withdraw(Handle, Now);
    accept(First, Now);
    Actions.Accept.push_back(Handle);
  }
  return Actions;
}

std::optional<TimePoint> IngressScheduler::nextUpdate(TimePoint Now) const {
  std::optional<TimePoint> Next;
  auto Include = [&Next](TimePoint Candidate) {
    Next = std::min(Candidate, Next.value_or(Candidate));
  };
  for (const auto &[Handle, Body] : UnderWay)
    Include(Body.Limit);
  for (const auto &[Handle, Entry] : Waiting)
    Include(latestAccept(Entry) + Duration(1));
  if (!Order.empty())
    if (std::optional<TimePoint> AcceptAt =
            acceptTime(Waiting.at(Order.begin()->second).Offer, Now))
      Include(*AcceptAt);
  return Next;
}

// The bodies that are still under way take no more than their whole time from
// now on.
void IngressScheduler::forgetAccepted(RequestHandle Handle, TimePoint Now) {
  UnderWay.erase(Handle);
  FreeAt = std::min(FreeAt, Now + timeFor(bytesUnderWay()));
}

void IngressScheduler::arrived(RequestHandle Handle, TimePoint Now) {
  forgetAccepted(Handle, Now);
}

void IngressScheduler::withdraw(RequestHandle Handle, TimePoint Now) {
  auto Offered = Waiting.find(Handle);
  if (Offered != Waiting.end()) {
    Order.erase({keyOf(Offered->second), Handle});
    Waiting.erase(Offered);
    return;
  }
  auto Accepted = UnderWay.find(Handle);
  if (Accepted == UnderWay.end())
    return;
  if (Rate <= 0 || Now >= Accepted->second.ExpectedAt) {
    forgetAccepted(Handle, Now);
    return;
  }
  Accepted->second.Withdrawn = true;
  Accepted->second.Limit = Accepted->second.ExpectedAt;
}

void IngressScheduler::limitStart(RequestHandle Handle, TimePoint LatestStart) {
  auto Found = Waiting.find(Handle);
  if (Found == Waiting.end())
    return;
  WaitingOffer Entry = Found->second;
  Order.erase({keyOf(Entry), Handle});
  Entry.AtOnce = false;
  Entry.Offer.LatestStart = std::min(Entry.Offer.LatestStart, LatestStart);
  Order.insert({keyOf(Entry), Handle});
  Found->second = Entry;
}

} // namespace cyclamenwind
