// BoundedAppender: a log4cplus appender that never blocks and writes a bounded
// number of lines.
//
// Lines draw on a budget that refills at a rate. The less important a line, the
// more of the budget it leaves: under load the lines on successes go first and
// those on failures last. A line that finds no budget, or whose reader does not
// keep up, is dropped and counted; the count is logged with the next line that
// is written.

#ifndef CYCLAMENWIND_BASE_BOUNDED_APPENDER_H
#define CYCLAMENWIND_BASE_BOUNDED_APPENDER_H

#include "cyclamenwind/base/time.h"

#include <cstdint>
#include <string>

#include <log4cplus/appender.h>

namespace cyclamenwind {

struct LogBudget {
  double LinesPerSecond = 20;
  double Burst = 200;
};

// Decides which lines are written. Pure.
class LineBudget {
public:
  explicit LineBudget(const LogBudget &Options)
      : Options(Options), Tokens(Options.Burst) {}

  // Whether a line of Level may be written at Now.
  bool admit(log4cplus::LogLevel Level, TimePoint Now);

private:
  LogBudget Options;
  double Tokens;
  TimePoint Last;
};

class BoundedAppender final : public log4cplus::Appender {
public:
  // Writes to Descriptor, which stays open.
  BoundedAppender(int Descriptor, const LogBudget &Options)
      : Descriptor(Descriptor), Budget(Options) {}
  ~BoundedAppender() override { destructorImpl(); }

  void close() override { closed = true; }

  // Lines that were not written since the start.
  uint64_t dropped() const { return Dropped; }

protected:
  void append(const log4cplus::spi::InternalLoggingEvent &Event) override;

private:
  bool write(const std::string &Line);

  int Descriptor;
  LineBudget Budget;
  uint64_t Dropped = 0;
  uint64_t Reported = 0; // Of Dropped.
};

} // namespace cyclamenwind

#endif
