#include "cyclamenwind/membership/endpoints.h"

#include <algorithm>

namespace cyclamenwind {

void EndpointIndex::replace(const Member *Old, const Member &New) {
  if (Old != nullptr)
    remove(*Old);
  if (New.reachable())
    add(New);
}

const std::vector<Endpoint> &
EndpointIndex::of(const std::string &Service) const {
  static const std::vector<Endpoint> None;
  auto Found = ByService.find(Service);
  return Found == ByService.end() ? None : Found->second;
}

void EndpointIndex::remove(const Member &Record) {
  for (const ServiceInstance &Each : Record.Instances) {
    auto Found = ByService.find(Each.Service);
    if (Found == ByService.end())
      continue;
    std::erase_if(Found->second, [&Record](const Endpoint &Known) {
      return Known.MemberId == Record.Id;
    });
    if (Found->second.empty())
      ByService.erase(Found);
  }
}

void EndpointIndex::add(const Member &Record) {
  for (const ServiceInstance &Each : Record.Instances) {
    if (Each.Draining)
      continue;
    std::vector<Endpoint> &List = ByService[Each.Service];
    auto Position =
        std::upper_bound(List.begin(), List.end(), Record.Id,
                         [](const std::string &Id, const Endpoint &Known) {
                           return Id < Known.MemberId;
                         });
    List.insert(Position,
                {Record.Id, Record.Peer, Record.FailureDomain, Each.Version,
                 Each.Slots, Record.State == MemberState::Suspect});
  }
}

} // namespace cyclamenwind
