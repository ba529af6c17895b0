// PeerSync: exchanges state with peers, as a second source in addition to the
// platform.
//
// Daemons announce changes of their local backend servers to each other. Each
// forwarded request and each reply carries the revision of its sender's
// configuration; a daemon with an older revision that watches the platform
// reads the newer configuration there and, if that gives none, requests it from
// the sender; any other daemon requests it from the sender at once. A daemon
// that cannot read the platform requests the whole state of a peer once a
// second. Each daemon keeps streams open to all known daemons, so that peers
// reach a restarted process even while the platform is unreachable.
//
// A daemon that was restarted asks a few peers for the records of its own
// servers: the earlier process may have told them of a departure that it did
// not write to the platform (local_server_registry.h).
//
// A host that has been unreachable for RemoveAfter is treated as dead: the
// daemon with the lowest address removes its records from the platform. If the
// host is alive after all, its daemon writes its records again (store_sync.h).

#ifndef CYCLAMENWIND_MESH_PEER_SYNC_H
#define CYCLAMENWIND_MESH_PEER_SYNC_H

#include "cyclamenwind/mesh/mesh_state.h"
#include "cyclamenwind/mesh/store_sync.h"
#include "cyclamenwind/peer/transport.h"

namespace cyclamenwind {

// A service named "peer_sync".
class PeerSync final : public Service {
public:
  // FirstStart: the whole mesh starts for the first time, so that peers have no
  // records yet.
  explicit PeerSync(const MeshCodec &Codec, bool FirstStart = false)
      : Codec(Codec), FirstStart(FirstStart) {}

  std::string_view name() const override { return "peer_sync"; }
  void start(Kernel &TheKernel) override;
  void stop() override;

private:
  // The stream to a daemon and the attempts to open it.
  struct StreamState {
    TimePoint LastConnected;
    TimePoint NextAttempt;
    int Attempts = 0;
  };

  void receiveAnnounce(const Address &From, std::string_view Payload);
  void receivePull(const Address &From, std::string_view Payload);
  void receiveState(const Address &From, std::string_view Payload);
  void pull(const Address &From);
  void scheduleCatchUp(const Address &Peer);
  void tick();
  void pullAtStart();
  void pullOwnRecords();
  void maintainStreams();
  void maintainStream(const Address &Daemon);
  std::vector<Address> pullCandidates() const;
  void removeDeadEndpoints(TimePoint Now);

  const MeshCodec &Codec;
  bool FirstStart;
  Clock *Time = nullptr;
  Scheduler *Timers = nullptr;
  Random *Rng = nullptr;
  MeshState *State = nullptr;
  StoreSync *Store = nullptr;
  PeerTransport *Peers = nullptr;
  std::map<Address, StreamState> Streams;
  TimePoint LastTickAt;
  // Start of this process, or end of its last pause. The time before does not
  // count towards RemoveAfter: this process may have received nothing.
  TimePoint ObservedSince;
  TimerHandle TickTimer;
  TimerHandle StartTimer;
  TimePoint StartedAt;
  std::set<Address> AskedForOwnRecords;
  TimerHandle OwnRecordsTimer;
  TimerHandle CatchUpTimer;
};

} // namespace cyclamenwind

#endif
