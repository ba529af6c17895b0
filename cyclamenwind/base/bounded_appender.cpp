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

// A pipe that polls writable takes this much without blocking (POSIX PIPE_BUF).
constexpr size_t MaxLineBytes = 4096;

// Part of the burst that a line of Level leaves for more important ones.
double reserveOf(log4cplus::LogLevel Level) {
  constexpr double OfSuccess = 0.6;
  constexpr double OfDecision = 0.2;
  if (Level < log4cplus::INFO_LOG_LEVEL)
    return OfSuccess;
  return Level < log4cplus::WARN_LOG_LEVEL ? OfDecision : 0;
}

} // namespace

bool LineBudget::admit(log4cplus::LogLevel Level, TimePoint Now) {
  double Elapsed = std::chrono::duration<double>(Now - Last).count();
  Tokens = std::min(Options.Burst,
                    Tokens + std::max(0.0, Elapsed) * Options.LinesPerSecond);
  Last = Now;
  if (Tokens < 1 + reserveOf(Level) * Options.Burst)
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
  if (Dropped > Reported) {
    std::string Note =
        " dropped_before=" + std::to_string(Dropped - Reported) + "\n";
    Line.replace(Line.size() - 1, 1, Note);
  }
  if (write(Line))
    Reported = Dropped;
  else
    ++Dropped;
}

bool BoundedAppender::write(const std::string &Line) {
  pollfd Ready = {Descriptor, POLLOUT, 0};
  if (::poll(&Ready, 1, 0) != 1 || (Ready.revents & POLLOUT) == 0)
    return false;
  size_t Length = std::min(Line.size(), MaxLineBytes);
  return ::write(Descriptor, Line.data(), Length) ==
         static_cast<ssize_t>(Length);
}

} // namespace cyclamenwind
