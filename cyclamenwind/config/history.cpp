#include "cyclamenwind/config/history.h"

#include "cyclamenwind/config/delta.h"

namespace cyclamenwind {
namespace {

constexpr size_t MaxSnapshots = 64;
constexpr size_t MaxHistoryBytes = 8 * 1024 * 1024;

} // namespace

void SnapshotHistory::add(const SnapshotPtr &Added) {
  Recent.push_back(Added);
  TextBytes += Added->text().size();
  while (Recent.size() > 1 &&
         (Recent.size() > MaxSnapshots || TextBytes > MaxHistoryBytes)) {
    TextBytes -= Recent.front()->text().size();
    Recent.pop_front();
  }
  Updates.clear();
  SnapshotUpdate.reset();
}

const ConfigUpdate &SnapshotHistory::updateFrom(uint64_t Version,
                                                uint64_t Digest) {
  for (const SnapshotPtr &From : Recent) {
    if (From->version() != Version || From->digest() != Digest)
      continue;
    auto Found = Updates.find(Version);
    if (Found == Updates.end())
      Found = Updates.emplace(Version, makeUpdate(*From)).first;
    return Found->second;
  }
  return snapshotUpdate();
}

const ConfigUpdate &SnapshotHistory::snapshotUpdate() {
  if (!SnapshotUpdate)
    SnapshotUpdate = {FrameType::ConfigSnapshot,
                      encodeMessage(packSnapshot(*newest()))};
  return *SnapshotUpdate;
}

ConfigUpdate SnapshotHistory::makeUpdate(const Snapshot &From) {
  std::optional<wire::ConfigDelta> Delta = makeDelta(From, *newest());
  if (!Delta)
    return snapshotUpdate();
  ConfigUpdate Update = {FrameType::ConfigDelta, encodeMessage(*Delta)};
  if (Update.Payload.size() >= snapshotUpdate().Payload.size())
    return snapshotUpdate();
  return Update;
}

} // namespace cyclamenwind
