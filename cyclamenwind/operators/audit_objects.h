// Objects of the audit trail on the platform.
//
//   audit/hour/2026-08-01T09  the entries of one hour (UTC) by their times
//   audit/day/2026-08-01      counts of the entries whose hours were rolled up
//   audit/cursor              the hour up to which entries have been rolled up
//
// All are bounded in size. An hour that is full counts further entries without
// keeping them. An hour is sealed before it is rolled up, so that nothing is
// added to it afterwards; the day names the hours that it holds, so that an
// hour is counted once however often its roll-up is repeated.

#ifndef CYCLAMENWIND_OPERATORS_AUDIT_OBJECTS_H
#define CYCLAMENWIND_OPERATORS_AUDIT_OBJECTS_H

#include "cyclamenwind/base/result.h"
#include "cyclamenwind/operators/audit.h"

#include <set>
#include <vector>

#include <nlohmann/json.hpp>

namespace cyclamenwind {

// Size of an hour's text from which it keeps no further entries, bytes. Ten
// hours are listed at once and must fit into one answer of 2 MB.
constexpr size_t MaxAuditHourBytes = 180 * 1000;
// Limit of each text of an entry, bytes; longer ones are cut.
constexpr size_t MaxAuditTextBytes = 200;
// Lines of a day's summary; entries beyond are counted in one "other" line.
constexpr size_t MaxAuditDayLines = 64;

inline constexpr char AuditCursorKey[] = "audit/cursor";

// Start of the hour that Time lies in.
WallTime auditHourOf(WallTime Time);

std::string auditHourKey(WallTime Time);
// Prefix of the keys of the up to ten hours around Time that share it.
std::string auditTenHoursPrefix(WallTime Time);
std::string auditDayKey(WallTime Time);

enum class AuditObjectError { Malformed };

struct AuditRecord {
  std::string OperationId;
  AuditEntry Entry;

  bool operator==(const AuditRecord &) const = default;
};

nlohmann::json jsonOf(const AuditRecord &Record);

enum class AuditAppend {
  Added,
  Present, // The hour holds the operation already.
  Omitted, // The hour is full; the entry was only counted.
  Sealed,  // The hour takes no entries any more.
};

// The entries of one hour.
class AuditHour {
public:
  static Result<AuditHour, AuditObjectError> parse(const std::string &Text);
  std::string format() const;

  AuditAppend append(AuditRecord Record);
  bool contains(const std::string &OperationId) const;

  void seal() { Sealed = true; }
  bool sealed() const { return Sealed; }
  uint64_t omitted() const { return Omitted; }
  const std::vector<AuditRecord> &records() const { return Records; }

private:
  void add(AuditRecord Record);

  std::vector<AuditRecord> Records;
  std::set<std::string> Operations;
  size_t Bytes = 0;
  uint64_t Omitted = 0;
  bool Sealed = false;
};

// Entries of one kind on one day.
struct AuditSummary {
  std::string Actor;
  std::string Action;
  std::string Outcome;
  uint64_t Count = 0;
  std::string LastTo; // Version after the last of them.
};

nlohmann::json jsonOf(const AuditSummary &Line);

// The counts of one day.
class AuditDay {
public:
  static Result<AuditDay, AuditObjectError> parse(const std::string &Text);
  std::string format() const;

  // Adds the counts of an hour, once. An entry that the hour after it holds
  // too is left to that one.
  void fold(const std::string &HourKey, const AuditHour &Hour,
            const AuditHour &Following);

  bool holds(const std::string &HourKey) const {
    return Hours.count(HourKey) != 0;
  }
  uint64_t omitted() const { return Omitted; }
  const std::vector<AuditSummary> &lines() const { return Lines; }

private:
  AuditSummary &lineOf(const AuditEntry &Entry);

  std::set<std::string> Hours;
  std::vector<AuditSummary> Lines;
  uint64_t Omitted = 0;
};

} // namespace cyclamenwind

#endif
