#include "cyclamenwind/ctl/commands.h"

#include <catch2/catch.hpp>

#include <cstdio>
#include <fstream>
#include <sstream>

using namespace cyclamenwind;
using namespace cyclamenwind::ctl;

namespace {

class UnreachableDaemonClient final : public DaemonClient {
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
  UnreachableDaemonClient Client;
  int Status =
      run(static_cast<int>(All.size()), All.data(), Client, Out, Errors);
  return {Status, Out.str(), Errors.str()};
}

// A log file that the destructor removes.
class LogFile {
public:
  LogFile(const std::string &Name, const std::string &Text) : Name(Name) {
    std::ofstream(Name) << Text;
  }
  ~LogFile() { std::remove(Name.c_str()); }

  std::string Name;
};

const char LogOfA[] =
    "time=2026-01-01T00:00:01.100Z level=INFO member=a event=request_repeated "
    "request=r1 server=i-2 cause=shed arrivals=1\n"
    "time=2026-01-01T00:00:01.300Z level=INFO member=a event=request_failed "
    "request=r1 status=500\n"
    "time=2026-01-01T00:00:01.000Z level=INFO member=a event=request_failed "
    "request=r10 status=503\n";
const char LogOfB[] =
    "time=2026-01-01T00:00:01.200Z level=INFO member=b event=gate_refused "
    "request=r1.c7 reason=overloaded\n";

} // namespace

TEST_CASE(
    "trace prints the decisions of all daemons on a request and on its nested "
    "calls, ordered by time") {
  LogFile A("ctl_trace_test_1.log", LogOfA);
  LogFile B("ctl_trace_test_2.log", LogOfB);
  Outcome Traced = runTrace({"r1", A.Name.c_str(), B.Name.c_str()});
  CHECK(Traced.Status == Done);
  size_t RetryAt = Traced.Out.find("request_repeated");
  size_t NestedAt = Traced.Out.find("\n  time=2026-01-01T00:00:01.200Z");
  size_t FailureAt = Traced.Out.find("event=request_failed request=r1 ");
  REQUIRE(RetryAt != std::string::npos);
  REQUIRE(NestedAt != std::string::npos);
  REQUIRE(FailureAt != std::string::npos);
  CHECK(RetryAt < NestedAt);
  CHECK(NestedAt < FailureAt);
  CHECK(Traced.Out.find("r10") == std::string::npos);
}

TEST_CASE("trace reports the number of suppressed log lines") {
  LogFile A("ctl_trace_test_3.log",
            std::string(LogOfA) + "time=2026-01-01T00:00:02.000Z level=INFO "
                                  "event=x dropped_before=17\n");
  Outcome Traced = runTrace({"r1", A.Name.c_str()});
  CHECK(Traced.Status == Incomplete);
  CHECK(Traced.Errors.find("17 lines were suppressed") != std::string::npos);
}

TEST_CASE("trace fails for an unknown request and for an unreadable file") {
  LogFile A("ctl_trace_test_4.log", LogOfA);
  Outcome Unknown = runTrace({"nobody", A.Name.c_str()});
  CHECK(Unknown.Status == Failed);
  CHECK(Unknown.Errors.find("no decision on request 'nobody' in 3 lines") !=
        std::string::npos);
  CHECK(runTrace({"r1", "/nonexistent"}).Status == Failed);
  CHECK(runTrace({"r1"}).Status == BadUsage);
}
