#include "cyclamenwind/membership/gossip_queue.h"

#include <algorithm>
#include <cmath>

namespace cyclamenwind {
namespace {

constexpr double SendsPerLogMember = 1.5;
constexpr int MinSends = 3;

bool isRemoval(const Member &Record) {
  return Record.State != MemberState::Alive ||
         std::any_of(
             Record.Instances.begin(), Record.Instances.end(),
             [](const ServiceInstance &Instance) { return Instance.Draining; });
}

} // namespace

int gossipSends(size_t Members) {
  double Log = std::log(static_cast<double>(Members) + 1);
  return MinSends + static_cast<int>(std::ceil(SendsPerLogMember * Log));
}

void GossipQueue::add(const Member &Record, int Sends) {
  erase(Record.Id);
  PendingRecord &Added = Pending[Record.Id];
  Added = {isRemoval(Record), Sends, 0};
  Order.insert(rankOf(Record.Id, Added));
}

void GossipQueue::receivedDuplicate(const std::string &Id) {
  auto Found = Pending.find(Id);
  if (Found != Pending.end() && !Found->second.Removal)
    reduceSends(Id, false);
}

void GossipQueue::sent(const std::string &Id) { reduceSends(Id, true); }

void GossipQueue::erase(const std::string &Id) {
  auto Found = Pending.find(Id);
  if (Found == Pending.end())
    return;
  Order.erase(rankOf(Id, Found->second));
  Pending.erase(Found);
}

std::vector<std::string> GossipQueue::next(size_t Count) const {
  std::vector<std::string> Ids;
  for (const Rank &Entry : Order) {
    if (Ids.size() == Count)
      break;
    Ids.push_back(std::get<std::string>(Entry));
  }
  return Ids;
}

GossipQueue::Rank GossipQueue::rankOf(const std::string &Id,
                                      const PendingRecord &Record) {
  return {!Record.Removal, Record.TimesSent, Id};
}

void GossipQueue::reduceSends(const std::string &Id, bool ByOwnSend) {
  auto Found = Pending.find(Id);
  if (Found == Pending.end())
    return;
  PendingRecord &Record = Found->second;
  Order.erase(rankOf(Id, Record));
  --Record.SendsLeft;
  if (ByOwnSend)
    ++Record.TimesSent;
  if (Record.SendsLeft <= 0)
    Pending.erase(Found);
  else
    Order.insert(rankOf(Id, Record));
}

} // namespace cyclamenwind
