#include "cyclamenwind/traffic/subset.h"

#include <algorithm>

#include <xxhash.h>

namespace cyclamenwind {
namespace {

using Ranked = std::pair<uint64_t, const Endpoint *>;

// Appends the Count highest of List.
void take(std::vector<Ranked> List, size_t Count,
          std::vector<const Endpoint *> &Chosen) {
  Count = std::min(Count, List.size());
  std::partial_sort(List.begin(), List.begin() + static_cast<long>(Count),
                    List.end(), std::greater<>());
  for (size_t I = 0; I < Count; ++I)
    Chosen.push_back(List[I].second);
}

} // namespace

std::vector<const Endpoint *>
subsetFor(const std::string &SelfId, const std::string &FailureDomain,
          const std::vector<const Endpoint *> &Endpoints, size_t Near,
          size_t Far) {
  if (Endpoints.size() <= std::min(Near, Far))
    return Endpoints;
  uint64_t Seed = XXH3_64bits(SelfId.data(), SelfId.size());
  std::vector<Ranked> Own;
  std::vector<Ranked> Others;
  for (const Endpoint *Each : Endpoints) {
    uint64_t Rank = XXH3_64bits_withSeed(Each->MemberId.data(),
                                         Each->MemberId.size(), Seed);
    bool Same = Each->FailureDomain == FailureDomain;
    (Same ? Own : Others).push_back({Rank, Each});
  }
  std::vector<const Endpoint *> Chosen;
  take(std::move(Own), Near, Chosen);
  take(std::move(Others), Far, Chosen);
  return Chosen;
}

} // namespace cyclamenwind
