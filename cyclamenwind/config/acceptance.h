// Acceptance: puts a new document on the platform by one conditional update.
//
// The document replaces the version that its author last saw, so that of two
// racing authors one is told of the other's version. Each write carries an
// operation id, and the envelope remembers those of the versions before it.
// When the platform's answer to a write is lost, the object is read back: the
// ids tell whether the write took effect, also if another document has replaced
// it since. If the object is unchanged the write may still be under way; it is
// sent again with the same condition, so that one of the two at most takes
// effect. Repeating an accepted operation yields the version it was accepted
// as.

#ifndef CYCLAMENWIND_CONFIG_ACCEPTANCE_H
#define CYCLAMENWIND_CONFIG_ACCEPTANCE_H

#include "cyclamenwind/base/kernel.h"
#include "cyclamenwind/document/document.h"
#include "cyclamenwind/store/client.h"

namespace cyclamenwind {

enum class AcceptanceErrorCode {
  Conflict,    // Another version is in place; nothing was written.
  NotWritten,  // The platform refused or was not reached.
  Unknown,     // It could not be learned whether the write took effect.
  Unparseable, // The platform holds an envelope that does not parse.
};

std::string_view nameOf(AcceptanceErrorCode Code);

struct AcceptanceError {
  AcceptanceErrorCode Code;
  // Conflict: the envelope that is in place.
  std::optional<Envelope> Present;
};

struct AcceptanceRequest {
  Document Body;
  std::string Author;
  std::string OperationId;
  // Version that Body replaces; 0: there is none yet. Unset: whichever is
  // there.
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

  // Yields the version under which the document was accepted.
  void accept(const AcceptanceRequest &Request, AcceptanceCallback OnDone);

private:
  // A write of which the answer may be lost.
  struct Attempt {
    AcceptanceRequest Request;
    Envelope Written;
    uint64_t ObjectVersion = 0; // Version of the object that it replaces.
    bool MayHaveWritten = false;
    int Failures = 0;
  };

  void compare(const AcceptanceRequest &Request,
               Result<PlatformListing, PlatformError> Listing,
               AcceptanceCallback OnDone);
  void write(Attempt Current, AcceptanceCallback OnDone);
  void written(Attempt Current, Result<uint64_t, PlatformError> Outcome,
               const AcceptanceCallback &OnDone);
  void readBack(const Attempt &Current, AcceptanceCallback OnDone);
  void judge(const Attempt &Current, const std::string &Text,
             const AcceptanceCallback &OnDone);
  void again(Attempt Current, const AcceptanceCallback &OnDone, bool Rewrite);

  PlatformClient *Platform = nullptr;
  Scheduler *Timers = nullptr;
  Random *Jitter = nullptr;
};

} // namespace cyclamenwind

#endif
