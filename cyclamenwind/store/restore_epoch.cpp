#include "cyclamenwind/store/restore_epoch.h"

#include "cyclamenwind/base/log.h"

namespace cyclamenwind {

std::optional<PlatformError> RestoreEpoch::admit(StoreCall Call,
                                                 std::optional<uint64_t> SentIn,
                                                 uint64_t Named) {
  if (Known && Named < *Known) {
    logWarning("store_response_late", {{"epoch", Named}, {"known", *Known}});
    return PlatformError::NoAnswer;
  }
  if (Known && Named > *Known) {
    logWarning("store_restored", {{"epoch", Named}, {"previous", *Known}});
    Known = Named;
    // By index: a handler may add another one.
    for (size_t I = 0; I < Handlers.size(); ++I) {
      std::function<void()> Handler = Handlers[I];
      Handler();
    }
  }
  Known = Named;
  if (!SentIn || *SentIn == Named || Call == StoreCall::Read)
    return std::nullopt;
  return Call == StoreCall::Watch ? PlatformError::WatchGap
                                  : PlatformError::Restored;
}

} // namespace cyclamenwind
