// AuditApi: serves the audit trail on the operators' address.
//
//   GET /api/audit?hours=N&limit=N&action=NAME
//
// Replies with "entries", newest first, of at least the last "hours" hours
// (default 24, at most 168), but no more than "limit" entries (default 200, at
// most 5000); "days", the daily counts of entries that were rolled up; and
// "complete", which is false if an hour or a day could not be read from the
// platform or a full hour did not store all of its entries. "entries" includes
// those that this daemon has not written yet, marked "pending".

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
  // A request in progress. Its hours are read in listings of up to ten.
  struct Query;
  using QueryPtr = std::shared_ptr<Query>;

  void read(const ExchangePtr &Received);
  void readNextHours(const QueryPtr &TheQuery);
  void readDays(const QueryPtr &TheQuery);
  void reply(const QueryPtr &TheQuery);

  Clock *Time = nullptr;
  PlatformClient *Platform = nullptr;
  AuditTrail *Trail = nullptr;
  DocumentApi *Documents = nullptr;
};

} // namespace cyclamenwind

#endif
