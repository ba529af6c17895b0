// Audit: the trail of changes.
//
// Each change to what is in force leaves one entry: who or what made it, what
// changed from which version to which, when, and how it ended.

#ifndef CYCLAMENWIND_OPERATORS_AUDIT_H
#define CYCLAMENWIND_OPERATORS_AUDIT_H

#include "cyclamenwind/base/kernel.h"

#include <string>

namespace cyclamenwind {

struct AuditEntry {
  std::string Actor;   // An operator's name, or "system/MEMBER".
  std::string Action;  // Stable name, such as "document_accepted".
  std::string Subject; // What was changed, such as "document" or "move/NAME".
  std::string From;    // Version before; empty if there was none.
  std::string To;      // Version after.
  std::string Outcome; // Stable name, such as "done" or "lost_race".
  WallTime Time;
  std::string Detail = {}; // What else is known, such as a digest or a cause.

  bool operator==(const AuditEntry &) const = default;
};

// A service named "audit".
class AuditSink {
public:
  virtual ~AuditSink() = default;

  // Adds an entry to the trail. The same decision recorded twice, by two
  // daemons or after a lost answer, is one entry: OperationId identifies it.
  // Times of the same decision may differ by up to an hour.
  virtual void record(const std::string &OperationId,
                      const AuditEntry &Entry) = 0;
};

} // namespace cyclamenwind

#endif
