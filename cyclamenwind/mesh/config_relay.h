// ConfigRelay: sends the configuration from the few daemons that watch it on
// the platform to all others.
//
// The configuration watchers (store_sync.h) send each change as a patch of the
// previous configuration to the relays of the other failure domains. In each
// failure domain, the relay with the lowest address sends it to the other
// daemons. Watchers and relays announce their revision and its source every
// AnnouncePeriod and at each change.
//
// A relay that hears from no watcher within RelayTimeout, and any other daemon
// that hears from no relay, watches the platform itself; one that missed a
// patch sees that its revision is older and requests the configuration
// (peer_sync.h). Patches written to a stream that is lost may not have arrived,
// so a relay announces its revision again to the peer of a lost stream.
//
// A watcher or relay that cannot reach the platform says so at once and is
// replaced. The platform may turn it away and serve others: every daemon that
// hears of it, and of no watcher or relay that is up to date, calls the
// platform itself. Those that fail retry slowly, since in an outage all of them
// would call.
//
// Announcements name the position of the configuration (config_position.h) and
// the restore epoch of the platform; a daemon that makes no calls learns of a
// restore from them.

#ifndef CYCLAMENWIND_MESH_CONFIG_RELAY_H
#define CYCLAMENWIND_MESH_CONFIG_RELAY_H

#include "cyclamenwind/mesh/mesh_state.h"
#include "cyclamenwind/mesh/store_sync.h"
#include "cyclamenwind/peer/transport.h"
#include "cyclamenwind/wire/gen-cpp/mesh_types.h"

namespace cyclamenwind {

// A service named "config_relay".
class ConfigRelay final : public Service {
public:
  explicit ConfigRelay(const MeshCodec &Codec) : Codec(Codec) {}

  std::string_view name() const override { return "config_relay"; }
  void start(Kernel &TheKernel) override;
  void stop() override {
    *Alive = false;
    AnnounceTimer.reset();
    OwnWatchTimer.reset();
  }

  // The daemons that this one sends the configuration to; none if it is neither
  // watcher nor relay.
  std::set<Address> receivers() const;

  // Called after each announcement with those that were sent one. Set by
  // EvacuationSync.
  std::function<void(const std::set<Address> &Receivers)> OnAnnounced;

private:
  void configChanged(const ConfigPosition &Previous,
                     std::string_view PreviousText);
  void tick();
  void announceChange();
  void scheduleOwnWatch();
  wire::ConfigPush announcement(wire::RelaySource::type Source) const;
  void push(const std::string &Patch, const ConfigPosition &Base);
  void receive(const Address &From, std::string_view Payload);
  void peerDisconnected(const Address &Peer, PeerDisconnect Reason);
  void announceTo(const std::set<Address> &Receivers);
  bool isRelayed() const;
  bool hasTakenOver() const;
  bool hearsOfOutage() const;
  bool hasEarlierRelay() const;
  std::optional<wire::RelaySource::type> source() const;

  const MeshCodec &Codec;
  Clock *Time = nullptr;
  Scheduler *Timers = nullptr;
  MeshState *State = nullptr;
  StoreSync *Store = nullptr;
  Random *Rng = nullptr;
  PeerTransport *Peers = nullptr;
  struct Announcement {
    TimePoint ReceivedAt;
    wire::RelaySource::type Source;
  };
  // The last announcement of each watcher and relay.
  std::map<Address, Announcement> LastAnnounced;
  // What was announced last.
  std::optional<wire::RelaySource::type> LastSource;
  TimerHandle AnnounceTimer;
  TimerHandle OwnWatchTimer;
  // Peers whose stream was lost and that get an announcement in the next
  // iteration of the event loop.
  std::set<Address> LostStreams;
  std::shared_ptr<bool> Alive = std::make_shared<bool>(true);
};

} // namespace cyclamenwind

#endif
