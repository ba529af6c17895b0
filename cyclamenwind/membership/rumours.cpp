#include "cyclamenwind/membership/rumours.h"

#include <algorithm>
#include <cmath>

namespace cyclamenwind {
namespace {

constexpr double SendsPerLogMember = 1.5;
constexpr int MinSends = 3;

bool takesOutOfUse(const Member &Record) {
  return Record.State != MemberState::Alive ||
         std::any_of(Record.Offers.begin(), Record.Offers.end(),
                     [](const Offer &Each) { return Each.Draining; });
}

} // namespace

int rumourSends(size_t Members) {
  double Log = std::log(static_cast<double>(Members) + 1);
  return MinSends + static_cast<int>(std::ceil(SendsPerLogMember * Log));
}

void RumourQueue::add(const Member &Record, int Sends) {
  erase(Record.Id);
  Rumour &Added = Rumours[Record.Id];
  Added = {takesOutOfUse(Record), Sends, 0};
  Order.insert(rankOf(Record.Id, Added));
}

void RumourQueue::heardAgain(const std::string &Id) {
  auto Found = Rumours.find(Id);
  if (Found != Rumours.end() && !Found->second.Removal)
    lessen(Id, false);
}

void RumourQueue::sent(const std::string &Id) { lessen(Id, true); }

void RumourQueue::erase(const std::string &Id) {
  auto Found = Rumours.find(Id);
  if (Found == Rumours.end())
    return;
  Order.erase(rankOf(Id, Found->second));
  Rumours.erase(Found);
}

std::vector<std::string> RumourQueue::next(size_t Count) const {
  std::vector<std::string> Chosen;
  for (const Rank &Each : Order) {
    if (Chosen.size() == Count)
      break;
    Chosen.push_back(std::get<std::string>(Each));
  }
  return Chosen;
}

RumourQueue::Rank RumourQueue::rankOf(const std::string &Id,
                                      const Rumour &Value) {
  return {!Value.Removal, Value.Sent, Id};
}

void RumourQueue::lessen(const std::string &Id, bool ByOwnSend) {
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
