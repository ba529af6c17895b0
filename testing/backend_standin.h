// BackendStandin: a backend server with configurable behaviour, for tests and
// the quickstart.
//
// It registers with the daemon on its host, runs at most Slots requests
// concurrently and sheds the rest with 503, and counts how often each request
// id ran. Each response repeats the id of its request. GET /standin/counts
// returns the counts; POST /standin/control changes the behaviour at run time.

#ifndef CYCLAMENWIND_TESTING_BACKEND_STANDIN_H
#define CYCLAMENWIND_TESTING_BACKEND_STANDIN_H

#include "cyclamenwind/base/random.h"
#include "cyclamenwind/http/client.h"
#include "cyclamenwind/http/server.h"

#include <fstream>

namespace cyclamenwind::testing {

inline constexpr char RequestIdHeader[] = "X-Request-Id";

struct BackendBehaviour {
  Duration Work = 5ms;   // Mean time that a request takes.
  double FailRate = 0;   // Fraction of requests answered with 500.
  double SlowFactor = 1; // Multiplies Work.
  // FailRate and SlowFactor apply only after this time from the start, only if
  // at least FaultAboveRunning requests are running, and only to paths with the
  // prefix FaultPath (empty: all paths).
  Duration FaultAfter{};
  int FaultAboveRunning = 0;
  std::string FaultPath;
  // Close the connection instead of sending a response (control: cut_answers).
  bool CloseWithoutResponse = false;
  // Accept requests, but respond only after 1 h (never, for a test; control:
  // silent).
  bool NeverRespond = false;
};

struct BackendOptions {
  Address Listen;
  Address Daemon; // Operators' address of the daemon on its host.
  std::string Service;
  std::string Version;
  int Slots = 10;
  uint64_t Seed = 1;
  // File that receives a line "ID METHOD" per run; none if empty.
  std::string Trace;
  BackendBehaviour Behaviour;
};

class BackendStandin {
public:
  // Exits the process with status 1 if the address is in use.
  BackendStandin(Loop &TheLoop, const BackendOptions &Options);

  // Registers as draining, waits until no request runs, removes the
  // registration and stops the loop.
  void drain();

private:
  void accept(const ExchangePtr &Received);
  void finish(const ExchangePtr &Received, const std::string &Id, bool Failed);
  void control(const ExchangePtr &Received);
  void counts(const ExchangePtr &Received);
  bool isFaulty(const HttpRequest &Request) const;
  void registerServer();
  void deregisterWhenIdle();

  Loop &TheLoop;
  BackendOptions Options;
  Random Rng;
  HttpClient Client;
  std::unique_ptr<HttpServer> Server;
  std::unique_ptr<HttpCall> RegistrationCall;
  TimerHandle RegistrationTimer;
  TimerHandle IdleTimer;
  std::map<uint64_t, TimerHandle> Running;
  uint64_t NextRun = 0;
  std::map<std::string, int> RunsById;
  uint64_t Shed = 0;
  uint64_t Cancelled = 0;
  std::ofstream Trace;
  TimePoint Started;
  TimePoint DrainStarted;
  uint64_t RunsAfterDrain = 0;
  bool Draining = false;
};

} // namespace cyclamenwind::testing

#endif
