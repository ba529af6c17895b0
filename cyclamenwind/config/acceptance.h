// Acceptance: commits a new document to the platform by one conditional write.
//
// The write succeeds only if the stored version is the one that the author last
// saw, so that of two concurrent authors one gets a conflict with the other's
// version. Each write carries an operation id, and the envelope keeps those of
// the last MaxPastOperations versions before it.
//
// If the platform's answer to a write is lost, the object is read back: the ids
// show whether the write took effect, also if another document has replaced it
// since. If the object is unchanged, the write may still be in flight; it is
// sent again with the same condition, so that at most one of the two takes
// effect. The operation is idempotent: retrying an accepted one yields the
// version under which it was accepted.

#ifndef CYCLAMENWIND_CONFIG_ACCEPTANCE_H
#define CYCLAMENWIND_CONFIG_ACCEPTANCE_H

#include "cyclamenwind/base/kernel.h"
#include "cyclamenwind/document/document.h"
#include "cyclamenwind/store/client.h"

namespace cyclamenwind {

enum class AcceptanceErrorCode {
  Conflict,    // Another version was expected; nothing was written.
  NotWritten,  // The platform refused the write or was not reached.
  Unknown,     // It is not known whether the write took effect.
  Unparseable, // The stored envelope does not parse.
};

std::string_view nameOf(AcceptanceErrorCode Code);

struct AcceptanceError {
  AcceptanceErrorCode Code;
  // Conflict: the stored envelope, if there is one and it was read.
  std::optional<Envelope> Present;
};

struct AcceptanceRequest {
  Document Body;
  std::string Author;
  std::string OperationId;
  // Version that Body replaces; 0: there is none yet. Unset: the stored
  // version, whichever it is.
  std::optional<uint64_t> Base;
  WallTime Now;
};

using AcceptanceCallback =
    std::function<void(Result<uint64_t, AcceptanceError>)>;

// A service named "acceptance".
class Acceptance final : public Service {
public:
  std::string_view name() const override { return "acceptance"; }
  void start(Kernel &TheKernel) override;

  // Calls OnDone with the version under which the document was accepted.
  void accept(const AcceptanceRequest &Request, AcceptanceCallback OnDone);

private:
  // One conditional write, which is retried until its outcome is known or
  // MaxFailures is reached.
  struct WriteAttempt {
    AcceptanceRequest Request;
    Envelope Proposed;
    uint64_t ObjectVersion = 0; // Version of the object to replace.
    bool MayHaveTakenEffect = false;
    int Failures = 0;
  };

  void checkBase(const AcceptanceRequest &Request,
                 Result<PlatformListing, PlatformError> Listing,
                 AcceptanceCallback OnDone);
  void write(WriteAttempt Attempt, AcceptanceCallback OnDone);
  void handleWriteResult(WriteAttempt Attempt,
                         Result<uint64_t, PlatformError> Outcome,
                         const AcceptanceCallback &OnDone);
  void readBack(const WriteAttempt &Attempt, AcceptanceCallback OnDone);
  void resolveOutcome(const WriteAttempt &Attempt, const std::string &Text,
                      const AcceptanceCallback &OnDone);
  void retryLater(WriteAttempt Attempt, const AcceptanceCallback &OnDone,
                  bool Rewrite);

  PlatformClient *Platform = nullptr;
  Scheduler *Timers = nullptr;
  Random *Jitter = nullptr;
};

} // namespace cyclamenwind

#endif
