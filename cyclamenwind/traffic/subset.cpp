#include "cyclamenwind/traffic/subset.h"

#include <algorithm>

#include <xxhash.h>

namespace cyclamenwind {
namespace {

using RankedEndpoint = std::pair<uint64_t, const Endpoint *>;

// Appends the Count endpoints with the highest rank to Subset.
void appendHighest(std::vector<RankedEndpoint> Servers, size_t Count,
                   std::vector<const Endpoint *> &Subset) {
  Count = std::min(Count, Servers.size());
  std::partial_sort(Servers.begin(), Servers.begin() + static_cast<long>(Count),
                    Servers.end(), std::greater<>());
  for (size_t I = 0; I < Count; ++I)
    Subset.push_back(Servers[I].second);
}

} // namespace

std::vector<const Endpoint *>
subsetFor(const std::string &SelfId, const std::string &FailureDomain,
          const std::vector<const Endpoint *> &Endpoints,
          size_t SameDomainCount, size_t OtherDomainCount) {
  if (Endpoints.size() <= std::min(SameDomainCount, OtherDomainCount))
    return Endpoints;
  uint64_t Seed = XXH3_64bits(SelfId.data(), SelfId.size());
  std::vector<RankedEndpoint> SameDomain;
  std::vector<RankedEndpoint> OtherDomains;
  for (const Endpoint *Server : Endpoints) {
    uint64_t Rank = XXH3_64bits_withSeed(Server->MemberId.data(),
                                         Server->MemberId.size(), Seed);
    bool IsSameDomain = Server->FailureDomain == FailureDomain;
    (IsSameDomain ? SameDomain : OtherDomains).push_back({Rank, Server});
  }
  std::vector<const Endpoint *> Subset;
  appendHighest(std::move(SameDomain), SameDomainCount, Subset);
  appendHighest(std::move(OtherDomains), OtherDomainCount, Subset);
  return Subset;
}

} // namespace cyclamenwind
