// BackendStandin: a backend server that behaves as told.
//
// It announces itself to the daemon beside it, runs at most its slots of
// requests at once and sheds the rest, and records how often each request id
// ran. The response to a request repeats its id. GET /standin/counts gives the
// record; POST /standin/control changes the behaviour while it runs.

#ifndef CYCLAMENWIND_TESTING_BACKEND_STANDIN_H
#define CYCLAMENWIND_TESTING_BACKEND_STANDIN_H

#include "cyclamenwind/base/random.h"
#include "cyclamenwind/http/client.h"
#include "cyclamenwind/http/server.h"

#include <fstream>

namespace cyclamenwind::testing {

inline constexpr char RequestIdHeader[] = "X-Request-Id";

struct BackendBehaviour {
  Duration Work = 5ms;       // Time that a request takes.
  double FailRate = 0;       // Share of requests answered 500.
  double SlowFactor = 1;     // Multiplies Work.
  Duration FaultAfter{};     // The two above hold only from then on.
  int FaultAboveRunning = 0; // ... and only above this many running requests.
  std::string FaultPath;     // ... and only under this path; empty: all.
  bool CutAnswers = false;   // Closes the connection half way in an answer.
  bool Silent = false;       // Accepts requests and never answers.
};

struct BackendOptions {
  Address Listen;
  Address Daemon; // Operators' address of the daemon beside it.
  std::string Service;
  std::string Version;
  int Slots = 10;
  uint64_t Seed = 1;
  std::string Trace; // File that gets a line "ID METHOD" a run; empty: none.
  BackendBehaviour Behaviour;
};

class BackendStandin {
public:
  // Ends the process if the address is in use.
  BackendStandin(Loop &TheLoop, const BackendOptions &Options);

  // Announces that it drains, finishes what runs, withdraws, stops the loop.
  void drain();

private:
  void accept(const ExchangePtr &Received);
  void finish(const ExchangePtr &Received, const std::string &Id, bool Failed);
  void control(const ExchangePtr &Received);
  void counts(const ExchangePtr &Received);
  bool faulty(const HttpRequest &Request) const;
  void announce();
  void withdrawWhenIdle();

  Loop &TheLoop;
  BackendOptions Options;
  Random Rng;
  HttpClient Client;
  std::unique_ptr<HttpServer> Server;
  std::unique_ptr<HttpCall> Announcing;
  TimerHandle AnnounceTimer;
  TimerHandle IdleTimer;
  std::map<uint64_t, TimerHandle> Running;
  uint64_t NextRun = 0;
  std::map<std::string, int> RunsById;
  uint64_t Shed = 0;
  uint64_t Cancelled = 0;
  std::ofstream Trace;
  TimePoint Started;
  TimePoint DrainBegun;
  uint64_t RunsAfterDrain = 0;
  bool Draining = false;
};

} // namespace cyclamenwind::testing

#endif
