#include "cyclamenwind/config/cold_start.h"

#include <algorithm>
#include <set>

namespace cyclamenwind {
namespace {

constexpr size_t MinPeers = 3;
constexpr size_t MinDomains = 2;

} // namespace

void ColdStart::platformConfirmed(uint64_t Version) {
  ConfirmedVersion = std::max(ConfirmedVersion.value_or(0), Version);
}

void ColdStart::peerReported(const Address &Peer,
                             const std::string &FailureDomain,
                             uint64_t Version) {
  if (Version > 0)
    Reports[Peer] = {FailureDomain, Version};
}

std::optional<uint64_t> ColdStart::minVersion() const {
  if (ConfirmedVersion)
    return ConfirmedVersion;
  std::set<std::string> Domains;
  uint64_t Highest = 0;
  for (const auto &[Peer, Report] : Reports) {
    Domains.insert(Report.FailureDomain);
    Highest = std::max(Highest, Report.Version);
  }
  if (!PlatformUnreachable || Reports.size() < MinPeers ||
      Domains.size() < MinDomains)
    return std::nullopt;
  return Highest;
}

} // namespace cyclamenwind
