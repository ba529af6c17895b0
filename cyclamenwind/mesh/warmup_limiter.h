// WarmupLimiter: limits the requests that a cold backend server gets.
//
// A backend server is cold for some seconds after its start, and may become
// cold again at any time. It then crashes at a rate well above the one that its
// service is configured with. In any sliding second it may get at most
// rate * RateFactor + Slack requests from all hosts together. Only the server's
// own daemon sends to it, so the limiter of that daemon counts all sends,
// health checks included. While the server is cold it permits rate * RateFactor
// sends in a second and keeps Slack in reserve. Sends are also counted while
// the server is not cold, since a statement that it is cold may be late.
//
// An earlier process of the daemon may have used up the limit just before it
// ended. In the first second of a process a cold server therefore gets at most
// Slack requests.
//
// How long a server is cold is the later of the ends that its newest liveness
// report (by sequence number) and its newest health response give, each counted
// from its arrival. Does no I/O and reads no clock.

#ifndef CYCLAMENWIND_MESH_WARMUP_LIMITER_H
#define CYCLAMENWIND_MESH_WARMUP_LIMITER_H

#include "cyclamenwind/base/time.h"

#include <algorithm>
#include <cstdint>
#include <deque>
#include <optional>

namespace cyclamenwind {

// Longer statements of a warm-up are ignored, as the platform's rules define.
inline constexpr Duration MaxWarmup = 10min;

// Returns a stated warm-up in milliseconds as a duration. Returns nothing if it
// is negative, above MaxWarmup or not a number.
std::optional<Duration> warmupOf(double Milliseconds);

// What the daemon of a cold backend server says of it.
struct ServerWarmup {
  Duration Left{};      // How long the server stays cold.
  double PerSecond = 0; // Requests that it gets from all hosts meanwhile.
};

// Returns what a message between daemons says of a cold server. Returns nothing
// if the values are out of range, or if they are zero, which means that it says
// nothing.
std::optional<ServerWarmup> warmupOf(int64_t LeftUs, double PerSecond);

struct WarmupOptions {
  double RateFactor = 1; // HostSettings::ColdRateFactor.
  double Slack = 0;      // HostSettings::ColdSlack; a number of requests.
};

class WarmupLimiter {
public:
  WarmupLimiter(const WarmupOptions &Options, TimePoint ProcessStart)
      : Options(Options), ProcessStart(ProcessStart) {}

  // Sets the requests per second that the server tolerates while it is cold;
  // nothing if there is no limit.
  void setRate(std::optional<double> PerSecond) { Rate = PerSecond; }

  // The server's incarnation that started at StartedAtMs runs now. If it is a
  // newer one, statements of the earlier one are discarded; its sends still
  // count.
  void beginIncarnation(int64_t StartedAtMs);

  // The liveness report number Sequence of the incarnation that started at
  // StartedAtMs says that the server stays cold for Left. Ignored if a newer
  // report is known. Returns whether the server was not cold and is now.
  bool learnFromReport(int64_t StartedAtMs, int64_t Sequence, Duration Left,
                       TimePoint Now);

  // The same for a health response; Left is nothing if it does not say. Ends
  // assumeCold().
  bool learnFromHealth(int64_t StartedAtMs, std::optional<Duration> Left,
                       TimePoint Now);

  // Treats the server as cold until the next health response or incarnation.
  void assumeCold() { Assumed = true; }

  bool isCold(TimePoint Now) const {
    return Assumed || Now < std::max(ReportedUntil, HealthUntil);
  }

  // Remaining time for which the server is known to be cold.
  Duration coldFor(TimePoint Now) const;

  // Whether sends are limited now: the server is cold and has a rate.
  bool isLimited(TimePoint Now) const { return Rate && isCold(Now); }

  // Whether the server's service has a limit for cold servers.
  bool hasRate() const { return Rate.has_value(); }

  // Sends that a cold server gets in a second: at least 1.
  size_t sendsPerSecond() const;

  // Whether a request may be sent now.
  bool maySend(TimePoint Now) const {
    return timeUntilSend(0, Now) <= Duration::zero();
  }

  // Counts a send.
  void countSend(TimePoint Now);

  // Time until a request may be sent that has Ahead others before it; zero if
  // the server is not limited.
  Duration timeUntilSend(size_t Ahead, TimePoint Now) const;

  // Whether it holds nothing that a new limiter would not know.
  bool isIdle(TimePoint Now) const;

private:
  // Sends that count at the time Now, oldest first.
  std::deque<TimePoint>::const_iterator firstCounted(TimePoint Now) const;

  WarmupOptions Options;
  TimePoint ProcessStart;
  std::optional<double> Rate;
  std::deque<TimePoint> Sends; // Of the last second, oldest first.
  int64_t StartedAtMs = 0;     // Of the incarnation.
  std::optional<int64_t> ReportSequence;
  TimePoint ReportedUntil;
  TimePoint HealthUntil;
  bool Assumed = false;
};

} // namespace cyclamenwind

#endif
