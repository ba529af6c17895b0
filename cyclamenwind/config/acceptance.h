// Acceptance: puts a new document on the platform by one conditional update.
//
// The document replaces the version that its author last saw, so that of two
// racing authors one is told of the other's version. Each write carries an
// operation id; when the platform's answer is lost, the object is read back and
// the id tells whether the write took effect. Repeating an accepted operation
// yields the version it was accepted as.

#ifndef CYCLAMENWIND_CONFIG_ACCEPTANCE_H
#define CYCLAMENWIND_CONFIG_ACCEPTANCE_H

#include "cyclamenwind/base/kernel.h"
#include "cyclamenwind/document/document.h"
#include "cyclamenwind/platform/client.h"

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

using AcceptanceDone = std::function<void(Result<uint64_t, AcceptanceError>)>;

// A service named "acceptance".
class Acceptance final : public Service {
public:
  std::string_view name() const override { return "acceptance"; }
  void start(Kernel &Host) override;

  // Yields the version under which the document was accepted.
  void accept(const AcceptanceRequest &Request, AcceptanceDone Done);

private:
  void compare(const AcceptanceRequest &Request,
               Result<PlatformListing, PlatformError> Listing,
               AcceptanceDone Done);
  void write(const AcceptanceRequest &Request, uint64_t NewVersion,
             uint64_t ObjectVersion, AcceptanceDone Done);
  void readBack(const std::string &OperationId, int Failures,
                AcceptanceDone Done);

  PlatformClient *Platform = nullptr;
  Scheduler *Timers = nullptr;
  Random *Jitter = nullptr;
};

} // namespace cyclamenwind

#endif
