#include "cyclamenwind/base/bounded_appender.h"

#include <algorithm>
#include <sstream>

#include <poll.h>
#include <unistd.h>

#include <log4cplus/layout.h>
#include <log4cplus/loglevel.h>
#include <log4cplus/spi/loggingevent.h>

namespace cyclamenwind {
namespace {

// A pipe that polls writable accepts this many bytes without blocking
// (PIPE_BUF, POSIX). Longer lines are truncated.
constexpr size_t MaxLineBytes = 4096;

// Returns the share of the burst that is reserved for levels above Level.
double reservedShare(log4cplus::LogLevel Level) {
  constexpr double ReserveBelowInfo = 0.6;
  constexpr double ReserveAtInfo = 0.2;
  if (Level < log4cplus::INFO_LOG_LEVEL)
    return ReserveBelowInfo;
  return Level < log4cplus::WARN_LOG_LEVEL ? ReserveAtInfo : 0;
}

} // namespace

bool LineBudget::admit(log4cplus::LogLevel Level, TimePoint Now) {
  double Elapsed = std::chrono::duration<double>(Now - LastRefill).count();
  Tokens = std::min(Options.Burst,
                    Tokens + std::max(0.0, Elapsed) * Options.LinesPerSecond);
  LastRefill = Now;
  if (Tokens < 1 + reservedShare(Level) * Options.Burst)
    return false;
  Tokens -= 1;
  return true;
}

void BoundedAppender::append(
    const log4cplus::spi::InternalLoggingEvent &Event) {
  TimePoint Now =
      std::chrono::time_point_cast<Duration>(std::chrono::steady_clock::now());
  if (!Budget.admit(Event.getLogLevel(), Now)) {
    ++Dropped;
    return;
  }
  std::ostringstream Text;
  layout->formatAndAppend(Text, Event);
  std::string Line = Text.str();
  if (Dropped > ReportedDrops) {
    std::string Suffix =
        " dropped_before=" + std::to_string(Dropped - ReportedDrops) + "\n";
    Line.replace(Line.size() - 1, 1, Suffix);
  }
  if (write(Line))
    ReportedDrops = Dropped;
  else
    ++Dropped;
}

bool BoundedAppender::write(const std::string &Line) {
  pollfd Poll = {Descriptor, POLLOUT, 0};
  if (::poll(&Poll, 1, 0) != 1 || (Poll.revents & POLLOUT) == 0)
    return false;
  size_t Length = std::min(Line.size(), MaxLineBytes);
  return ::write(Descriptor, Line.data(), Length) ==
         static_cast<ssize_t>(Length);
}

} // namespace cyclamenwind
