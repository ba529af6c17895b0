// SnapshotHistory: recent snapshots, and the updates from each of them to the
// newest.

#ifndef CYCLAMENWIND_CONFIG_HISTORY_H
#define CYCLAMENWIND_CONFIG_HISTORY_H

#include "cyclamenwind/config/snapshot.h"
#include "cyclamenwind/peer/frame.h"

#include <deque>

namespace cyclamenwind {

// An encoded frame.
struct ConfigUpdate {
  FrameType Type;
  std::string Payload;
};

class SnapshotHistory {
public:
  // Added must be newer than newest().
  void add(const SnapshotPtr &Added);

  const SnapshotPtr &newest() const { return Recent.back(); }
  bool empty() const { return Recent.empty(); }

  // Returns the update to the newest snapshot for a daemon that has Version
  // with Digest: a delta if there is one and it is smaller, else the snapshot.
  // Each update is encoded once and cached. The history must not be empty.
  const ConfigUpdate &updateFrom(uint64_t Version, uint64_t Digest);

private:
  const ConfigUpdate &snapshotUpdate();
  ConfigUpdate makeUpdate(const Snapshot &From);

  std::deque<SnapshotPtr> Recent;
  size_t TextBytes = 0;
  std::map<uint64_t, ConfigUpdate> Updates; // By the version they apply to.
  std::optional<ConfigUpdate> SnapshotUpdate;
};

} // namespace cyclamenwind

#endif
