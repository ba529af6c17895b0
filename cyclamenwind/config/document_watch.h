// DocumentWatch: receives the accepted document by a watch on the platform.
//
// It reads the document once, then watches it. After an error it waits for an
// exponential delay with jitter and reads the document again, so that changes
// made while there was no watch are not missed. Each watch call is short, so
// that a connection that fails without an error is detected.

#ifndef CYCLAMENWIND_CONFIG_DOCUMENT_WATCH_H
#define CYCLAMENWIND_CONFIG_DOCUMENT_WATCH_H

#include "cyclamenwind/base/random.h"
#include "cyclamenwind/base/scheduler.h"
#include "cyclamenwind/store/client.h"

namespace cyclamenwind {

class DocumentWatch {
public:
  DocumentWatch(PlatformClient &Platform, Scheduler &Timers, Random &Rng)
      : Platform(Platform), Timers(Timers), Rng(Rng) {}
  ~DocumentWatch() { stop(); }
  DocumentWatch(const DocumentWatch &) = delete;
  DocumentWatch &operator=(const DocumentWatch &) = delete;

  // Handler receives the text of each envelope that is read or watched.
  void onText(std::function<void(const std::string &)> Handler) {
    Deliver = std::move(Handler);
  }

  // Called after each read, once its text has been delivered.
  void onSynchronised(std::function<void()> Handler) {
    Synchronised = std::move(Handler);
  }

  void start();
  void stop();
  bool running() const { return Running && *Running; }

  // Whether the last call to the platform failed.
  bool failing() const { return Failures > 0; }

private:
  void readDocument();
  void watchFrom(uint64_t Revision);
  void applyChanges(const WatchBatch &Batch);
  void retryLater(PlatformError Error);

  PlatformClient &Platform;
  Scheduler &Timers;
  Random &Rng;
  std::function<void(const std::string &)> Deliver;
  std::function<void()> Synchronised;
  TimerHandle RetryTimer;
  int Failures = 0;
  std::shared_ptr<bool> Running;
};

} // namespace cyclamenwind

#endif
