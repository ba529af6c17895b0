// AuditApi: the audit trail on the operators' address.
//
//   GET /api/audit?hours=N&limit=N&action=NAME
//
// Replies with "entries", newest first, of at least the last N hours (24 if not
// given);
// "days", the counts of days that were rolled up; and "complete", false if the
// platform did not answer for all of them. Entries that this daemon has not
// written yet are among them, marked "pending".

#ifndef CYCLAMENWIND_OPERATORS_AUDIT_API_H
#define CYCLAMENWIND_OPERATORS_AUDIT_API_H

#include "cyclamenwind/operators/audit_trail.h"
#include "cyclamenwind/operators/document_api.h"

namespace cyclamenwind {

// A service named "audit_api".
class AuditApi final : public Service {
public:
  std::string_view name() const override { return "audit_api"; }
  void start(Kernel &TheKernel) override;

private:
  // One request while its hours are read, ten at a time.
  struct Reading;
  using ReadingPtr = std::shared_ptr<Reading>;

  void read(const ExchangePtr &Received);
  void readNextHours(const ReadingPtr &Request);
  void readDays(const ReadingPtr &Request);
  void reply(const ReadingPtr &Request);

  Clock *Time = nullptr;
  PlatformClient *Platform = nullptr;
  AuditTrail *Trail = nullptr;
  DocumentApi *Documents = nullptr;
};

} // namespace cyclamenwind

#endif
