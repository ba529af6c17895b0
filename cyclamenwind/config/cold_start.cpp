#include "cyclamenwind/config/cold_start.h"

#include <algorithm>
#include <set>

namespace cyclamenwind {
namespace {

constexpr size_t MinPeers = 3;
constexpr size_t MinDomains = 2;

} // namespace

void ColdStart::confirmed(uint64_t Version) {
  Confirmed = std::max(Confirmed.value_or(0), Version);
}

void ColdStart::peerAnswered(const Address &Peer,
                             const std::string &FailureDomain,
                             uint64_t Version) {
  if (Version > 0)
    Answers[Peer] = {FailureDomain, Version};
}

std::optional<uint64_t> ColdStart::leastVersion() const {
  if (Confirmed)
    return Confirmed;
  std::set<std::string> Domains;
  uint64_t Highest = 0;
  for (const auto &[Peer, Each] : Answers) {
    Domains.insert(Each.FailureDomain);
    Highest = std::max(Highest, Each.Version);
  }
  if (!Away || Answers.size() < MinPeers || Domains.size() < MinDomains)
    return std::nullopt;
  return Highest;
}

} // namespace cyclamenwind
