#include "cyclamenwind/mesh/peer_sync.h"

#include "cyclamenwind/base/log.h"
#include "cyclamenwind/base/text_patch.h"

#include <algorithm>

namespace cyclamenwind {
namespace {

constexpr Duration TickPeriod = 1s;
// Interval at which a daemon without a configuration requests one from a peer;
// until it has one, it refuses all requests.
constexpr Duration StartPeriod = 100ms;
// Time for the platform's watch to deliver a newer configuration that a peer
// reported. The watch delivers it within the pause between two watch calls
// (0.7 s). A configuration must be applied within two seconds of its
// acceptance.
constexpr Duration CatchUpDelay = 800ms;
// The same while this daemon does not watch the platform: a relay's patch
// arrives within milliseconds. Also the time between a read of the platform and
// the request to the peer.
constexpr Duration ShortCatchUpDelay = 200ms;
// Interval between attempts to connect to a daemon; doubled at each failure, at
// most MaxProbeDoublings times.
constexpr Duration ProbeBackoffBase = 1s;
constexpr int MaxProbeDoublings = 3;
constexpr Duration RemoveAfter = 30s;
// Peers that a restarted daemon asks for the records of its own servers, and
// how long it looks for connected ones. Several, because some may have been
// restarted as well.
constexpr size_t MaxOwnRecordPulls = 3;
constexpr Duration OwnRecordsPeriod = 10s;

} // namespace

void PeerSync::start(Kernel &TheKernel) {
  Time = &TheKernel.clock();
  Timers = &TheKernel.scheduler();
  Rng = &TheKernel.random();
  State = &TheKernel.find<MeshState>("mesh_state");
  Store = &TheKernel.find<StoreSync>("store_sync");
  Peers = &TheKernel.find<PeerTransport>("peers");
  Peers->handle(FrameType::EndpointAnnounce,
                [this](const Address &From, std::string_view Payload) {
                  receiveAnnounce(From, Payload);
                });
  Peers->handle(FrameType::StatePull,
                [this](const Address &From, std::string_view Payload) {
                  receivePull(From, Payload);
                });
  Peers->handle(FrameType::StateReply,
                [this](const Address &From, std::string_view Payload) {
                  receiveState(From, Payload);
                });
  State->onEndpoint([this](const MeshEndpoint &Endpoint) {
    maintainStream(Endpoint.DaemonAddress);
  });
  State->onNewerPeerRevision(
      [this](const Address &Peer) { scheduleCatchUp(Peer); });
  LastTickAt = ObservedSince = Time->now();
  TickTimer = Timers->every(TickPeriod, [this] { tick(); });
  StartTimer = Timers->every(StartPeriod, [this] { pullAtStart(); });
  StartedAt = Time->now();
  if (!FirstStart)
    OwnRecordsTimer = Timers->every(StartPeriod, [this] { pullOwnRecords(); });
}

void PeerSync::pullOwnRecords() {
  std::vector<Address> Connected = Peers->connectedPeers();
  std::erase_if(Connected, [this](const Address &Peer) {
    return AskedForOwnRecords.count(Peer) != 0;
  });
  while (!Connected.empty() && AskedForOwnRecords.size() < MaxOwnRecordPulls) {
    auto Chosen = Connected.begin() +
                  static_cast<std::ptrdiff_t>(Rng->below(Connected.size()));
    wire::StatePull Message;
    setConfigPosition(Message, State->configPosition());
    Message.ownRecordsOnly = true;
    Peers->sendMessage(*Chosen, FrameType::StatePull, Message);
    AskedForOwnRecords.insert(*Chosen);
    Connected.erase(Chosen);
  }
  if (AskedForOwnRecords.size() == MaxOwnRecordPulls ||
      Time->now() - StartedAt >= OwnRecordsPeriod)
    OwnRecordsTimer.reset();
}

void PeerSync::pullAtStart() {
  if (State->configRevision() != 0) {
    StartTimer.reset();
    return;
  }
  std::vector<Address> Connected = Peers->connectedPeers();
  if (Connected.empty() || Store->configReachable())
    return;
  pull(Connected[Rng->below(Connected.size())]);
}

void PeerSync::stop() {
  TickTimer.reset();
  StartTimer.reset();
  CatchUpTimer.reset();
  OwnRecordsTimer.reset();
}

void PeerSync::receiveAnnounce(const Address &From, std::string_view Payload) {
  Result<wire::EndpointAnnounce, FrameError> Message =
      decodeMessage<wire::EndpointAnnounce>(Payload);
  if (!Message) {
    logWarning("frame_malformed", {{"peer", From.text()}});
    return;
  }
  for (const wire::EndpointRecord &Record : Message.value().endpoints) {
    std::optional<MeshEndpoint> Endpoint = fromWire(Record);
    if (!Endpoint)
      continue;
    if (Endpoint->DaemonAddress != From) {
      State->merge(*Endpoint);
      continue;
    }
    State->mergeFromOwner(*Endpoint);
    if (std::optional<ServerWarmup> Warmup =
            warmupOf(Record.coldForUs, Record.coldRate))
      State->reportWarmup(Endpoint->Id, *Warmup);
  }
}

void PeerSync::receivePull(const Address &From, std::string_view Payload) {
  Result<wire::StatePull, FrameError> Message =
      decodeMessage<wire::StatePull>(Payload);
  if (!Message) {
    logWarning("frame_malformed", {{"peer", From.text()}});
    return;
  }
  wire::StateReply Reply;
  bool OwnOnly = Message.value().ownRecordsOnly;
  ConfigPosition Own = State->configPosition();
  ConfigPosition Asked = configPositionOf(Message.value());
  Reply.configRevision = static_cast<int64_t>(Own.Revision);
  if (Own.Epoch != 0)
    Reply.__set_configEpoch(static_cast<int64_t>(Own.Epoch));
  // A requester that does not know of a restore names no version; it compares.
  bool MayBeNewer =
      Own.newerThan(Asked) ||
      (Own.Epoch != Asked.Epoch && !Message.value().__isset.configVersion);
  if (!OwnOnly && MayBeNewer)
    Reply.config = makePatch("", State->configText());
  for (const MeshEndpoint *Endpoint : State->directory().merged())
    if (!OwnOnly || Endpoint->DaemonAddress == From)
      Reply.endpoints.push_back(toWire(*Endpoint));
  if (State->evacuations().enabled() && State->evacuations().isKnown())
    Reply.__set_evacuations(State->evacuationMessage());
  Peers->sendMessage(From, FrameType::StateReply, Reply);
}

void PeerSync::receiveState(const Address &From, std::string_view Payload) {
  Result<wire::StateReply, FrameError> Message =
      decodeMessage<wire::StateReply>(Payload);
  if (!Message) {
    logWarning("frame_malformed", {{"peer", From.text()}});
    return;
  }
  wire::StateReply &Reply = Message.value();
  auto Revision = static_cast<uint64_t>(Reply.configRevision);
  auto Epoch = static_cast<uint64_t>(Reply.configEpoch);
  bool MayBeNewer = Epoch != State->configPosition().Epoch ||
                    Revision > State->configRevision();
  if (!Reply.config.empty() && MayBeNewer) {
    std::optional<std::string> Text =
        applyPatch("", Reply.config, MaxConfigBytes);
    std::optional<MeshConfig> Config;
    if (Text)
      Config = Codec.config(*Text, Revision);
    if (Config) {
      Config->Epoch = Epoch;
      logInfo("config_from_peer",
              {{"peer", From.text()}, {"revision", Revision}});
      State->apply(std::move(*Config), std::move(*Text), ConfigSource::Peer);
    } else {
      logError("config_unreadable",
               {{"peer", From.text()}, {"revision", Revision}});
    }
  }
  for (const wire::EndpointRecord &Record : Reply.endpoints)
    if (std::optional<MeshEndpoint> Endpoint = fromWire(Record))
      State->merge(*Endpoint);
  if (Reply.__isset.evacuations)
    State->applyEvacuations(Reply.evacuations, Time->now());
  if (!Reply.endpoints.empty())
    State->setPeerRecordsReceived();
}

void PeerSync::pull(const Address &From) {
  wire::StatePull Message;
  setConfigPosition(Message, State->configPosition());
  Peers->sendMessage(From, FrameType::StatePull, Message);
}

void PeerSync::scheduleCatchUp(const Address &Peer) {
  if (CatchUpTimer)
    return;
  ConfigPosition Old = State->configPosition();
  bool Watches = Store->configReachable() && !Store->configWatchIdle();
  Duration Delay = Watches ? CatchUpDelay : ShortCatchUpDelay;
  CatchUpTimer = Timers->after(Delay, [this, Peer, Old, Watches] {
    TimerHandle Fired = std::move(CatchUpTimer);
    if (!State->configPosition().isAt(Old.Epoch, Old.Revision))
      return;
    if (!Watches) {
      pull(Peer);
      return;
    }
    Store->readConfig();
    CatchUpTimer = Timers->after(ShortCatchUpDelay, [this, Peer, Old] {
      TimerHandle FiredAgain = std::move(CatchUpTimer);
      if (State->configPosition().isAt(Old.Epoch, Old.Revision))
        pull(Peer);
    });
  });
}

void PeerSync::tick() {
  TimePoint Now = Time->now();
  if (Now - LastTickAt > 2 * TickPeriod)
    ObservedSince = Now;
  LastTickAt = Now;
  maintainStreams();
  removeDeadEndpoints(Now);
  if (Store->reachable())
    return;
  std::vector<Address> Candidates = pullCandidates();
  if (!Candidates.empty())
    pull(Candidates[Rng->below(Candidates.size())]);
}

// The connected daemons of this failure domain, or all connected daemons if
// there is none. A daemon of the same failure domain is preferred because a
// reply carries the whole configuration.
std::vector<Address> PeerSync::pullCandidates() const {
  std::set<Address> DomainPeers = Store->domainPeers();
  std::vector<Address> Connected = Peers->connectedPeers();
  std::vector<Address> Result;
  std::copy_if(Connected.begin(), Connected.end(), std::back_inserter(Result),
               [&DomainPeers](const Address &Peer) {
                 return DomainPeers.count(Peer) != 0;
               });
  return Result.empty() ? Connected : Result;
}

void PeerSync::maintainStreams() {
  // Includes the daemons of servers that left, which removeDeadEndpoints()
  // needs.
  std::set<Address> DaemonsInDirectory;
  for (const auto &[Id, Endpoint] : State->directory().all())
    DaemonsInDirectory.insert(Endpoint.DaemonAddress);
  std::erase_if(Streams, [&DaemonsInDirectory](const auto &Entry) {
    return DaemonsInDirectory.count(Entry.first) == 0;
  });
  for (const Address &Daemon : State->directory().daemonAddresses())
    maintainStream(Daemon);
}

// Probes Daemon, which opens a stream to it, if none is up and the next attempt
// is due.
void PeerSync::maintainStream(const Address &Daemon) {
  if (Daemon == Peers->self())
    return;
  TimePoint Now = Time->now();
  auto [Position, IsNew] = Streams.emplace(Daemon, StreamState{Now, Now, 0});
  StreamState &Entry = Position->second;
  if (Peers->isConnected(Daemon)) {
    Entry.LastConnected = Now;
    Entry.Attempts = 0;
    return;
  }
  if (Now < Entry.NextAttempt)
    return;
  int Doublings = std::min(Entry.Attempts++, MaxProbeDoublings);
  Entry.NextAttempt = Now + ProbeBackoffBase * (1 << Doublings);
  Peers->probe(Daemon);
}

void PeerSync::removeDeadEndpoints(TimePoint Now) {
  std::vector<Address> Connected = Peers->connectedPeers();
  bool IsLowest =
      std::all_of(Connected.begin(), Connected.end(),
                  [this](const Address &Peer) { return Peers->self() < Peer; });
  if (!IsLowest || Connected.empty() || !Store->endpointsReachable())
    return;
  std::vector<std::string> DeadIds;
  for (const auto &[Id, Endpoint] : State->directory().all()) {
    auto Found = Streams.find(Endpoint.DaemonAddress);
    if (Found == Streams.end() || Endpoint.DaemonAddress == Peers->self())
      continue;
    if (Now - std::max(Found->second.LastConnected, ObservedSince) >=
        RemoveAfter)
      DeadIds.push_back(Id);
  }
  for (const std::string &Id : DeadIds) {
    logWarning("endpoint_dead", {{"server", Id}});
    Store->removeRecord(Id);
  }
}

} // namespace cyclamenwind
