#include "cyclamenwind/mesh/mesh_state.h"

#include "cyclamenwind/base/log.h"
#include "cyclamenwind/base/names.h"
#include "cyclamenwind/wire/gen-cpp/mesh_types.h"

#include <utility>

namespace cyclamenwind {
namespace {

constexpr std::array<EnumName<ConfigSource>, 3> ConfigSourceNames = {{
    {ConfigSource::Platform, "platform"},
    {ConfigSource::Relay, "relay"},
    {ConfigSource::Peer, "peer"},
}};

} // namespace

std::string_view nameOf(ConfigSource Source) {
  return nameIn(ConfigSourceNames, Source);
}

bool MeshState::apply(MeshConfig Config, std::string Text,
                      ConfigSource Source) {
  ConfigPosition Previous = configPosition();
  ConfigPosition Next{Config.Epoch, Config.Revision, Config.Version};
  if (Routes && !Next.newerThan(Previous)) {
    if (Next.Epoch > Previous.Epoch)
      logInfo("config_of_copy_ignored", {{"epoch", Next.Epoch},
                                         {"revision", Next.Revision},
                                         {"version", Next.Version},
                                         {"applied", Previous.Version}});
    return false;
  }
  logInfo("config_applied", {{"revision", Config.Revision},
                             {"epoch", Config.Epoch},
                             {"version", Config.Version},
                             {"previous", configRevision()},
                             {"source", nameOf(Source)},
                             {"routes", Config.Routes.size()}});
  std::string PreviousText = std::exchange(ConfigText, std::move(Text));
  Routes = std::make_shared<const RouteTable>(std::move(Config));
  if (Time != nullptr)
    AppliedAt = Time->now();
  Endpoints.setServices(Routes->serviceNames());
  logReplacements();
  for (const auto &Handler : ConfigHandlers)
    Handler();
  for (const auto &Handler : ConfigReplacedHandlers)
    Handler(Previous, PreviousText);
  return true;
}

void MeshState::logReplacements() {
  for (const EndpointDirectory::Replacement &Change :
       Endpoints.takeReplacements())
    logInfo(Change.Successor.empty() ? "server_replacement_ended"
                                     : "server_replaced",
            {{"server", Change.Id}, {"by", Change.Successor}});
}

bool MeshState::merge(const MeshEndpoint &Record) {
  bool Changed = Endpoints.merge(Record);
  logReplacements();
  if (Changed)
    notifyEndpointChanged(Record);
  return Changed;
}

bool MeshState::mergeFromOwner(const MeshEndpoint &Record) {
  bool Changed = Endpoints.mergeFromOwner(Record);
  logReplacements();
  if (Changed)
    notifyEndpointChanged(Record);
  return Changed;
}

void MeshState::notifyEndpointChanged(const MeshEndpoint &Record) {
  logInfo("endpoint_changed", {{"server", Record.Id},
                               {"service", Record.Service},
                               {"version", Record.Version},
                               {"state", nameOf(Record.State)},
                               {"sequence", Record.Sequence},
                               {"gate", Record.DaemonAddress.text()}});
  for (const auto &Handler : EndpointHandlers)
    Handler(Record);
}

void MeshState::applyEvacuations(const StorePosition &At,
                                 std::set<std::string> Domains, TimePoint Now) {
  bool WasKnown = Evacuations.isKnown();
  std::set<std::string> Previous = Evacuations.stored();
  if (!Evacuations.enabled() ||
      !Evacuations.update(At, std::move(Domains), Now))
    return;
  if (!WasKnown || Previous != Evacuations.stored()) {
    std::string Names;
    for (const std::string &Domain : Evacuations.stored())
      Names += (Names.empty() ? "" : ",") + Domain;
    logInfo(
        "evacuations_changed",
        {{"epoch", At.Epoch}, {"revision", At.Revision}, {"domains", Names}});
  }
  for (const auto &Handler : EvacuationHandlers)
    Handler();
}

void MeshState::applyEvacuations(const wire::EvacuationState &Message,
                                 TimePoint Now) {
  if (Message.epoch < 0 || Message.revision < 0) {
    logWarning("evacuations_malformed",
               {{"epoch", Message.epoch}, {"revision", Message.revision}});
    return;
  }
  applyEvacuations({static_cast<uint64_t>(Message.epoch),
                    static_cast<uint64_t>(Message.revision)},
                   {Message.domains.begin(), Message.domains.end()}, Now);
}

void MeshState::expireEvacuations(TimePoint Now) {
  if (!Evacuations.expire(Now))
    return;
  logInfo("evacuations_expired", {{"epoch", Evacuations.position().Epoch}});
  for (const auto &Handler : EvacuationHandlers)
    Handler();
}

wire::EvacuationState MeshState::evacuationMessage() const {
  wire::EvacuationState Message;
  Message.epoch = static_cast<int64_t>(Evacuations.position().Epoch);
  Message.revision = static_cast<int64_t>(Evacuations.position().Revision);
  Message.domains.assign(Evacuations.stored().begin(),
                         Evacuations.stored().end());
  return Message;
}

void MeshState::setEndpointsListed() {
  EndpointsListed = true;
  notifyEndpointsKnown();
}

void MeshState::setPeerRecordsReceived() {
  PeerRecordsReceived = true;
  notifyEndpointsKnown();
}

void MeshState::notifyEndpointsKnown() {
  if (EndpointsKnownNotified)
    return;
  EndpointsKnownNotified = true;
  for (const auto &Handler : EndpointsKnownHandlers)
    Handler();
}

void MeshState::remove(const std::string &Id) {
  if (Endpoints.find(Id) == nullptr)
    return;
  logInfo("endpoint_removed", {{"server", Id}});
  Endpoints.remove(Id);
}

} // namespace cyclamenwind
