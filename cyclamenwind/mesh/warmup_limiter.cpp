#include "cyclamenwind/mesh/warmup_limiter.h"

#include <algorithm>
#include <cmath>

namespace cyclamenwind {
namespace {

// The limit holds for any sliding second. Includes a margin, since two requests
// may take different times from the decision to the server's socket.
constexpr Duration Window = 1s + 5ms;

} // namespace

std::optional<Duration> warmupOf(double Milliseconds) {
  using FractionalMilliseconds = std::chrono::duration<double, std::milli>;
  if (!(Milliseconds >= 0) ||
      Milliseconds > FractionalMilliseconds(MaxWarmup).count())
    return std::nullopt;
  return std::chrono::duration_cast<Duration>(
      FractionalMilliseconds(Milliseconds));
}

std::optional<ServerWarmup> warmupOf(int64_t LeftUs, double PerSecond) {
  // A cold server gets at least one request a second.
  if (LeftUs <= 0 || Duration(LeftUs) > MaxWarmup || !(PerSecond >= 1) ||
      !std::isfinite(PerSecond))
    return std::nullopt;
  return ServerWarmup{Duration(LeftUs), PerSecond};
}

void WarmupLimiter::beginIncarnation(int64_t NewStartedAtMs) {
  if (NewStartedAtMs <= StartedAtMs)
    return;
  StartedAtMs = NewStartedAtMs;
  ReportSequence.reset();
  ReportedUntil = HealthUntil = TimePoint();
  Assumed = false;
}

bool WarmupLimiter::learnFromReport(int64_t Incarnation, int64_t Sequence,
                                    Duration Left, TimePoint Now) {
  beginIncarnation(Incarnation);
  if (Incarnation < StartedAtMs ||
      (ReportSequence && Sequence <= *ReportSequence))
    return false;
  bool WasCold = isCold(Now);
  ReportSequence = Sequence;
  ReportedUntil = Now + Left;
  return !WasCold && isCold(Now);
}

bool WarmupLimiter::learnFromHealth(int64_t Incarnation,
                                    std::optional<Duration> Left,
                                    TimePoint Now) {
  beginIncarnation(Incarnation);
  if (Incarnation < StartedAtMs)
    return false;
  bool WasCold = coldFor(Now) > Duration::zero();
  Assumed = false;
  if (Left)
    HealthUntil = Now + *Left;
  return !WasCold && isCold(Now);
}

Duration WarmupLimiter::coldFor(TimePoint Now) const {
  return std::max(std::max(ReportedUntil, HealthUntil) - Now, Duration::zero());
}

size_t WarmupLimiter::sendsPerSecond() const {
  // Far more than any server takes; keeps the conversion in range.
  constexpr double MaxSends = 1e6;
  return static_cast<size_t>(std::clamp(
      std::floor(Rate.value_or(0) * Options.RateFactor), 1.0, MaxSends));
}

std::deque<TimePoint>::const_iterator
WarmupLimiter::firstCounted(TimePoint Now) const {
  return std::partition_point(
      Sends.begin(), Sends.end(),
      [Now](TimePoint Sent) { return Now - Sent >= Window; });
}

void WarmupLimiter::countSend(TimePoint Now) {
  Sends.erase(Sends.begin(), firstCounted(Now));
  Sends.push_back(Now);
}

// The request may be sent a window after the one that is sendsPerSecond()
// places before it in the order of sends.
Duration WarmupLimiter::timeUntilSend(size_t Ahead, TimePoint Now) const {
  if (!isLimited(Now))
    return Duration::zero();
  size_t Limit = sendsPerSecond();
  auto First = firstCounted(Now);
  auto Counted = static_cast<size_t>(Sends.end() - First);
  size_t Place = Counted + Ahead;
  Duration Rounds{};
  while (Place >= Limit && Place - Limit >= Counted) {
    Place -= Limit;
    Rounds += Window;
  }
  Duration Wait = Rounds;
  if (Place >= Limit)
    Wait += First[static_cast<std::ptrdiff_t>(Place - Limit)] + Window - Now;
  TimePoint Unknown = ProcessStart + Window;
  bool UsesReserve =
      Now < Unknown && static_cast<double>(Counted + Ahead) >= Options.Slack;
  return UsesReserve ? std::max(Wait, Unknown - Now) : Wait;
}

bool WarmupLimiter::isIdle(TimePoint Now) const {
  return !isCold(Now) && firstCounted(Now) == Sends.end();
}

} // namespace cyclamenwind
