// PlatformWatcher: keeps the store up to date by a watch on the platform.
//
// Reads the document once, then watches it. After an error it waits for an
// exponential delay with jitter and reads anew, so that a gap in the watch is
// closed by a read. Outages change nothing that is in force.

#ifndef CYCLAMENWIND_CONFIG_WATCHER_H
#define CYCLAMENWIND_CONFIG_WATCHER_H

#include "cyclamenwind/base/kernel.h"
#include "cyclamenwind/config/store.h"
#include "cyclamenwind/platform/client.h"

namespace cyclamenwind {

// A service named "config_watcher".
class PlatformWatcher final : public Service {
public:
  std::string_view name() const override { return "config_watcher"; }
  void start(Kernel &Host) override;
  void stop() override { Retry.reset(); }

  // Whether the platform has said which document is the newest, even if none.
  bool synchronised() const { return Synchronised; }

private:
  void readDocument();
  void watchFrom(uint64_t Revision);
  void applyChanges(const WatchBatch &Batch);
  void retryLater(PlatformError Error);

  PlatformClient *Platform = nullptr;
  ConfigStore *Store = nullptr;
  Scheduler *Timers = nullptr;
  Random *Jitter = nullptr;
  TimerHandle Retry;
  int Failures = 0;
  bool Synchronised = false;
};

} // namespace cyclamenwind

#endif
