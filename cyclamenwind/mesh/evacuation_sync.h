// EvacuationSync: keeps the table of evacuated failure domains up to date.
//
// The configuration watchers (store_sync.h) watch the operator's evacuations on
// the platform. They and the relays send the whole table to the daemons that
// they send the configuration to (config_relay.h), at each change and with each
// of their announcements. A daemon that hears of no relay watches the platform
// itself. The table of a peer that has a newer one replaces this daemon's,
// whoever sends it.
//
// Does nothing unless the settings enable evacuations.

#ifndef CYCLAMENWIND_MESH_EVACUATION_SYNC_H
#define CYCLAMENWIND_MESH_EVACUATION_SYNC_H

#include "cyclamenwind/mesh/config_relay.h"

namespace cyclamenwind {

// A service named "evacuation_sync".
class EvacuationSync final : public Service {
public:
  // EvacuationLimit: HostSettings::EvacuationLimit.
  EvacuationSync(PlatformClient &Platform, const MeshCodec &Codec,
                 std::optional<Duration> EvacuationLimit,
                 bool FirstStart = false)
      : Platform(Platform), Codec(Codec), EvacuationLimit(EvacuationLimit),
        FirstStart(FirstStart) {}

  std::string_view name() const override { return "evacuation_sync"; }
  void start(Kernel &TheKernel) override;
  void stop() override;

private:
  void onListed(const PlatformListing &Listing);
  void onChanged(const PlatformChange &Change);
  void applyPending();
  std::string domainOf(const std::string &Key) const;
  void receive(const Address &From, std::string_view Payload);
  void onTableChanged();
  void logUnknownDomains();
  void sendTo(const std::set<Address> &Receivers);

  PlatformClient &Platform;
  const MeshCodec &Codec;
  std::optional<Duration> EvacuationLimit;
  bool FirstStart;
  Clock *Time = nullptr;
  MeshState *State = nullptr;
  StoreSync *Store = nullptr;
  ConfigRelay *Relay = nullptr;
  PeerTransport *Peers = nullptr;
  Scheduler *Timers = nullptr;
  std::unique_ptr<PrefixWatch> Watch;
  // The set after the changes of a watch that are not in the table yet.
  std::optional<std::set<std::string>> Pending;
  std::set<std::string> LoggedUnknown;
  TimerHandle CheckTimer;
  std::shared_ptr<bool> Alive = std::make_shared<bool>(true);
};

} // namespace cyclamenwind

#endif
