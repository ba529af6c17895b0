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

RouteTable::RouteTable(MeshConfig Given) : Config(std::move(Given)) {
  for (const MeshRoute &Each : Config.Routes)
    ByHost[normalizedHost(Each.Host)].push_back(&Each);
  for (auto &[Host, Routes] : ByHost)
    std::stable_sort(Routes.begin(), Routes.end(),
                     [](const MeshRoute *A, const MeshRoute *B) {
                       return A->PathPrefix.size() > B->PathPrefix.size();
                     });
}

const MeshRoute *RouteTable::match(std::string_view Host,
                                   std::string_view Path) const {
  auto Found = ByHost.find(normalizedHost(Host));
  if (Found == ByHost.end())
    return nullptr;
  for (const MeshRoute *Each : Found->second)
    if (Path.substr(0, Each->PathPrefix.size()) == Each->PathPrefix)
      return Each;
  return nullptr;
}

const MeshService *RouteTable::service(std::string_view Name) const {
  for (const MeshService &Each : Config.Services)
    if (Each.Name == Name)
      return &Each;
  return nullptr;
}

} // namespace cyclamenwind
