#include "cyclamenwind/base/bounded_appender.h"
#include "cyclamenwind/base/log.h"

#include <catch2/catch.hpp>

#include <csignal>

#include <fcntl.h>
#include <unistd.h>

#include <log4cplus/layout.h>
#include <log4cplus/logger.h>
#include <log4cplus/loglevel.h>
#include <log4cplus/spi/loggingevent.h>

using namespace cyclamenwind;
using namespace cyclamenwind::literals;

namespace {

const TimePoint Start = TimePoint(1000s);

int countAdmitted(LineBudget &Budget, log4cplus::LogLevel Level, int Lines,
                  TimePoint Now) {
  int Count = 0;
  for (int I = 0; I < Lines; ++I)
    Count += Budget.admit(Level, Now) ? 1 : 0;
  return Count;
}

} // namespace

TEST_CASE(
    "when the budget for lines on successes is used up, lines on failures are "
    "still written") {
  LineBudget Budget({20, 200});
  int Successes =
      countAdmitted(Budget, log4cplus::DEBUG_LOG_LEVEL, 1000, Start);
  int Decisions = countAdmitted(Budget, log4cplus::INFO_LOG_LEVEL, 1000, Start);
  int Failures = countAdmitted(Budget, log4cplus::WARN_LOG_LEVEL, 1000, Start);
  CHECK(Successes > 0);
  CHECK(Decisions > 0);
  CHECK(Failures > 0);
  CHECK(Successes + Decisions + Failures <= 200);
  CHECK(countAdmitted(Budget, log4cplus::WARN_LOG_LEVEL, 1000, Start + 1s) <=
        20);
}

TEST_CASE(
    "if the reader of the log is slow or closed, lines are dropped and the "
    "writer does not block") {
  int Pipe[2];
  REQUIRE(::pipe(Pipe) == 0);
  startLog(LogLevel::Error, "test"); // Initialises the library.
  log4cplus::SharedAppenderPtr Handle(new BoundedAppender(Pipe[1], {1e6, 1e6}));
  Handle->setLayout(std::make_unique<log4cplus::PatternLayout>("%m%n"));
  auto &Appender = static_cast<BoundedAppender &>(*Handle);
  std::string Long(1000, 'x');
  for (int I = 0; I < 1000; ++I)
    Handle->doAppend(log4cplus::spi::InternalLoggingEvent(
        "test", log4cplus::INFO_LOG_LEVEL, Long, __FILE__, __LINE__));
  CHECK(Appender.dropped() > 0);
  // Once the reader has emptied the pipe, the next line carries the number of
  // dropped lines.
  ::fcntl(Pipe[0], F_SETFL, O_NONBLOCK);
  std::string Received(1 << 20, '\0');
  while (::read(Pipe[0], Received.data(), Received.size()) > 0) {
  }
  Handle->doAppend(log4cplus::spi::InternalLoggingEvent(
      "test", log4cplus::INFO_LOG_LEVEL, "next", __FILE__, __LINE__));
  ssize_t Bytes = ::read(Pipe[0], Received.data(), Received.size());
  REQUIRE(Bytes > 0);
  std::string Line = Received.substr(0, static_cast<size_t>(Bytes));
  CHECK(Line ==
        "next dropped_before=" + std::to_string(Appender.dropped()) + "\n");
  ::close(Pipe[0]);
  // Lines are also dropped if the reader has closed the pipe. SIGPIPE is
  // ignored, as in the daemon.
  std::signal(SIGPIPE, SIG_IGN);
  uint64_t DroppedBefore = Appender.dropped();
  Handle->doAppend(log4cplus::spi::InternalLoggingEvent(
      "test", log4cplus::INFO_LOG_LEVEL, "lost", __FILE__, __LINE__));
  CHECK(Appender.dropped() == DroppedBefore + 1);
  ::close(Pipe[1]);
}
