// PlatformServer: the API of the platform's metadata store over HTTP, with
// switches for faults.
//
//   POST /control  {"outage": bool, "delay_ms": n, "lose_answers": n,
//                   "compact": true}
//   GET  /counts   calls by kind since the start; a waiting watch is one call
//
// Outage: connections are accepted and every call is cut without an answer.
// Delay: each answer waits. Lost answers: the next n writes take effect and
// their connections are cut.

#ifndef CYCLAMENWIND_TESTING_PLATFORM_SERVER_H
#define CYCLAMENWIND_TESTING_PLATFORM_SERVER_H

#include "cyclamenwind/http/server.h"
#include "testing/object_store.h"

#include <list>

namespace cyclamenwind::testing {

class PlatformServer {
public:
  // Ends the process if Listen is in use.
  PlatformServer(Loop &TheLoop, const Address &Listen);

private:
  struct Waiting {
    ExchangePtr Received;
    std::string Prefix;
    uint64_t After;
    TimerHandle Timeout;
  };

  void accept(const ExchangePtr &Received);
  void serve(const ExchangePtr &Received);
  void control(const ExchangePtr &Received);
  void list(const ExchangePtr &Received, const std::string &Prefix,
            const std::string &After);
  void write(const ExchangePtr &Received);
  void answerWrite(const ExchangePtr &Received,
                   Result<uint64_t, PlatformError> Outcome);
  void watch(const ExchangePtr &Received);
  bool answerWatch(const Waiting &Watch, bool EvenIfEmpty);
  void wakeWatches();

  Loop &TheLoop;
  ObjectStore Store;
  std::unique_ptr<HttpServer> Server;
  std::list<Waiting> Watches;
  std::map<std::string, uint64_t> Counts;
  std::map<uint64_t, TimerHandle> Delayed;
  uint64_t NextDelayed = 0;
  bool Outage = false;
  Duration Delay{};
  int LoseAnswers = 0;
};

} // namespace cyclamenwind::testing

#endif
