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
                   compare(Request, std::move(Listing), OnDone);
                 });
}

void Acceptance::compare(const AcceptanceRequest &Request,
                         Result<PlatformListing, PlatformError> Listing,
                         AcceptanceCallback OnDone) {
  if (!Listing) {
    OnDone(AcceptanceError{AcceptanceErrorCode::NotWritten, std::nullopt});
    return;
  }
  const PlatformObject *Object = documentIn(Listing.value());
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
  Result<Envelope, DocumentErrors> Present = parseEnvelope(Object->Value);
  if (!Present) {
    OnDone(AcceptanceError{AcceptanceErrorCode::Unparseable, std::nullopt});
    return;
  }
  if (auto Earlier = Present.value().versionOf(Request.OperationId)) {
    OnDone(*Earlier);
    return;
  }
  uint64_t Version = Present.value().Version;
  if (Request.Base.value_or(Version) != Version) {
    OnDone(AcceptanceError{AcceptanceErrorCode::Conflict, Present.value()});
    return;
  }
  Envelope Next = {Version + 1,    Request.OperationId,
                   Request.Author, Request.Now,
                   Request.Body,   Present.value().pastOfNext()};
  write({Request, std::move(Next), Object->Version}, std::move(OnDone));
}

void Acceptance::write(Attempt Current, AcceptanceCallback OnDone) {
  std::string Text = formatEnvelope(Current.Written);
  uint64_t ObjectVersion = Current.ObjectVersion;
  Platform->write(
      DocumentKey, Text, ObjectVersion,
      [this, Current = std::move(Current),
       OnDone = std::move(OnDone)](Result<uint64_t, PlatformError> Outcome) {
        written(Current, Outcome, OnDone);
      });
}

void Acceptance::written(Attempt Current,
                         Result<uint64_t, PlatformError> Outcome,
                         const AcceptanceCallback &OnDone) {
  if (Outcome) {
    logInfo("document_accepted", {{"version", Current.Written.Version},
                                  {"author", Current.Written.Author}});
    OnDone(Current.Written.Version);
    return;
  }
  switch (Outcome.error()) {
  case PlatformError::NoAnswer:
  case PlatformError::Malformed:
    Current.MayHaveWritten = true;
    readBack(Current, OnDone);
    return;
  case PlatformError::Conflict:
    readBack(Current, OnDone);
    return;
  default:
    if (Current.MayHaveWritten)
      again(std::move(Current), OnDone, /*Rewrite=*/false);
    else
      OnDone(AcceptanceError{AcceptanceErrorCode::NotWritten, std::nullopt});
  }
}

// Learns from the object in place whether the operation took effect.
void Acceptance::readBack(const Attempt &Current, AcceptanceCallback OnDone) {
  Platform->read(DocumentKey, [this, Current, OnDone = std::move(OnDone)](
                                  Result<PlatformObject, PlatformError> Read) {
    if (Read)
      judge(Current, Read.value().Value, OnDone);
    else
      again(Current, OnDone,
            /*Rewrite=*/Read.error() == PlatformError::NotFound);
  });
}

void Acceptance::judge(const Attempt &Current, const std::string &Text,
                       const AcceptanceCallback &OnDone) {
  Result<Envelope, DocumentErrors> Parsed = parseEnvelope(Text);
  if (!Parsed) {
    OnDone(AcceptanceError{Current.MayHaveWritten
                               ? AcceptanceErrorCode::Unknown
                               : AcceptanceErrorCode::Unparseable,
                           std::nullopt});
    return;
  }
  const Envelope &Present = Parsed.value();
  if (auto Accepted = Present.versionOf(Current.Request.OperationId)) {
    OnDone(*Accepted);
    return;
  }
  if (Current.MayHaveWritten && Present.Version < Current.Written.Version) {
    again(Current, OnDone, /*Rewrite=*/true);
    return;
  }
  // An envelope remembers a bounded number of operations.
  bool Forgotten =
      Present.Version > Current.Written.Version + MaxPastOperations;
  OnDone(AcceptanceError{Current.MayHaveWritten && Forgotten
                             ? AcceptanceErrorCode::Unknown
                             : AcceptanceErrorCode::Conflict,
                         Present});
}

// Reads back, or writes, again after a delay, a bounded number of times.
void Acceptance::again(Attempt Current, const AcceptanceCallback &OnDone,
                       bool Rewrite) {
  if (++Current.Failures >= MaxReadBacks) {
    AcceptanceErrorCode Code = Current.MayHaveWritten
                                   ? AcceptanceErrorCode::Unknown
                                   : AcceptanceErrorCode::Conflict;
    OnDone(AcceptanceError{Code, std::nullopt});
    return;
  }
  Duration Delay =
      backoffDelay(Current.Failures, ReadBackBase, ReadBackLimit, *Jitter);
  auto Pending = std::make_shared<TimerHandle>();
  *Pending = Timers->after(Delay, [this, Current, OnDone, Rewrite, Pending] {
    TimerHandle Fired = std::move(*Pending);
    if (Rewrite)
      write(Current, OnDone);
    else
      readBack(Current, OnDone);
  });
}

} // namespace cyclamenwind
