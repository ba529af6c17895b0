#include "cyclamenwind/config/snapshot.h"

namespace cyclamenwind {
namespace {

std::string_view withoutTrailingSlash(std::string_view Path) {
  if (Path.ends_with('/'))
    Path.remove_suffix(1);
  return Path;
}

const RouteSpec *forMethod(const std::vector<const RouteSpec *> &Routes,
                           std::string_view Method) {
  const RouteSpec *Any = nullptr;
  for (const RouteSpec *Each : Routes) {
    if (Each->Method == Method)
      return Each;
    if (Each->Method.empty())
      Any = Each;
  }
  return Any;
}

} // namespace

Snapshot::Snapshot(Envelope Parsed, std::string Text)
    : TheEnvelope(std::move(Parsed)), Text(std::move(Text)),
      Digest(digestOf(this->Text)) {
  for (const ServiceSpec &Each : document().Services)
    Services[Each.Name] = &Each;
  for (const RouteSpec &Each : document().Routes)
    Routes[withoutTrailingSlash(Each.PathPrefix)].push_back(&Each);
}

const RouteSpec *Snapshot::route(std::string_view Method,
                                 std::string_view Path) const {
  std::string_view Prefix = withoutTrailingSlash(Path);
  for (;;) {
    auto Found = Routes.find(Prefix);
    if (Found != Routes.end())
      if (const RouteSpec *Route = forMethod(Found->second, Method))
        return Route;
    if (Prefix.empty())
      return nullptr;
    size_t Slash = Prefix.rfind('/');
    Prefix = Prefix.substr(0, Slash == std::string_view::npos ? 0 : Slash);
  }
}

const ServiceSpec *Snapshot::service(std::string_view Name) const {
  auto Found = Services.find(Name);
  return Found == Services.end() ? nullptr : Found->second;
}

} // namespace cyclamenwind
