// ResponseSizes: moving averages of the sizes of responses, by route.

#ifndef CYCLAMENWIND_MESH_RESPONSE_SIZES_H
#define CYCLAMENWIND_MESH_RESPONSE_SIZES_H

#include "cyclamenwind/mesh/config.h"

#include <algorithm>
#include <map>
#include <string>

namespace cyclamenwind {

class ResponseSizes {
public:
  // Counts a response of Bytes to a request of the route named Route.
  void count(const std::string &Route, size_t Bytes) {
    auto [Position, IsNew] = Means.emplace(Route, static_cast<double>(Bytes));
    if (!IsNew)
      Position->second +=
          NewestWeight * (static_cast<double>(Bytes) - Position->second);
  }

  // Mean size in bytes; zero if no response was counted.
  double mean(const std::string &Route) const {
    auto Found = Means.find(Route);
    return Found == Means.end() ? 0 : Found->second;
  }

  // Forgets the routes that are not in Config.
  void retain(const MeshConfig &Config) {
    std::erase_if(Means, [&Config](const auto &Entry) {
      return std::none_of(Config.Routes.begin(), Config.Routes.end(),
                          [&Entry](const MeshRoute &Route) {
                            return Route.Name == Entry.first;
                          });
    });
  }

private:
  static constexpr double NewestWeight = 0.1; // Of the newest response.

  std::map<std::string, double> Means;
};

} // namespace cyclamenwind

#endif
