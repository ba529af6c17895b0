// The interface of the audit trail.
//
// Each change to the active configuration, whether it succeeded or failed, has
// one entry: who or what made it, what was changed from which version to which,
// when, and the outcome.

#ifndef CYCLAMENWIND_OPERATORS_AUDIT_H
#define CYCLAMENWIND_OPERATORS_AUDIT_H

#include "cyclamenwind/base/kernel.h"

#include <string>

namespace cyclamenwind {

struct AuditEntry {
  std::string Actor;   // An operator's name, or "system/MEMBER".
  std::string Action;  // Stable name, such as "document_accepted".
  std::string Subject; // "document", or "move/NAME" for a rollout.
  std::string From;    // Previous version; empty if there was none.
  std::string To;      // New version.
  std::string Outcome; // Stable name, such as "done" or "lost_race".
  WallTime Time;
  std::string Detail = {}; // Further information, such as a digest or a cause.

  bool operator==(const AuditEntry &) const = default;
};

// A service named "audit".
class AuditSink {
public:
  virtual ~AuditSink() = default;

  // Adds an entry to the trail. OperationId identifies the operation: if it is
  // recorded more than once, by two daemons or after a lost response, the trail
  // has one entry. The times in these calls may differ by up to an hour.
  virtual void record(const std::string &OperationId,
                      const AuditEntry &Entry) = 0;
};

} // namespace cyclamenwind

#endif
