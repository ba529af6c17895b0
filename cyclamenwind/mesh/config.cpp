#include "cyclamenwind/mesh/config.h"

#include <algorithm>
#include <cctype>

namespace cyclamenwind {
namespace {

std::string normalizedHost(std::string_view Host) {
  std::string Name(Host.substr(0, Host.find(':')));
  std::transform(Name.begin(), Name.end(), Name.begin(),
                 [](unsigned char C) { return std::tolower(C); });
  return Name;
}

} // namespace

RouteTable::RouteTable(MeshConfig NewConfig) : Config(std::move(NewConfig)) {
  for (const MeshRoute &Route : Config.Routes) {
    RoutesByHost[normalizedHost(Route.Host)].push_back(&Route);
    if (Route.Uploads)
      for (const WeightedService &Target : Route.Targets)
        UploadServices.insert(Target.Service);
  }
  for (auto &[Host, Routes] : RoutesByHost)
    std::stable_sort(Routes.begin(), Routes.end(),
                     [](const MeshRoute *A, const MeshRoute *B) {
                       return A->PathPrefix.size() > B->PathPrefix.size();
                     });
}

const MeshRoute *RouteTable::match(std::string_view Host,
                                   std::string_view Path) const {
  auto Found = RoutesByHost.find(normalizedHost(Host));
  if (Found == RoutesByHost.end())
    return nullptr;
  for (const MeshRoute *Route : Found->second)
    if (Path.substr(0, Route->PathPrefix.size()) == Route->PathPrefix)
      return Route;
  return nullptr;
}

const MeshService *RouteTable::service(std::string_view Name) const {
  for (const MeshService &Service : Config.Services)
    if (Service.Name == Name)
      return &Service;
  return nullptr;
}

std::set<std::string> RouteTable::serviceNames() const {
  std::set<std::string> Names;
  for (const MeshService &Service : Config.Services)
    Names.insert(Service.Name);
  for (const MeshRoute &Route : Config.Routes)
    for (const WeightedService &Target : Route.Targets)
      Names.insert(Target.Service);
  return Names;
}

} // namespace cyclamenwind
