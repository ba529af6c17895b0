// Objects of the audit trail on the platform.
//
//   audit/hour/2026-08-01T09  entries with a time in this hour (UTC)
//   audit/day/2026-08-01      counts of entries of hours that were rolled up
//   audit/cursor              the hour up to which entries have been rolled up
//
// All objects are bounded in size. An hour that is full counts further entries
// without storing them. An hour is sealed before it is rolled up, so that no
// entry is added to it afterwards. The day lists the hours that it includes, so
// that an hour is counted once however often its roll-up is retried.

#ifndef CYCLAMENWIND_OPERATORS_AUDIT_OBJECTS_H
#define CYCLAMENWIND_OPERATORS_AUDIT_OBJECTS_H

#include "cyclamenwind/base/result.h"
#include "cyclamenwind/operators/audit.h"

#include <set>
#include <vector>

#include <nlohmann/json.hpp>

namespace cyclamenwind {

// An hour of this size, in bytes of its text, stores no further entries. Ten
// hours are read in one listing and must fit into one response of 2 MB.
constexpr size_t MaxAuditHourBytes = 180 * 1000;
// Limit of each text of an entry, in bytes; longer texts are truncated.
constexpr size_t MaxAuditTextBytes = 200;
// Limit of the lines of a day's summary. Entries of further kinds are counted
// in one line "other".
constexpr size_t MaxAuditDayLines = 64;

inline constexpr char AuditCursorKey[] = "audit/cursor";

// Returns the start of the hour that contains Time.
WallTime auditHourOf(WallTime Time);

std::string auditHourKey(WallTime Time);
// Returns the key prefix that the hour of Time shares with up to nine others.
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
  Duplicate, // The hour already contains the operation.
  Omitted,   // The hour is full; the entry was counted but not stored.
  Sealed,    // The hour accepts no further entries.
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
  std::string LastTo; // New version in the last of these entries.
};

nlohmann::json jsonOf(const AuditSummary &Line);

// The counts of one day.
class AuditDay {
public:
  static Result<AuditDay, AuditObjectError> parse(const std::string &Text);
  std::string format() const;

  // Adds the counts of Hour unless they were added before. An entry that the
  // following hour contains too is counted with that hour.
  void fold(const std::string &HourKey, const AuditHour &Hour,
            const AuditHour &FollowingHour);

  bool includes(const std::string &HourKey) const {
    return Hours.count(HourKey) != 0;
  }
  uint64_t omitted() const { return Omitted; }
  const std::vector<AuditSummary> &lines() const { return Lines; }

private:
  AuditSummary &lineFor(const AuditEntry &Entry);

  std::set<std::string> Hours;
  std::vector<AuditSummary> Lines;
  uint64_t Omitted = 0;
};

} // namespace cyclamenwind

#endif
