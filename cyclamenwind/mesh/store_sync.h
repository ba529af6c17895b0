// StoreSync: synchronizes MeshState with the objects on the platform.
//
// Watches the operator's configuration and rollouts and the records of backend
// servers, publishes the records of the local backend servers, and writes the
// status of rollouts. Every write is conditional on the version that was read.
// After a write without an answer the object is read back to learn the outcome.
//
// A lost watch is detected when another call gets no answer, when a stream to a
// peer stops working, or when a peer has a newer configuration. A few daemons
// of each failure domain, its relays, watch records and rollouts by stale
// watches, which may be seconds late and cost a tenth of an ordinary watch.
// Relays send the changes to the other daemons, and so do the daemons that make
// the changes. Daemons that are not relays also list records and rollouts, at
// intervals that grow to PrefixWatchOptions::MaxListPeriod.
//
// The configuration is watched by a few of the relays, in different failure
// domains as far as possible; config_relay.h describes how it reaches the other
// daemons. A relay that cannot reach the platform says so, and the next daemon
// of its failure domain is a relay in its place.
//
// When the platform was restored from an older copy (store/client.h), all that
// was stored counts as unknown. The watches list again. Each daemon reads back
// the records of its own servers within RestoreSpread and writes again what is
// missing or older, departures included; records that it had removed it removes
// again. Rollouts keep their status (rollout.h); an order that may be of the
// copy does not replace a known one for RestoreGrace.
// docs/design/restore-epoch.md.
//
// Objects on the platform do not expire. The record of a server that left is
// removed by the daemon that published it; records of a host that died without
// deregistering are removed as peer_sync.h describes.

#ifndef CYCLAMENWIND_MESH_STORE_SYNC_H
#define CYCLAMENWIND_MESH_STORE_SYNC_H

#include "cyclamenwind/mesh/local_server_registry.h"
#include "cyclamenwind/mesh/mesh_state.h"
#include "cyclamenwind/store/prefix_watch.h"

#include <set>

namespace cyclamenwind {

// Defines the keys and the encoding of the operators' objects on the platform.
class MeshCodec {
public:
  virtual ~MeshCodec() = default;

  virtual std::string configPrefix() const = 0;
  virtual std::string configKey() const = 0;
  virtual std::string rolloutPrefix() const = 0;
  virtual std::string endpointPrefix() const = 0;
  virtual std::string evacuationPrefix() const = 0;

  // Returns nothing if Text is not a configuration. Revision is the object's
  // version.
  virtual std::optional<MeshConfig> config(const std::string &Text,
                                           uint64_t Revision) const = 0;
  // Returns nothing if Object holds no order.
  virtual std::optional<RolloutOrder>
  rolloutOrder(const PlatformObject &Object) const = 0;
  // Returns nothing if Object holds no valid status.
  virtual std::optional<RolloutStatus>
  rolloutStatus(const PlatformObject &Object) const = 0;
  virtual std::string formatRolloutStatus(const RolloutStatus &Value) const = 0;
};

// A service named "store_sync".
class StoreSync final : public Service, public EndpointPublisher {
public:
  // FirstStart: the whole mesh starts for the first time, so that the platform
  // holds no records yet and listings at the start may be seconds old.
  StoreSync(PlatformClient &Platform, const MeshCodec &Codec,
            std::string FailureDomain, bool FirstStart = false)
      : Platform(Platform), Codec(Codec),
        FailureDomain(std::move(FailureDomain)), FirstStart(FirstStart) {}

  std::string_view name() const override { return "store_sync"; }
  void start(Kernel &TheKernel) override;
  void stop() override;

  void publish(const MeshEndpoint &Record,
               std::function<void(bool Stored)> OnDone) override;
  void withdraw(const std::string &Id) override;
  size_t unwrittenDepartures() const override;

  // Removes the platform's record of a server that left or whose host is dead.
  void removeRecord(const std::string &Id);

  // Writes Next as the status of Service's rollout unless the object has
  // changed.
  void writeRollout(const std::string &Service, const RolloutStatus &Next);

  // Reads the configuration from the platform now.
  void readConfig();

  // Whether this daemon is one of the relays of its failure domain.
  bool isRelay() const;

  // Whether it is one of the relays that watch the configuration.
  bool isConfigWatcher() const;

  // Whether it is one as long as all daemons reach the platform.
  bool isFirstChoiceWatcher() const;

  // The relays of the other failure domains that are connected. Daemons of
  // AssumeConnected count as connected.
  std::vector<Address>
  remoteRelays(const std::set<Address> &AssumeConnected = {}) const;

  // Called when a relay's patch has given the configuration at Position.
  void onConfigPushed(const ConfigPosition &Position);

  // Called when a peer names the restore epoch that it knows. If it is higher
  // than the one known here, makes a call to the platform soon.
  void onEpochHeard(uint64_t Epoch);

  // Called after the platform was restored. Set by ConfigRelay.
  std::function<void()> OnRestored;

  // Returns whether relays keep this daemon's configuration up to date. Set by
  // ConfigRelay.
  std::function<bool()> ConfigIsRelayed;
  // Returns whether Peer has announced that it cannot reach the platform. Set
  // by ConfigRelay.
  std::function<bool(const Address &Peer)> CannotReachPlatform;
  // Returns whether a watcher or relay has announced that it cannot reach the
  // platform. Set by ConfigRelay.
  std::function<bool()> HearsOfOutage;
  // Called when configConfirmed() may have changed. Set by ConfigRelay.
  std::function<void()> OnConfigChecked;

  // Called when pending watches may be lost, for watches of other owners. Set
  // by EvacuationSync.
  std::function<void()> OnWatchesSuspect;

  // How this daemon learns of changes of the configuration now.
  WatchMode configWatchMode() const;

  // Whether the configuration watch cannot reach the platform.
  bool platformLost() const { return ConfigWatch && ConfigWatch->lost(); }

  const std::string &failureDomain() const { return FailureDomain; }

  // Decides anew whether this daemon has to watch the configuration.
  void reconsiderConfigWatch() {
    if (ConfigWatch)
      ConfigWatch->pollMode();
  }

  // The other daemons of this failure domain.
  std::set<Address> domainPeers() const;

  // Whether the watch has read its listing and its last call was answered.
  bool configReachable() const {
    return ConfigWatch && ConfigWatch->reachable();
  }
  // The same, and no call that is to show it is under way.
  bool configConfirmed() const {
    return configReachable() && !ConfigWatch->checking();
  }
  // Whether the configuration watch makes no calls.
  bool configWatchIdle() const { return !ConfigWatch || ConfigWatch->idle(); }
  bool endpointsReachable() const {
    return EndpointWatch && EndpointWatch->reachable();
  }

  // Whether both watches are reachable. A daemon that receives its
  // configuration from relays calls the platform only for records and rollouts.
  bool reachable() const { return configReachable() && endpointsReachable(); }

private:
  // The record of a local backend server and the state of its write.
  struct Publication {
    MeshEndpoint Record;
    bool Writing = false;
    int Failures = 0;
    std::vector<std::function<void(bool)>> Callbacks;
    TimerHandle Retry;
  };

  void revalidateWatches();
  void onPlatformError(PlatformError Error);
  void applyConfig(const PlatformObject &Object);
  void onRestored();
  void checkAfterRestore(const std::string &Id);
  void forgetRemovedRecords();
  void removeAgain(const std::string &Id);
  void callForEpoch(uint64_t Heard);
  void endRestoreGrace();
  void applyRollout(const PlatformObject &Object, uint64_t Epoch, bool Listed);
  void announceRollout(const PlatformObject &Object);
  void receiveRollout(const Address &From, std::string_view Payload);
  bool isStored(const MeshEndpoint &Record) const;
  void onRolloutChanged(const PlatformChange &Change);
  // The record that Object holds; nothing if it is not the record of the server
  // that its key names.
  std::optional<MeshEndpoint> recordOf(const PlatformObject &Object) const;
  void mergeEndpoint(const PlatformObject &Object);
  void onUnreadableRecord(const PlatformObject &Object);
  void writeAgain(const std::string &Id);
  void flushAnnouncements();
  void announceEndpoint(const PlatformObject &Object);
  std::map<std::string, std::vector<Address>>
  relayCandidates(const std::set<Address> &AssumeConnected = {},
                  bool IncludeUnreachable = false) const;
  bool isWatcherAmong(
      const std::map<std::string, std::vector<Address>> &Candidates) const;
  PrefixWatchOptions configWatchOptions();
  PrefixWatchOptions staleWatchOptions(const std::string &Prefix,
                                       Duration Collect,
                                       WatchMode NonRelayMode);
  void onEndpointsListed(const PlatformListing &Listing);
  void onEndpointRemoved(const std::string &Id);
  void write(const std::string &Id);
  void onWritten(const MeshEndpoint &Written,
                 Result<uint64_t, PlatformError> Outcome);
  void readBack(const std::string &Id);
  void retryLater(const std::string &Id);
  void scheduleRemoval(const std::string &Id);
  std::string endpointKey(const std::string &Id) const {
    return Codec.endpointPrefix() + Id;
  }

  PlatformClient &Platform;
  const MeshCodec &Codec;
  std::string FailureDomain;
  bool FirstStart;
  TimePoint StartedAt;
  Clock *Time = nullptr;
  Scheduler *Timers = nullptr;
  Random *Rng = nullptr;
  MeshState *State = nullptr;
  std::unique_ptr<PrefixWatch> ConfigWatch;
  std::unique_ptr<PrefixWatch> RolloutWatch;
  std::unique_ptr<PrefixWatch> EndpointWatch;
  // Records on the platform, as last read or written, by server id.
  struct StoredRecord {
    uint64_t Version = 0;
    std::optional<MeshEndpoint> Record; // Nothing if it is unreadable.
  };
  std::map<std::string, StoredRecord> Stored;
  // Rollouts on the platform, as last read or written, by key.
  std::map<std::string, PlatformObject> RolloutObjects;
  std::map<std::string, Publication> Publications;
  std::map<std::string, TimerHandle> Removals;
  // Records that this daemon removed from the platform within CopyAgeLimit.
  struct RemovedRecord {
    MeshEndpoint Record;
    TimePoint RemovedAt;
  };
  std::map<std::string, RemovedRecord> RemovedRecords;
  std::map<std::string, TimerHandle> RemovedChecks;
  // When a call was last made because a peer named a higher restore epoch.
  std::optional<TimePoint> EpochCallAt;
  TimerHandle EpochCallTimer;
  TimerHandle GraceTimer; // Set while orders may be of the copy.
  // Records to announce to peers in the next iteration of the event loop.
  std::vector<MeshEndpoint> PendingAnnouncements;
  std::shared_ptr<bool> Alive = std::make_shared<bool>(true);
  PeerTransport *Peers = nullptr;
};

} // namespace cyclamenwind

#endif
