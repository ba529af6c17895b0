#include "cyclamenwind/mesh/evacuation_table.h"

namespace cyclamenwind {
namespace {

// The operator writes its objects again within this time after a restore, as
// the platform's rules define.
constexpr Duration RestoreGrace = 10s;

} // namespace

bool EvacuationTable::update(const StorePosition &At,
                             std::set<std::string> NewDomains, TimePoint Now) {
  if (Received && !At.isNewerThan(Position))
    return false;
  if (Received && At.Epoch > Position.Epoch)
    for (const std::string &Domain : Domains)
      Retained.try_emplace(Domain, Now + RestoreGrace);
  for (const std::string &Domain : NewDomains)
    Retained.erase(Domain);
  Received = true;
  Position = At;
  Domains = std::move(NewDomains);
  return true;
}

bool EvacuationTable::expire(TimePoint Now) {
  return std::erase_if(Retained, [Now](const auto &Entry) {
           return Now >= Entry.second;
         }) > 0;
}

} // namespace cyclamenwind
