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
EndpointIndex::endpointsOf(const std::string &Service) const {
  static const std::vector<Endpoint> None;
  auto Found = ByService.find(Service);
  return Found == ByService.end() ? None : Found->second;
}

void EndpointIndex::remove(const Member &Record) {
  for (const ServiceInstance &Instance : Record.Instances) {
    auto Found = ByService.find(Instance.Service);
    if (Found == ByService.end())
      continue;
    std::erase_if(Found->second, [&Record](const Endpoint &Entry) {
      return Entry.MemberId == Record.Id;
    });
    if (Found->second.empty())
      ByService.erase(Found);
  }
}

void EndpointIndex::add(const Member &Record) {
  for (const ServiceInstance &Instance : Record.Instances) {
    if (Instance.Draining)
      continue;
    std::vector<Endpoint> &List = ByService[Instance.Service];
    auto Position =
        std::upper_bound(List.begin(), List.end(), Record.Id,
                         [](const std::string &Id, const Endpoint &Entry) {
                           return Id < Entry.MemberId;
                         });
    List.insert(Position,
                {Record.Id, Record.Peer, Record.FailureDomain, Instance.Version,
                 Instance.Slots, Record.State == MemberState::Suspect});
  }
}

} // namespace cyclamenwind
