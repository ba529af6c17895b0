// Split: decides which calls go to the new version of a rollout.
//
// The decision depends on a hash of the caller's hash and the rollout's name:
// all attempts of a call and all calls with one caller key go to the same
// version, a caller on the new version stays there as the share grows, and
// different rollouts select different callers.

#ifndef CYCLAMENWIND_ROLLOUTS_SPLIT_H
#define CYCLAMENWIND_ROLLOUTS_SPLIT_H

#include <cstdint>
#include <string_view>

namespace cyclamenwind {

// Seed of a rollout's split.
uint64_t splitSeed(std::string_view RolloutName);

// Whether a call goes to the new version at Share, which is from 0 to 1.
bool selectsNewVersion(double Share, uint64_t CallerHash, uint64_t Seed);

} // namespace cyclamenwind

#endif
