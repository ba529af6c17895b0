// RestoreEpoch: which responses of a store that may be restored from an older
// copy still count.
//
// Each response names the restore epoch of the store (store/client.h). This
// class keeps the highest one and decides about each response: one of a lower
// epoch left the store before the restore and says nothing about its present
// state. A write that was sent in an earlier epoch may have been made before
// the restore, and be lost, or after it. Does no I/O and reads no clock.

#ifndef CYCLAMENWIND_STORE_RESTORE_EPOCH_H
#define CYCLAMENWIND_STORE_RESTORE_EPOCH_H

#include "cyclamenwind/store/client.h"

#include <optional>

namespace cyclamenwind {

// The kinds of calls that a restore affects differently.
enum class StoreCall {
  Read,  // Reads and listings: valid in the epoch of their response.
  Write, // Writes and removals.
  Watch, // Continues from a revision, which is valid in one epoch only.
};

class RestoreEpoch {
public:
  // The epoch of the newest response; 0 before the first.
  uint64_t current() const { return Known.value_or(0); }

  // The same; nothing before the first response. Taken when a call is sent and
  // passed to admit() with its response.
  std::optional<uint64_t> known() const { return Known; }

  // Records that a response of the epoch Named arrived for a call of kind Call
  // that was sent in the epoch SentIn, and returns the error to deliver instead
  // of the response, if any. If Named is higher than the known epoch, calls the
  // handlers first. The first response only sets the epoch: what this process
  // knows does not come from an earlier one.
  std::optional<PlatformError>
  admit(StoreCall Call, std::optional<uint64_t> SentIn, uint64_t Named);

  void onRaised(std::function<void()> Handler) {
    Handlers.push_back(std::move(Handler));
  }

private:
  std::optional<uint64_t> Known;
  std::vector<std::function<void()>> Handlers;
};

} // namespace cyclamenwind

#endif
