#include "cyclamenwind/operators/document_api.h"

#include "cyclamenwind/base/text.h"
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

std::optional<uint64_t> parseNumber(const std::string &Text) {
  uint64_t Value = 0;
  const char *Last = Text.data() + Text.size();
  auto [End, Error] = std::from_chars(Text.data(), Last, Value);
  if (Error != std::errc() || End != Last)
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
  TheAcceptance = &TheKernel.find<Acceptance>("acceptance");
  Api = &TheKernel.find<OperatorApi>("operators");
  Trail = &TheKernel.find<AuditSink>("audit");
  Api->route("GET", "/api/document",
             [this](const ExchangePtr &Received) { replyDocument(Received); });
  Api->route("POST", "/api/document",
             [this](const ExchangePtr &Received) { accept(Received); });
  Api->route("POST", "/api/diff",
             [this](const ExchangePtr &Received) { replyDiff(Received); });
  Api->route("GET", "/api/explain", [this](const ExchangePtr &Received) {
    replyExplanation(Received);
  });
}

void DocumentApi::replyDocument(const ExchangePtr &Received) {
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
  const SnapshotPtr &Active = Config->current();
  DocumentErrors DeadlineErrors = checkRolloutDeadlines(
      Parsed.value(), Active ? &Active->document() : nullptr, Time->wallNow());
  if (!DeadlineErrors.empty()) {
    replyJson(Received, 400, {{"errors", jsonOf(DeadlineErrors)}});
    return;
  }
  AcceptanceRequest Attempt;
  Attempt.Body = std::move(Parsed.value());
  std::string Author = Request.queryValue("author");
  if (!isUtf8(Author)) {
    replyJson(Received, 400, {{"error", "author is not UTF-8"}});
    return;
  }
  Attempt.Author = utf8Prefix(Author, MaxAuthorBytes);
  Attempt.OperationId = Request.queryValue("operation");
  if (Attempt.OperationId.empty())
    Attempt.OperationId = "op-" + std::to_string(Rng->next());
  Attempt.Now = Time->wallNow();
  std::string Base = Request.queryValue("base");
  if (!Base.empty())
    Attempt.Base = parseNumber(Base);
  if (!isName(Attempt.OperationId) || (!Base.empty() && !Attempt.Base)) {
    replyJson(Received, 400, {{"error", "bad operation or base"}});
    return;
  }
  TheAcceptance->accept(
      Attempt,
      [this, Received, Attempt](Result<uint64_t, AcceptanceError> Outcome) {
        if (Outcome)
          onAccepted(Received, Attempt, Outcome.value());
        else
          onRejected(Received, Attempt, Outcome.error());
      });
}

void DocumentApi::onAccepted(const ExchangePtr &Received,
                             const AcceptanceRequest &Attempt,
                             uint64_t Version) {
  recordActiveDocument();
  Envelope Accepted = {Version, Attempt.OperationId, Attempt.Author,
                       Attempt.Now, Attempt.Body};
  Trail->record(
      Attempt.OperationId,
      auditEntryOf(Accepted, digestOf(formatDocument(Accepted.Body))));
  replyJson(Received, 200, {{"version", Version}});
}

void DocumentApi::onRejected(const ExchangePtr &Received,
                             const AcceptanceRequest &Attempt,
                             const AcceptanceError &Error) {
  bool LostRace = Error.Code == AcceptanceErrorCode::Conflict;
  std::string Outcome =
      LostRace ? "lost_race" : std::string(nameOf(Error.Code));
  AuditEntry Entry = {Attempt.Author,
                      "document_not_accepted",
                      "document",
                      Attempt.Base ? versionText(*Attempt.Base) : "",
                      "",
                      Outcome,
                      Attempt.Now};
  json Body = {{"error", nameOf(Error.Code)},
               {"operation", Attempt.OperationId}};
  if (Error.Present) {
    Entry.Detail = "version " + versionText(Error.Present->Version) + " by " +
                   Error.Present->Author + " is in place";
    Body["present"] = json::parse(formatEnvelope(*Error.Present));
    Body["differences"] =
        jsonOf(diffDocuments(Error.Present->Body, Attempt.Body));
  }
  // The outcome is part of the id, because another attempt of the same
  // operation may still be accepted.
  Trail->record(Attempt.OperationId + "/" + Outcome, Entry);
  replyJson(Received, LostRace ? 409 : 503, Body);
}

void DocumentApi::recordActiveDocument() {
  const SnapshotPtr &Current = Config->current();
  if (Current)
    Trail->record(Current->envelope().OperationId,
                  auditEntryOf(Current->envelope(),
                               digestOf(formatDocument(Current->document()))));
}

void DocumentApi::replyDiff(const ExchangePtr &Received) {
  Result<Document, DocumentErrors> Parsed =
      parseDocument(Received->request().Body);
  if (!Parsed) {
    replyJson(Received, 400, {{"errors", jsonOf(Parsed.error())}});
    return;
  }
  Document Active;
  if (Config->current())
    Active = Config->current()->document();
  replyJson(Received, 200,
            {{"base", Config->version()},
             {"differences", jsonOf(diffDocuments(Active, Parsed.value()))}});
}

void DocumentApi::replyExplanation(const ExchangePtr &Received) {
  const HttpRequest &Request = Received->request();
  SnapshotPtr Current = Config->current();
  if (!Current) {
    replyJson(Received, 404, {{"error", "no document is in force"}});
    return;
  }
  ExplainQuery Query;
  Query.Method = Request.queryValue("method");
  Query.Path = Request.queryValue("path");
  Query.FailureDomain = FailureDomain;
  if (Query.Method.empty() || !Query.Path.starts_with('/')) {
    replyJson(Received, 400,
              {{"error", "method and path are needed, such as "
                         "?method=GET&path=/quotes/7"}});
    return;
  }
  std::vector<Endpoint> Endpoints;
  if (const RouteSpec *Route = Current->route(Query.Method, Query.Path)) {
    uint64_t CallerHash = digestOf(Request.queryValue("caller_key"));
    Query.Version = Versions->versionFor(*Current->service(Route->Service),
                                         *Route, CallerHash,
                                         /*PreferOld=*/false, Time->now());
    Endpoints = Members->endpoints(Route->Service);
  }
  replyJson(Received, 200, explain(*Current, Endpoints, Query));
}

} // namespace cyclamenwind
