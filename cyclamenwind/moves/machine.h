// The state machine of a move: the record that follows the present one.
//
// Pure. The caller holds the lease and writes the result conditionally on the
// version of the record that it was computed from. Final states have no
// successor, and a step only ever grows, so a recorded stop is never passed and
// a share falls only by taking back.

#ifndef CYCLAMENWIND_MOVES_MACHINE_H
#define CYCLAMENWIND_MOVES_MACHINE_H

#include "cyclamenwind/moves/record.h"

namespace cyclamenwind {

// A reason to send no more calls to the new version.
struct MoveFault {
  MoveReason Reason = MoveReason::None;
  std::string Detail;

  bool operator==(const MoveFault &) const = default;
};

// What the daemons report about the step under way.
struct MoveStanding {
  uint64_t Revision = 0;       // Of the record that the report is about.
  bool EnoughEvidence = false; // For the step's share and the miss rate.
  bool AllCarry = false;       // Every live daemon carries this revision.
};

// Everything that a transition depends on besides the record.
struct MoveContext {
  const MoveSpec *Spec = nullptr;       // Null: the document lacks the move.
  const ServiceSpec *Target = nullptr;  // Null: the document lacks the service.
  bool ServersReady = false;            // Of the new version.
  std::optional<MoveStanding> Standing; // Nothing if there is no recent one.
  std::optional<MoveFault> Fault;
  uint64_t DocumentVersion = 0; // That Spec and Target are from.
  uint64_t Epoch = 0;
  std::string Holder;
  std::string OperationId;
};

// The record of a move that has none yet.
MoveRecord firstRecord(const MoveSpec &Spec, const ServiceSpec &Target,
                       MoveSteps Steps, const MoveContext &Context,
                       WallTime Now);

// The successor of Present; nothing if it stays as it is, or belongs to a later
// epoch. Only a fault changes a record that was written with a later document.
// A record of an earlier epoch is claimed by writing it anew.
std::optional<MoveRecord> nextRecord(const MoveRecord &Present,
                                     const MoveContext &Context, WallTime Now);

} // namespace cyclamenwind

#endif
