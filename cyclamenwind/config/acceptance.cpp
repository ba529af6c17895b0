#include "cyclamenwind/config/acceptance.h"

#include "cyclamenwind/base/backoff.h"
#include "cyclamenwind/base/log.h"
#include "cyclamenwind/base/names.h"
#include "cyclamenwind/config/keys.h"

namespace cyclamenwind {
namespace {

constexpr int MaxReadBacks = 6;
constexpr Duration ReadBackBase = 100ms;
constexpr Duration ReadBackLimit = 2s;

constexpr std::array<EnumName<AcceptanceErrorCode>, 4> CodeNames = {{
    {AcceptanceErrorCode::Conflict, "conflict"},
    {AcceptanceErrorCode::NotWritten, "not_written"},
    {AcceptanceErrorCode::Unknown, "unknown"},
    {AcceptanceErrorCode::Unparseable, "unparseable"},
}};

// The document's object in a listing; null if there is none.
const PlatformObject *documentIn(const PlatformListing &Listing) {
  for (const PlatformObject &Each : Listing.Objects)
    if (Each.Key == DocumentKey)
      return &Each;
  return nullptr;
}

} // namespace

std::string_view nameOf(AcceptanceErrorCode Code) {
  return nameIn(CodeNames, Code);
}

void Acceptance::start(Kernel &Host) {
  Platform = &Host.find<PlatformClient>("platform");
  Timers = &Host.scheduler();
  Jitter = &Host.random();
}

void Acceptance::accept(const AcceptanceRequest &Request, AcceptanceDone Done) {
  Platform->list(DocumentKey,
                 [this, Request, Done = std::move(Done)](
                     Result<PlatformListing, PlatformError> Listing) {
                   compare(Request, std::move(Listing), Done);
                 });
}

void Acceptance::compare(const AcceptanceRequest &Request,
                         Result<PlatformListing, PlatformError> Listing,
                         AcceptanceDone Done) {
  if (!Listing) {
    Done(AcceptanceError{AcceptanceErrorCode::NotWritten, std::nullopt});
    return;
  }
  const PlatformObject *Object = documentIn(Listing.value());
  if (Object == nullptr) {
    if (Request.Base.value_or(0) != 0) {
      Done(AcceptanceError{AcceptanceErrorCode::Conflict, std::nullopt});
      return;
    }
    write(Request, /*NewVersion=*/1, /*ObjectVersion=*/0, std::move(Done));
    return;
  }
  Result<Envelope, DocumentErrors> Present = parseEnvelope(Object->Value);
  if (!Present) {
    Done(AcceptanceError{AcceptanceErrorCode::Unparseable, std::nullopt});
    return;
  }
  if (Present.value().OperationId == Request.OperationId) {
    Done(Present.value().Version);
    return;
  }
  uint64_t Version = Present.value().Version;
  if (Request.Base.value_or(Version) != Version) {
    Done(AcceptanceError{AcceptanceErrorCode::Conflict, Present.value()});
    return;
  }
  write(Request, Version + 1, Object->Version, std::move(Done));
}

void Acceptance::write(const AcceptanceRequest &Request, uint64_t NewVersion,
                       uint64_t ObjectVersion, AcceptanceDone Done) {
  Envelope Written = {NewVersion, Request.OperationId, Request.Author,
                      Request.Now, Request.Body};
  Platform->write(
      DocumentKey, formatEnvelope(Written), ObjectVersion,
      [this, Request, NewVersion,
       Done = std::move(Done)](Result<uint64_t, PlatformError> Outcome) {
        if (Outcome) {
          logInfo("document_accepted",
                  {{"version", NewVersion}, {"author", Request.Author}});
          Done(NewVersion);
          return;
        }
        switch (Outcome.error()) {
        case PlatformError::Conflict:
        case PlatformError::NoAnswer:
        case PlatformError::Malformed:
          readBack(Request.OperationId, 0, Done);
          return;
        default:
          Done(AcceptanceError{AcceptanceErrorCode::NotWritten, std::nullopt});
        }
      });
}

// Learns from the object in place whether the operation took effect.
void Acceptance::readBack(const std::string &OperationId, int Failures,
                          AcceptanceDone Done) {
  Platform->read(DocumentKey, [this, OperationId, Failures,
                               Done = std::move(Done)](
                                  Result<PlatformObject, PlatformError> Read) {
    if (!Read) {
      if (Failures + 1 >= MaxReadBacks) {
        Done(AcceptanceError{AcceptanceErrorCode::Unknown, std::nullopt});
        return;
      }
      Duration Delay =
          backoffDelay(Failures + 1, ReadBackBase, ReadBackLimit, *Jitter);
      auto Pending = std::make_shared<TimerHandle>();
      *Pending =
          Timers->after(Delay, [this, OperationId, Failures, Done, Pending] {
            TimerHandle Fired = std::move(*Pending);
            readBack(OperationId, Failures + 1, Done);
          });
      return;
    }
    Result<Envelope, DocumentErrors> Present =
        parseEnvelope(Read.value().Value);
    if (!Present) {
      Done(AcceptanceError{AcceptanceErrorCode::Unparseable, std::nullopt});
      return;
    }
    if (Present.value().OperationId == OperationId) {
      Done(Present.value().Version);
      return;
    }
    Done(AcceptanceError{AcceptanceErrorCode::Conflict, Present.value()});
  });
}

} // namespace cyclamenwind
