#include "cyclamenwind/config/acceptance.h"

#include "cyclamenwind/base/backoff.h"
#include "cyclamenwind/base/log.h"
#include "cyclamenwind/base/names.h"
#include "cyclamenwind/config/keys.h"

namespace cyclamenwind {
namespace {

constexpr int MaxFailures = 6;
constexpr Duration RetryDelayBase = 100ms;
constexpr Duration RetryDelayLimit = 2s;

constexpr std::array<EnumName<AcceptanceErrorCode>, 4> CodeNames = {{
    {AcceptanceErrorCode::Conflict, "conflict"},
    {AcceptanceErrorCode::NotWritten, "not_written"},
    {AcceptanceErrorCode::Unknown, "unknown"},
    {AcceptanceErrorCode::Unparseable, "unparseable"},
}};

// Returns the document's object in Listing; null if there is none.
const PlatformObject *findDocument(const PlatformListing &Listing) {
  for (const PlatformObject &Object : Listing.Objects)
    if (Object.Key == DocumentKey)
      return &Object;
  return nullptr;
}

} // namespace

std::string_view nameOf(AcceptanceErrorCode Code) {
  return nameIn(CodeNames, Code);
}

void Acceptance::start(Kernel &TheKernel) {
  Platform = &TheKernel.find<PlatformClient>("platform");
  Timers = &TheKernel.scheduler();
  Jitter = &TheKernel.random();
}

void Acceptance::accept(const AcceptanceRequest &Request,
                        AcceptanceCallback OnDone) {
  Platform->list(DocumentKey,
                 [this, Request, OnDone = std::move(OnDone)](
                     Result<PlatformListing, PlatformError> Listing) {
                   checkBase(Request, std::move(Listing), OnDone);
                 });
}

void Acceptance::checkBase(const AcceptanceRequest &Request,
                           Result<PlatformListing, PlatformError> Listing,
                           AcceptanceCallback OnDone) {
  if (!Listing) {
    OnDone(AcceptanceError{AcceptanceErrorCode::NotWritten, std::nullopt});
    return;
  }
  const PlatformObject *Object = findDocument(Listing.value());
  if (Object == nullptr) {
    if (Request.Base.value_or(0) != 0) {
      OnDone(AcceptanceError{AcceptanceErrorCode::Conflict, std::nullopt});
      return;
    }
    Envelope First = {1, Request.OperationId, Request.Author, Request.Now,
                      Request.Body};
    write({Request, std::move(First)}, std::move(OnDone));
    return;
  }
  Result<Envelope, DocumentErrors> Stored = parseEnvelope(Object->Value);
  if (!Stored) {
    OnDone(AcceptanceError{AcceptanceErrorCode::Unparseable, std::nullopt});
    return;
  }
  if (auto AcceptedVersion = Stored.value().versionOf(Request.OperationId)) {
    OnDone(*AcceptedVersion);
    return;
  }
  uint64_t Version = Stored.value().Version;
  if (Request.Base.value_or(Version) != Version) {
    OnDone(AcceptanceError{AcceptanceErrorCode::Conflict, Stored.value()});
    return;
  }
  Envelope Next = {Version + 1,    Request.OperationId,
                   Request.Author, Request.Now,
                   Request.Body,   Stored.value().pastOfNext()};
  write({Request, std::move(Next), Object->Version}, std::move(OnDone));
}

void Acceptance::write(WriteAttempt Attempt, AcceptanceCallback OnDone) {
  std::string Text = formatEnvelope(Attempt.Proposed);
  uint64_t ObjectVersion = Attempt.ObjectVersion;
  Platform->write(
      DocumentKey, Text, ObjectVersion,
      [this, Attempt = std::move(Attempt),
       OnDone = std::move(OnDone)](Result<uint64_t, PlatformError> Outcome) {
        handleWriteResult(Attempt, Outcome, OnDone);
      });
}

void Acceptance::handleWriteResult(WriteAttempt Attempt,
                                   Result<uint64_t, PlatformError> Outcome,
                                   const AcceptanceCallback &OnDone) {
  if (Outcome) {
    logInfo("document_accepted", {{"version", Attempt.Proposed.Version},
                                  {"author", Attempt.Proposed.Author}});
    OnDone(Attempt.Proposed.Version);
    return;
  }
  switch (Outcome.error()) {
  case PlatformError::NoAnswer:
  case PlatformError::Restored:
  case PlatformError::Malformed:
    Attempt.MayHaveTakenEffect = true;
    readBack(Attempt, OnDone);
    return;
  case PlatformError::Conflict:
    readBack(Attempt, OnDone);
    return;
  default:
    if (Attempt.MayHaveTakenEffect)
      retryLater(std::move(Attempt), OnDone, /*Rewrite=*/false);
    else
      OnDone(AcceptanceError{AcceptanceErrorCode::NotWritten, std::nullopt});
  }
}

// Reads the stored object to find whether the operation took effect.
void Acceptance::readBack(const WriteAttempt &Attempt,
                          AcceptanceCallback OnDone) {
  Platform->read(DocumentKey, [this, Attempt, OnDone = std::move(OnDone)](
                                  Result<PlatformObject, PlatformError> Read) {
    if (Read)
      resolveOutcome(Attempt, Read.value().Value, OnDone);
    else
      retryLater(Attempt, OnDone,
                 /*Rewrite=*/Read.error() == PlatformError::NotFound);
  });
}

void Acceptance::resolveOutcome(const WriteAttempt &Attempt,
                                const std::string &Text,
                                const AcceptanceCallback &OnDone) {
  Result<Envelope, DocumentErrors> Parsed = parseEnvelope(Text);
  if (!Parsed) {
    OnDone(AcceptanceError{Attempt.MayHaveTakenEffect
                               ? AcceptanceErrorCode::Unknown
                               : AcceptanceErrorCode::Unparseable,
                           std::nullopt});
    return;
  }
  const Envelope &Stored = Parsed.value();
  if (auto AcceptedVersion = Stored.versionOf(Attempt.Request.OperationId)) {
    OnDone(*AcceptedVersion);
    return;
  }
  if (Attempt.MayHaveTakenEffect && Stored.Version < Attempt.Proposed.Version) {
    retryLater(Attempt, OnDone, /*Rewrite=*/true);
    return;
  }
  // An envelope keeps the ids of MaxPastOperations operations only.
  bool MayBeForgotten =
      Stored.Version > Attempt.Proposed.Version + MaxPastOperations;
  OnDone(AcceptanceError{Attempt.MayHaveTakenEffect && MayBeForgotten
                             ? AcceptanceErrorCode::Unknown
                             : AcceptanceErrorCode::Conflict,
                         Stored});
}

// Reads back or, with Rewrite, writes again after a delay; fails after
// MaxFailures failures.
void Acceptance::retryLater(WriteAttempt Attempt,
                            const AcceptanceCallback &OnDone, bool Rewrite) {
  if (++Attempt.Failures >= MaxFailures) {
    AcceptanceErrorCode Code = Attempt.MayHaveTakenEffect
                                   ? AcceptanceErrorCode::Unknown
                                   : AcceptanceErrorCode::Conflict;
    OnDone(AcceptanceError{Code, std::nullopt});
    return;
  }
  Duration Delay =
      backoffDelay(Attempt.Failures, RetryDelayBase, RetryDelayLimit, *Jitter);
  auto Timer = std::make_shared<TimerHandle>();
  *Timer = Timers->after(Delay, [this, Attempt, OnDone, Rewrite, Timer] {
    TimerHandle FiredTimer = std::move(*Timer);
    if (Rewrite)
      write(Attempt, OnDone);
    else
      readBack(Attempt, OnDone);
  });
}

} // namespace cyclamenwind
