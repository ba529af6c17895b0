// SnapshotHistory: recent snapshots, and what brings others to the newest.

#ifndef CYCLAMENWIND_CONFIG_HISTORY_H
#define CYCLAMENWIND_CONFIG_HISTORY_H

#include "cyclamenwind/config/snapshot.h"
#include "cyclamenwind/peer/frame.h"

#include <deque>

namespace cyclamenwind {

// A frame ready to be sent.
struct ConfigUpdate {
  FrameType Type;
  std::string Payload;
};

class SnapshotHistory {
public:
  // Added must be newer than those before.
  void add(const SnapshotPtr &Added);

  const SnapshotPtr &newest() const { return Recent.back(); }
  bool empty() const { return Recent.empty(); }

  // What brings a daemon that has Version with Digest to the newest: a delta if
  // there is one and it is smaller, else the snapshot. Made once for each
  // version. The history must not be empty.
  const ConfigUpdate &updateFrom(uint64_t Version, uint64_t Digest);

private:
  const ConfigUpdate &wholeUpdate();
  ConfigUpdate makeUpdate(const Snapshot &From);

  std::deque<SnapshotPtr> Recent;
  size_t Bytes = 0;
  std::map<uint64_t, ConfigUpdate> Updates; // By the version they begin at.
  std::optional<ConfigUpdate> Whole;
};

} // namespace cyclamenwind

#endif
