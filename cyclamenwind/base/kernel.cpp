#include "cyclamenwind/base/kernel.h"

#include <cstdio>
#include <cstdlib>

namespace cyclamenwind {

void Kernel::add(std::unique_ptr<Service> NewService) {
  auto [Position, Inserted] =
      ByName.emplace(std::string(NewService->name()), NewService.get());
  if (!Inserted)
    fail(Position->first);
  Services.push_back(std::move(NewService));
}

void Kernel::start() {
  Started = true;
  for (const std::unique_ptr<Service> &TheService : Services)
    TheService->start(*this);
}

void Kernel::stop() {
  if (!Started)
    return;
  Started = false;
  for (auto Position = Services.rbegin(); Position != Services.rend();
       ++Position)
    (*Position)->stop();
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
