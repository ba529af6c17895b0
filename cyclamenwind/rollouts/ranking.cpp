#include "cyclamenwind/rollouts/ranking.h"

#include <algorithm>

#include <xxhash.h>

namespace cyclamenwind {

std::vector<const Member *> rankedFor(std::string_view Task, size_t Count,
                                      const MemberList &Members,
                                      const Member &Self) {
  uint64_t Seed = XXH3_64bits(Task.data(), Task.size());
  std::vector<std::pair<uint64_t, const Member *>> Ranked;
  auto Add = [&](const Member &Candidate) {
    Ranked.push_back(
        {XXH64(Candidate.Id.data(), Candidate.Id.size(), Seed), &Candidate});
  };
  Add(Self);
  for (const auto &[Id, Other] : Members.members())
    if (Id != Self.Id && Other.reachable())
      Add(Other);
  size_t Selected = std::min(Count, Ranked.size());
  std::partial_sort(
      Ranked.begin(), Ranked.begin() + static_cast<long>(Selected),
      Ranked.end(),
      [](const auto &A, const auto &B) { return A.first > B.first; });
  std::vector<const Member *> Result;
  for (size_t I = 0; I < Selected; ++I)
    Result.push_back(Ranked[I].second);
  return Result;
}

} // namespace cyclamenwind
