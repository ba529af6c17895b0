// DocumentApi: serves the configuration document on the operators' address and
// records the audit entries of its changes.
//
//   GET  /api/document  the active envelope
//   POST /api/document  accepts a document; requires the token
//          ?author=NAME&operation=ID&base=VERSION
//   POST /api/diff      what would change if the document were accepted
//   GET  /api/explain   how a request would be routed
//          ?method=M&path=P&caller_key=K
//
// Each valid request to accept a document is recorded as an audit entry. The
// entry of an accepted document is derived from the envelope alone, so that any
// daemon can record it. A daemon records the entry of its active document again
// when it accepts the next one and at each request for /api/audit, in case the
// daemon that accepted the active one stopped before it wrote the entry.

#ifndef CYCLAMENWIND_OPERATORS_DOCUMENT_API_H
#define CYCLAMENWIND_OPERATORS_DOCUMENT_API_H

#include "cyclamenwind/config/acceptance.h"
#include "cyclamenwind/operators/api.h"
#include "cyclamenwind/operators/audit.h"
#include "cyclamenwind/traffic/versions.h"

namespace cyclamenwind {

// Returns the audit entry of an accepted document. Accepted is its envelope,
// Digest the digest of the document's canonical text.
AuditEntry auditEntryOf(const Envelope &Accepted, uint64_t Digest);

// A service named "document_api".
class DocumentApi final : public Service {
public:
  explicit DocumentApi(std::string FailureDomain)
      : FailureDomain(std::move(FailureDomain)) {}

  std::string_view name() const override { return "document_api"; }
  void start(Kernel &TheKernel) override;

  // Records the audit entry of the active document, if there is one.
  void recordActiveDocument();

private:
  void replyDocument(const ExchangePtr &Received);
  void accept(const ExchangePtr &Received);
  void onAccepted(const ExchangePtr &Received, const AcceptanceRequest &Attempt,
                  uint64_t Version);
  void onRejected(const ExchangePtr &Received, const AcceptanceRequest &Attempt,
                  const AcceptanceError &Error);
  void replyDiff(const ExchangePtr &Received);
  void replyExplanation(const ExchangePtr &Received);

  std::string FailureDomain;
  Clock *Time = nullptr;
  Random *Rng = nullptr;
  ConfigStore *Config = nullptr;
  MembershipView *Members = nullptr;
  VersionChooser *Versions = nullptr;
  Acceptance *TheAcceptance = nullptr;
  OperatorApi *Api = nullptr;
  AuditSink *Trail = nullptr;
};

} // namespace cyclamenwind

#endif
