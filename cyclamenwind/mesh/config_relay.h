// ConfigRelay: how the configuration gets from a failure domain's relays to its
// other daemons.
//
// A few daemons of each failure domain, its relays (store_sync.h), wait for a
// new configuration on the platform. The first of them sends each change to the
// others as a patch of the configuration before it. Every relay that reaches
// the platform says from time to time, and at each change, which revision it
// has: a daemon that hears of no relay waits for changes itself, and one that
// missed a patch finds itself behind and asks (peer_sync.h).

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
  void stop() override { Ticker.reset(); }

private:
  void configChanged(uint64_t PreviousRevision, std::string_view PreviousText);
  void tick();
  void push(const std::string &Patch, uint64_t BaseRevision);
  void receive(const Address &From, std::string_view Payload);
  bool relaysNow() const;
  bool heardWithin(Duration Span) const;
  bool heardEarlierRelay() const;

  const MeshCodec &Codec;
  Clock *Time = nullptr;
  MeshState *State = nullptr;
  StoreSync *Store = nullptr;
  PeerTransport *Peers = nullptr;
  // When each relay of this failure domain was last heard of.
  std::map<Address, TimePoint> Heard;
  TimerHandle Ticker;
};

} // namespace cyclamenwind

#endif
