// StoreSync: what the mesh keeps on the platform.
//
// Follows the operator's configuration and rollouts and the records of backend
// servers, publishes the records of the servers beside this daemon, and writes
// the status of rollouts. Every write is conditional on the version that was
// read. A write without an answer is resolved by reading the object back.
//
// Lost waits are noticed by a call without an answer, or by peers that are
// ahead. A few daemons of
// each failure domain, its relays, wait for changes of records and rollouts, by
// watches that may be seconds late and cost a tenth, and tell the others, as do
// the daemons that make the changes; the others list them from time to time.
//
// Nothing on the platform expires. The record of a server that left is removed
// by the daemon that published it; that of a host that died without a word by
// whichever daemon notices (peer_sync.h).

#ifndef CYCLAMENWIND_MESH_STORE_SYNC_H
#define CYCLAMENWIND_MESH_STORE_SYNC_H

#include "cyclamenwind/mesh/local_server_registry.h"
#include "cyclamenwind/mesh/mesh_state.h"
#include "cyclamenwind/store/prefix_watch.h"

#include <set>

namespace cyclamenwind {

// Decodes what operators keep on the platform.
class MeshCodec {
public:
  virtual ~MeshCodec() = default;

  virtual std::string configPrefix() const = 0;
  virtual std::string configKey() const = 0;
  virtual std::string rolloutPrefix() const = 0;
  virtual std::string endpointPrefix() const = 0;

  // Nothing if Text is not a configuration. Revision is the object's version.
  virtual std::optional<MeshConfig> config(const std::string &Text,
                                           uint64_t Revision) const = 0;
  // Nothing if Object holds no order.
  virtual std::optional<RolloutOrder>
  rolloutOrder(const PlatformObject &Object) const = 0;
  virtual std::optional<RolloutStatus>
  rolloutStatus(const PlatformObject &Object) const = 0;
  virtual std::string formatRolloutStatus(const RolloutStatus &Value) const = 0;
};

// A service named "store_sync".
class StoreSync final : public Service, public EndpointPublisher {
public:
  StoreSync(PlatformClient &Platform, const MeshCodec &Codec,
            std::string FailureDomain)
      : Platform(Platform), Codec(Codec),
        FailureDomain(std::move(FailureDomain)) {}

  std::string_view name() const override { return "store_sync"; }
  void start(Kernel &TheKernel) override;
  void stop() override;

  void publish(const MeshEndpoint &Record,
               std::function<void(bool Stored)> OnDone) override;

  // Removes the record of a server that no daemon reaches.
  void removeRecord(const std::string &Id);

  // Writes the next status of Service's rollout, if its object is unchanged.
  void writeRollout(const std::string &Service, const RolloutStatus &Next);

  // Reads the configuration now.
  void readConfig();

  // Whether this daemon is one of those of its failure domain that wait for
  // changes on behalf of the others.
  bool isRelay() const;

  // A peer brought the configuration of Revision.
  void configPushed(uint64_t Revision);

  // Whether relays keep this daemon's configuration up to date.
  std::function<bool()> ConfigIsRelayed;

  // Other daemons of this failure domain.
  std::set<Address> domainPeers() const;

  // Whether the configuration is being followed.
  bool configReachable() const {
    return ConfigWatch && ConfigWatch->reachable();
  }
  bool endpointsReachable() const {
    return EndpointWatch && EndpointWatch->reachable();
  }

  // Whether the last calls for both were answered. A daemon whose configuration
  // comes from relays makes calls for records only.
  bool reachable() const { return configReachable() && endpointsReachable(); }

private:
  // One record of a server beside this daemon.
  struct Publication {
    MeshEndpoint Record;
    bool Writing = false;
    int Failures = 0;
    std::vector<std::function<void(bool)>> Waiting;
    TimerHandle Retry;
  };

  void revalidateWatches();
  void noteError(PlatformError Error);
  void takeConfig(const PlatformObject &Object);
  void takeRollout(const PlatformObject &Object);
  void announceRollout(const PlatformObject &Object);
  void receiveRollout(const Address &From, std::string_view Payload);
  bool isStored(const MeshEndpoint &Record) const;
  void rolloutChanged(const PlatformChange &Change);
  void takeEndpoint(const PlatformObject &Object);
  void flushAnnouncements();
  void announceEndpoint(const PlatformObject &Object);
  PrefixWatchOptions followingConfig();
  PrefixWatchOptions following(const std::string &Prefix, Duration Collect,
                               WatchMode OfOthers);
  void endpointsListed(const PlatformListing &Listing);
  void endpointRemoved(const std::string &Id);
  void write(const std::string &Id);
  void written(const std::string &Id, uint64_t Sequence, EndpointState State,
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
  Clock *Time = nullptr;
  Scheduler *Timers = nullptr;
  Random *Rng = nullptr;
  MeshState *State = nullptr;
  std::unique_ptr<PrefixWatch> ConfigWatch;
  std::unique_ptr<PrefixWatch> RolloutWatch;
  std::unique_ptr<PrefixWatch> EndpointWatch;
  // Records on the platform, as last seen or written.
  struct StoredRecord {
    uint64_t Version = 0;
    std::optional<MeshEndpoint> Record;
  };
  std::map<std::string, StoredRecord> Stored;
  // Rollouts on the platform, as last seen.
  std::map<std::string, PlatformObject> RolloutObjects;
  std::map<std::string, Publication> Publications;
  std::map<std::string, TimerHandle> Removals;
  // Records to tell the others of, in the next round of the loop.
  std::vector<MeshEndpoint> Announcing;
  std::shared_ptr<bool> Alive = std::make_shared<bool>(true);
  PeerTransport *Peers = nullptr;
};

} // namespace cyclamenwind

#endif
