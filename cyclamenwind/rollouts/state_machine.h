// State machine of a rollout: computes the record that follows the current one.
//
// Pure functions. The caller holds the lease and writes the result
// conditionally on the version of the record from which it was computed. Final
// phases have no successor and the step never decreases, so a rollout never
// continues after a recorded rollback, and the share falls only by rolling
// back.

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

// Summary of the daemons' reports on the current step.
struct RolloutProgress {
  uint64_t Revision = 0;       // Of the record that was summarized.
  bool EnoughEvidence = false; // For the step's share and the miss rate.
  bool AllApplied = false;     // By all live daemons; no stop.
};

// The inputs of a transition besides the record.
struct RolloutContext {
  const RolloutSpec *Spec = nullptr;       // Null: rollout not in the document.
  const ServiceSpec *Target = nullptr;     // Null: service not in the document.
  bool ServersReady = false;               // Of the new version.
  std::optional<RolloutProgress> Progress; // Empty if none is recent.
  std::optional<RolloutFault> Fault;
  uint64_t DocumentVersion = 0; // Of Spec and Target.
  uint64_t Epoch = 0;
  std::string Holder;
  std::string OperationId;
};

// The record of a rollout that has none yet.
RolloutRecord firstRecord(const RolloutSpec &Spec, const ServiceSpec &Target,
                          RolloutSteps Steps, const RolloutContext &Context,
                          WallTime Now);

// The successor of Current. Returns nothing if nothing changes or if Current is
// final or from a later epoch. A record that was written with a later document
// changes only because of a fault. A record from an earlier epoch is rewritten
// even if nothing else changes, to claim it for the current epoch.
std::optional<RolloutRecord> nextRecord(const RolloutRecord &Current,
                                        const RolloutContext &Context,
                                        WallTime Now);

} // namespace cyclamenwind

#endif
