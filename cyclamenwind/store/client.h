// PlatformClient: the platform's object API as the library needs it.
//
// The platform holds objects under string keys. Each write gives the object a
// new version from one counter that only grows (the revision). A write or a
// removal can be conditional on the object's version; version 0 means that the
// object must not exist. A watch waits for changes under a prefix after a
// revision.
//
// An error other than those marked below leaves open whether a write took
// effect: the caller reads the object back, and recognises its own write by the
// operation id inside the value, before it tells anyone.

#ifndef CYCLAMENWIND_STORE_CLIENT_H
#define CYCLAMENWIND_STORE_CLIENT_H

#include "cyclamenwind/base/result.h"
#include "cyclamenwind/base/time.h"

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace cyclamenwind {

enum class PlatformError {
  NotFound,        // Certain: there is no such object.
  Conflict,        // Certain: the object has another version; not written.
  TooLarge,        // Certain: refused.
  Overloaded,      // Certain: refused.
  BudgetExhausted, // Certain: not sent.
  Unreachable,     // Certain: not sent.
  WatchGap,        // Changes since the revision are no longer known; list anew.
  NoAnswer,        // Sent, and the answer is unknown.
  Malformed,       // An answer that does not follow the API.
};

std::string_view nameOf(PlatformError Error);

struct PlatformObject {
  std::string Key;
  uint64_t Version = 0;
  std::string Value;
  std::string Status = {}; // Written apart from the value; often empty.
};

struct PlatformListing {
  uint64_t Revision = 0;
  std::vector<PlatformObject> Objects;
};

// A change seen by a watch. A removed object has Removed set and no value.
struct PlatformChange {
  PlatformObject Object;
  bool Removed = false;
};

// Changes up to Revision, which the next watch continues from. Empty if none
// came within the watch's time.
struct WatchBatch {
  uint64_t Revision = 0;
  std::vector<PlatformChange> Changes;
};

template <typename T>
using PlatformCallback = std::function<void(Result<T, PlatformError>)>;

// A service named "platform". Done is never called from within the call.
class PlatformClient {
public:
  virtual ~PlatformClient() = default;

  virtual void read(const std::string &Key,
                    PlatformCallback<PlatformObject> OnDone) = 0;
  virtual void list(const std::string &Prefix,
                    PlatformCallback<PlatformListing> OnDone) = 0;

  // Writes if the object's version is IfVersion; yields the new version.
  virtual void write(const std::string &Key, const std::string &Value,
                     uint64_t IfVersion, PlatformCallback<uint64_t> OnDone) = 0;

  // Replaces the status of an object whose version is IfVersion; yields the new
  // version. Status is a JSON text.
  virtual void writeStatus(const std::string &Key, const std::string &Status,
                           uint64_t IfVersion,
                           PlatformCallback<uint64_t> OnDone) = 0;

  // Removes if the object's version is IfVersion; yields the revision.
  virtual void remove(const std::string &Key, uint64_t IfVersion,
                      PlatformCallback<uint64_t> OnDone) = 0;

  // Waits up to Wait for changes under Prefix after Revision.
  virtual void watch(const std::string &Prefix, uint64_t Revision,
                     Duration Wait, PlatformCallback<WatchBatch> OnDone) = 0;

  // As list() and watch(), by data that may be seconds old. Costs the platform
  // much less.
  virtual void listStale(const std::string &Prefix,
                         PlatformCallback<PlatformListing> OnDone) {
    list(Prefix, std::move(OnDone));
  }
  virtual void watchStale(const std::string &Prefix, uint64_t Revision,
                          Duration Wait, PlatformCallback<WatchBatch> OnDone) {
    watch(Prefix, Revision, Wait, std::move(OnDone));
  }
};

} // namespace cyclamenwind

#endif
