#include "cyclamenwind/mesh/mesh_state.h"

#include "cyclamenwind/base/log.h"

#include <utility>

namespace cyclamenwind {

bool MeshState::apply(MeshConfig Config, std::string Text) {
  if (Routes && Config.Revision <= Routes->revision())
    return false;
  logInfo("config_applied", {{"revision", Config.Revision},
                             {"version", Config.Version},
                             {"previous", configRevision()},
                             {"routes", Config.Routes.size()}});
  uint64_t PreviousRevision = configRevision();
  std::string PreviousText = std::exchange(ConfigText, std::move(Text));
  Routes = std::make_shared<const RouteTable>(std::move(Config));
  if (Time != nullptr)
    AppliedAt = Time->now();
  for (const auto &Each : ConfigHandlers)
    Each();
  for (const auto &Each : ReplacedHandlers)
    Each(PreviousRevision, PreviousText);
  return true;
}

bool MeshState::merge(const MeshEndpoint &Record) {
  if (!Servers.merge(Record))
    return false;
  merged(Record);
  return true;
}

bool MeshState::mergeFromOwner(const MeshEndpoint &Record) {
  if (!Servers.mergeFromOwner(Record))
    return false;
  merged(Record);
  return true;
}

void MeshState::merged(const MeshEndpoint &Record) {
  logInfo("endpoint_changed", {{"server", Record.Id},
                               {"service", Record.Service},
                               {"version", Record.Version},
                               {"state", nameOf(Record.State)},
                               {"sequence", Record.Sequence},
                               {"gate", Record.DaemonAddress.text()}});
  for (const auto &Each : EndpointHandlers)
    Each(Record);
}

void MeshState::setListed() {
  Listed = true;
  notifyKnown();
}

void MeshState::setPeerRecordsRead() {
  PeerRecordsRead = true;
  notifyKnown();
}

void MeshState::notifyKnown() {
  if (KnownNotified)
    return;
  KnownNotified = true;
  for (const auto &Each : KnownHandlers)
    Each();
}

void MeshState::remove(const std::string &Id) {
  if (Servers.find(Id) == nullptr)
    return;
  logInfo("endpoint_removed", {{"server", Id}});
  Servers.remove(Id);
}

} // namespace cyclamenwind
