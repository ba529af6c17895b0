#include "cyclamenwind/mesh/peer_sync.h"

#include "cyclamenwind/base/log.h"
#include "cyclamenwind/base/text_patch.h"

#include <algorithm>

namespace cyclamenwind {
namespace {

constexpr Duration TickPeriod = 1s;
// How often a daemon without a configuration looks for a peer that can tell it;
// meanwhile it refuses everything.
constexpr Duration StartPeriod = 100ms;
// The platform's own word on a newer configuration is waited for this long: it
// comes within the pause between two waits for changes (0.7 s). Configuration
// has to be in force two seconds after it was accepted.
constexpr Duration BehindDelay = 800ms;
// While the platform is away, and after a read that brought nothing newer.
constexpr Duration BehindDelayAlone = 200ms;
// Between attempts to reach a daemon; doubled up to the limit.
constexpr Duration ContactBase = 1s;
constexpr int MaxContactDoublings = 3;
constexpr Duration RemoveAfter = 30s;

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
  State->onEndpoint(
      [this](const MeshEndpoint &Each) { contact(Each.DaemonAddress); });
  State->onNewerPeerRevision([this](const Address &Peer) { behind(Peer); });
  LastTick = TrustedFrom = Time->now();
  Ticker = Timers->every(TickPeriod, [this] { tick(); });
  StartTicker = Timers->every(StartPeriod, [this] { askAtStart(); });
}

void PeerSync::askAtStart() {
  if (State->configRevision() != 0) {
    StartTicker.reset();
    return;
  }
  std::vector<Address> Linked = Peers->connectedPeers();
  if (Linked.empty() || Store->configReachable())
    return;
  pull(Linked[Rng->below(Linked.size())]);
}

void PeerSync::stop() {
  Ticker.reset();
  StartTicker.reset();
  BehindTimer.reset();
}

void PeerSync::receiveAnnounce(const Address &From, std::string_view Payload) {
  Result<wire::EndpointAnnounce, FrameError> Message =
      decodeMessage<wire::EndpointAnnounce>(Payload);
  if (!Message) {
    logWarning("frame_malformed", {{"peer", From.text()}});
    return;
  }
  for (const wire::EndpointRecord &Each : Message.value().endpoints) {
    std::optional<MeshEndpoint> Record = endpointOf(Each);
    if (!Record)
      continue;
    if (Record->DaemonAddress == From)
      State->mergeFromOwner(*Record);
    else
      State->merge(*Record);
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
  Reply.configRevision = static_cast<int64_t>(State->configRevision());
  if (Reply.configRevision > Message.value().configRevision)
    Reply.config = makePatch("", State->configText());
  for (const auto &[Id, Each] : State->directory().all())
    Reply.endpoints.push_back(recordOf(Each));
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
  if (!Reply.config.empty() && Revision > State->configRevision()) {
    std::optional<std::string> Text =
        applyPatch("", Reply.config, MaxConfigBytes);
    std::optional<MeshConfig> Config;
    if (Text)
      Config = Codec.config(*Text, Revision);
    if (Config) {
      logInfo("config_from_peer",
              {{"peer", From.text()}, {"revision", Revision}});
      State->apply(std::move(*Config), std::move(*Text));
    } else {
      logError("config_unreadable",
               {{"peer", From.text()}, {"revision", Revision}});
    }
  }
  for (const wire::EndpointRecord &Each : Reply.endpoints)
    if (std::optional<MeshEndpoint> Record = endpointOf(Each))
      State->merge(*Record);
  if (!Reply.endpoints.empty())
    State->setPeerRecordsRead();
}

void PeerSync::pull(const Address &From) {
  wire::StatePull Message;
  Message.configRevision = static_cast<int64_t>(State->configRevision());
  Peers->sendMessage(From, FrameType::StatePull, Message);
}

void PeerSync::behind(const Address &Peer) {
  if (BehindTimer)
    return;
  uint64_t Before = State->configRevision();
  Duration Delay = Store->configReachable() ? BehindDelay : BehindDelayAlone;
  BehindTimer = Timers->after(Delay, [this, Peer, Before] {
    TimerHandle Fired = std::move(BehindTimer);
    if (State->configRevision() != Before)
      return;
    if (!Store->configReachable()) {
      pull(Peer);
      return;
    }
    Store->readConfig();
    BehindTimer = Timers->after(BehindDelayAlone, [this, Peer, Before] {
      TimerHandle OnDone = std::move(BehindTimer);
      if (State->configRevision() == Before)
        pull(Peer);
    });
  });
}

void PeerSync::tick() {
  TimePoint Now = Time->now();
  if (Now - LastTick > 2 * TickPeriod)
    TrustedFrom = Now;
  LastTick = Now;
  keepContact();
  removeDead(Now);
  if (Store->reachable())
    return;
  std::vector<Address> Candidates = pullCandidates();
  if (!Candidates.empty())
    pull(Candidates[Rng->below(Candidates.size())]);
}

// Reached daemons of this failure domain, or all that are reached if there is
// none: a reply has the whole configuration.
std::vector<Address> PeerSync::pullCandidates() const {
  std::set<Address> Near = Store->domainPeers();
  std::vector<Address> Linked = Peers->connectedPeers();
  std::vector<Address> Result;
  std::copy_if(Linked.begin(), Linked.end(), std::back_inserter(Result),
               [&Near](const Address &Each) { return Near.count(Each) != 0; });
  return Result.empty() ? Linked : Result;
}

void PeerSync::keepContact() {
  // Those of servers that left count for removeDead().
  std::set<Address> Named;
  for (const auto &[Id, Each] : State->directory().all())
    Named.insert(Each.DaemonAddress);
  std::erase_if(Contacts, [&Named](const auto &Entry) {
    return Named.count(Entry.first) == 0;
  });
  for (const Address &Each : State->directory().daemonAddresses())
    contact(Each);
}

// Opens a stream to Daemon if none stands and its turn has come.
void PeerSync::contact(const Address &Daemon) {
  if (Daemon == Peers->self())
    return;
  TimePoint Now = Time->now();
  auto [Position, IsNew] = Contacts.emplace(Daemon, Contact{Now, Now, 0});
  Contact &Entry = Position->second;
  if (Peers->isConnected(Daemon)) {
    Entry.LastUp = Now;
    Entry.Tries = 0;
    return;
  }
  if (Now < Entry.NextTry)
    return;
  int Doublings = std::min(Entry.Tries++, MaxContactDoublings);
  Entry.NextTry = Now + ContactBase * (1 << Doublings);
  Peers->probe(Daemon);
}

void PeerSync::removeDead(TimePoint Now) {
  std::vector<Address> Linked = Peers->connectedPeers();
  bool Lowest =
      std::all_of(Linked.begin(), Linked.end(),
                  [this](const Address &Each) { return Peers->self() < Each; });
  if (!Lowest || Linked.empty() || !Store->endpointsReachable())
    return;
  std::vector<std::string> Dead;
  for (const auto &[Id, Each] : State->directory().all()) {
    auto Found = Contacts.find(Each.DaemonAddress);
    if (Found == Contacts.end() || Each.DaemonAddress == Peers->self())
      continue;
    if (Now - std::max(Found->second.LastUp, TrustedFrom) >= RemoveAfter)
      Dead.push_back(Id);
  }
  for (const std::string &Each : Dead) {
    logWarning("endpoint_dead", {{"server", Each}});
    Store->removeRecord(Each);
  }
}

} // namespace cyclamenwind
