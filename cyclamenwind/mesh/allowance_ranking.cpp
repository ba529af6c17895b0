#include "cyclamenwind/mesh/allowance_ranking.h"

#include <algorithm>

#include <xxhash.h>

namespace cyclamenwind {
namespace {

// Sorts Daemons by the hash of their addresses with Prefix, the largest first.
void sortByHash(const std::string &Prefix, std::vector<Address> &Daemons) {
  std::vector<std::pair<uint64_t, Address>> Ranked;
  for (Address &Daemon : Daemons) {
    std::string Text = Prefix + '/' + Daemon.text();
    Ranked.emplace_back(XXH64(Text.data(), Text.size(), 0), std::move(Daemon));
  }
  std::sort(Ranked.begin(), Ranked.end(),
            [](const auto &A, const auto &B) { return B < A; });
  for (size_t I = 0; I < Daemons.size(); ++I)
    Daemons[I] = std::move(Ranked[I].second);
}

} // namespace

std::vector<Address> allowanceOwners(std::vector<Address> Daemons) {
  sortByHash("", Daemons);
  if (Daemons.size() > AllowanceOwners)
    Daemons.erase(Daemons.begin() + AllowanceOwners, Daemons.end());
  return Daemons;
}

std::vector<Address> rankedOwners(const std::string &Workspace,
                                  std::vector<Address> Owners) {
  sortByHash(Workspace, Owners);
  return Owners;
}

} // namespace cyclamenwind
