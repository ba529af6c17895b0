// PlatformServer: the HTTP API of the platform's metadata store, with fault
// injection.
//
//   POST /control  {"outage": bool, "delay_ms": n, "lose_answers": n,
//                   "compact": true, "copy": true, "restore": true,
//                   "era": text}
//   GET  /counts   number of calls since the start, by HTTP method; watches are
//                  counted as "watch", once no matter how long they wait
//
// During an outage, connections are accepted but closed on each call without a
// response. delay_ms delays the processing of each call. The next lose_answers
// writes are processed, but their connections are closed without a response.
// compact drops the history, so that watches from an older revision get an
// error (410). copy keeps a copy of the present state; restore returns to it,
// raises the restore epoch and ends pending watches. The responses name the
// restore epoch once it is not 0, or era instead if that is not empty.

#ifndef CYCLAMENWIND_TESTING_PLATFORM_SERVER_H
#define CYCLAMENWIND_TESTING_PLATFORM_SERVER_H

#include "cyclamenwind/http/server.h"
#include "testing/object_store.h"

#include <list>
#include <optional>

#include <nlohmann/json_fwd.hpp>

namespace cyclamenwind::testing {

class PlatformServer {
public:
  // Exits the process with status 1 if it cannot listen on Listen.
  PlatformServer(Loop &TheLoop, const Address &Listen);

private:
  struct PendingWatch {
    ExchangePtr Received;
    std::string Prefix;
    uint64_t After;
    TimerHandle Timeout;
  };

  void replyJson(const ExchangePtr &Received, int Status,
                 const nlohmann::json &Body) const;
  void replyError(const ExchangePtr &Received, PlatformError Error) const;
  void accept(const ExchangePtr &Received);
  void serve(const ExchangePtr &Received);
  void control(const ExchangePtr &Received);
  void list(const ExchangePtr &Received, const std::string &Prefix,
            const std::string &After);
  void write(const ExchangePtr &Received);
  void answerWrite(const ExchangePtr &Received,
                   Result<uint64_t, PlatformError> Outcome);
  void watch(const ExchangePtr &Received);
  bool answerWatch(const PendingWatch &Watch, bool ReplyIfEmpty);
  void wakeWatches();

  Loop &TheLoop;
  ObjectStore Store;
  std::optional<ObjectStore> Copy;
  std::string EraText; // Sent instead of the restore epoch.
  std::unique_ptr<HttpServer> Server;
  std::list<PendingWatch> Watches;
  std::map<std::string, uint64_t> Counts;
  std::map<uint64_t, TimerHandle> DelayTimers;
  uint64_t NextDelayId = 0;
  bool Outage = false;
  Duration Delay{};
  int LoseAnswers = 0;
};

} // namespace cyclamenwind::testing

#endif
