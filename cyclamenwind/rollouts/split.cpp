#include "cyclamenwind/rollouts/split.h"

#include <xxhash.h>

namespace cyclamenwind {

uint64_t splitSeed(std::string_view RolloutName) {
  return XXH3_64bits(RolloutName.data(), RolloutName.size());
}

bool selectsNewVersion(double Share, uint64_t CallerHash, uint64_t Seed) {
  constexpr int FractionBits = 53;
  uint64_t Mixed = XXH64(&CallerHash, sizeof(CallerHash), Seed);
  double Fraction = static_cast<double>(Mixed >> (64 - FractionBits)) /
                    static_cast<double>(uint64_t(1) << FractionBits);
  return Fraction < Share;
}

} // namespace cyclamenwind
