#include "cyclamenwind/membership/seed_list.h"

#include <algorithm>
#include <set>

#include <nlohmann/json.hpp>

namespace cyclamenwind {
namespace {

using nlohmann::json;

constexpr size_t MaxSeedListSize = 8;

std::set<Address> reachableAddresses(const MemberList &KnownMembers) {
  std::set<Address> Peers;
  for (const Member *Record : KnownMembers.reachable())
    Peers.insert(Record->Peer);
  return Peers;
}

} // namespace

std::vector<Address> decodeSeedList(const std::string &Value) {
  std::vector<Address> Peers;
  json Node = json::parse(Value, nullptr, /*allow_exceptions=*/false);
  if (!Node.is_array())
    return Peers;
  for (const json &Item : Node) {
    std::optional<Address> Parsed;
    if (Item.is_string())
      Parsed = parseAddress(Item.get_ref<const std::string &>());
    if (Parsed && Peers.size() < MaxSeedListSize)
      Peers.push_back(*Parsed);
  }
  return Peers;
}

std::string encodeSeedList(const std::vector<Address> &Peers) {
  json Node = json::array();
  for (const Address &Peer : Peers)
    Node.push_back(Peer.text());
  return Node.dump();
}

std::optional<std::vector<Address>>
revisedSeedList(const std::vector<Address> &Listed, const Address &Self,
                const MemberList *KnownMembers) {
  std::vector<Address> Revised = Listed;
  if (KnownMembers != nullptr) {
    std::set<Address> Reachable = reachableAddresses(*KnownMembers);
    std::erase_if(Revised, [&](const Address &Peer) {
      return Peer != Self && Reachable.count(Peer) == 0;
    });
  }
  bool SelfListed =
      std::find(Revised.begin(), Revised.end(), Self) != Revised.end();
  if (!SelfListed && Revised.size() < MaxSeedListSize)
    Revised.push_back(Self);
  if (Revised == Listed)
    return std::nullopt;
  return Revised;
}

std::vector<Address> randomSample(std::vector<Address> Candidates, size_t Count,
                                  Random &Rng) {
  for (size_t I = 0; I < Candidates.size() && I < Count; ++I)
    std::swap(Candidates[I], Candidates[I + Rng.below(Candidates.size() - I)]);
  if (Candidates.size() > Count)
    Candidates.resize(Count);
  return Candidates;
}

} // namespace cyclamenwind
