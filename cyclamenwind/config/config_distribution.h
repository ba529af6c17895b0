// ConfigDistribution: receives the accepted document and passes it on to other
// daemons.
//
// In each failure domain a few daemons are relays: they hold leases on the
// platform's store, and only they watch the document there. Every other daemon
// sends its version to two relays once per period (ConfigSubscribe) and
// receives newer versions: its primary relay pushes them at once, the other
// sends them in reply to the next ConfigSubscribe. These messages thus also
// carry the digests by which missed updates are detected, and from them the
// relays count which version is applied where.
//
// Any daemon answers a ConfigSubscribe, so a starting daemon can get the
// document from any peer. No message can return a daemon to an older version:
// ConfigStore rejects it. The leases only bound the number of watches; safety
// does not depend on them.

#ifndef CYCLAMENWIND_CONFIG_CONFIG_DISTRIBUTION_H
#define CYCLAMENWIND_CONFIG_CONFIG_DISTRIBUTION_H

#include "cyclamenwind/base/kernel.h"
#include "cyclamenwind/base/settings.h"
#include "cyclamenwind/config/cold_start.h"
#include "cyclamenwind/config/document_watch.h"
#include "cyclamenwind/config/fleet_versions.h"
#include "cyclamenwind/config/history.h"
#include "cyclamenwind/config/relay_directory.h"
#include "cyclamenwind/config/store.h"
#include "cyclamenwind/membership/membership.h"
#include "cyclamenwind/peer/transport.h"
#include "cyclamenwind/store/lease.h"

namespace cyclamenwind {

// A service named "config_distribution".
class ConfigDistribution final : public Service {
public:
  explicit ConfigDistribution(const Settings &TheSettings);
  ~ConfigDistribution() override { *Alive = false; }

  std::string_view name() const override { return "config_distribution"; }
  void start(Kernel &TheKernel) override;
  void stop() override;

  // Whether this daemon holds a relay lease.
  bool isRelay(TimePoint Now) const {
    return SlotLease && SlotLease->held(Now);
  }

  // Whether the cold start is complete, so that a version may be served.
  bool startComplete() const { return StartComplete; }

  // Highest version that was rejected as invalid; 0: none.
  uint64_t rejectedVersion() const { return RejectedVersion; }

  // Version summaries of all failure domains for which one was received or, on
  // a relay, made.
  std::vector<wire::DomainStanding> fleetVersions(TimePoint Now) const;

private:
  // A relay to which this daemon sends ConfigSubscribe.
  struct Source {
    Address Peer;
    TimePoint NextSubscribe;
    TimePoint LastReceived;
    bool ActsAsRelay = false; // From its last ConfigState.
  };

  // Receiving: config_distribution.cpp.
  void tick();
  void chooseSources(TimePoint Now);
  void addSource(const Address &Peer, TimePoint Now);
  void dropSource(const Address &Peer, TimePoint Now);
  void dropTimedOutSources(TimePoint Now);
  void sendDueSubscribes(TimePoint Now);
  void addSourcesUpTo(size_t Count, std::vector<Address> Candidates,
                      TimePoint Now);
  void seekLiveRelay(TimePoint Now);
  bool isPrimary(const Address &Peer, TimePoint Now) const;
  size_t countSourcesIn(const std::vector<Address> &Group) const;
  bool hasLiveRelay(TimePoint Now) const;
  void subscribe(const Address &To, bool WantSnapshot = false);
  void subscribeToAll();
  void queryPeers(TimePoint Now);
  void listRelays();
  void readDocument(TimePoint Now);
  void receiveState(const Address &From, std::string_view Payload);
  void receiveDelta(const Address &From, std::string_view Payload);
  void receiveSnapshot(const Address &From, std::string_view Payload);
  void applyOrDefer(const std::string &Text);
  void apply(const std::string &Text);
  void tryCompleteStart();

  // Serving other daemons: relaying.cpp.
  void contendForSlot(int SlotNumber, TimePoint Now);
  void reviewLease(TimePoint Now);
  void receiveSubscribe(const Address &From, std::string_view Payload);
  void receiveSummary(const Address &From, std::string_view Payload);
  wire::ConfigState makeStateMessage(const Subscriber &Receiver,
                                     TimePoint Now) const;
  void reply(const Address &To, const wire::ConfigState &Confirmation);
  void sendUpdate(const Address &Peer, Subscriber &Target);
  bool actsAsRelay(TimePoint Now) const;
  void confirmForColdStarts();
  void pushNewest();
  void sendSummaries(TimePoint Now);
  std::optional<int> nominate(const Address &Peer, const Subscriber &Candidate,
                              TimePoint Now);
  std::vector<wire::DomainStanding> ownSummaries(TimePoint Now) const;
  Subscriber ownReport() const;

  MemberSettings Self;
  ConfigSettings Options;
  Clock *Time = nullptr;
  Scheduler *Timers = nullptr;
  Random *Rng = nullptr;
  PlatformClient *Platform = nullptr;
  PeerTransport *Peers = nullptr;
  ConfigStore *Store = nullptr;
  MembershipView *Members = nullptr;

  std::unique_ptr<DocumentWatch> Watch;
  RelayDirectory Directory;
  SnapshotHistory History;
  ColdStart Startup;
  FleetVersions Fleet;
  std::vector<Source> Sources;
  std::map<Address, TimePoint> AvoidUntil; // Relays that timed out.
  SubscriberMap Subscribers;
  std::unique_ptr<Lease> SlotLease;
  TimePoint LeaseSince;
  // Daemons to which a confirmation is due, with their process nonces.
  std::vector<std::pair<Address, int64_t>> ColdStartRequests;
  bool ConfirmInProgress = false;
  std::map<RelaySlot, TimePoint> LastNominated;

  int64_t ProcessNonce = 0;
  std::string PendingText; // Newest envelope received during the cold start.
  uint64_t PendingVersion = 0;
  uint64_t RejectedVersion = 0;
  bool StartComplete = false;
  bool ListInProgress = false;
  bool ReadInProgress = false;
  int ListFailures = 0;
  int ReadFailures = 0;
  TimePoint NextPeerQuery;
  TimePoint NextList;
  TimePoint NextRead;
  TimePoint NextSummaries;
  TimePoint ListedAt;
  TimePoint NoLiveRelaySince; // Valid while NoLiveRelay.
  bool NoLiveRelay = false;
  bool OwnSummariesChanged = false;   // Of this daemon's subscribers.
  bool FleetSummariesChanged = false; // Received from other relays.
  TimerHandle Ticker;
  std::shared_ptr<bool> Alive = std::make_shared<bool>(true);
};

} // namespace cyclamenwind

#endif
