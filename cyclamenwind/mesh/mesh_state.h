// MeshState: what this daemon believes about the mesh.
//
// The configuration in force, the backend servers, and the rollouts, with the
// versions of each. Services read it and are told of changes; store_sync.h and
// peer_sync.h keep it up to date. The configuration never goes back to an older
// revision in the life of a process.

#ifndef CYCLAMENWIND_MESH_MESH_STATE_H
#define CYCLAMENWIND_MESH_MESH_STATE_H

#include "cyclamenwind/base/kernel.h"
#include "cyclamenwind/mesh/config.h"
#include "cyclamenwind/mesh/endpoint_directory.h"
#include "cyclamenwind/mesh/rollout.h"

#include <vector>

namespace cyclamenwind {

// A service named "mesh_state".
class MeshState final : public Service {
public:
  std::string_view name() const override { return "mesh_state"; }
  void start(Kernel &TheKernel) override { Time = &TheKernel.clock(); }

  // Null before a configuration is known.
  const RouteTablePtr &routes() const { return Routes; }
  uint64_t configRevision() const { return Routes ? Routes->revision() : 0; }

  // When it was applied.
  TimePoint configAppliedAt() const { return AppliedAt; }

  // The configuration as the platform keeps it, for peers.
  const std::string &configText() const { return ConfigText; }

  // Takes a configuration; says whether it is newer than the one in force.
  bool apply(MeshConfig Config, std::string Text);

  const EndpointDirectory &directory() const { return Servers; }

  // Takes a record; says whether it changed anything.
  bool merge(const MeshEndpoint &Record);
  // The same for a record that the daemon beside the server sent itself.
  bool mergeFromOwner(const MeshEndpoint &Record);
  void remove(const std::string &Id);

  // The records of servers have been read in the life of this process, from the
  // platform or from a peer that has some.
  bool endpointsListed() const { return Listed; }
  void setListed();
  bool endpointsKnown() const { return Listed || PeerRecordsRead; }
  void setPeerRecordsRead();
  // Called at the first of these.
  void onEndpointsKnown(std::function<void()> Handler) {
    KnownHandlers.push_back(std::move(Handler));
  }

  RolloutTable &rollouts() { return Rollouts; }
  const RolloutTable &rollouts() const { return Rollouts; }

  // Daemons that take part, this one included.
  size_t daemons() const {
    return std::max<size_t>(1, Servers.daemonAddresses().size());
  }

  // A frame of Peer said that it has the configuration of Revision.
  void reportPeerRevision(const Address &Peer, uint64_t Revision) {
    if (Revision > configRevision())
      for (const auto &Each : BehindHandlers)
        Each(Peer);
  }
  void onNewerPeerRevision(std::function<void(const Address &Peer)> Handler) {
    BehindHandlers.push_back(std::move(Handler));
  }

  void onConfig(std::function<void()> Handler) {
    ConfigHandlers.push_back(std::move(Handler));
  }
  // The same with the configuration that was in force before; 0 if none was.
  void onConfigReplaced(std::function<void(uint64_t PreviousRevision,
                                           std::string_view PreviousText)>
                            Handler) {
    ReplacedHandlers.push_back(std::move(Handler));
  }
  void onEndpoint(std::function<void(const MeshEndpoint &)> Handler) {
    EndpointHandlers.push_back(std::move(Handler));
  }

private:
  void notifyKnown();
  void merged(const MeshEndpoint &Record);

  Clock *Time = nullptr;
  RouteTablePtr Routes;
  TimePoint AppliedAt;
  std::string ConfigText;
  EndpointDirectory Servers;
  RolloutTable Rollouts;
  bool Listed = false;
  bool PeerRecordsRead = false;
  bool KnownNotified = false;
  std::vector<std::function<void()>> KnownHandlers;
  std::vector<std::function<void(const Address &)>> BehindHandlers;
  std::vector<std::function<void()>> ConfigHandlers;
  std::vector<std::function<void(uint64_t, std::string_view)>> ReplacedHandlers;
  std::vector<std::function<void(const MeshEndpoint &)>> EndpointHandlers;
};

} // namespace cyclamenwind

#endif
