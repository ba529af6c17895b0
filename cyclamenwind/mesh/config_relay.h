// ConfigRelay: sends the configuration from the relays of a failure domain to
// its other daemons.
//
// The relays of a failure domain (store_sync.h) watch the configuration on the
// platform. The relay with the lowest address sends each change to the other
// daemons as a patch of the previous configuration. Every relay that reaches
// the platform announces its revision every AnnouncePeriod and at each change.
// A daemon that receives no announcement within RelayTimeout watches the
// platform itself; one that missed a patch sees that its revision is older and
// requests the configuration (peer_sync.h).

#ifndef CYCLAMENWIND_MESH_CONFIG_RELAY_H
#define CYCLAMENWIND_MESH_CONFIG_RELAY_H

#include "cyclamenwind/mesh/mesh_state.h"
#include "cyclamenwind/mesh/store_sync.h"
#include "cyclamenwind/peer/transport.h"

namespace cyclamenwind {

// A service named "config_relay".
class ConfigRelay final : public Service {
public:
  explicit ConfigRelay(const MeshCodec &Codec) : Codec(Codec) {}

  std::string_view name() const override { return "config_relay"; }
  void start(Kernel &TheKernel) override;
  void stop() override { AnnounceTimer.reset(); }

private:
  void configChanged(uint64_t PreviousRevision, std::string_view PreviousText);
  void tick();
  void push(const std::string &Patch, uint64_t BaseRevision);
  void receive(const Address &From, std::string_view Payload);
  bool isActiveRelay() const;
  bool relayAnnouncedWithin(Duration Span) const;
  bool hasEarlierRelay() const;

  const MeshCodec &Codec;
  Clock *Time = nullptr;
  MeshState *State = nullptr;
  StoreSync *Store = nullptr;
  PeerTransport *Peers = nullptr;
  // When the last announcement of each relay of this failure domain arrived.
  std::map<Address, TimePoint> LastAnnounced;
  TimerHandle AnnounceTimer;
};

} // namespace cyclamenwind

#endif
