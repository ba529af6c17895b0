#include "cyclamenwind/membership/gossip_queue.h"

#include <algorithm>
#include <cmath>

namespace cyclamenwind {
namespace {

constexpr double SendsPerLogMember = 1.5;
constexpr int MinSends = 3;

bool takesOutOfUse(const Member &Record) {
  return Record.State != MemberState::Alive ||
         std::any_of(Record.Instances.begin(), Record.Instances.end(),
                     [](const ServiceInstance &Each) { return Each.Draining; });
}

} // namespace

int gossipSends(size_t Members) {
  double Log = std::log(static_cast<double>(Members) + 1);
  return MinSends + static_cast<int>(std::ceil(SendsPerLogMember * Log));
}

void GossipQueue::add(const Member &Record, int Sends) {
  erase(Record.Id);
  Rumour &Added = Rumours[Record.Id];
  Added = {takesOutOfUse(Record), Sends, 0};
  Order.insert(rankOf(Record.Id, Added));
}

void GossipQueue::heardAgain(const std::string &Id) {
  auto Found = Rumours.find(Id);
  if (Found != Rumours.end() && !Found->second.Removal)
    lessen(Id, false);
}

void GossipQueue::sent(const std::string &Id) { lessen(Id, true); }

void GossipQueue::erase(const std::string &Id) {
  auto Found = Rumours.find(Id);
  if (Found == Rumours.end())
    return;
  Order.erase(rankOf(Id, Found->second));
  Rumours.erase(Found);
}

std::vector<std::string> GossipQueue::next(size_t Count) const {
  std::vector<std::string> Chosen;
  for (const Rank &Each : Order) {
    if (Chosen.size() == Count)
      break;
    Chosen.push_back(std::get<std::string>(Each));
  }
  return Chosen;
}

GossipQueue::Rank GossipQueue::rankOf(const std::string &Id,
                                      const Rumour &Value) {
  return {!Value.Removal, Value.Sent, Id};
}

void GossipQueue::lessen(const std::string &Id, bool ByOwnSend) {
  auto Found = Rumours.find(Id);
  if (Found == Rumours.end())
    return;
  Rumour &Value = Found->second;
  Order.erase(rankOf(Id, Value));
  --Value.Left;
  if (ByOwnSend)
    ++Value.Sent;
  if (Value.Left <= 0)
    Rumours.erase(Found);
  else
    Order.insert(rankOf(Id, Value));
}

} // namespace cyclamenwind
