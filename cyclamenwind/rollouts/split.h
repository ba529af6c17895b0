// Split: whether a call goes to the new version of a move.
//
// Decided by a hash of the caller's hash and the move's name, so that all
// attempts of a call and all calls with one caller key agree, a caller that has
// moved stays moved as the share grows, and moves do not pick the same callers.

#ifndef CYCLAMENWIND_ROLLOUTS_SPLIT_H
#define CYCLAMENWIND_ROLLOUTS_SPLIT_H

#include <cstdint>
#include <string_view>

namespace cyclamenwind {

// Seed of a move's split.
uint64_t splitSeed(std::string_view MoveName);

// Whether a call falls into Share, which is from 0 to 1.
bool fallsInto(double Share, uint64_t CallerHash, uint64_t Seed);

} // namespace cyclamenwind

#endif
