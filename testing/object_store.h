// ObjectStore: an in-memory store with the platform's rules for versions and
// watches (see store/client.h).

#ifndef CYCLAMENWIND_TESTING_OBJECT_STORE_H
#define CYCLAMENWIND_TESTING_OBJECT_STORE_H

#include "cyclamenwind/store/client.h"

#include <deque>
#include <map>

namespace cyclamenwind::testing {

class ObjectStore {
public:
  Result<PlatformObject, PlatformError> read(const std::string &Key) const;
  PlatformListing list(const std::string &Prefix) const;
  Result<uint64_t, PlatformError>
  write(const std::string &Key, const std::string &Value, uint64_t IfVersion);
  Result<uint64_t, PlatformError> writeStatus(const std::string &Key,
                                              const std::string &Status,
                                              uint64_t IfVersion);
  Result<uint64_t, PlatformError> remove(const std::string &Key,
                                         uint64_t IfVersion);

  // Changes under Prefix after Revision, or WatchGap if the history no longer
  // reaches back to Revision or if Revision is above revision().
  Result<WatchBatch, PlatformError> changes(const std::string &Prefix,
                                            uint64_t Revision) const;

  // Drops the history, so that watches from an older revision get WatchGap.
  void compact();

  uint64_t revision() const { return Revision; }

  // Returns to Copy, an earlier state of this store. The revisions since are
  // issued again, and the restore epoch rises by one.
  void restore(const ObjectStore &Copy);

  // How many times restore() was called.
  uint64_t restoreEpoch() const { return RestoreEpoch; }

private:
  struct Entry {
    uint64_t Revision;
    PlatformChange Change;
  };

  void record(const PlatformChange &Change);

  uint64_t RestoreEpoch = 0;
  uint64_t Revision = 0;
  uint64_t CompactedTo = 0;
  std::map<std::string, PlatformObject> Objects;
  std::deque<Entry> History;
};

} // namespace cyclamenwind::testing

#endif
