// Conversion between the values of moves and their wire form.

#ifndef CYCLAMENWIND_MOVES_CODEC_H
#define CYCLAMENWIND_MOVES_CODEC_H

#include "cyclamenwind/moves/book.h"
#include "cyclamenwind/moves/evidence.h"
#include "cyclamenwind/wire/gen-cpp/moves_types.h"

namespace cyclamenwind {

// Evidence in frames of at most MaxEvidenceItems items each.
inline constexpr size_t MaxEvidenceItems = 200;

std::vector<wire::EvidenceItem> toWire(const Evidence &Seen);

// Leaves out what is malformed.
Evidence fromWire(const std::vector<wire::EvidenceItem> &Items);

wire::MoveStop toWire(const std::string &Name, const MoveFault &Why);
std::optional<MoveFault> fromWire(const wire::MoveStop &Stop);

} // namespace cyclamenwind

#endif
