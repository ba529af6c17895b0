#include "cyclamenwind/mesh/store_sync.h"

#include "cyclamenwind/base/backoff.h"
#include "cyclamenwind/base/log.h"

#include <algorithm>
#include <set>

namespace cyclamenwind {
namespace {

constexpr Duration RetryBase = 150ms;
constexpr Duration RetryLimit = 1s;
// A server's reports can arrive seconds late; the record of a server that left
// is kept for longer, so that a late report does not register it again.
constexpr Duration RemovalDelay = 20s;
// Pauses between two watch calls, to collect changes. A configuration must be
// applied within two seconds of its acceptance.
constexpr Duration ConfigCollectDelay = 700ms;
constexpr Duration RolloutCollectDelay = 200ms;
constexpr Duration EndpointCollectDelay = 1s;
// Two, so that one may be down.
constexpr size_t RelaysPerDomain = 2;
// Relays that watch the configuration. Several, because a change must be
// noticed in time although some of them are cut off, and no more, because each
// of them makes a call per change.
constexpr size_t ConfigWatchers = 4;
// How soon another daemon takes over from a watcher that is gone; a part of the
// two seconds in which a configuration must be applied.
constexpr Duration WatcherCheckPeriod = 500ms;
// Wait of a configuration watcher's stale watch of records. A watch of the
// configuration that the platform does not answer looks like one without
// changes; the stale watch, which costs a tenth, shows in time whether the
// platform still answers this daemon.
constexpr Duration WatcherStaleWait = 800ms;
// A daemon that starts with a configuration hears from the relays within this
// time, and does not watch the platform before.
constexpr Duration RelayWait = 2500ms;
// After a restore all daemons read back the records of their servers within
// this time, so that the platform does not get all calls at once. Records must
// be back about two seconds after the platform is.
constexpr Duration RestoreSpread = 500ms;
// The operator writes again what a copy lacks within this time.
constexpr Duration RestoreGrace = 10s;
// A copy is some seconds old. What was removed longer ago does not come back.
constexpr Duration CopyAgeLimit = 60s;
// Interval of calls because peers name a higher restore epoch; relays announce
// it every two seconds.
constexpr Duration EpochCallPeriod = 2s;

// A random part of Whole.
Duration spread(Duration Whole, Random &Rng) {
  return Duration(static_cast<int64_t>(static_cast<double>(Whole.count()) *
                                       Rng.fraction()));
}

} // namespace

void StoreSync::start(Kernel &TheKernel) {
  Time = &TheKernel.clock();
  StartedAt = Time->now();
  Timers = &TheKernel.scheduler();
  Rng = &TheKernel.random();
  State = &TheKernel.find<MeshState>("mesh_state");
  Peers = &TheKernel.find<PeerTransport>("peers");
  Peers->handle(FrameType::RolloutAnnounce,
                [this](const Address &From, std::string_view Payload) {
                  receiveRollout(From, Payload);
                });
  Peers->onPeerDisconnect([this](const Address &, PeerDisconnect Reason) {
    if (Reason == PeerDisconnect::Silent)
      revalidateWatches();
  });
  // Before the watches, which list when they hear of it.
  Platform.onRestored([this, StillAlive = Alive] {
    if (*StillAlive)
      onRestored();
  });
  auto OnReachability = [this](bool Reachable) {
    if (!Reachable)
      revalidateWatches();
  };
  // While the platform is unreachable, only the configuration watch retries.
  auto MayRetry = [this] { return !ConfigWatch->lost(); };
  ConfigWatch = std::make_unique<PrefixWatch>(
      Platform, *Timers, *Rng, configWatchOptions(),
      PrefixWatch::Handlers{[this](const PlatformListing &Listing) {
                              State->setPlatformEpoch(Platform.restoreEpoch());
                              for (const PlatformObject &Object :
                                   Listing.Objects)
                                applyConfig(Object);
                            },
                            [this](const PlatformChange &Change) {
                              if (!Change.Removed)
                                applyConfig(Change.Object);
                            },
                            [this](bool Reachable) {
                              if (!Reachable) {
                                revalidateWatches();
                                return;
                              }
                              RolloutWatch->resume();
                              EndpointWatch->resume();
                            },
                            /*MayRetry=*/{},
                            [this] {
                              if (OnConfigChecked)
                                OnConfigChecked();
                            }});
  RolloutWatch = std::make_unique<PrefixWatch>(
      Platform, *Timers, *Rng,
      staleWatchOptions(Codec.rolloutPrefix(), RolloutCollectDelay,
                        WatchMode::ListStale),
      PrefixWatch::Handlers{
          [this](const PlatformListing &Listing) {
            for (const PlatformObject &Object : Listing.Objects)
              applyRollout(Object, Platform.restoreEpoch(), /*Listed=*/true);
          },
          [this](const PlatformChange &Change) { onRolloutChanged(Change); },
          OnReachability, MayRetry});
  EndpointWatch = std::make_unique<PrefixWatch>(
      Platform, *Timers, *Rng,
      staleWatchOptions(Codec.endpointPrefix(), EndpointCollectDelay,
                        WatchMode::ListStale),
      PrefixWatch::Handlers{[this](const PlatformListing &Listing) {
                              onEndpointsListed(Listing);
                            },
                            [this](const PlatformChange &Change) {
                              if (Change.Removed)
                                onEndpointRemoved(Change.Object.Key.substr(
                                    Codec.endpointPrefix().size()));
                              else {
                                mergeEndpoint(Change.Object);
                                announceEndpoint(Change.Object);
                              }
                            },
                            OnReachability, MayRetry});
  ConfigWatch->start();
  RolloutWatch->start();
  EndpointWatch->start();
}

// A daemon that is not a configuration watcher watches the configuration only
// while it receives no announcements of relays.
WatchMode StoreSync::configWatchMode() const {
  bool HasStartingPoint = FirstStart || State->routes() != nullptr;
  if (HasStartingPoint && Time->now() - StartedAt < RelayWait)
    return WatchMode::Pushed;
  bool Relayed = ConfigIsRelayed && ConfigIsRelayed() && !isConfigWatcher();
  return Relayed ? WatchMode::Pushed : WatchMode::Watch;
}

PrefixWatchOptions StoreSync::configWatchOptions() {
  PrefixWatchOptions Options;
  Options.Prefix = Codec.configPrefix();
  Options.Collect = ConfigCollectDelay;
  Options.StartStale = FirstStart;
  Options.ModePollPeriod = WatcherCheckPeriod;
  Options.Mode = [this] { return configWatchMode(); };
  Options.RetriesSlowly = [this] {
    return HearsOfOutage && HearsOfOutage() && !isFirstChoiceWatcher();
  };
  return Options;
}

// Options of the watch on Prefix: relays use WatchStale if the other daemons
// use ListStale, the others use NonRelayMode.
PrefixWatchOptions StoreSync::staleWatchOptions(const std::string &Prefix,
                                                Duration Collect,
                                                WatchMode NonRelayMode) {
  PrefixWatchOptions Options;
  Options.Prefix = Prefix;
  Options.Collect = Collect;
  // A new process must know all that an earlier one acknowledged about its
  // server. A rollout that is seconds old does no harm: the daemons beside a
  // bad version's servers refuse requests to them.
  Options.StartStale = FirstStart || Prefix == Codec.rolloutPrefix();
  if (Prefix == Codec.endpointPrefix())
    Options.StaleWait = [this] {
      return isConfigWatcher() ? WatcherStaleWait
                               : PrefixWatchOptions::DefaultStaleWait;
    };
  Options.Mode = [this, NonRelayMode] {
    bool Watches = NonRelayMode == WatchMode::ListStale && isRelay();
    return Watches ? WatchMode::WatchStale : NonRelayMode;
  };
  return Options;
}

// By failure domain, the addresses of this daemon and of the connected daemons
// that may be relays, in ascending order. Daemons of AssumeConnected count as
// connected.
std::map<std::string, std::vector<Address>>
StoreSync::relayCandidates(const std::set<Address> &AssumeConnected,
                           bool IncludeUnreachable) const {
  std::map<std::string, std::set<Address>> Sorted;
  Sorted[FailureDomain].insert(Peers->self());
  for (const auto &[Id, Endpoint] : State->directory().all()) {
    const Address &Daemon = Endpoint.DaemonAddress;
    if (Endpoint.State != EndpointState::Gone && Daemon != Peers->self() &&
        (Peers->isConnected(Daemon) || AssumeConnected.count(Daemon) != 0) &&
        (IncludeUnreachable || !CannotReachPlatform ||
         !CannotReachPlatform(Daemon)))
      Sorted[Endpoint.FailureDomain].insert(Daemon);
  }
  std::map<std::string, std::vector<Address>> Result;
  for (const auto &[Domain, Daemons] : Sorted)
    Result[Domain].assign(Daemons.begin(), Daemons.end());
  return Result;
}

// The relays of a failure domain are its RelaysPerDomain candidates with the
// lowest addresses.
bool StoreSync::isRelay() const {
  std::vector<Address> Candidates = relayCandidates()[FailureDomain];
  size_t Relays = std::min(RelaysPerDomain, Candidates.size());
  return std::find(Candidates.begin(), Candidates.begin() + Relays,
                   Peers->self()) != Candidates.begin() + Relays;
}

// The watchers are the first relays of all failure domains, then the second
// ones, up to ConfigWatchers.
bool StoreSync::isConfigWatcher() const {
  return isWatcherAmong(relayCandidates());
}

bool StoreSync::isFirstChoiceWatcher() const {
  return isWatcherAmong(relayCandidates({}, /*IncludeUnreachable=*/true));
}

bool StoreSync::isWatcherAmong(
    const std::map<std::string, std::vector<Address>> &Candidates) const {
  size_t Watchers = 0;
  for (size_t Rank = 0; Rank < RelaysPerDomain; ++Rank)
    for (const auto &[Domain, Daemons] : Candidates) {
      if (Rank >= Daemons.size())
        continue;
      if (Daemons[Rank] == Peers->self())
        return true;
      if (++Watchers == ConfigWatchers)
        return false;
    }
  return false;
}

std::vector<Address>
StoreSync::remoteRelays(const std::set<Address> &AssumeConnected) const {
  std::vector<Address> Result;
  for (const auto &[Domain, Daemons] : relayCandidates(AssumeConnected))
    if (Domain != FailureDomain)
      Result.insert(Result.end(), Daemons.begin(),
                    Daemons.begin() +
                        std::min(RelaysPerDomain, Daemons.size()));
  return Result;
}

// Called after a call without an answer and after a stream to a peer stopped
// working: the watch calls that were pending at the same time are probably lost
// too.
void StoreSync::revalidateWatches() {
  for (PrefixWatch *Watch :
       {ConfigWatch.get(), RolloutWatch.get(), EndpointWatch.get()})
    if (Watch != nullptr)
      Watch->revalidate();
  if (OnWatchesSuspect)
    OnWatchesSuspect();
}

void StoreSync::onPlatformError(PlatformError Error) {
  if (Error == PlatformError::NoAnswer)
    revalidateWatches();
}

void StoreSync::readConfig() {
  Platform.read(
      Codec.configKey(), [this](Result<PlatformObject, PlatformError> Read) {
        if (!Read) {
          logWarning("config_read_failed", {{"error", nameOf(Read.error())}});
          onPlatformError(Read.error());
          return;
        }
        applyConfig(Read.value());
        // The watch should have reported it: the watch may be lost.
        if (Read.value().Version > ConfigWatch->revision())
          ConfigWatch->revalidate();
      });
}

void StoreSync::onConfigPushed(const ConfigPosition &Position) {
  if (ConfigWatch && Position.Epoch == Platform.restoreEpoch())
    ConfigWatch->advanceTo(Position.Revision);
}

// Versions of the earlier epoch must not be the condition of a write.
void StoreSync::onRestored() {
  State->setPlatformEpoch(Platform.restoreEpoch());
  Stored.clear();
  RolloutObjects.clear();
  // An earlier process of this daemon may have published a departure.
  for (const MeshEndpoint *Endpoint : State->directory().merged())
    if (Endpoint->DaemonAddress == Peers->self() && Endpoint->leaves())
      Publications.try_emplace(Endpoint->Id).first->second.Record = *Endpoint;
  for (const auto &[Id, Entry] : Publications)
    checkAfterRestore(Id);
  forgetRemovedRecords();
  for (const auto &Entry : RemovedRecords)
    RemovedChecks[Entry.first] =
        Timers->after(spread(RestoreSpread, *Rng),
                      [this, Id = Entry.first] { removeAgain(Id); });
  GraceTimer = Timers->after(RestoreGrace, [this] { endRestoreGrace(); });
  logInfo("restore_handled", {{"epoch", Platform.restoreEpoch()},
                              {"records", Publications.size()},
                              {"removed", RemovedRecords.size()}});
  if (OnRestored)
    OnRestored();
}

void StoreSync::forgetRemovedRecords() {
  TimePoint Now = Time->now();
  std::erase_if(RemovedRecords, [Now](const auto &Entry) {
    return Now - Entry.second.RemovedAt > CopyAgeLimit;
  });
}

// A call under way has its outcome checked when it ends.
void StoreSync::checkAfterRestore(const std::string &Id) {
  Publication &Entry = Publications.at(Id);
  if (Entry.Writing)
    return;
  Entry.Retry = Timers->after(spread(RestoreSpread, *Rng), [this, Id] {
    TimerHandle Fired = std::move(Publications.at(Id).Retry);
    readBack(Id);
  });
}

// Removes a record that came back with the copy.
void StoreSync::removeAgain(const std::string &Id) {
  TimerHandle Fired = std::move(RemovedChecks[Id]);
  RemovedChecks.erase(Id);
  Platform.read(
      endpointKey(Id), [this, Id, StillAlive = Alive](
                           Result<PlatformObject, PlatformError> Read) {
        if (!*StillAlive || !Read)
          return;
        std::optional<MeshEndpoint> Current = recordOf(Read.value());
        auto Removed = RemovedRecords.find(Id);
        if (!Current || Removed == RemovedRecords.end() ||
            State->directory().supersedes(*Current, Removed->second.Record) ||
            Publications.count(Id) != 0)
          return;
        logInfo("endpoint_removed_again", {{"server", Id}});
        Stored[Id] = {Read.value().Version, Current};
        removeRecord(Id);
      });
}

// Orders that the operator has not written again are those of the copy.
void StoreSync::endRestoreGrace() {
  TimerHandle Fired = std::move(GraceTimer);
  std::map<std::string, PlatformObject> Objects = RolloutObjects;
  for (const auto &[Key, Object] : Objects)
    if (!Object.Key.empty())
      applyRollout(Object, Platform.restoreEpoch(), /*Listed=*/false);
}

void StoreSync::onEpochHeard(uint64_t Epoch) {
  TimePoint Now = Time->now();
  bool IsRecent = EpochCallAt && Now - *EpochCallAt < EpochCallPeriod;
  if (Epoch <= Platform.restoreEpoch() || EpochCallTimer || IsRecent)
    return;
  EpochCallAt = Now;
  EpochCallTimer = Timers->after(spread(RestoreSpread, *Rng),
                                 [this, Epoch] { callForEpoch(Epoch); });
}

// The calls that a restore needs anyway; the first response brings the epoch.
void StoreSync::callForEpoch(uint64_t Heard) {
  TimerHandle Fired = std::move(EpochCallTimer);
  if (Heard <= Platform.restoreEpoch())
    return;
  logInfo("restore_heard",
          {{"epoch", Heard}, {"known", Platform.restoreEpoch()}});
  if (Publications.empty())
    Platform.listStale(Codec.rolloutPrefix(), [](auto) {});
  std::vector<std::string> Ids;
  for (const auto &[Id, Entry] : Publications)
    if (!Entry.Writing)
      Ids.push_back(Id);
  for (const std::string &Id : Ids)
    readBack(Id);
}

void StoreSync::stop() {
  *Alive = false;
  ConfigWatch.reset();
  RolloutWatch.reset();
  EndpointWatch.reset();
  EpochCallTimer.reset();
  GraceTimer.reset();
  RemovedChecks.clear();
  Publications.clear();
  Removals.clear();
}

void StoreSync::applyConfig(const PlatformObject &Object) {
  uint64_t Epoch = Platform.restoreEpoch();
  ConfigPosition Applied = State->configPosition();
  if (Object.Key != Codec.configKey() ||
      (Epoch == Applied.Epoch && Object.Version <= Applied.Revision))
    return;
  std::optional<MeshConfig> Config = Codec.config(Object.Value, Object.Version);
  if (!Config) {
    logError("config_unreadable",
             {{"key", Object.Key}, {"revision", Object.Version}});
    return;
  }
  Config->Epoch = Epoch;
  State->apply(std::move(*Config), Object.Value);
}

void StoreSync::applyRollout(const PlatformObject &Object, uint64_t Epoch,
                             bool Listed) {
  std::optional<RolloutOrder> Order = Codec.rolloutOrder(Object);
  if (!Order || Codec.rolloutPrefix() + Order->Service != Object.Key) {
    logWarning("rollout_unreadable", {{"key", Object.Key}});
    return;
  }
  std::optional<RolloutStatus> Status = Codec.rolloutStatus(Object);
  logInfo("rollout_seen",
          {{"service", Order->Service},
           {"version", Order->TargetVersion},
           {"revision", Object.Version},
           {"state", Status ? nameOf(Status->State) : "ordered"},
           {"share", Status ? Status->Share : 0}});
  // A process that started with the copy may have written a status of its
  // order.
  bool HasProgress = Status && Status->TargetVersion == Order->TargetVersion;
  bool MayBeOfCopy = GraceTimer != nullptr && (Listed || HasProgress);
  State->rollouts().update(*Order, Status, Object.Version, Time->now(), Epoch,
                           MayBeOfCopy);
  if (Epoch != Platform.restoreEpoch())
    return;
  PlatformObject &Previous = RolloutObjects[Object.Key];
  if (Object.Version > Previous.Version)
    Previous = Object;
}

// Only relays watch rollouts; they send new versions to the other daemons.
void StoreSync::onRolloutChanged(const PlatformChange &Change) {
  const PlatformObject &Object = Change.Object;
  if (Change.Removed) {
    State->rollouts().remove(Object.Key.substr(Codec.rolloutPrefix().size()));
    return;
  }
  bool IsNew = Object.Version > RolloutObjects[Object.Key].Version;
  applyRollout(Object, Platform.restoreEpoch(), /*Listed=*/false);
  if (IsNew)
    announceRollout(Object);
}

void StoreSync::announceRollout(const PlatformObject &Object) {
  wire::RolloutAnnounce Message;
  Message.key = Object.Key;
  Message.revision = static_cast<int64_t>(Object.Version);
  Message.order = Object.Value;
  Message.status = Object.Status;
  if (Platform.restoreEpoch() != 0)
    Message.__set_epoch(static_cast<int64_t>(Platform.restoreEpoch()));
  for (const Address &Peer : State->directory().daemonAddresses())
    if (Peer != Peers->self())
      Peers->sendMessage(Peer, FrameType::RolloutAnnounce, Message);
}

void StoreSync::receiveRollout(const Address &From, std::string_view Payload) {
  Result<wire::RolloutAnnounce, FrameError> Message =
      decodeMessage<wire::RolloutAnnounce>(Payload);
  if (!Message) {
    logWarning("frame_malformed", {{"peer", From.text()}});
    return;
  }
  const wire::RolloutAnnounce &Rollout = Message.value();
  auto Epoch = static_cast<uint64_t>(Rollout.epoch);
  onEpochHeard(Epoch);
  applyRollout({Rollout.key, static_cast<uint64_t>(Rollout.revision),
                Rollout.order, Rollout.status},
               Epoch, /*Listed=*/false);
}

std::optional<MeshEndpoint>
StoreSync::recordOf(const PlatformObject &Object) const {
  std::optional<MeshEndpoint> Record = parseEndpoint(Object.Value);
  if (!Record || endpointKey(Record->Id) != Object.Key)
    return std::nullopt;
  return Record;
}

void StoreSync::mergeEndpoint(const PlatformObject &Object) {
  std::optional<MeshEndpoint> Record = recordOf(Object);
  if (!Record) {
    onUnreadableRecord(Object);
    return;
  }
  StoredRecord &Previous = Stored[Record->Id];
  if (Object.Version >= Previous.Version)
    Previous = {Object.Version, Record};
  State->merge(*Record);
  auto Found = Publications.find(Record->Id);
  if (Found != Publications.end() &&
      Found->second.Record.Service != Record->Service &&
      State->directory().supersedes(Found->second.Record, *Record))
    writeAgain(Record->Id);
}

// An object of another writer names no server. What is known of a server by its
// name holds; if the server is local, its record is written again.
void StoreSync::onUnreadableRecord(const PlatformObject &Object) {
  std::string Id = Object.Key.substr(Codec.endpointPrefix().size());
  StoredRecord &Previous = Stored[Id];
  if (Object.Version <= Previous.Version)
    return;
  Previous = {Object.Version, std::nullopt};
  logWarning("endpoint_unreadable",
             {{"key", Object.Key}, {"revision", Object.Version}});
  writeAgain(Id);
}

// Writes the record of a local backend server that is Ready over what another
// writer has stored in its place.
void StoreSync::writeAgain(const std::string &Id) {
  auto Found = Publications.find(Id);
  if (Found != Publications.end() &&
      Found->second.Record.State == EndpointState::Ready)
    write(Id);
}

// Announces the record to the other daemons of this failure domain: when many
// daemons start at once, the server's own daemon may not know all of them.
void StoreSync::announceEndpoint(const PlatformObject &Object) {
  std::optional<MeshEndpoint> Record = recordOf(Object);
  if (!Record)
    return;
  if (PendingAnnouncements.empty())
    Timers->defer([this, StillAlive = Alive] {
      if (*StillAlive)
        flushAnnouncements();
    });
  PendingAnnouncements.push_back(*Record);
}

void StoreSync::flushAnnouncements() {
  wire::EndpointAnnounce Message;
  for (const MeshEndpoint &Endpoint : PendingAnnouncements)
    Message.endpoints.push_back(toWire(Endpoint));
  PendingAnnouncements.clear();
  for (const Address &Peer : domainPeers())
    Peers->sendMessage(Peer, FrameType::EndpointAnnounce, Message);
}

std::set<Address> StoreSync::domainPeers() const {
  std::set<Address> Result;
  for (const auto &[Id, Endpoint] : State->directory().all())
    if (Endpoint.State != EndpointState::Gone &&
        Endpoint.FailureDomain == FailureDomain &&
        Endpoint.DaemonAddress != Peers->self())
      Result.insert(Endpoint.DaemonAddress);
  return Result;
}

void StoreSync::onEndpointsListed(const PlatformListing &Listing) {
  std::set<std::string> ListedIds;
  for (const PlatformObject &Object : Listing.Objects) {
    mergeEndpoint(Object);
    ListedIds.insert(Object.Key.substr(Codec.endpointPrefix().size()));
  }
  std::vector<std::string> MissingIds;
  for (const auto &[Id, Entry] : Stored)
    // A stale listing lacks records that were written after its revision.
    if (ListedIds.count(Id) == 0 && Entry.Version <= Listing.Revision)
      MissingIds.push_back(Id);
  for (const std::string &Id : MissingIds)
    onEndpointRemoved(Id);
  State->setEndpointsListed();
}

// Writes the record again if it is of a local backend server that is Ready.
void StoreSync::onEndpointRemoved(const std::string &Id) {
  Stored.erase(Id);
  auto Found = Publications.find(Id);
  if (Found != Publications.end() &&
      Found->second.Record.State == EndpointState::Ready) {
    write(Id);
    return;
  }
  // Without a record the platform names no server: the departure is complete.
  if (Found != Publications.end() && !Found->second.Writing)
    Publications.erase(Found);
  State->remove(Id);
}

void StoreSync::publish(const MeshEndpoint &Record,
                        std::function<void(bool)> OnDone) {
  bool IsKnown = Publications.count(Record.Id) != 0;
  if (!IsKnown && Record.leaves() && isStored(Record)) {
    OnDone(true);
    return;
  }
  Publication &Entry = Publications[Record.Id];
  Entry.Record = Record;
  if (!Entry.Writing && isStored(Record)) {
    OnDone(true);
    return;
  }
  Entry.Callbacks.push_back(std::move(OnDone));
  write(Record.Id);
}

// Whether the stored record equals Record; a newer sequence number alone is no
// difference that needs a write.
bool StoreSync::isStored(const MeshEndpoint &Record) const {
  auto Found = Stored.find(Record.Id);
  if (Found == Stored.end() || !Found->second.Record)
    return false;
  const MeshEndpoint &Existing = *Found->second.Record;
  return Existing.StartedAtMs == Record.StartedAtMs &&
         Existing.State == Record.State &&
         Existing.DaemonAddress == Record.DaemonAddress &&
         Existing.ServerAddress == Record.ServerAddress &&
         Existing.Service == Record.Service &&
         Existing.Version == Record.Version && Existing.Slots == Record.Slots;
}

void StoreSync::write(const std::string &Id) {
  Publication &Entry = Publications.at(Id);
  if (Entry.Writing)
    return;
  Entry.Writing = true;
  Entry.Retry.reset();
  auto Existing = Stored.find(Id);
  Platform.write(
      endpointKey(Id), formatEndpoint(Entry.Record),
      Existing == Stored.end() ? 0 : Existing->second.Version,
      [this, Written = Entry.Record](Result<uint64_t, PlatformError> Outcome) {
        onWritten(Written, Outcome);
      });
}

size_t StoreSync::unwrittenDepartures() const {
  return static_cast<size_t>(std::count_if(
      Publications.begin(), Publications.end(), [this](const auto &Entry) {
        const MeshEndpoint &Record = Entry.second.Record;
        return Record.leaves() && !isStored(Record);
      }));
}

void StoreSync::onWritten(const MeshEndpoint &Written,
                          Result<uint64_t, PlatformError> Outcome) {
  const std::string &Id = Written.Id;
  auto Found = Publications.find(Id);
  if (Found == Publications.end())
    return;
  Publication &Entry = Found->second;
  Entry.Writing = false;
  if (!Outcome) {
    logWarning("endpoint_write_failed",
               {{"server", Id}, {"error", nameOf(Outcome.error())}});
    onPlatformError(Outcome.error());
    // After NoAnswer the same write is tried again; if the first one succeeded,
    // the second one conflicts.
    if (Outcome.error() == PlatformError::Conflict ||
        Outcome.error() == PlatformError::NotFound ||
        Outcome.error() == PlatformError::Restored)
      readBack(Id);
    else
      retryLater(Id);
    return;
  }
  Entry.Failures = 0;
  StoredRecord &Previous = Stored[Id];
  if (Outcome.value() >= Previous.Version)
    Previous = {Outcome.value(), Written};
  bool IsNewest = Entry.Record.Sequence == Written.Sequence &&
                  Entry.Record.State == Written.State;
  if (!IsNewest) {
    write(Id);
    return;
  }
  std::vector<std::function<void(bool)>> Callbacks;
  Callbacks.swap(Entry.Callbacks);
  for (const auto &Callback : Callbacks)
    Callback(true);
  if (Written.State == EndpointState::Gone)
    scheduleRemoval(Id);
}

// Reads the record back from the platform: the last write may have succeeded,
// and the next one needs the version.
void StoreSync::readBack(const std::string &Id) {
  Publications.at(Id).Writing = true;
  Platform.read(
      endpointKey(Id), [this, Id](Result<PlatformObject, PlatformError> Read) {
        auto Found = Publications.find(Id);
        if (Found == Publications.end())
          return;
        Publication &Entry = Found->second;
        Entry.Writing = false;
        if (!Read && Read.error() != PlatformError::NotFound) {
          retryLater(Id);
          return;
        }
        if (!Read) {
          Stored.erase(Id);
          retryLater(Id);
          return;
        }
        std::optional<MeshEndpoint> Current = recordOf(Read.value());
        Stored[Id] = {Read.value().Version, Current};
        if (Current && State->directory().supersedes(*Current, Entry.Record)) {
          logWarning("endpoint_superseded", {{"server", Id}});
          State->merge(*Current);
          return;
        }
        bool IsStored =
            isStored(Entry.Record) ||
            (Current && !State->directory().supersedes(Entry.Record, *Current));
        if (IsStored)
          onWritten(MeshEndpoint(Entry.Record), Read.value().Version);
        else
          write(Id);
      });
}

void StoreSync::retryLater(const std::string &Id) {
  Publication &Entry = Publications.at(Id);
  ++Entry.Failures;
  Entry.Retry =
      Timers->after(backoffDelay(Entry.Failures, RetryBase, RetryLimit, *Rng),
                    [this, Id] { write(Id); });
}

void StoreSync::scheduleRemoval(const std::string &Id) {
  Removals[Id] = Timers->after(RemovalDelay, [this, Id] {
    TimerHandle Fired = std::move(Removals[Id]);
    Removals.erase(Id);
    auto Found = Publications.find(Id);
    if (Found == Publications.end() ||
        Found->second.Record.State != EndpointState::Gone)
      return;
    Publications.erase(Found);
    removeRecord(Id);
  });
}

void StoreSync::withdraw(const std::string &Id) {
  auto Found = Publications.find(Id);
  if (Found != Publications.end() && Found->second.Record.leaves())
    return;
  if (Found != Publications.end())
    Publications.erase(Found);
  removeRecord(Id);
}

void StoreSync::removeRecord(const std::string &Id) {
  auto Found = Stored.find(Id);
  if (Found == Stored.end())
    return;
  forgetRemovedRecords();
  if (Found->second.Record)
    RemovedRecords[Id] = {*Found->second.Record, Time->now()};
  Platform.remove(endpointKey(Id), Found->second.Version,
                  [Id](Result<uint64_t, PlatformError> Outcome) {
                    if (!Outcome)
                      logWarning(
                          "endpoint_removal_failed",
                          {{"server", Id}, {"error", nameOf(Outcome.error())}});
                  });
}

void StoreSync::writeRollout(const std::string &Service,
                             const RolloutStatus &Next) {
  const Rollout *Current = State->rollouts().find(Service);
  // After a restore the object is not known until it was read again.
  std::string Key = Codec.rolloutPrefix() + Service;
  if (Current == nullptr || Current->Epoch != Platform.restoreEpoch() ||
      RolloutObjects[Key].Key.empty())
    return;
  logInfo("rollout_decided", {{"service", Service},
                              {"version", Next.TargetVersion},
                              {"state", nameOf(Next.State)},
                              {"share", Next.Share},
                              {"revision", Current->Revision},
                              {"elapsed_ms", milliseconds(Next.Elapsed)}});
  Platform.writeStatus(
      Key, Codec.formatRolloutStatus(Next), Current->Revision,
      [this, Service, Next](Result<uint64_t, PlatformError> Outcome) {
        if (Outcome) {
          PlatformObject Written =
              RolloutObjects[Codec.rolloutPrefix() + Service];
          Written.Version = Outcome.value();
          Written.Status = Codec.formatRolloutStatus(Next);
          applyRollout(Written, Platform.restoreEpoch(), /*Listed=*/false);
          announceRollout(Written);
          return;
        }
        logWarning("rollout_write_failed",
                   {{"service", Service}, {"error", nameOf(Outcome.error())}});
        onPlatformError(Outcome.error());
      });
}

} // namespace cyclamenwind
