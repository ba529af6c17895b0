// BoundedAppender: a log4cplus appender that never blocks and writes a bounded
// number of lines.
//
// A token bucket limits the rate of lines. Lines of lower levels must leave a
// larger part of the bucket unused: under load, lines on successes (Debug) are
// dropped first, then those on decisions (Info), and lines on failures (Warning
// and above) last. A line is dropped and counted if the budget does not admit
// it or if the descriptor is not writable because its reader is slow. The next
// line that is written carries the number of dropped lines as dropped_before=N.

#ifndef CYCLAMENWIND_BASE_BOUNDED_APPENDER_H
#define CYCLAMENWIND_BASE_BOUNDED_APPENDER_H

#include "cyclamenwind/base/time.h"

#include <cstdint>
#include <string>

#include <log4cplus/appender.h>

namespace cyclamenwind {

struct LogBudget {
  double LinesPerSecond = 20;
  double Burst = 200; // Lines.
};

// Token bucket that decides which lines are written. Does no I/O and reads
// no clock.
class LineBudget {
public:
  explicit LineBudget(const LogBudget &Options)
      : Options(Options), Tokens(Options.Burst) {}

  // Returns whether a line of Level may be written at Now; if so, takes one
  // token.
  bool admit(log4cplus::LogLevel Level, TimePoint Now);

private:
  LogBudget Options;
  double Tokens;
  TimePoint LastRefill;
};

class BoundedAppender final : public log4cplus::Appender {
public:
  // Writes to Descriptor. The caller keeps ownership: it is never closed here.
  BoundedAppender(int Descriptor, const LogBudget &Options)
      : Descriptor(Descriptor), Budget(Options) {}
  ~BoundedAppender() override { destructorImpl(); }

  void close() override { closed = true; }

  // Number of lines dropped since construction.
  uint64_t dropped() const { return Dropped; }

protected:
  void append(const log4cplus::spi::InternalLoggingEvent &Event) override;

private:
  bool write(const std::string &Line);

  int Descriptor;
  LineBudget Budget;
  uint64_t Dropped = 0;
  uint64_t ReportedDrops = 0; // Part of Dropped already logged.
};

} // namespace cyclamenwind

#endif
