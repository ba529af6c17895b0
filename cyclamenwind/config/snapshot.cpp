#include "cyclamenwind/config/snapshot.h"

namespace cyclamenwind {
namespace {

std::string_view withoutTrailingSlash(std::string_view Path) {
  if (Path.ends_with('/'))
    Path.remove_suffix(1);
  return Path;
}

const RouteSpec *routeForMethod(const std::vector<const RouteSpec *> &Routes,
                                std::string_view Method) {
  const RouteSpec *AnyMethod = nullptr;
  for (const RouteSpec *Route : Routes) {
    if (Route->Method == Method)
      return Route;
    if (Route->Method.empty())
      AnyMethod = Route;
  }
  return AnyMethod;
}

} // namespace

Snapshot::Snapshot(Envelope Parsed, std::string Text)
    : TheEnvelope(std::move(Parsed)), Text(std::move(Text)),
      Digest(digestOf(this->Text)) {
  for (const ServiceSpec &Service : document().Services)
    Services[Service.Name] = &Service;
  for (const RouteSpec &Route : document().Routes)
    Routes[withoutTrailingSlash(Route.PathPrefix)].push_back(&Route);
}

const RouteSpec *Snapshot::route(std::string_view Method,
                                 std::string_view Path) const {
  std::string_view Prefix = withoutTrailingSlash(Path);
  for (;;) {
    auto Found = Routes.find(Prefix);
    if (Found != Routes.end())
      if (const RouteSpec *Route = routeForMethod(Found->second, Method))
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
