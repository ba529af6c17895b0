// RolloutRecord: the recorded state of a move, the platform object
// "moves/NAME".
//
// Every write is conditional on the object's version, raises Revision by one,
// and names the lease epoch of the daemon that wrote it and the operation, so
// that a lost answer is resolved by reading. A record is never written by an
// epoch lower than the one it names.

#ifndef CYCLAMENWIND_ROLLOUTS_RECORD_H
#define CYCLAMENWIND_ROLLOUTS_RECORD_H

#include "cyclamenwind/rollouts/plan.h"

#include <optional>

namespace cyclamenwind {

inline constexpr char RolloutRecordPrefix[] = "moves/";

enum class RolloutPhase {
  WaitingForServers, // No backend server of the new version yet.
  Stepping,          // A share of the calls goes to the new version.
  Holding,           // All calls go to it; not all daemons have said so yet.
  Done,              // Final.
  RolledBack,        // Final.
  Undecided,         // The set time has passed; the share stands still.
};

std::string_view nameOf(RolloutPhase State);
std::optional<RolloutPhase> parseRolloutPhase(std::string_view Name);

enum class RolloutReason {
  None,
  Errors,          // The new version fails more often than the old one.
  Latency,         // The new version is slower than the old one.
  DeadlinePassed,  // Not decided by the set time.
  Removed,         // The document no longer holds the move.
  DocumentChanged, // The move's versions or service were changed.
};

std::string_view nameOf(RolloutReason Reason);
std::optional<RolloutReason> parseRolloutReason(std::string_view Name);

struct RolloutRecord {
  std::string Name;
  std::string Service;
  std::string From; // Old version.
  std::string To;   // New version.
  RolloutPhase State = RolloutPhase::WaitingForServers;
  uint64_t Step = 0; // Index in Steps while Stepping or Undecided.
  RolloutSteps Steps;
  WallTime Deadline;
  WallTime Entered; // When the state or step began.
  RolloutReason Reason = RolloutReason::None;
  std::string Detail; // Such as the route that showed the fault.
  // Whether a step was left with too few calls for the stated miss rate.
  bool InsufficientEvidence = false;
  // Version of the document that the writer had in force.
  uint64_t DocumentVersion = 0;
  uint64_t Revision = 0;
  uint64_t Epoch = 0;
  std::string Holder; // Member that wrote the record.
  std::string OperationId;

  bool operator==(const RolloutRecord &) const = default;

  bool final() const {
    return State == RolloutPhase::Done || State == RolloutPhase::RolledBack;
  }

  // Share of calls on repeatable or other routes that go to the new version.
  double share(bool Idempotent) const;
};

std::string formatRolloutRecord(const RolloutRecord &Record);

// Nothing if malformed.
std::optional<RolloutRecord> parseRolloutRecord(std::string_view Text);

} // namespace cyclamenwind

#endif
