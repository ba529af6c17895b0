// The state machine of a move: the record that follows the present one.
//
// Pure. The caller holds the lease and writes the result conditionally on the
// version of the record that it was computed from. Final states have no
// successor, and a step only ever grows, so a recorded stop is never passed and
// a share falls only by taking back.

#ifndef CYCLAMENWIND_ROLLOUTS_STATE_MACHINE_H
#define CYCLAMENWIND_ROLLOUTS_STATE_MACHINE_H

#include "cyclamenwind/rollouts/record.h"

namespace cyclamenwind {

// A reason to send no more calls to the new version.
struct RolloutFault {
  RolloutReason Reason = RolloutReason::None;
  std::string Detail;

  bool operator==(const RolloutFault &) const = default;
};

// What the daemons report about the step under way.
struct RolloutProgress {
  uint64_t Revision = 0;       // Of the record that the report is about.
  bool EnoughEvidence = false; // For the step's share and the miss rate.
  bool AllApplied = false;     // Every live daemon carries this revision.
};

// Everything that a transition depends on besides the record.
struct RolloutContext {
  const RolloutSpec *Spec = nullptr;   // Null: the document lacks the move.
  const ServiceSpec *Target = nullptr; // Null: the document lacks the service.
  bool ServersReady = false;           // Of the new version.
  std::optional<RolloutProgress> Standing; // Nothing if there is no recent one.
  std::optional<RolloutFault> Fault;
  uint64_t DocumentVersion = 0; // That Spec and Target are from.
  uint64_t Epoch = 0;
  std::string Holder;
  std::string OperationId;
};

// The record of a move that has none yet.
RolloutRecord firstRecord(const RolloutSpec &Spec, const ServiceSpec &Target,
                          RolloutSteps Steps, const RolloutContext &Context,
                          WallTime Now);

// The successor of Present; nothing if it stays as it is, or belongs to a later
// epoch. Only a fault changes a record that was written with a later document.
// A record of an earlier epoch is claimed by writing it anew.
std::optional<RolloutRecord> nextRecord(const RolloutRecord &Present,
                                        const RolloutContext &Context,
                                        WallTime Now);

} // namespace cyclamenwind

#endif
