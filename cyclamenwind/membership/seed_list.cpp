#include "cyclamenwind/membership/seed_list.h"

#include <algorithm>
#include <set>

#include <nlohmann/json.hpp>

namespace cyclamenwind {
namespace {

using nlohmann::json;

constexpr size_t MeetingPointSize = 8;

std::set<Address> reachableAddresses(const MemberList &Known) {
  std::set<Address> Peers;
  for (const Member *Each : Known.reachable())
    Peers.insert(Each->Peer);
  return Peers;
}

} // namespace

std::vector<Address> decodeSeedList(const std::string &Value) {
  std::vector<Address> Peers;
  json Node = json::parse(Value, nullptr, /*allow_exceptions=*/false);
  if (!Node.is_array())
    return Peers;
  for (const json &Each : Node) {
    std::optional<Address> Parsed;
    if (Each.is_string())
      Parsed = parseAddress(Each.get_ref<const std::string &>());
    if (Parsed && Peers.size() < MeetingPointSize)
      Peers.push_back(*Parsed);
  }
  return Peers;
}

std::string encodeSeedList(const std::vector<Address> &Peers) {
  json Node = json::array();
  for (const Address &Each : Peers)
    Node.push_back(Each.text());
  return Node.dump();
}

std::optional<std::vector<Address>>
revisedSeedList(const std::vector<Address> &Listed, const Address &Self,
                const MemberList *Known) {
  std::vector<Address> Revised = Listed;
  if (Known != nullptr) {
    std::set<Address> Live = reachableAddresses(*Known);
    std::erase_if(Revised, [&](const Address &Each) {
      return Each != Self && Live.count(Each) == 0;
    });
  }
  bool Present =
      std::find(Revised.begin(), Revised.end(), Self) != Revised.end();
  if (!Present && Revised.size() < MeetingPointSize)
    Revised.push_back(Self);
  if (Revised == Listed)
    return std::nullopt;
  return Revised;
}

std::vector<Address> sampled(std::vector<Address> Candidates, size_t Count,
                             Random &Rng) {
  for (size_t I = 0; I < Candidates.size() && I < Count; ++I)
    std::swap(Candidates[I], Candidates[I + Rng.below(Candidates.size() - I)]);
  if (Candidates.size() > Count)
    Candidates.resize(Count);
  return Candidates;
}

} // namespace cyclamenwind
