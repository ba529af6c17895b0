// DocumentApi: the document on the operators' address, and its audit entries.
//
//   GET  /api/document  the envelope in force
//   POST /api/document  accepts a document; needs the token
//          ?author=NAME&operation=ID&base=VERSION
//   POST /api/diff      what would change if the document were accepted
//   GET  /api/explain   what a request would get
//          ?method=M&path=P&caller_key=K
//
// Each attempt to accept leaves an audit entry. The entry of an accepted
// document is made from the envelope alone, so that any daemon can make it; the
// daemon that accepts the next document makes it again, in case the one that
// accepted it ended too soon.

#ifndef CYCLAMENWIND_OPERATORS_DOCUMENT_API_H
#define CYCLAMENWIND_OPERATORS_DOCUMENT_API_H

#include "cyclamenwind/config/acceptance.h"
#include "cyclamenwind/operators/api.h"
#include "cyclamenwind/operators/audit.h"
#include "cyclamenwind/traffic/versions.h"

namespace cyclamenwind {

// The audit entry of the document that was accepted in Accepted; Digest is that
// of the document's canonical text.
AuditEntry auditEntryOf(const Envelope &Accepted, uint64_t Digest);

// A service named "document_api".
class DocumentApi final : public Service {
public:
  explicit DocumentApi(std::string FailureDomain)
      : FailureDomain(std::move(FailureDomain)) {}

  std::string_view name() const override { return "document_api"; }
  void start(Kernel &TheKernel) override;

  // Records the entry of the document in force, if there is one.
  void recordPresent();

private:
  void show(const ExchangePtr &Received);
  void accept(const ExchangePtr &Received);
  void accepted(const ExchangePtr &Received, const AcceptanceRequest &Wanted,
                uint64_t Version);
  void refused(const ExchangePtr &Received, const AcceptanceRequest &Wanted,
               const AcceptanceError &Error);
  void diff(const ExchangePtr &Received);
  void explainRequest(const ExchangePtr &Received);

  std::string FailureDomain;
  Clock *Time = nullptr;
  Random *Rng = nullptr;
  ConfigStore *Config = nullptr;
  MembershipView *Members = nullptr;
  VersionChooser *Versions = nullptr;
  Acceptance *Accepting = nullptr;
  OperatorApi *Api = nullptr;
  AuditSink *Trail = nullptr;
};

} // namespace cyclamenwind

#endif
