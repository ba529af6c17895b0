// Load: an open-loop load generator that checks that each response belongs to
// its request.

#ifndef CYCLAMENWIND_TESTING_LOAD_H
#define CYCLAMENWIND_TESTING_LOAD_H

#include "cyclamenwind/http/client.h"

#include <fstream>
#include <map>
#include <vector>

namespace cyclamenwind::testing {

struct LoadTarget {
  std::string Method;
  std::string Target;
};

struct LoadOptions {
  std::vector<Address> Daemons;
  std::vector<LoadTarget> Targets;
  double PerSecond = 100;
  Duration RunTime = 1s;
  Duration Timeout = 5s;
  // Prefix of the request ids; must be unique among callers.
  std::string Name = "caller";
  size_t BodyBytes = 0;
  // File that receives a line "ID METHOD OUTCOME" per call; none if empty.
  std::string Trace;
};

struct LoadResult {
  uint64_t Sent = 0;
  uint64_t Answered = 0;
  // Answered with a status of 500 or above; also counted in Answered.
  uint64_t Failed = 0;
  uint64_t Refused = 0; // Not sent, or refused before execution.
  uint64_t Unknown = 0; // Outcome unknown.
  // The response's id or body is not that of the request; also counted in
  // Answered.
  uint64_t Mismatched = 0;
  // Reasons of calls that were not answered.
  std::map<std::string, uint64_t> Reasons;
  std::vector<Duration> Latencies; // Of answered calls.

  // The Fraction quantile of Latencies; zero if there are none.
  Duration quantile(double Fraction) const;
};

class Load {
public:
  // Calls OnDone when all requests have completed.
  Load(Loop &TheLoop, const LoadOptions &Options,
       std::function<void(const LoadResult &)> OnDone);

private:
  struct Call {
    std::unique_ptr<HttpCall> Http;
    std::string Id;
    std::string Method;
    TimePoint Started;
  };

  void sendDue();
  void sendOne();
  void complete(uint64_t Number, Result<HttpResponse, HttpClientError> Outcome);
  std::string recordOutcome(const Call &Completed,
                            const HttpResponse &Response);
  std::string recordOutcome(const HttpClientError &Error);

  Loop &TheLoop;
  LoadOptions Options;
  std::function<void(const LoadResult &)> OnDone;
  HttpClient Client;
  TimePoint Started;
  TimerHandle PaceTimer;
  std::map<uint64_t, Call> Calls;
  LoadResult Total;
  std::ofstream Trace;
  bool Finished = false;
};

} // namespace cyclamenwind::testing

#endif
