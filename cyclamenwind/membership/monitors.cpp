#include "cyclamenwind/membership/monitors.h"

#include <algorithm>
#include <tuple>

#include <xxhash.h>

namespace cyclamenwind {
namespace {

// A member's position on the ring: its rank within its failure domain as a
// fraction of the domain's size, then the domain's name.
struct RingPosition {
  double Fraction = 0;
  const Member *Node = nullptr;

  bool operator<(const RingPosition &Other) const {
    return std::tie(Fraction, Node->FailureDomain) <
           std::tie(Other.Fraction, Other.Node->FailureDomain);
  }
};

// Suspects keep their positions, so that suspecting one member moves no other.
std::vector<RingPosition> ringOf(const MemberList &Members) {
  using Ranked = std::pair<uint64_t, const Member *>;
  std::map<std::string_view, std::vector<Ranked>> Domains;
  for (const Member *Record : Members.reachable())
    Domains[Record->FailureDomain].push_back(
        {XXH3_64bits(Record->Id.data(), Record->Id.size()), Record});
  std::vector<RingPosition> Ring;
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
  std::vector<RingPosition> Ring = ringOf(Members);
  auto Self = std::find_if(Ring.begin(), Ring.end(),
                           [&SelfId](const RingPosition &Position) {
                             return Position.Node->Id == SelfId;
                           });
  std::vector<std::string> Targets;
  if (Self == Ring.end())
    return Targets;
  size_t Start = static_cast<size_t>(Self - Ring.begin());
  for (size_t I = 1; I < Ring.size() && Targets.size() < Count; ++I) {
    const Member &Next = *Ring[(Start + I) % Ring.size()].Node;
    if (Next.State == MemberState::Alive)
      Targets.push_back(Next.Id);
  }
  return Targets;
}

} // namespace cyclamenwind
