// DocumentWatch: the accepted document by a watch on the platform.
//
// Reads the document once, then watches it. After an error it waits for an
// exponential delay with jitter and reads anew, so that a gap in the watch is
// closed by a read. Watches are short, so that a silent connection is noticed.

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

  // Receives each envelope's text.
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
  TimerHandle Retry;
  int Failures = 0;
  std::shared_ptr<bool> Running;
};

} // namespace cyclamenwind

#endif
