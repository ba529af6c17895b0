// Conversion between rollout values and their wire format.

#ifndef CYCLAMENWIND_ROLLOUTS_CODEC_H
#define CYCLAMENWIND_ROLLOUTS_CODEC_H

#include "cyclamenwind/rollouts/evidence.h"
#include "cyclamenwind/rollouts/records.h"
#include "cyclamenwind/wire/gen-cpp/moves_types.h"

namespace cyclamenwind {

// Maximum number of evidence items in a frame.
inline constexpr size_t MaxEvidenceItems = 200;

std::vector<wire::EvidenceItem> toWire(const Evidence &Observed);

// Skips malformed items.
Evidence fromWire(const std::vector<wire::EvidenceItem> &Items);

wire::MoveStop toWire(const std::string &Name, const RolloutFault &Fault);

// Returns nothing if Stop has no name or an unknown reason.
std::optional<RolloutFault> fromWire(const wire::MoveStop &Stop);

} // namespace cyclamenwind

#endif
