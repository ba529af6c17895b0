#include "cyclamenwind/mesh/store_sync.h"

#include "cyclamenwind/base/backoff.h"
#include "cyclamenwind/base/log.h"

#include <set>

namespace cyclamenwind {
namespace {

constexpr Duration RetryBase = 150ms;
constexpr Duration RetryLimit = 1s;
// A delayed report of a server that left comes within seconds; its record is
// kept for longer.
constexpr Duration RemovalDelay = 20s;
// A configuration has to be in force two seconds after it was accepted.
constexpr Duration ConfigCollect = 700ms;
constexpr Duration RolloutCollect = 200ms;
constexpr Duration EndpointCollect = 1s;
// Two, so that one may be away.
constexpr size_t RelaysPerDomain = 2;

} // namespace

void StoreSync::start(Kernel &TheKernel) {
  Time = &TheKernel.clock();
  Timers = &TheKernel.scheduler();
  Rng = &TheKernel.random();
  State = &TheKernel.find<MeshState>("mesh_state");
  Peers = &TheKernel.find<PeerTransport>("peers");
  Peers->handle(FrameType::RolloutAnnounce,
                [this](const Address &From, std::string_view Payload) {
                  receiveRollout(From, Payload);
                });
  auto OnReachability = [this](bool Reachable) {
    if (!Reachable)
      revalidateWatches();
  };
  // While the platform is away only one watch asks for it.
  auto MayRetry = [this] { return !ConfigWatch->lost(); };
  ConfigWatch = std::make_unique<PrefixWatch>(
      Platform, *Timers, *Rng, followingConfig(),
      PrefixWatch::Handlers{[this](const PlatformListing &Listing) {
                              for (const PlatformObject &Each : Listing.Objects)
                                takeConfig(Each);
                            },
                            [this](const PlatformChange &Change) {
                              if (!Change.Removed)
                                takeConfig(Change.Object);
                            },
                            [this](bool Reachable) {
                              if (!Reachable) {
                                revalidateWatches();
                                return;
                              }
                              RolloutWatch->resume();
                              EndpointWatch->resume();
                            }});
  RolloutWatch = std::make_unique<PrefixWatch>(
      Platform, *Timers, *Rng,
      following(Codec.rolloutPrefix(), RolloutCollect, WatchMode::ListStale),
      PrefixWatch::Handlers{
          [this](const PlatformListing &Listing) {
            for (const PlatformObject &Each : Listing.Objects)
              takeRollout(Each);
          },
          [this](const PlatformChange &Change) { rolloutChanged(Change); },
          OnReachability, MayRetry});
  EndpointWatch = std::make_unique<PrefixWatch>(
      Platform, *Timers, *Rng,
      following(Codec.endpointPrefix(), EndpointCollect, WatchMode::ListStale),
      PrefixWatch::Handlers{
          [this](const PlatformListing &Listing) { endpointsListed(Listing); },
          [this](const PlatformChange &Change) {
            if (Change.Removed)
              endpointRemoved(
                  Change.Object.Key.substr(Codec.endpointPrefix().size()));
            else {
              takeEndpoint(Change.Object);
              announceEndpoint(Change.Object);
            }
          },
          OnReachability, MayRetry});
  ConfigWatch->start();
  RolloutWatch->start();
  EndpointWatch->start();
}

// Others wait for the configuration only while they hear of no relay.
PrefixWatchOptions StoreSync::followingConfig() {
  PrefixWatchOptions Options;
  Options.Prefix = Codec.configPrefix();
  Options.Collect = ConfigCollect;
  Options.Mode = [this] {
    bool Relayed = ConfigIsRelayed && ConfigIsRelayed() && !isRelay();
    return Relayed ? WatchMode::Pushed : WatchMode::Watch;
  };
  return Options;
}

// Options for Prefix: relays wait for changes, others follow by OfOthers.
PrefixWatchOptions StoreSync::following(const std::string &Prefix,
                                        Duration Collect, WatchMode OfOthers) {
  PrefixWatchOptions Options;
  Options.Prefix = Prefix;
  Options.Collect = Collect;
  Options.Mode = [this, OfOthers] {
    bool Waits = OfOthers == WatchMode::ListStale && isRelay();
    return Waits ? WatchMode::WatchStale : OfOthers;
  };
  return Options;
}

// The first few reached daemons of each failure domain are its relays.
bool StoreSync::isRelay() const {
  size_t Before = 0;
  for (const Address &Each : domainPeers())
    if (Each < Peers->self() && Peers->isConnected(Each))
      ++Before;
  return Before < RelaysPerDomain;
}

// A call without an answer: waits that were under way at the same time have
// probably lost theirs too.
void StoreSync::revalidateWatches() {
  for (PrefixWatch *Each :
       {ConfigWatch.get(), RolloutWatch.get(), EndpointWatch.get()})
    if (Each != nullptr)
      Each->revalidate();
}

void StoreSync::noteError(PlatformError Error) {
  if (Error == PlatformError::NoAnswer)
    revalidateWatches();
}

void StoreSync::readConfig() {
  Platform.read(
      Codec.configKey(), [this](Result<PlatformObject, PlatformError> Read) {
        if (!Read) {
          logWarning("config_read_failed", {{"error", nameOf(Read.error())}});
          noteError(Read.error());
          return;
        }
        takeConfig(Read.value());
        // The wait for changes should have brought it.
        if (Read.value().Version > ConfigWatch->revision())
          ConfigWatch->revalidate();
      });
}

void StoreSync::configPushed(uint64_t Revision) {
  if (ConfigWatch)
    ConfigWatch->advanceTo(Revision);
}

void StoreSync::stop() {
  *Alive = false;
  ConfigWatch.reset();
  RolloutWatch.reset();
  EndpointWatch.reset();
  Publications.clear();
  Removals.clear();
}

void StoreSync::takeConfig(const PlatformObject &Object) {
  if (Object.Key != Codec.configKey() ||
      Object.Version <= State->configRevision())
    return;
  std::optional<MeshConfig> Config = Codec.config(Object.Value, Object.Version);
  if (!Config) {
    logError("config_unreadable",
             {{"key", Object.Key}, {"revision", Object.Version}});
    return;
  }
  State->apply(std::move(*Config), Object.Value);
}

void StoreSync::takeRollout(const PlatformObject &Object) {
  std::optional<RolloutOrder> Order = Codec.rolloutOrder(Object);
  if (!Order) {
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
  State->rollouts().update(*Order, Status, Object.Version, Time->now());
  PlatformObject &Known = RolloutObjects[Object.Key];
  if (Object.Version > Known.Version)
    Known = Object;
}

// Only relays see changes; they tell the others.
void StoreSync::rolloutChanged(const PlatformChange &Change) {
  const PlatformObject &Object = Change.Object;
  if (Change.Removed) {
    State->rollouts().remove(Object.Key.substr(Codec.rolloutPrefix().size()));
    return;
  }
  bool IsNew = Object.Version > RolloutObjects[Object.Key].Version;
  takeRollout(Object);
  if (IsNew)
    announceRollout(Object);
}

void StoreSync::announceRollout(const PlatformObject &Object) {
  wire::RolloutAnnounce Message;
  Message.key = Object.Key;
  Message.revision = static_cast<int64_t>(Object.Version);
  Message.order = Object.Value;
  Message.status = Object.Status;
  for (const Address &Each : State->directory().daemonAddresses())
    if (Each != Peers->self())
      Peers->sendMessage(Each, FrameType::RolloutAnnounce, Message);
}

void StoreSync::receiveRollout(const Address &From, std::string_view Payload) {
  Result<wire::RolloutAnnounce, FrameError> Message =
      decodeMessage<wire::RolloutAnnounce>(Payload);
  if (!Message) {
    logWarning("frame_malformed", {{"peer", From.text()}});
    return;
  }
  const wire::RolloutAnnounce &Told = Message.value();
  takeRollout({Told.key, static_cast<uint64_t>(Told.revision), Told.order,
               Told.status});
}

void StoreSync::takeEndpoint(const PlatformObject &Object) {
  std::optional<MeshEndpoint> Record = parseEndpoint(Object.Value);
  if (!Record || endpointKey(Record->Id) != Object.Key) {
    logWarning("endpoint_unreadable", {{"key", Object.Key}});
    return;
  }
  StoredRecord &Known = Stored[Record->Id];
  if (Object.Version >= Known.Version)
    Known = {Object.Version, Record};
  State->merge(*Record);
}

// Tells the others of this failure domain: the server's own daemon may not know
// all of them, when many start at once.
void StoreSync::announceEndpoint(const PlatformObject &Object) {
  std::optional<MeshEndpoint> Record = parseEndpoint(Object.Value);
  if (!Record)
    return;
  if (Announcing.empty())
    Timers->defer([this, Still = Alive] {
      if (*Still)
        flushAnnouncements();
    });
  Announcing.push_back(*Record);
}

void StoreSync::flushAnnouncements() {
  wire::EndpointAnnounce Message;
  for (const MeshEndpoint &Each : Announcing)
    Message.endpoints.push_back(recordOf(Each));
  Announcing.clear();
  for (const Address &Each : domainPeers())
    Peers->sendMessage(Each, FrameType::EndpointAnnounce, Message);
}

std::set<Address> StoreSync::domainPeers() const {
  std::set<Address> Result;
  for (const auto &[Id, Each] : State->directory().all())
    if (Each.State != EndpointState::Gone &&
        Each.FailureDomain == FailureDomain &&
        Each.DaemonAddress != Peers->self())
      Result.insert(Each.DaemonAddress);
  return Result;
}

void StoreSync::endpointsListed(const PlatformListing &Listing) {
  std::set<std::string> Present;
  for (const PlatformObject &Each : Listing.Objects) {
    takeEndpoint(Each);
    Present.insert(Each.Key.substr(Codec.endpointPrefix().size()));
  }
  std::vector<std::string> Missing;
  for (const auto &[Id, Each] : Stored)
    // A listing that is seconds old lacks what was written since.
    if (Present.count(Id) == 0 && Each.Version <= Listing.Revision)
      Missing.push_back(Id);
  for (const std::string &Each : Missing)
    endpointRemoved(Each);
  State->setListed();
}

// A record of a server beside this daemon that still runs is written anew.
void StoreSync::endpointRemoved(const std::string &Id) {
  Stored.erase(Id);
  auto Own = Publications.find(Id);
  if (Own != Publications.end() &&
      Own->second.Record.State == EndpointState::Ready) {
    write(Id);
    return;
  }
  State->remove(Id);
}

void StoreSync::publish(const MeshEndpoint &Record,
                        std::function<void(bool)> OnDone) {
  Publication &Entry = Publications[Record.Id];
  Entry.Record = Record;
  if (!Entry.Writing && isStored(Record)) {
    OnDone(true);
    return;
  }
  Entry.Waiting.push_back(std::move(OnDone));
  write(Record.Id);
}

// Whether the platform has what matters of Record; a later sequence number
// alone does not.
bool StoreSync::isStored(const MeshEndpoint &Record) const {
  auto Found = Stored.find(Record.Id);
  if (Found == Stored.end() || !Found->second.Record)
    return false;
  const MeshEndpoint &Known = *Found->second.Record;
  return Known.Born == Record.Born && Known.State == Record.State &&
         Known.DaemonAddress == Record.DaemonAddress &&
         Known.Server == Record.Server && Known.Service == Record.Service &&
         Known.Version == Record.Version && Known.Slots == Record.Slots;
}

void StoreSync::write(const std::string &Id) {
  Publication &Entry = Publications.at(Id);
  if (Entry.Writing)
    return;
  Entry.Writing = true;
  Entry.Retry.reset();
  auto Known = Stored.find(Id);
  Platform.write(
      endpointKey(Id), formatEndpoint(Entry.Record),
      Known == Stored.end() ? 0 : Known->second.Version,
      [this, Id, Sequence = Entry.Record.Sequence,
       State = Entry.Record.State](Result<uint64_t, PlatformError> Outcome) {
        written(Id, Sequence, State, Outcome);
      });
}

void StoreSync::written(const std::string &Id, uint64_t Sequence,
                        EndpointState WrittenState,
                        Result<uint64_t, PlatformError> Outcome) {
  auto Found = Publications.find(Id);
  if (Found == Publications.end())
    return;
  Publication &Entry = Found->second;
  Entry.Writing = false;
  if (!Outcome) {
    logWarning("endpoint_write_failed",
               {{"server", Id}, {"error", nameOf(Outcome.error())}});
    noteError(Outcome.error());
    if (Outcome.error() == PlatformError::Conflict ||
        Outcome.error() == PlatformError::NotFound ||
        Outcome.error() == PlatformError::NoAnswer)
      readBack(Id);
    else
      retryLater(Id);
    return;
  }
  Entry.Failures = 0;
  StoredRecord &Known = Stored[Id];
  if (Outcome.value() >= Known.Version)
    Known = {Outcome.value(), Entry.Record};
  bool Newest = static_cast<uint64_t>(Entry.Record.Sequence) == Sequence &&
                Entry.Record.State == WrittenState;
  if (!Newest) {
    write(Id);
    return;
  }
  std::vector<std::function<void(bool)>> Waiting;
  Waiting.swap(Entry.Waiting);
  for (const auto &Each : Waiting)
    Each(true);
  if (WrittenState == EndpointState::Gone)
    scheduleRemoval(Id);
}

// Learns the version of the record on the platform before the next attempt.
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
        std::optional<MeshEndpoint> Present = parseEndpoint(Read.value().Value);
        Stored[Id] = {Read.value().Version, Present};
        if (Present && Present->supersedes(Entry.Record)) {
          logWarning("endpoint_superseded", {{"server", Id}});
          State->merge(*Present);
          return;
        }
        bool Same = Present && !Entry.Record.supersedes(*Present);
        if (Same)
          written(Id, static_cast<uint64_t>(Entry.Record.Sequence),
                  Entry.Record.State, Read.value().Version);
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

void StoreSync::removeRecord(const std::string &Id) {
  auto Known = Stored.find(Id);
  if (Known == Stored.end())
    return;
  Platform.remove(endpointKey(Id), Known->second.Version,
                  [Id](Result<uint64_t, PlatformError> Outcome) {
                    if (!Outcome)
                      logWarning(
                          "endpoint_removal_failed",
                          {{"server", Id}, {"error", nameOf(Outcome.error())}});
                  });
}

void StoreSync::writeRollout(const std::string &Service,
                             const RolloutStatus &Next) {
  const Rollout *Present = State->rollouts().find(Service);
  if (Present == nullptr)
    return;
  std::string Key = Codec.rolloutPrefix() + Service;
  logInfo("rollout_decided", {{"service", Service},
                              {"version", Next.TargetVersion},
                              {"state", nameOf(Next.State)},
                              {"share", Next.Share},
                              {"revision", Present->Revision},
                              {"elapsed_ms", milliseconds(Next.Elapsed)}});
  Platform.writeStatus(
      Key, Codec.formatRolloutStatus(Next), Present->Revision,
      [this, Service, Next](Result<uint64_t, PlatformError> Outcome) {
        if (Outcome) {
          PlatformObject Written =
              RolloutObjects[Codec.rolloutPrefix() + Service];
          Written.Version = Outcome.value();
          Written.Status = Codec.formatRolloutStatus(Next);
          takeRollout(Written);
          announceRollout(Written);
          return;
        }
        logWarning("rollout_write_failed",
                   {{"service", Service}, {"error", nameOf(Outcome.error())}});
        noteError(Outcome.error());
      });
}

} // namespace cyclamenwind
