#include "cyclamenwind/operators/document_api.h"

#include "cyclamenwind/document/diff.h"
#include "cyclamenwind/document/reader.h"
#include "cyclamenwind/operators/explain.h"
#include "cyclamenwind/rollouts/plan.h"

#include <charconv>
#include <cstdio>

namespace cyclamenwind {
namespace {

using nlohmann::json;

constexpr size_t MaxAuthorBytes = 100;

std::optional<uint64_t> numberIn(const std::string &Text) {
  uint64_t Value = 0;
  const char *Last = Text.data() + Text.size();
  auto [Rest, Error] = std::from_chars(Text.data(), Last, Value);
  if (Error != std::errc() || Rest != Last)
    return std::nullopt;
  return Value;
}

std::string versionText(uint64_t Version) {
  return Version == 0 ? "" : std::to_string(Version);
}

std::string digestText(uint64_t Digest) {
  char Text[32];
  std::snprintf(Text, sizeof Text, "digest=%016llx",
                static_cast<unsigned long long>(Digest));
  return Text;
}

} // namespace

AuditEntry auditEntryOf(const Envelope &Accepted, uint64_t Digest) {
  return {Accepted.Author,
          "document_accepted",
          "document",
          versionText(Accepted.Version - 1),
          versionText(Accepted.Version),
          "done",
          Accepted.Written,
          digestText(Digest)};
}

void DocumentApi::start(Kernel &TheKernel) {
  Time = &TheKernel.clock();
  Rng = &TheKernel.random();
  Config = &TheKernel.find<ConfigStore>("config");
  Members = &TheKernel.find<MembershipView>("membership");
  Versions = &TheKernel.find<VersionChooser>("versions");
  Accepting = &TheKernel.find<Acceptance>("acceptance");
  Api = &TheKernel.find<OperatorApi>("operators");
  Trail = &TheKernel.find<AuditSink>("audit");
  Api->route("GET", "/api/document",
             [this](const ExchangePtr &Received) { show(Received); });
  Api->route("POST", "/api/document",
             [this](const ExchangePtr &Received) { accept(Received); });
  Api->route("POST", "/api/diff",
             [this](const ExchangePtr &Received) { diff(Received); });
  Api->route("GET", "/api/explain",
             [this](const ExchangePtr &Received) { explainRequest(Received); });
}

void DocumentApi::show(const ExchangePtr &Received) {
  if (!Config->current()) {
    replyJson(Received, 404, {{"error", "no document is in force"}});
    return;
  }
  Received->reply(
      {200, {{"Content-Type", "application/json"}}, Config->current()->text()});
}

void DocumentApi::accept(const ExchangePtr &Received) {
  if (!Api->authorised(Received))
    return;
  const HttpRequest &Request = Received->request();
  Result<Document, DocumentErrors> Parsed = parseDocument(Request.Body);
  if (!Parsed) {
    replyJson(Received, 400, {{"errors", jsonOf(Parsed.error())}});
    return;
  }
  const SnapshotPtr &Present = Config->current();
  DocumentErrors TooTight = checkRolloutDeadlines(
      Parsed.value(), Present ? &Present->document() : nullptr,
      Time->wallNow());
  if (!TooTight.empty()) {
    replyJson(Received, 400, {{"errors", jsonOf(TooTight)}});
    return;
  }
  AcceptanceRequest Wanted;
  Wanted.Body = std::move(Parsed.value());
  Wanted.Author = Request.queryValue("author").substr(0, MaxAuthorBytes);
  Wanted.OperationId = Request.queryValue("operation");
  if (Wanted.OperationId.empty())
    Wanted.OperationId = "op-" + std::to_string(Rng->next());
  Wanted.Now = Time->wallNow();
  std::string Base = Request.queryValue("base");
  if (!Base.empty())
    Wanted.Base = numberIn(Base);
  if (!isName(Wanted.OperationId) || (!Base.empty() && !Wanted.Base)) {
    replyJson(Received, 400, {{"error", "bad operation or base"}});
    return;
  }
  Accepting->accept(Wanted, [this, Received, Wanted](
                                Result<uint64_t, AcceptanceError> Outcome) {
    if (Outcome)
      accepted(Received, Wanted, Outcome.value());
    else
      refused(Received, Wanted, Outcome.error());
  });
}

void DocumentApi::accepted(const ExchangePtr &Received,
                           const AcceptanceRequest &Wanted, uint64_t Version) {
  recordPresent();
  Envelope Accepted = {Version, Wanted.OperationId, Wanted.Author, Wanted.Now,
                       Wanted.Body};
  Trail->record(
      Wanted.OperationId,
      auditEntryOf(Accepted, digestOf(formatDocument(Accepted.Body))));
  replyJson(Received, 200, {{"version", Version}});
}

void DocumentApi::refused(const ExchangePtr &Received,
                          const AcceptanceRequest &Wanted,
                          const AcceptanceError &Error) {
  bool LostRace = Error.Code == AcceptanceErrorCode::Conflict;
  std::string Outcome =
      LostRace ? "lost_race" : std::string(nameOf(Error.Code));
  AuditEntry Entry = {Wanted.Author,
                      "document_not_accepted",
                      "document",
                      Wanted.Base ? versionText(*Wanted.Base) : "",
                      "",
                      Outcome,
                      Wanted.Now};
  json Body = {{"error", nameOf(Error.Code)},
               {"operation", Wanted.OperationId}};
  if (Error.Present) {
    Entry.Detail = "version " + versionText(Error.Present->Version) + " by " +
                   Error.Present->Author + " is in place";
    Body["present"] = json::parse(formatEnvelope(*Error.Present));
    Body["differences"] =
        jsonOf(diffDocuments(Error.Present->Body, Wanted.Body));
  }
  // Another attempt of the same operation may still be accepted.
  Trail->record(Wanted.OperationId + "/" + Outcome, Entry);
  replyJson(Received, LostRace ? 409 : 503, Body);
}

void DocumentApi::recordPresent() {
  const SnapshotPtr &Current = Config->current();
  if (Current)
    Trail->record(Current->envelope().OperationId,
                  auditEntryOf(Current->envelope(),
                               digestOf(formatDocument(Current->document()))));
}

void DocumentApi::diff(const ExchangePtr &Received) {
  Result<Document, DocumentErrors> Parsed =
      parseDocument(Received->request().Body);
  if (!Parsed) {
    replyJson(Received, 400, {{"errors", jsonOf(Parsed.error())}});
    return;
  }
  Document InForce;
  if (Config->current())
    InForce = Config->current()->document();
  replyJson(Received, 200,
            {{"base", Config->version()},
             {"differences", jsonOf(diffDocuments(InForce, Parsed.value()))}});
}

void DocumentApi::explainRequest(const ExchangePtr &Received) {
  const HttpRequest &Request = Received->request();
  SnapshotPtr Current = Config->current();
  if (!Current) {
    replyJson(Received, 404, {{"error", "no document is in force"}});
    return;
  }
  ExplainQuestion Question;
  Question.Method = Request.queryValue("method");
  Question.Path = Request.queryValue("path");
  Question.FailureDomain = FailureDomain;
  if (Question.Method.empty() || !Question.Path.starts_with('/')) {
    replyJson(Received, 400,
              {{"error", "method and path are needed, such as "
                         "?method=GET&path=/quotes/7"}});
    return;
  }
  std::vector<Endpoint> Endpoints;
  if (const RouteSpec *Route = Current->route(Question.Method, Question.Path)) {
    uint64_t CallerHash = digestOf(Request.queryValue("caller_key"));
    Question.Version = Versions->versionFor(*Current->service(Route->Service),
                                            *Route, CallerHash,
                                            /*PreferOld=*/false, Time->now());
    Endpoints = Members->endpoints(Route->Service);
  }
  replyJson(Received, 200, explain(*Current, Endpoints, Question));
}

} // namespace cyclamenwind
