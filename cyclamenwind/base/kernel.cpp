#include "cyclamenwind/base/kernel.h"

#include <cstdio>
#include <cstdlib>

namespace cyclamenwind {

void Kernel::add(std::unique_ptr<Service> Added) {
  auto [Position, Inserted] =
      ByName.emplace(std::string(Added->name()), Added.get());
  if (!Inserted)
    fail(Position->first);
  Services.push_back(std::move(Added));
}

void Kernel::start() {
  Started = true;
  for (const std::unique_ptr<Service> &Each : Services)
    Each->start(*this);
}

void Kernel::stop() {
  if (!Started)
    return;
  Started = false;
  for (auto Each = Services.rbegin(); Each != Services.rend(); ++Each)
    (*Each)->stop();
}

Service *Kernel::lookup(std::string_view Name) const {
  auto Found = ByName.find(Name);
  return Found == ByName.end() ? nullptr : Found->second;
}

void Kernel::fail(std::string_view Name) {
  std::fprintf(stderr,
               "event=service_lookup_failed service=%.*s cause=\"missing, "
               "registered twice or of another type\"\n",
               static_cast<int>(Name.size()), Name.data());
  std::abort();
}

} // namespace cyclamenwind
