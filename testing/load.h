// Load: an open-loop caller that checks that each answer belongs to its
// request.

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
  Duration Length = 1s;
  Duration Timeout = 5s;
  // Prefix of the request ids, unique among callers.
  std::string Name = "caller";
  size_t BodyBytes = 0;
  // File that gets a line "ID METHOD END" a call; empty: none.
  std::string Trace;
};

struct LoadResult {
  uint64_t Sent = 0;
  uint64_t Answered = 0;
  uint64_t Failed = 0; // Answered with a status of 500 or more.
  uint64_t Refused = 0;
  uint64_t Unknown = 0;
  uint64_t Mismatched = 0;
  std::map<std::string, uint64_t> Reasons;
  std::vector<Duration> Latencies; // Of answers.

  // The latency that Share of the answers do not exceed.
  Duration quantile(double Share) const;
};

class Load {
public:
  // Calls Done when all requests have ended.
  Load(Loop &TheLoop, const LoadOptions &Options,
       std::function<void(const LoadResult &)> OnDone);

private:
  struct Call {
    std::unique_ptr<HttpCall> Http;
    std::string Id;
    std::string Method;
    TimePoint Begun;
  };

  void sendDue();
  void sendOne();
  void ended(uint64_t Number, Result<HttpResponse, HttpClientError> Outcome);
  std::string endOf(const Call &Ended, const HttpResponse &Response);
  std::string endOf(const HttpClientError &Error);

  Loop &TheLoop;
  LoadOptions Options;
  std::function<void(const LoadResult &)> OnDone;
  HttpClient Client;
  TimePoint Begun;
  TimerHandle Pace;
  std::map<uint64_t, Call> Calls;
  LoadResult Total;
  std::ofstream Trace;
  bool Finished = false;
};

} // namespace cyclamenwind::testing

#endif
