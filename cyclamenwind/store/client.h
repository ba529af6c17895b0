// PlatformClient: the part of the platform's object API that the library uses.
//
// The platform stores objects under string keys. Each write assigns the object
// a new version from one store-wide, monotonically increasing counter (the
// revision). A write or a removal can be conditional on the object's version;
// version 0 means that the object must not exist. A watch waits for changes
// under a prefix after a given revision.
//
// The platform may be restored from an older copy. It then loses acknowledged
// writes and issues the revisions since the copy again for other contents; each
// response names the restore epoch, which rises with each restore. Revisions
// and versions of different epochs must not be compared.
//
// After an error marked "definite" below, a write has not taken effect. After
// any other error the outcome is unknown: the caller reads the object back and
// recognises its own write by the operation id in the value before it reports
// a result.

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
  NotFound,        // Definite: there is no such object.
  Conflict,        // Definite: the version differs; not written.
  TooLarge,        // Definite: refused.
  Overloaded,      // Definite: refused.
  BudgetExhausted, // Definite: not sent.
  Unreachable,     // Definite: not sent.
  WatchGap,        // History since the revision was compacted; list again.
  NoAnswer,        // Sent, but no response was received; outcome unknown.
  Restored,        // The platform was restored meanwhile; outcome unknown, and
                   // the version in the condition is no longer valid.
  Malformed,       // The response does not follow the API.
};

std::string_view nameOf(PlatformError Error);

struct PlatformObject {
  std::string Key;
  uint64_t Version = 0;
  std::string Value;
  std::string Status = {}; // Written separately from the value; often empty.
};

struct PlatformListing {
  uint64_t Revision = 0;
  std::vector<PlatformObject> Objects;
};

// A change reported by a watch. For a removed object Removed is set and the
// value is empty.
struct PlatformChange {
  PlatformObject Object;
  bool Removed = false;
};

// Changes up to Revision, from which the next watch continues. Changes is empty
// if nothing changed while the watch lasted.
struct WatchBatch {
  uint64_t Revision = 0;
  std::vector<PlatformChange> Changes;
};

template <typename T>
using PlatformCallback = std::function<void(Result<T, PlatformError>)>;

// A service named "platform". OnDone is never called before the method that it
// was passed to returns.
class PlatformClient {
public:
  virtual ~PlatformClient() = default;

  virtual void read(const std::string &Key,
                    PlatformCallback<PlatformObject> OnDone) = 0;
  virtual void list(const std::string &Prefix,
                    PlatformCallback<PlatformListing> OnDone) = 0;

  // Writes if the object's version is IfVersion; the result is the new version.
  virtual void write(const std::string &Key, const std::string &Value,
                     uint64_t IfVersion, PlatformCallback<uint64_t> OnDone) = 0;

  // Replaces the status if the object's version is IfVersion; the result is the
  // new version. Status is JSON text.
  virtual void writeStatus(const std::string &Key, const std::string &Status,
                           uint64_t IfVersion,
                           PlatformCallback<uint64_t> OnDone) = 0;

  // Removes if the object's version is IfVersion; the result is the store's
  // revision.
  virtual void remove(const std::string &Key, uint64_t IfVersion,
                      PlatformCallback<uint64_t> OnDone) = 0;

  // Waits at most Wait for changes under Prefix after Revision.
  virtual void watch(const std::string &Prefix, uint64_t Revision,
                     Duration Wait, PlatformCallback<WatchBatch> OnDone) = 0;

  // How many times the platform was restored from an older copy, as its newest
  // response says; 0 if it does not say. After a restore the revisions of the
  // earlier epoch are issued again for other contents.
  virtual uint64_t restoreEpoch() const { return 0; }

  // Adds a handler that is called when a response brings a higher restore epoch
  // than the one before it, before that response is delivered. It stays for the
  // lifetime of the client. Responses of lower epochs are delivered as
  // NoAnswer, writes and removals that were sent in an earlier epoch as
  // Restored, and watches as WatchGap.
  virtual void onRestored(std::function<void()> /*Handler*/) {}

  // Like list() and watch(), but the data may be seconds old. These cost the
  // platform much less.
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
