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

int admitted(LineBudget &Budget, log4cplus::LogLevel Level, int Wanted,
             TimePoint Now) {
  int Count = 0;
  for (int I = 0; I < Wanted; ++I)
    Count += Budget.admit(Level, Now) ? 1 : 0;
  return Count;
}

} // namespace

TEST_CASE("lines on failures are written after those on successes ran out") {
  LineBudget Budget({20, 200});
  int Successes = admitted(Budget, log4cplus::DEBUG_LOG_LEVEL, 1000, Start);
  int Decisions = admitted(Budget, log4cplus::INFO_LOG_LEVEL, 1000, Start);
  int Failures = admitted(Budget, log4cplus::WARN_LOG_LEVEL, 1000, Start);
  CHECK(Successes > 0);
  CHECK(Decisions > 0);
  CHECK(Failures > 0);
  CHECK(Successes + Decisions + Failures <= 200);
  CHECK(admitted(Budget, log4cplus::WARN_LOG_LEVEL, 1000, Start + 1s) <= 20);
}

TEST_CASE("a reader that does not keep up loses lines and blocks nothing") {
  int Ends[2];
  REQUIRE(::pipe(Ends) == 0);
  startLog(LogLevel::Error, "test"); // Initialises the library.
  log4cplus::SharedAppenderPtr Kept(new BoundedAppender(Ends[1], {1e6, 1e6}));
  Kept->setLayout(std::make_unique<log4cplus::PatternLayout>("%m%n"));
  auto &Appender = static_cast<BoundedAppender &>(*Kept);
  std::string Long(1000, 'x');
  for (int I = 0; I < 1000; ++I)
    Kept->doAppend(log4cplus::spi::InternalLoggingEvent(
        "test", log4cplus::INFO_LOG_LEVEL, Long, __FILE__, __LINE__));
  CHECK(Appender.dropped() > 0);
  // With the reader back, the next line says how many are missing.
  ::fcntl(Ends[0], F_SETFL, O_NONBLOCK);
  std::string Read(1 << 20, '\0');
  while (::read(Ends[0], Read.data(), Read.size()) > 0) {
  }
  Kept->doAppend(log4cplus::spi::InternalLoggingEvent(
      "test", log4cplus::INFO_LOG_LEVEL, "next", __FILE__, __LINE__));
  ssize_t Bytes = ::read(Ends[0], Read.data(), Read.size());
  REQUIRE(Bytes > 0);
  std::string Line = Read.substr(0, static_cast<size_t>(Bytes));
  CHECK(Line ==
        "next dropped_before=" + std::to_string(Appender.dropped()) + "\n");
  ::close(Ends[0]);
  // A closed reader loses lines, too; SIGPIPE is ignored as in the daemon.
  std::signal(SIGPIPE, SIG_IGN);
  uint64_t Before = Appender.dropped();
  Kept->doAppend(log4cplus::spi::InternalLoggingEvent(
      "test", log4cplus::INFO_LOG_LEVEL, "lost", __FILE__, __LINE__));
  CHECK(Appender.dropped() == Before + 1);
  ::close(Ends[1]);
}
