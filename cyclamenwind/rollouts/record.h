// RolloutRecord: the state of a rollout, stored on the platform as the object
// "moves/NAME".
//
// Every write is conditional on the object's version and raises Revision by
// one. The record holds the writer's lease epoch and an operation id; a writer
// whose answer was lost reads the record and compares the id. A record is never
// overwritten in an epoch lower than its own.

#ifndef CYCLAMENWIND_ROLLOUTS_RECORD_H
#define CYCLAMENWIND_ROLLOUTS_RECORD_H

#include "cyclamenwind/rollouts/plan.h"

#include <optional>

namespace cyclamenwind {

inline constexpr char RolloutRecordPrefix[] = "moves/";

enum class RolloutPhase {
  WaitingForServers, // No backend server of the new version yet.
  Stepping,          // A share of the calls goes to the new version.
  Holding,           // All calls go to it; some daemons have not confirmed.
  Done,              // Final.
  RolledBack,        // Final.
  Undecided,         // The deadline has passed; the share is frozen.
};

std::string_view nameOf(RolloutPhase Phase);
std::optional<RolloutPhase> parseRolloutPhase(std::string_view Name);

enum class RolloutReason {
  None,
  Errors,          // The new version fails more often than the old one.
  Latency,         // The new version is slower than the old one.
  DeadlinePassed,  // Not finished by the deadline.
  Removed,         // The document no longer contains the rollout.
  DocumentChanged, // The rollout's versions or service changed.
};

std::string_view nameOf(RolloutReason Reason);
std::optional<RolloutReason> parseRolloutReason(std::string_view Name);

struct RolloutRecord {
  std::string Name;
  std::string Service;
  std::string From; // Old version.
  std::string To;   // New version.
  RolloutPhase Phase = RolloutPhase::WaitingForServers;
  uint64_t Step = 0; // Index in Steps while Stepping or Undecided.
  RolloutSteps Steps;
  WallTime Deadline;
  WallTime Entered; // When the phase or step began.
  RolloutReason Reason = RolloutReason::None;
  std::string Detail; // Such as the route that showed the fault.
  // Whether a step ended with too few calls for the configured miss rate.
  bool InsufficientEvidence = false;
  // Version of the document that was active on the writer.
  uint64_t DocumentVersion = 0;
  uint64_t Revision = 0;
  uint64_t Epoch = 0;
  std::string Holder; // Member that wrote the record.
  std::string OperationId;

  bool operator==(const RolloutRecord &) const = default;

  bool final() const {
    return Phase == RolloutPhase::Done || Phase == RolloutPhase::RolledBack;
  }

  // Share of calls on idempotent or other routes that go to the new version.
  double share(bool Idempotent) const;
};

std::string formatRolloutRecord(const RolloutRecord &Record);

// Returns nothing if Text is malformed.
std::optional<RolloutRecord> parseRolloutRecord(std::string_view Text);

} // namespace cyclamenwind

#endif
