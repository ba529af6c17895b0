#include "cyclamenwind/ctl/commands.h"

#include <catch2/catch.hpp>

#include <cstdio>
#include <fstream>
#include <sstream>

using namespace cyclamenwind;
using namespace cyclamenwind::ctl;

namespace {

class NoConnection final : public Connection {
public:
  Result<HttpResponse, HttpClientError> send(const Address &,
                                             const HttpRequest &) override {
    return HttpClientError{HttpClientErrorCode::ConnectFailed, false};
  }
  TimePoint now() const override { return {}; }
  void sleepFor(Duration) override {}
};

struct Outcome {
  int Status;
  std::string Out;
  std::string Errors;
};

Outcome runTrace(const std::vector<const char *> &Arguments) {
  std::vector<const char *> All = {"cyclamenctl", "trace"};
  All.insert(All.end(), Arguments.begin(), Arguments.end());
  std::ostringstream Out;
  std::ostringstream Errors;
  NoConnection Link;
  int Status = run(static_cast<int>(All.size()), All.data(), Link, Out, Errors);
  return {Status, Out.str(), Errors.str()};
}

// A file with daemons' lines, removed at the end.
class LogFile {
public:
  LogFile(const std::string &Name, const std::string &Text) : Name(Name) {
    std::ofstream(Name) << Text;
  }
  ~LogFile() { std::remove(Name.c_str()); }

  std::string Name;
};

const char One[] =
    "time=2026-01-01T00:00:01.100Z level=INFO member=a event=request_repeated "
    "request=r1 server=i-2 cause=shed arrivals=1\n"
    "time=2026-01-01T00:00:01.300Z level=INFO member=a event=request_failed "
    "request=r1 status=500\n"
    "time=2026-01-01T00:00:01.000Z level=INFO member=a event=request_failed "
    "request=r10 status=503\n";
const char Two[] =
    "time=2026-01-01T00:00:01.200Z level=INFO member=b event=gate_refused "
    "request=r1.c7 reason=overloaded\n";

} // namespace

TEST_CASE("a request's decisions are shown in order over all daemons, with the "
          "calls inside it") {
  LogFile A("ctl_trace_test_1.log", One);
  LogFile B("ctl_trace_test_2.log", Two);
  Outcome Shown = runTrace({"r1", A.Name.c_str(), B.Name.c_str()});
  CHECK(Shown.Status == Done);
  size_t Repeat = Shown.Out.find("request_repeated");
  size_t Inner = Shown.Out.find("\n  time=2026-01-01T00:00:01.200Z");
  size_t End = Shown.Out.find("event=request_failed request=r1 ");
  REQUIRE(Repeat != std::string::npos);
  REQUIRE(Inner != std::string::npos);
  REQUIRE(End != std::string::npos);
  CHECK(Repeat < Inner);
  CHECK(Inner < End);
  CHECK(Shown.Out.find("r10") == std::string::npos);
}

TEST_CASE("suppressed lines are told") {
  LogFile A("ctl_trace_test_3.log",
            std::string(One) + "time=2026-01-01T00:00:02.000Z level=INFO "
                               "event=x dropped_before=17\n");
  Outcome Shown = runTrace({"r1", A.Name.c_str()});
  CHECK(Shown.Status == Incomplete);
  CHECK(Shown.Errors.find("17 lines were suppressed") != std::string::npos);
}

TEST_CASE("an unknown request and an unreadable file give a clear error") {
  LogFile A("ctl_trace_test_4.log", One);
  Outcome Unknown = runTrace({"nobody", A.Name.c_str()});
  CHECK(Unknown.Status == Failed);
  CHECK(Unknown.Errors.find("no decision on request 'nobody' in 3 lines") !=
        std::string::npos);
  CHECK(runTrace({"r1", "/nonexistent"}).Status == Failed);
  CHECK(runTrace({"r1"}).Status == BadUsage);
}
