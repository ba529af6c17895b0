#include "cyclamenwind/mesh/allowance_owner.h"

#include <algorithm>
#include <cmath>

namespace cyclamenwind {
namespace {

// The bucket is deepened by this part of the tolerated excess, less the prepaid
// tokens that daemons may hold (PrepaidSeconds), so that a workspace without a
// burst rarely finds the bucket empty. The rest is for changes of the owner,
// static shares, and requests that reach a server later than they were
// admitted. At least MinDepthPart remains for very large workspaces.
constexpr double DepthPart = 0.7;
constexpr double MinDepthPart = 0.25;
// Daemons hold prepaid tokens for this much of their demand.
constexpr double PrepaidSeconds = 0.3;
// A new bucket holds this part of the tolerated excess. A workspace whose owner
// changes twice within a window gets it twice.
constexpr double NewBucketPart = 0.125;
// The bucket has to be fuller than this for credit, and credit may use up this
// much of it.
constexpr double CreditPart = 0.5;
// One daemon gets at most this part of what is left for credit, so that the
// first one leaves something for the others.
constexpr double CreditPerDaemon = 0.25;
// Needs are stated for 0.3 s; credit is given for 1.2 s, since it costs nothing
// until it is used and is reported each second.
constexpr int CreditFactor = 4;
// Prepaid tokens are asked for 0.3 s of demand; credit is reported each second.
constexpr Duration PrepaidValid = 1s;
constexpr Duration CreditValid = 2s;
// The report of credit that was used may be on the way for this long.
constexpr Duration ReportMargin = 500ms;
// Bounds of the wait that a refusal names. Longer ones would be guesses: the
// demand of the next seconds is not known.
constexpr Duration MinRetryAfter = 20ms;
constexpr Duration MaxBacklog = 2s;
constexpr Duration MaxRetryAfter = 10s;
// A peer's larger counts are cut to this.
constexpr int MaxCount = 100000;

Duration fromSeconds(double Seconds) {
  double Cut = std::clamp(Seconds, 0.0, 3600.0);
  return Duration(static_cast<int64_t>(Cut * 1e6));
}

double inSeconds(Duration Span) {
  return std::chrono::duration<double>(Span).count();
}

int wholeTokens(double Level) {
  return static_cast<int>(std::clamp<double>(std::floor(Level), 0, MaxCount));
}

} // namespace

double AllowanceBounds::excess(const Workspace &Limited) const {
  return Overage * (Limited.PerSecond * inSeconds(Window) + Limited.Burst) +
         Slack;
}

double AllowanceOwner::Bucket::levelAt(TimePoint Now) const {
  double Elapsed = std::max(0.0, inSeconds(Now - RefilledAt));
  return std::min(Depth, Level + Elapsed * Rate);
}

int AllowanceOwner::Bucket::outstanding(TimePoint Now) {
  std::erase_if(Credits,
                [Now](const auto &Entry) { return Entry.second.Until <= Now; });
  int Sum = 0;
  for (const auto &[Daemon, Given] : Credits)
    Sum += Given.Tokens;
  return Sum;
}

void AllowanceOwner::own(const std::vector<Workspace> &Owned, double Part,
                         TimePoint Now) {
  std::map<std::string, Bucket> Previous = std::move(Buckets);
  Buckets.clear();
  for (const Workspace &Limited : Owned) {
    auto Kept = Previous.extract(Limited.Name);
    bool IsNew = Kept.empty();
    Bucket &Current = Buckets[Limited.Name];
    if (!IsNew)
      Current = std::move(Kept.mapped());
    Current.Level = IsNew ? 0 : Current.levelAt(Now);
    Current.RefilledAt = Now;
    double Excess = Bounds.excess(Limited);
    Current.Rate = Limited.PerSecond * Part;
    // Less than a token would never let a request pass.
    double Extra =
        std::max(DepthPart * Excess - PrepaidSeconds * Limited.PerSecond,
                 MinDepthPart * Excess);
    Current.Depth = std::max(1.0, (Limited.Burst + Extra) * Part);
    Current.Start = std::min(Current.Depth, NewBucketPart * Excess * Part);
    if (IsNew)
      Current.Level = Current.Start;
    Current.Level = std::min(Current.Level, Current.Depth);
  }
}

void AllowanceOwner::startAgain(TimePoint Now) {
  for (auto &[Name, Current] : Buckets) {
    Current.Level = std::min(Current.Level, Current.Start);
    Current.RefilledAt = Now;
    Current.Credits.clear();
  }
}

double AllowanceOwner::level(const std::string &Name, TimePoint Now) const {
  return Buckets.at(Name).levelAt(Now);
}

AllowanceShares AllowanceOwner::take(const std::string &Name,
                                     const Address &From,
                                     const AllowanceNeed &Need, TimePoint Now) {
  Bucket &Current = Buckets.at(Name);
  int Wanted = std::clamp(Need.Wanted, 0, MaxCount);
  double Level = Current.levelAt(Now) + std::clamp(Need.Returned, 0, MaxCount);
  // Debt beyond the depth could only come from a faulty peer.
  Level = std::max(std::min(Level, Current.Depth) -
                       std::clamp(Need.Charged, 0, MaxCount),
                   -Current.Depth);
  Current.RefilledAt = Now;
  Current.Credits.erase(From);
  int Outstanding = Current.outstanding(Now);
  AllowanceShares Shares;
  double LeftForCredit = CreditPart * Level - Outstanding;
  int OnCredit = Level > CreditPart * Current.Depth && LeftForCredit >= 1
                     ? std::max(1, wholeTokens(CreditPerDaemon * LeftForCredit))
                     : 0;
  if (Wanted > 0 && OnCredit >= Wanted) {
    Shares.Tokens = std::min(OnCredit, Wanted * CreditFactor);
    Shares.OnCredit = true;
    Shares.ValidFor = CreditValid;
    Current.Credits[From] = {Shares.Tokens, Now + CreditValid + ReportMargin};
  } else {
    Shares.Tokens = std::min(Wanted, wholeTokens(Level - Outstanding));
    Shares.ValidFor = PrepaidValid;
    Level -= Shares.Tokens;
  }
  Current.Level = Level;
  if (Shares.Tokens < Wanted && Current.Rate > 0) {
    Duration ForOne = fromSeconds((1 - (Level - Outstanding)) / Current.Rate);
    Current.NextRoom = std::clamp(Current.NextRoom, Now, Now + MaxBacklog) +
                       fromSeconds(1 / Current.Rate);
    Shares.RetryAfter = std::clamp(std::max(ForOne, Current.NextRoom - Now),
                                   MinRetryAfter, MaxRetryAfter);
  }
  return Shares;
}

} // namespace cyclamenwind
