// Distribution: brings the accepted document to this daemon and on to others.
//
// In each failure domain a few daemons are relays: they hold leases on the
// platform and alone watch it. Every other daemon states to two relays once a
// period what it has in force (ConfigSubscribe) and gets what is newer: pushed
// at once by its primary relay, in reply to its statement by the other. The
// statements are thus also the digests by which missed updates are found, and
// from them the relays sum up where a version stands.
//
// Any daemon answers a statement, so a newcomer can join from any peer. Nothing
// here can take a daemon back: ConfigStore refuses older versions. The leases
// bound the number of watchers and decide nothing else.

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

  // Whether this daemon holds a relay's lease.
  bool isRelay(TimePoint Now) const { return Slot && Slot->held(Now); }

  // Whether the start is over: a version may be served.
  bool open() const { return Opened; }

  // Version that could not be applied; 0: none.
  uint64_t rejected() const { return Rejected; }

  // Sums of all failure domains, as far as they are known.
  std::vector<wire::DomainStanding> standing(TimePoint Now) const;

private:
  // A relay that this daemon follows.
  struct Source {
    Address Peer;
    TimePoint NextStatement;
    TimePoint LastReceived;
    bool Relay = false; // As it said last.
  };

  // Following: distribution.cpp.
  void tick();
  void chooseSources(TimePoint Now);
  void addSource(const Address &Peer, TimePoint Now);
  void dropSource(const Address &Peer, TimePoint Now);
  void dropSilentSources(TimePoint Now);
  void stateWhereDue(TimePoint Now);
  void addUpTo(size_t Count, std::vector<Address> Candidates, TimePoint Now);
  void seekRelay(TimePoint Now);
  bool isPrimary(const Address &Peer, TimePoint Now) const;
  size_t sourcesIn(const std::vector<Address> &Group) const;
  bool hasLiveRelay(TimePoint Now) const;
  void state(const Address &To, bool WantWhole = false);
  void stateToAll();
  void askPeers(TimePoint Now);
  void listRelays();
  void readDocument(TimePoint Now);
  void receiveState(const Address &From, std::string_view Payload);
  void receiveDelta(const Address &From, std::string_view Payload);
  void receiveSnapshot(const Address &From, std::string_view Payload);
  void offer(const std::string &Text);
  void apply(const std::string &Text);
  void tryOpen();

  // Relaying: relaying.cpp.
  void contend(int SlotNumber, TimePoint Now);
  void reviewSlot(TimePoint Now);
  void receiveStatement(const Address &From, std::string_view Payload);
  void receiveSum(const Address &From, std::string_view Payload);
  wire::ConfigState stateMessage(const Follower &For, TimePoint Now) const;
  void answer(const Address &To, const wire::ConfigState &Template);
  void bringUpToDate(const Address &To, Follower &Known);
  bool actsAsRelay(TimePoint Now) const;
  void confirmForNewcomers();
  void pushNewest();
  void sendSums(TimePoint Now);
  std::optional<int> slotFor(const Address &Peer, const Follower &Asking,
                             TimePoint Now);
  std::vector<wire::DomainStanding> ownSums(TimePoint Now) const;
  Follower ownStatement() const;

  MemberSettings Self;
  ConfigSettings Options;
  Clock *Time = nullptr;
  Scheduler *Timers = nullptr;
  Random *Rng = nullptr;
  PlatformClient *Platform = nullptr;
  PeerTransport *Peers = nullptr;
  ConfigStore *Store = nullptr;
  MembershipView *Members = nullptr;

  std::unique_ptr<DocumentWatch> Feed;
  RelayDirectory Directory;
  SnapshotHistory History;
  ColdStart Fresh;
  FleetVersions Fleet;
  std::vector<Source> Sources;
  std::map<Address, TimePoint> AvoidUntil; // Relays that did not answer.
  Followers Following;
  std::unique_ptr<Lease> Slot;
  TimePoint SlotSince;
  std::vector<std::pair<Address, int64_t>> Newcomers; // With their process.
  bool Confirming = false;
  std::map<RelaySlot, TimePoint> Nominated;

  int64_t Process = 0;
  std::string Pending; // Highest envelope seen before the start is over.
  uint64_t PendingVersion = 0;
  uint64_t Rejected = 0;
  bool Opened = false;
  bool Listing = false;
  bool Reading = false;
  int ListFailures = 0;
  int ReadFailures = 0;
  TimePoint NextAsk;
  TimePoint NextList;
  TimePoint NextRead;
  TimePoint NextSums;
  TimePoint ListedAt;
  TimePoint LacksRelaySince; // Valid while there is no live relay.
  bool LacksRelay = false;
  bool SumsChanged = false;  // Of the followers here.
  bool FleetChanged = false; // Of any failure domain.
  TimerHandle Ticker;
  std::shared_ptr<bool> Alive = std::make_shared<bool>(true);
};

} // namespace cyclamenwind

#endif
