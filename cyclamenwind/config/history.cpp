#include "cyclamenwind/config/history.h"

#include "cyclamenwind/config/delta.h"

namespace cyclamenwind {
namespace {

constexpr size_t MaxSnapshots = 64;
constexpr size_t MaxBytes = 8 * 1024 * 1024;

} // namespace

void SnapshotHistory::add(const SnapshotPtr &Added) {
  Recent.push_back(Added);
  Bytes += Added->text().size();
  while (Recent.size() > 1 &&
         (Recent.size() > MaxSnapshots || Bytes > MaxBytes)) {
    Bytes -= Recent.front()->text().size();
    Recent.pop_front();
  }
  Updates.clear();
  Whole.reset();
}

const ConfigUpdate &SnapshotHistory::updateFrom(uint64_t Version,
                                                uint64_t Digest) {
  for (const SnapshotPtr &Each : Recent) {
    if (Each->version() != Version || Each->digest() != Digest)
      continue;
    auto Found = Updates.find(Version);
    if (Found == Updates.end())
      Found = Updates.emplace(Version, makeUpdate(*Each)).first;
    return Found->second;
  }
  return wholeUpdate();
}

const ConfigUpdate &SnapshotHistory::wholeUpdate() {
  if (!Whole)
    Whole = {FrameType::ConfigSnapshot, encodeMessage(packSnapshot(*newest()))};
  return *Whole;
}

ConfigUpdate SnapshotHistory::makeUpdate(const Snapshot &From) {
  std::optional<wire::ConfigDelta> Delta = makeDelta(From, *newest());
  if (!Delta)
    return wholeUpdate();
  ConfigUpdate Update = {FrameType::ConfigDelta, encodeMessage(*Delta)};
  if (Update.Payload.size() >= wholeUpdate().Payload.size())
    return wholeUpdate();
  return Update;
}

} // namespace cyclamenwind
