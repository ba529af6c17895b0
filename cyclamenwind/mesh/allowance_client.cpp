#include "cyclamenwind/mesh/allowance_client.h"

#include <algorithm>
#include <cmath>

namespace cyclamenwind {
namespace {

// A request waits no longer for an answer, so that it still has most of its
// objective (400 ms and more).
constexpr Duration WaitLimit = 50ms;
// Least time between two messages to an owner: a request that comes right after
// a message still gets an answer within WaitLimit.
constexpr Duration MessageSpacing = 25ms;
// The same while the owner does not answer. CPU throttling may stop a host for
// most of 100 ms.
constexpr Duration UnresponsiveAfter = 250ms;
constexpr Duration UnresponsiveSpacing = 250ms;
// An answer that is later than this brings nothing that is still valid.
constexpr Duration ForgetAfter = 2s;
// Requests on credit, and tokens to give back, are reported after this time,
// which is well below the validity of credit (2 s).
constexpr Duration ReportPeriod = 1s;
// Tokens are asked for this much of the demand ahead. The owner gives more on
// credit.
constexpr double AheadSeconds = 0.3;
// While the owner gives credit, one token is asked for ahead also at this lower
// rate, at which another request is likely before the next report.
constexpr double LeastAheadRate = 0.8;
// More tokens are asked for when those at hand last no longer than this.
constexpr double MoreBelowSeconds = 0.1;
// Bounds of the time for which requests are refused without asking again.
constexpr Duration MinRefusal = 25ms;
constexpr Duration MaxRefusal = 300ms;
// Bounds of Retry-After for a request that the static share refused: when an
// owner is reachable again is not known.
constexpr Duration MinShareWait = 100ms;
constexpr Duration MaxShareWait = 1s;
// Time constant of the measured rate of requests.
constexpr double RateSeconds = 1;

double inSeconds(Duration Span) {
  return std::chrono::duration<double>(Span).count();
}

} // namespace

double AllowanceClient::Entry::ratePerSecond(TimePoint Now) const {
  double Elapsed = std::max(0.0, inSeconds(Now - RecentAt));
  return Recent * std::exp(-Elapsed / RateSeconds) / RateSeconds;
}

bool AllowanceClient::Entry::hasUnasked() const {
  return std::any_of(Queue.begin(), Queue.end(),
                     [](const Waiting &Each) { return !Each.Asked; });
}

bool AllowanceClient::OwnerLink::isUnresponsive(TimePoint Now) const {
  return std::any_of(Unanswered.begin(), Unanswered.end(),
                     [Now](const auto &Sent) {
                       return Now - Sent.second > UnresponsiveAfter;
                     });
}

void AllowanceClient::configure(const std::vector<Workspace> &Limited,
                                size_t NewDaemons, TimePoint Now) {
  Daemons = std::max<size_t>(1, NewDaemons);
  std::map<std::string, Entry> Previous = std::move(Entries);
  Entries.clear();
  for (const Workspace &Each : Limited) {
    auto Kept = Previous.extract(Each.Name);
    Entry &Current = Entries[Each.Name];
    if (!Kept.empty()) {
      Current = std::move(Kept.mapped());
    } else {
      Current.Owner = Owners(Each.Name);
      Current.ShareAt = StartedAt;
      Current.RecentAt = Now;
    }
    Current.PerSecond = Each.PerSecond;
  }
  // Requests that wait for a workspace that has gone: the next expire() cannot
  // find them, so they stay until they can be refused.
  for (auto &[Name, Gone] : Previous)
    if (!Gone.Queue.empty()) {
      Gone.PerSecond = 0;
      Entries.emplace(Name, std::move(Gone));
    }
}

void AllowanceClient::ownersChanged(TimePoint Now) {
  for (auto &[Name, Current] : Entries) {
    std::optional<Address> Owner = Owners(Name);
    if (Owner == Current.Owner)
      continue;
    // What was used was taken from the previous owner's bucket; tokens that it
    // gave are valid until they expire.
    Current.Owner = Owner;
    Current.Charged = Current.Returned = 0;
    Current.ReportDue.reset();
    Current.LastOnCredit = false;
    Current.RefuseUntil = Now;
    for (Waiting &Each : Current.Queue)
      Each.Asked = false;
  }
  std::erase_if(Links, [this](const auto &Link) {
    return std::none_of(Entries.begin(), Entries.end(), [&Link](const auto &E) {
      return E.second.Owner == Link.first;
    });
  });
}

void AllowanceClient::dropExpired(Entry &Current, TimePoint Now) {
  if (Current.Prepaid > 0 && Current.PrepaidUntil <= Now) {
    Current.Returned += std::exchange(Current.Prepaid, 0);
    if (!Current.ReportDue)
      Current.ReportDue = Now + ReportPeriod;
  }
  if (Current.CreditUntil <= Now)
    Current.Credit = 0;
}

bool AllowanceClient::takeToken(Entry &Current, TimePoint Now) {
  dropExpired(Current, Now);
  if (Current.Prepaid > 0) {
    --Current.Prepaid;
  } else if (Current.Credit > 0) {
    --Current.Credit;
    ++Current.Charged;
    if (!Current.ReportDue)
      Current.ReportDue = Now + ReportPeriod;
  } else {
    return false;
  }
  double Rate = Current.ratePerSecond(Now);
  if (Current.Prepaid + Current.Credit <= Rate * MoreBelowSeconds &&
      Rate * AheadSeconds >= 1 && Now >= Current.RefuseUntil)
    Current.WantsMore = true;
  return true;
}

bool AllowanceClient::takeShare(Entry &Current, TimePoint Now) {
  double Refill = inSeconds(Now - Current.ShareAt) * Current.PerSecond /
                  static_cast<double>(Daemons);
  Current.Share = std::min(1.0, Current.Share + std::max(0.0, Refill));
  Current.ShareAt = Now;
  if (Current.Share < 1)
    return false;
  Current.Share -= 1;
  return true;
}

AllowanceAnswer AllowanceClient::decideAlone(Entry &Current, TimePoint Now) {
  if (Current.PerSecond <= 0)
    return {};
  if (takeShare(Current, Now)) {
    if (Current.Owner) {
      ++Current.Charged;
      if (!Current.ReportDue)
        Current.ReportDue = Now;
    }
    return {};
  }
  double Rate = Current.PerSecond / static_cast<double>(Daemons);
  Duration Wait = MaxShareWait;
  if (Rate > 0)
    Wait = Duration(static_cast<int64_t>(
        std::min((1 - Current.Share) / Rate, inSeconds(MaxShareWait)) * 1e6));
  return {AllowanceDecision::Refused, std::max(Wait, MinShareWait)};
}

AllowanceAnswer AllowanceClient::admit(const std::string &Name,
                                       uint64_t Request, TimePoint Now) {
  auto Found = Entries.find(Name);
  if (Found == Entries.end() || Found->second.PerSecond <= 0)
    return {};
  Entry &Current = Found->second;
  Current.Recent = Current.ratePerSecond(Now) * RateSeconds + 1;
  Current.RecentAt = Now;
  if (Current.Queue.empty() && takeToken(Current, Now))
    return {};
  if (Now < Current.RefuseUntil)
    return {AllowanceDecision::Refused,
            std::max(Current.RoomAt - Now, Duration(MinRefusal))};
  if (!Current.Owner)
    return decideAlone(Current, Now);
  if (Links[*Current.Owner].isUnresponsive(Now)) {
    Current.WantsMore = true; // A message shows when it answers again.
    return decideAlone(Current, Now);
  }
  Current.Queue.push_back({Request, Now});
  return {AllowanceDecision::Pending, {}};
}

void AllowanceClient::withdraw(const std::string &Name, uint64_t Request) {
  auto Found = Entries.find(Name);
  if (Found == Entries.end())
    return;
  std::erase_if(Found->second.Queue, [Request](const Waiting &Each) {
    return Each.Request == Request;
  });
}

void AllowanceClient::giveBack(const std::string &Name, TimePoint Now) {
  auto Found = Entries.find(Name);
  if (Found == Entries.end())
    return;
  Entry &Current = Found->second;
  if (Current.Charged > 0)
    --Current.Charged;
  else
    ++Current.Returned;
  if (!Current.ReportDue)
    Current.ReportDue = Now + ReportPeriod;
}

std::optional<TimePoint> AllowanceClient::needDue(const Entry &Current) const {
  if (!Current.Owner)
    return std::nullopt;
  if (Current.WantsMore || Current.hasUnasked())
    return TimePoint();
  if (Current.Charged > 0 || Current.Returned > 0)
    return Current.ReportDue;
  return std::nullopt;
}

TimePoint AllowanceClient::linkFree(const Address &Owner) const {
  auto Found = Links.find(Owner);
  if (Found == Links.end() || !Found->second.HasSent)
    return TimePoint();
  const OwnerLink &Link = Found->second;
  if (Link.Unanswered.empty())
    return Link.LastSent + MessageSpacing;
  // The answer may be lost.
  return Link.LastSent +
         (Link.isUnresponsive(Link.LastSent) ? UnresponsiveSpacing : WaitLimit);
}

AllowanceNeed AllowanceClient::takeNeed(Entry &Current, TimePoint Now) {
  AllowanceNeed Need;
  for (Waiting &Each : Current.Queue) {
    Need.Wanted += Each.Asked ? 0 : 1;
    Each.Asked = true;
  }
  double Rate = Current.ratePerSecond(Now);
  if (Now >= Current.RefuseUntil) {
    double Ahead = std::floor(Rate * AheadSeconds - Current.Prepaid);
    if (Current.LastOnCredit && Rate >= LeastAheadRate)
      Ahead = std::max(Ahead, 1.0);
    Need.Wanted += static_cast<int>(std::max(0.0, Ahead));
  }
  if (Current.WantsMore)
    Need.Wanted = std::max(Need.Wanted, 1);
  Need.Charged = std::exchange(Current.Charged, 0);
  Need.Returned = std::exchange(Current.Returned, 0);
  Current.WantsMore = false;
  Current.ReportDue.reset();
  return Need;
}

std::vector<AllowanceMessage> AllowanceClient::messagesDue(TimePoint Now) {
  std::map<Address, AllowanceMessage> ByOwner;
  for (auto &[Name, Current] : Entries) {
    dropExpired(Current, Now);
    std::optional<TimePoint> Due = needDue(Current);
    if (Due && *Due <= Now && linkFree(*Current.Owner) <= Now)
      ByOwner[*Current.Owner].Owner = *Current.Owner;
  }
  std::vector<AllowanceMessage> Messages;
  for (auto &[Owner, Message] : ByOwner) {
    Message.Id = NextId++;
    // What is not due yet goes along, which saves a message.
    for (auto &[Name, Current] : Entries)
      if (Current.Owner == Owner && needDue(Current))
        Message.Needs[Name] = takeNeed(Current, Now);
    OwnerLink &Link = Links[Owner];
    std::erase_if(Link.Unanswered, [Now](const auto &Sent) {
      return Now - Sent.second > ForgetAfter;
    });
    Link.Unanswered[Message.Id] = Now;
    Link.LastSent = Now;
    Link.HasSent = true;
    Messages.push_back(std::move(Message));
  }
  return Messages;
}

std::vector<SettledRequest>
AllowanceClient::receive(const Address &Owner, int64_t Id,
                         const std::string &Name, const AllowanceShares &Shares,
                         TimePoint Now) {
  std::vector<SettledRequest> Settled;
  auto Link = Links.find(Owner);
  auto Found = Entries.find(Name);
  if (Link == Links.end() || Found == Entries.end() ||
      Found->second.Owner != Owner)
    return Settled;
  auto Sent = Link->second.Unanswered.find(Id);
  if (Sent == Link->second.Unanswered.end())
    return Settled;
  Entry &Current = Found->second;
  dropExpired(Current, Now);
  TimePoint Until = Sent->second + Shares.ValidFor;
  int Tokens = std::max(Shares.Tokens, 0);
  if (Until <= Now)
    Tokens = 0;
  Current.Credit = 0;
  Current.LastOnCredit = Shares.OnCredit;
  if (Shares.OnCredit) {
    Current.Credit = std::max(0, Tokens - Current.Charged);
    Current.CreditUntil = Until;
  } else if (Tokens > 0) {
    Current.Prepaid += Tokens;
    Current.PrepaidUntil = Until;
  }
  while (!Current.Queue.empty() && takeToken(Current, Now)) {
    Settled.push_back({Current.Queue.front().Request, {}});
    Current.Queue.pop_front();
  }
  if (Shares.RetryAfter <= Duration::zero())
    return Settled;
  Current.RoomAt = Now + Shares.RetryAfter;
  bool RefusesAsked = false;
  while (!Current.Queue.empty() && Current.Queue.front().Asked) {
    Settled.push_back({Current.Queue.front().Request,
                       {AllowanceDecision::Refused, Shares.RetryAfter}});
    Current.Queue.pop_front();
    RefusesAsked = true;
  }
  if (RefusesAsked || Tokens == 0) {
    Current.RefuseUntil =
        Now + std::clamp<Duration>(Shares.RetryAfter, MinRefusal, MaxRefusal);
    // The limit is in use, so the burst of the static share would exceed it.
    Current.Share = 0;
    Current.ShareAt = Now;
  }
  return Settled;
}

void AllowanceClient::answered(const Address &Owner, int64_t Id) {
  auto Link = Links.find(Owner);
  if (Link == Links.end())
    return;
  // The owner answers in order, so an earlier message without an answer is
  // lost.
  auto &Unanswered = Link->second.Unanswered;
  auto Found = Unanswered.find(Id);
  if (Found != Unanswered.end())
    Unanswered.erase(Unanswered.begin(), std::next(Found));
}

std::vector<SettledRequest> AllowanceClient::expire(TimePoint Now) {
  std::vector<SettledRequest> Settled;
  for (auto &[Name, Current] : Entries)
    while (!Current.Queue.empty() &&
           Now - Current.Queue.front().Since >= WaitLimit) {
      uint64_t Request = Current.Queue.front().Request;
      Current.Queue.pop_front();
      Settled.push_back({Request, decideAlone(Current, Now)});
    }
  return Settled;
}

std::optional<TimePoint> AllowanceClient::nextDue(TimePoint Now) const {
  std::optional<TimePoint> Next;
  auto Include = [&Next, Now](TimePoint Time) {
    Next = std::min(Next.value_or(TimePoint::max()), std::max(Time, Now));
  };
  for (const auto &[Name, Current] : Entries) {
    if (!Current.Queue.empty())
      Include(Current.Queue.front().Since + WaitLimit);
    if (std::optional<TimePoint> Due = needDue(Current))
      Include(std::max(*Due, linkFree(*Current.Owner)));
  }
  return Next;
}

int AllowanceClient::held(const std::string &Name, TimePoint Now) const {
  auto Found = Entries.find(Name);
  if (Found == Entries.end())
    return 0;
  const Entry &Current = Found->second;
  return (Current.PrepaidUntil > Now ? Current.Prepaid : 0) +
         (Current.CreditUntil > Now ? Current.Credit : 0);
}

} // namespace cyclamenwind
