#include "testing/object_store.h"

namespace cyclamenwind::testing {
namespace {

constexpr size_t MaxHistoryEntries = 10000;
constexpr size_t MaxValueBytes = 1024 * 1024;

} // namespace

Result<PlatformObject, PlatformError>
ObjectStore::read(const std::string &Key) const {
  auto Found = Objects.find(Key);
  if (Found == Objects.end())
    return PlatformError::NotFound;
  return Found->second;
}

PlatformListing ObjectStore::list(const std::string &Prefix) const {
  PlatformListing Listing;
  Listing.Revision = Revision;
  for (auto Position = Objects.lower_bound(Prefix);
       Position != Objects.end() && Position->first.starts_with(Prefix);
       ++Position)
    Listing.Objects.push_back(Position->second);
  return Listing;
}

Result<uint64_t, PlatformError> ObjectStore::write(const std::string &Key,
                                                   const std::string &Value,
                                                   uint64_t IfVersion) {
  if (Value.size() > MaxValueBytes)
    return PlatformError::TooLarge;
  auto Found = Objects.find(Key);
  uint64_t CurrentVersion = Found == Objects.end() ? 0 : Found->second.Version;
  if (CurrentVersion != IfVersion)
    return PlatformError::Conflict;
  std::string Status = Found == Objects.end() ? "" : Found->second.Status;
  PlatformObject Written = {Key, ++Revision, Value, Status};
  Objects[Key] = Written;
  record({Written, false});
  return Revision;
}

Result<uint64_t, PlatformError>
ObjectStore::writeStatus(const std::string &Key, const std::string &Status,
                         uint64_t IfVersion) {
  auto Found = Objects.find(Key);
  if (Found == Objects.end())
    return PlatformError::NotFound;
  if (Found->second.Version != IfVersion)
    return PlatformError::Conflict;
  Found->second.Version = ++Revision;
  Found->second.Status = Status;
  record({Found->second, false});
  return Revision;
}

Result<uint64_t, PlatformError> ObjectStore::remove(const std::string &Key,
                                                    uint64_t IfVersion) {
  auto Found = Objects.find(Key);
  if (Found == Objects.end())
    return PlatformError::NotFound;
  if (Found->second.Version != IfVersion)
    return PlatformError::Conflict;
  Objects.erase(Found);
  ++Revision;
  record({{Key, Revision, "", ""}, true});
  return Revision;
}

Result<WatchBatch, PlatformError>
ObjectStore::changes(const std::string &Prefix, uint64_t After) const {
  if (After < CompactedTo || After > Revision)
    return PlatformError::WatchGap;
  WatchBatch Batch;
  Batch.Revision = Revision;
  for (const Entry &Recorded : History)
    if (Recorded.Revision > After &&
        Recorded.Change.Object.Key.starts_with(Prefix))
      Batch.Changes.push_back(Recorded.Change);
  return Batch;
}

void ObjectStore::compact() {
  History.clear();
  CompactedTo = Revision;
}

void ObjectStore::restore(const ObjectStore &Copy) {
  uint64_t Epoch = RestoreEpoch + 1;
  *this = ObjectStore(Copy);
  RestoreEpoch = Epoch;
}

void ObjectStore::record(const PlatformChange &Change) {
  History.push_back({Revision, Change});
  if (History.size() <= MaxHistoryEntries)
    return;
  CompactedTo = History.front().Revision;
  History.pop_front();
}

} // namespace cyclamenwind::testing
