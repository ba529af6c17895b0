// Conversion between the values of moves and their wire form.

#ifndef CYCLAMENWIND_ROLLOUTS_CODEC_H
#define CYCLAMENWIND_ROLLOUTS_CODEC_H

#include "cyclamenwind/rollouts/evidence.h"
#include "cyclamenwind/rollouts/records.h"
#include "cyclamenwind/wire/gen-cpp/moves_types.h"

namespace cyclamenwind {

// Evidence in frames of at most MaxEvidenceItems items each.
inline constexpr size_t MaxEvidenceItems = 200;

std::vector<wire::EvidenceItem> toWire(const Evidence &Seen);

// Leaves out what is malformed.
Evidence fromWire(const std::vector<wire::EvidenceItem> &Items);

wire::MoveStop toWire(const std::string &Name, const RolloutFault &Why);
std::optional<RolloutFault> fromWire(const wire::MoveStop &Stop);

} // namespace cyclamenwind

#endif
