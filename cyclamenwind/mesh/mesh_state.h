// MeshState: this daemon's copy of the state of the mesh.
//
// Holds the applied configuration, the records of the backend servers and the
// rollouts, with the version of each. store_sync.h and peer_sync.h update it;
// services read it and register handlers for changes. Within one process the
// configuration never goes back to an older one, in the order of
// ConfigPosition.

#ifndef CYCLAMENWIND_MESH_MESH_STATE_H
#define CYCLAMENWIND_MESH_MESH_STATE_H

#include "cyclamenwind/base/kernel.h"
#include "cyclamenwind/mesh/config.h"
#include "cyclamenwind/mesh/endpoint_directory.h"
#include "cyclamenwind/mesh/evacuation_table.h"
#include "cyclamenwind/mesh/rollout.h"
#include "cyclamenwind/mesh/warmup_limiter.h"

#include <vector>

namespace cyclamenwind {

namespace wire {
class EvacuationState;
}

// How a daemon got a configuration.
enum class ConfigSource {
  Platform, // Read or watched.
  Relay,    // As a patch from a relay.
  Peer,     // Requested from a peer as a whole.
};

std::string_view nameOf(ConfigSource Source);

// A service named "mesh_state".
class MeshState final : public Service {
public:
  std::string_view name() const override { return "mesh_state"; }
  void start(Kernel &TheKernel) override { Time = &TheKernel.clock(); }

  // Null until a configuration is applied.
  const RouteTablePtr &routes() const { return Routes; }
  uint64_t configRevision() const { return Routes ? Routes->revision() : 0; }
  ConfigPosition configPosition() const {
    return Routes ? named(Routes->position()) : ConfigPosition();
  }
  // Position as messages to peers name it.
  ConfigPosition named(ConfigPosition Position) const {
    Position.NamesVersion = PlatformEpoch != 0;
    return Position;
  }

  // The restore epoch of the platform as this daemon knows it.
  uint64_t platformEpoch() const { return PlatformEpoch; }
  void setPlatformEpoch(uint64_t Epoch) { PlatformEpoch = Epoch; }

  // When this configuration was applied.
  TimePoint configAppliedAt() const { return AppliedAt; }

  // The text of the configuration as stored on the platform, to send to peers.
  const std::string &configText() const { return ConfigText; }

  // Applies Config if it is newer than the applied configuration; returns
  // whether it is.
  bool apply(MeshConfig Config, std::string Text,
             ConfigSource Source = ConfigSource::Platform);

  const EndpointDirectory &directory() const { return Endpoints; }

  // Merges Record into the directory; returns whether anything changed.
  bool merge(const MeshEndpoint &Record);
  // The same for a record sent by the server's own daemon.
  bool mergeFromOwner(const MeshEndpoint &Record);
  void remove(const std::string &Id);

  // Called when the daemon of the server Id says that it is cold.
  void reportWarmup(const std::string &Id, const ServerWarmup &Warmup) {
    for (const auto &Handler : WarmupHandlers)
      Handler(Id, Warmup);
  }
  void onWarmup(std::function<void(const std::string &Id, const ServerWarmup &)>
                    Handler) {
    WarmupHandlers.push_back(std::move(Handler));
  }

  // Whether this process has read the listing of server records from the
  // platform.
  bool endpointsListed() const { return EndpointsListed; }
  void setEndpointsListed();
  // Whether it has read that listing or received records from a peer that has
  // some.
  bool endpointsKnown() const { return EndpointsListed || PeerRecordsReceived; }
  void setPeerRecordsReceived();
  // Handler is called once, when endpointsKnown() becomes true.
  void onEndpointsKnown(std::function<void()> Handler) {
    EndpointsKnownHandlers.push_back(std::move(Handler));
  }

  RolloutTable &rollouts() { return Rollouts; }
  const RolloutTable &rollouts() const { return Rollouts; }

  const EvacuationTable &evacuations() const { return Evacuations; }
  void enableEvacuations() { Evacuations.enable(); }
  // Updates the table; the handlers are called if that changes it.
  void applyEvacuations(const StorePosition &At, std::set<std::string> Domains,
                        TimePoint Now);
  // The same for the table of a peer.
  void applyEvacuations(const wire::EvacuationState &Message, TimePoint Now);
  void expireEvacuations(TimePoint Now);
  // The table in the form that is sent to peers.
  wire::EvacuationState evacuationMessage() const;
  void onEvacuations(std::function<void()> Handler) {
    EvacuationHandlers.push_back(std::move(Handler));
  }

  // Number of daemons in the mesh, this one included.
  size_t daemons() const {
    return std::max<size_t>(1, Endpoints.daemonAddresses().size());
  }

  // Called when a frame from Peer carries the position of its configuration.
  void reportPeerRevision(const Address &Peer, const ConfigPosition &Position) {
    if (Position.newerThan(configPosition()))
      for (const auto &Handler : NewerRevisionHandlers)
        Handler(Peer);
  }
  // Handler is called when Peer reports a newer configuration than this
  // daemon's.
  void onNewerPeerRevision(std::function<void(const Address &Peer)> Handler) {
    NewerRevisionHandlers.push_back(std::move(Handler));
  }

  void onConfig(std::function<void()> Handler) {
    ConfigHandlers.push_back(std::move(Handler));
  }
  // The same; Handler gets the previous configuration. Its revision is 0 if
  // there was none.
  void onConfigReplaced(std::function<void(const ConfigPosition &Previous,
                                           std::string_view PreviousText)>
                            Handler) {
    ConfigReplacedHandlers.push_back(std::move(Handler));
  }
  void onEndpoint(std::function<void(const MeshEndpoint &)> Handler) {
    EndpointHandlers.push_back(std::move(Handler));
  }

private:
  void logReplacements();
  void notifyEndpointsKnown();
  void notifyEndpointChanged(const MeshEndpoint &Record);

  Clock *Time = nullptr;
  RouteTablePtr Routes;
  uint64_t PlatformEpoch = 0;
  TimePoint AppliedAt;
  std::string ConfigText;
  EndpointDirectory Endpoints;
  RolloutTable Rollouts;
  EvacuationTable Evacuations;
  std::vector<std::function<void()>> EvacuationHandlers;
  bool EndpointsListed = false;
  bool PeerRecordsReceived = false;
  bool EndpointsKnownNotified = false;
  std::vector<std::function<void()>> EndpointsKnownHandlers;
  std::vector<std::function<void(const Address &)>> NewerRevisionHandlers;
  std::vector<std::function<void()>> ConfigHandlers;
  std::vector<std::function<void(const ConfigPosition &, std::string_view)>>
      ConfigReplacedHandlers;
  std::vector<std::function<void(const MeshEndpoint &)>> EndpointHandlers;
  std::vector<std::function<void(const std::string &, const ServerWarmup &)>>
      WarmupHandlers;
};

} // namespace cyclamenwind

#endif
