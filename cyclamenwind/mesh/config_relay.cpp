#include "cyclamenwind/mesh/config_relay.h"

#include "cyclamenwind/base/log.h"
#include "cyclamenwind/base/text_patch.h"

#include <algorithm>

namespace cyclamenwind {
namespace {

// Interval at which relays announce the revision that they have.
constexpr Duration AnnouncePeriod = 2s;
// Two announcement periods plus 500 ms for delays. A daemon does not rely on a
// relay that announced nothing for longer, because a configuration must be
// applied within two seconds of its acceptance.
constexpr Duration RelayTimeout = 4500ms;
// Daemons that hear of an outage call the platform within this time.
constexpr Duration OwnWatchSpread = 200ms;

} // namespace

void ConfigRelay::start(Kernel &TheKernel) {
  Time = &TheKernel.clock();
  Timers = &TheKernel.scheduler();
  State = &TheKernel.find<MeshState>("mesh_state");
  Store = &TheKernel.find<StoreSync>("store_sync");
  Rng = &TheKernel.random();
  Peers = &TheKernel.find<PeerTransport>("peers");
  Peers->handle(FrameType::ConfigPush,
                [this](const Address &From, std::string_view Payload) {
                  receive(From, Payload);
                });
  Peers->onPeerDisconnect([this](const Address &Peer, PeerDisconnect Reason) {
    peerDisconnected(Peer, Reason);
  });
  State->onConfigReplaced(
      [this](const ConfigPosition &Previous, std::string_view PreviousText) {
        configChanged(Previous, PreviousText);
      });
  Store->OnRestored = [this] { push("", {}); };
  Store->ConfigIsRelayed = [this] { return isRelayed(); };
  Store->CannotReachPlatform = [this](const Address &Peer) {
    auto Found = LastAnnounced.find(Peer);
    return Found != LastAnnounced.end() &&
           Found->second.Source == wire::RelaySource::UNREACHABLE &&
           Time->now() - Found->second.ReceivedAt < RelayTimeout;
  };
  Store->HearsOfOutage = [this] { return hearsOfOutage(); };
  Store->OnConfigChecked = [this] { announceChange(); };
  AnnounceTimer =
      TheKernel.scheduler().every(AnnouncePeriod, [this] { tick(); });
}

// A relay relies only on watchers: two relays must not rely on each other. Nor
// must two daemons that took over in an outage; the lower address keeps
// watching.
bool ConfigRelay::isRelayed() const {
  TimePoint Now = Time->now();
  bool TookOver = hasTakenOver();
  bool NeedsWatcher = TookOver || Store->isRelay();
  return std::any_of(
      LastAnnounced.begin(), LastAnnounced.end(), [&](const auto &Entry) {
        const auto &[Peer, Last] = Entry;
        if (Now - Last.ReceivedAt >= RelayTimeout)
          return false;
        if (Last.Source == wire::RelaySource::PLATFORM)
          return !TookOver || Peer < Peers->self();
        return Last.Source == wire::RelaySource::RELAY && !NeedsWatcher;
      });
}

// Whether others receive their patches from this daemon although it is not a
// watcher.
bool ConfigRelay::hasTakenOver() const {
  return LastSource == wire::RelaySource::PLATFORM && !Store->isConfigWatcher();
}

bool ConfigRelay::hearsOfOutage() const {
  TimePoint Now = Time->now();
  return std::any_of(
      LastAnnounced.begin(), LastAnnounced.end(), [Now](const auto &Entry) {
        return Now - Entry.second.ReceivedAt < RelayTimeout &&
               Entry.second.Source == wire::RelaySource::UNREACHABLE;
      });
}

// Whether a relay of this failure domain with a lower address is active and
// sends the patches.
bool ConfigRelay::hasEarlierRelay() const {
  TimePoint Now = Time->now();
  std::set<Address> DomainPeers = Store->domainPeers();
  return std::any_of(
      LastAnnounced.begin(), LastAnnounced.end(), [&](const auto &Entry) {
        const auto &[Peer, Last] = Entry;
        return Peer < Peers->self() && DomainPeers.count(Peer) != 0 &&
               Last.Source != wire::RelaySource::UNREACHABLE &&
               Now - Last.ReceivedAt < RelayTimeout;
      });
}

// How this daemon learns of changes, if it is to announce them. A daemon that
// made no calls since it heard of an outage does not know whether it is served.
std::optional<wire::RelaySource::type> ConfigRelay::source() const {
  bool IsWatcher = Store->isConfigWatcher();
  bool IsRelay = Store->isRelay();
  if (!IsWatcher && !IsRelay && !hasTakenOver())
    return std::nullopt;
  bool Confirmed = Store->configConfirmed() &&
                   !(Store->configWatchIdle() && hearsOfOutage());
  // Also while it receives patches of others: it must not be chosen, and those
  // who serve it must not rely on it in turn.
  if (!Store->configReachable())
    return wire::RelaySource::UNREACHABLE;
  if (!IsWatcher && isRelayed()) {
    if (!IsRelay)
      return std::nullopt;
    return wire::RelaySource::RELAY;
  }
  return Confirmed ? wire::RelaySource::PLATFORM
                   : wire::RelaySource::UNREACHABLE;
}

void ConfigRelay::announceChange() {
  if (source() != LastSource)
    push("", {});
}

void ConfigRelay::scheduleOwnWatch() {
  if (OwnWatchTimer || isRelayed() || !hearsOfOutage())
    return;
  auto Spread = static_cast<double>(OwnWatchSpread.count()) * Rng->fraction();
  OwnWatchTimer = Timers->after(Duration(static_cast<int64_t>(Spread)), [this] {
    TimerHandle Fired = std::move(OwnWatchTimer);
    Store->reconsiderConfigWatch();
  });
}

void ConfigRelay::configChanged(const ConfigPosition &Previous,
                                std::string_view PreviousText) {
  if (!source())
    return;
  std::string Patch;
  if (Previous.Revision != 0)
    Patch = makePatch(PreviousText, State->configText());
  push(Patch, Previous);
}

void ConfigRelay::tick() {
  TimePoint Now = Time->now();
  std::erase_if(LastAnnounced, [Now](const auto &Entry) {
    return Now - Entry.second.ReceivedAt >= RelayTimeout;
  });
  push("", {});
}

wire::ConfigPush
ConfigRelay::announcement(wire::RelaySource::type Source) const {
  wire::ConfigPush Message;
  ConfigPosition Position = State->configPosition();
  Message.revision = static_cast<int64_t>(Position.Revision);
  Message.source = Source;
  if (Position.Epoch != 0 || Position.NamesVersion) {
    Message.__set_epoch(static_cast<int64_t>(Position.Epoch));
    Message.__set_configVersion(Position.Version);
  }
  if (State->platformEpoch() != 0)
    Message.__set_platformEpoch(static_cast<int64_t>(State->platformEpoch()));
  return Message;
}

void ConfigRelay::push(const std::string &Patch, const ConfigPosition &Base) {
  std::optional<wire::RelaySource::type> Source = source();
  LastSource = Source;
  if (!Source)
    return;
  if (OnAnnounced)
    OnAnnounced(receivers());
  wire::ConfigPush Message = announcement(*Source);
  Message.baseRevision = static_cast<int64_t>(Base.Revision);
  if (Base.Epoch != 0)
    Message.__set_baseEpoch(static_cast<int64_t>(Base.Epoch));
  Message.patch = Patch;
  std::string WithPatch = encodeMessage(Message);
  Message.patch.clear();
  std::string WithoutPatch = encodeMessage(Message);
  const std::string &ToDomain = hasEarlierRelay() ? WithoutPatch : WithPatch;
  for (const Address &Peer : Store->domainPeers())
    if (Peers->isConnected(Peer))
      Peers->send(Peer, FrameType::ConfigPush, ToDomain);
  // In an outage it is not known which daemons act as watchers and relays.
  bool ToAll =
      *Source == wire::RelaySource::PLATFORM && !Store->isFirstChoiceWatcher();
  if (!Store->isConfigWatcher() && !ToAll)
    return;
  std::set<Address> InDomain = Store->domainPeers();
  for (const Address &Peer :
       ToAll ? Peers->connectedPeers() : Store->remoteRelays())
    if (InDomain.count(Peer) == 0)
      Peers->send(Peer, FrameType::ConfigPush, WithPatch);
}

std::set<Address> ConfigRelay::receivers() const {
  std::optional<wire::RelaySource::type> Source = source();
  if (!Source)
    return {};
  std::set<Address> Result = Store->domainPeers();
  bool ToAll =
      *Source == wire::RelaySource::PLATFORM && !Store->isFirstChoiceWatcher();
  if (!Store->isConfigWatcher() && !ToAll)
    return Result;
  for (const Address &Peer :
       ToAll ? Peers->connectedPeers() : Store->remoteRelays())
    Result.insert(Peer);
  return Result;
}

// The announcement opens a new stream to the peer.
void ConfigRelay::peerDisconnected(const Address &Peer, PeerDisconnect Reason) {
  if (Reason != PeerDisconnect::Lost && Reason != PeerDisconnect::Silent)
    return;
  if (LostStreams.empty())
    Timers->defer([this, StillAlive = Alive] {
      if (!*StillAlive)
        return;
      std::set<Address> Lost;
      Lost.swap(LostStreams);
      announceTo(Lost);
    });
  LostStreams.insert(Peer);
}

void ConfigRelay::announceTo(const std::set<Address> &Receivers) {
  std::optional<wire::RelaySource::type> Source = source();
  if (!Source)
    return;
  std::set<Address> Members = Store->domainPeers();
  if (Store->isConfigWatcher()) {
    std::vector<Address> Relays = Store->remoteRelays(Receivers);
    Members.insert(Relays.begin(), Relays.end());
  }
  wire::ConfigPush Message = announcement(*Source);
  for (const Address &Peer : Receivers)
    if (Members.count(Peer) != 0)
      Peers->sendMessage(Peer, FrameType::ConfigPush, Message);
  if (OnAnnounced)
    OnAnnounced(Receivers);
}

void ConfigRelay::receive(const Address &From, std::string_view Payload) {
  Result<wire::ConfigPush, FrameError> Decoded =
      decodeMessage<wire::ConfigPush>(Payload);
  if (!Decoded) {
    logWarning("frame_malformed", {{"peer", From.text()}});
    return;
  }
  const wire::ConfigPush &Message = Decoded.value();
  ConfigPosition Position{static_cast<uint64_t>(Message.epoch),
                          static_cast<uint64_t>(Message.revision),
                          Message.configVersion};
  Store->onEpochHeard(static_cast<uint64_t>(Message.platformEpoch));
  LastAnnounced[From] = {Time->now(), Message.source};
  scheduleOwnWatch();
  announceChange();
  if (!Position.newerThan(State->configPosition()))
    return;
  bool Applies =
      !Message.patch.empty() &&
      State->configPosition().isAt(static_cast<uint64_t>(Message.baseEpoch),
                                   static_cast<uint64_t>(Message.baseRevision));
  if (!Applies) {
    State->reportPeerRevision(From, Position);
    return;
  }
  std::optional<std::string> Text =
      applyPatch(State->configText(), Message.patch, MaxConfigBytes);
  std::optional<MeshConfig> Config;
  if (Text)
    Config = Codec.config(*Text, Position.Revision);
  if (!Config) {
    logError("config_unreadable",
             {{"peer", From.text()}, {"revision", Position.Revision}});
    State->reportPeerRevision(From, Position);
    return;
  }
  Config->Epoch = Position.Epoch;
  Store->onConfigPushed(Position);
  State->apply(std::move(*Config), std::move(*Text), ConfigSource::Relay);
}

} // namespace cyclamenwind
