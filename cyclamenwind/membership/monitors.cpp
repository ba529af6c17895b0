#include "cyclamenwind/membership/monitors.h"

#include <algorithm>
#include <tuple>

#include <xxhash.h>

namespace cyclamenwind {
namespace {

// A member's place on the ring: its rank within its failure domain as a share
// of the domain, then the domain.
struct Place {
  double Share = 0;
  const Member *Who = nullptr;

  bool operator<(const Place &Other) const {
    return std::tie(Share, Who->FailureDomain) <
           std::tie(Other.Share, Other.Who->FailureDomain);
  }
};

// Suspects keep their places, so that accusing one moves no other.
std::vector<Place> ringOf(const MemberList &Members) {
  using Ranked = std::pair<uint64_t, const Member *>;
  std::map<std::string_view, std::vector<Ranked>> Domains;
  for (const Member *Each : Members.reachable())
    Domains[Each->FailureDomain].push_back(
        {XXH3_64bits(Each->Id.data(), Each->Id.size()), Each});
  std::vector<Place> Ring;
  for (auto &[Domain, List] : Domains) {
    std::sort(List.begin(), List.end());
    for (size_t I = 0; I < List.size(); ++I)
      Ring.push_back(
          {(static_cast<double>(I) + 0.5) / static_cast<double>(List.size()),
           List[I].second});
  }
  std::sort(Ring.begin(), Ring.end());
  return Ring;
}

} // namespace

std::vector<std::string> monitoredBy(const std::string &SelfId,
                                     const MemberList &Members, size_t Count) {
  std::vector<Place> Ring = ringOf(Members);
  auto Self =
      std::find_if(Ring.begin(), Ring.end(), [&SelfId](const Place &Each) {
        return Each.Who->Id == SelfId;
      });
  std::vector<std::string> Targets;
  if (Self == Ring.end())
    return Targets;
  size_t Start = static_cast<size_t>(Self - Ring.begin());
  for (size_t I = 1; I < Ring.size() && Targets.size() < Count; ++I) {
    const Member &Next = *Ring[(Start + I) % Ring.size()].Who;
    if (Next.State == MemberState::Alive)
      Targets.push_back(Next.Id);
  }
  return Targets;
}

} // namespace cyclamenwind
