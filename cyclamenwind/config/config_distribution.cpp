#include "cyclamenwind/config/config_distribution.h"

#include "cyclamenwind/base/backoff.h"
#include "cyclamenwind/base/log.h"
#include "cyclamenwind/config/delta.h"
#include "cyclamenwind/config/keys.h"

#include <nlohmann/json.hpp>

namespace cyclamenwind {
namespace {

constexpr Duration TickPeriod = 100ms;
constexpr Duration StatementPeriod = 1s;
// A source that is silent for this long is replaced.
constexpr Duration SourceSilence = 2500ms;
constexpr Duration AvoidTime = 3s;
constexpr size_t MaxSources = 2;
constexpr size_t PeersAsked = 3;
constexpr Duration AskPeriod = 700ms;
// How long a daemon without a relay waits for peers before it asks the
// platform.
constexpr Duration PeersFirst = 300ms;
constexpr Duration RelayListPeriod = 5s;
constexpr Duration PlatformRetryBase = 500ms;
constexpr Duration PlatformRetryLimit = 1500ms;
// When a fresh daemon that no relay has answered reads the document itself.
constexpr Duration FreshReadDelay = 1500ms;
// Period of reads by a daemon that no relay answers.
constexpr Duration LoneReadPeriod = 1s;
constexpr double Spread = 0.6;

// The version that Text claims; 0 if it can't be told.
uint64_t versionIn(const std::string &Text) {
  nlohmann::json Node = nlohmann::json::parse(Text, nullptr, false);
  if (!Node.is_object() || !Node.contains("version") ||
      !Node["version"].is_number_unsigned())
    return 0;
  return Node["version"].get<uint64_t>();
}

bool meansAway(PlatformError Error) {
  return Error == PlatformError::Unreachable ||
         Error == PlatformError::NoAnswer || Error == PlatformError::Overloaded;
}

template <typename T> void shuffle(std::vector<T> &List, Random &Rng) {
  for (size_t I = List.size(); I > 1; --I)
    std::swap(List[I - 1], List[Rng.below(I)]);
}

} // namespace

ConfigDistribution::ConfigDistribution(const Settings &TheSettings)
    : Self(TheSettings.Member), Options(TheSettings.Config) {}

void ConfigDistribution::start(Kernel &TheKernel) {
  Time = &TheKernel.clock();
  Timers = &TheKernel.scheduler();
  Rng = &TheKernel.random();
  Platform = &TheKernel.find<PlatformClient>("platform");
  Peers = &TheKernel.find<PeerTransport>("peers");
  Store = &TheKernel.find<ConfigStore>("config");
  Members = &TheKernel.find<MembershipView>("membership");
  Process = static_cast<int64_t>(Rng->next());
  Store->onChange([this](const SnapshotPtr &) { pushNewest(); });
  auto On = [this](FrameType Type, void (ConfigDistribution::*Receive)(
                                       const Address &, std::string_view)) {
    Peers->handle(
        Type, [this, Receive](const Address &From, std::string_view Payload) {
          (this->*Receive)(From, Payload);
        });
  };
  On(FrameType::ConfigSubscribe, &ConfigDistribution::receiveStatement);
  On(FrameType::ConfigState, &ConfigDistribution::receiveState);
  On(FrameType::ConfigDelta, &ConfigDistribution::receiveDelta);
  On(FrameType::ConfigSnapshot, &ConfigDistribution::receiveSnapshot);
  On(FrameType::ConfigStanding, &ConfigDistribution::receiveSum);
  Peers->onPeerDisconnect([this](const Address &Peer, PeerDisconnect) {
    dropSource(Peer, Time->now());
    Following.erase(Peer);
  });
  Feed = std::make_unique<DocumentWatch>(*Platform, *Timers, *Rng);
  Feed->onText([this](const std::string &Text) { offer(Text); });
  Feed->onSynchronised([this] {
    Fresh.confirmed(std::max(Store->version(), PendingVersion));
    tryOpen();
  });
  if (Options.WatchDirectly) {
    Feed->start();
    return;
  }
  NextRead = Time->now() + Rng->jittered(FreshReadDelay, Spread);
  Ticker = Timers->every(TickPeriod, [this] { tick(); });
}

void ConfigDistribution::stop() {
  Ticker.reset();
  if (Slot)
    Slot->stop();
  Feed->stop();
  *Alive = false;
}

void ConfigDistribution::tick() {
  TimePoint Now = Time->now();
  std::erase_if(Following, [&](const auto &Each) {
    return Now - Each.second.LastReceived >= VersionReportLifetime;
  });
  dropSilentSources(Now);
  chooseSources(Now);
  stateWhereDue(Now);
  if (isRelay(Now) && Now >= NextList)
    listRelays();
  seekRelay(Now);
  if (!Opened || LacksRelay)
    readDocument(Now);
  reviewSlot(Now);
  sendSums(Now);
}

void ConfigDistribution::dropSilentSources(TimePoint Now) {
  std::vector<Address> Silent;
  for (const Source &Each : Sources)
    if (Now - Each.LastReceived >= SourceSilence)
      Silent.push_back(Each.Peer);
  for (const Address &Each : Silent)
    dropSource(Each, Now);
  std::erase_if(AvoidUntil,
                [&](const auto &Each) { return Now >= Each.second; });
}

// Two relays of the own failure domain. Others only while there is none, or one
// of them if this daemon is a relay, so that a failure domain that the platform
// can't reach still hears of changes.
void ConfigDistribution::chooseSources(TimePoint Now) {
  std::vector<Address> Near = Directory.inDomain(Self.FailureDomain);
  std::vector<Address> Far = Directory.elsewhere(Self.FailureDomain);
  addUpTo(MaxSources, Near, Now);
  size_t NearCount = sourcesIn(Near);
  size_t FarWanted = NearCount == 0 ? MaxSources : (Slot ? 1 : 0);
  addUpTo(FarWanted, Far, Now);
  if (FarWanted == 0 && hasLiveRelay(Now))
    std::erase_if(Sources, [&](const Source &Each) {
      return std::find(Near.begin(), Near.end(), Each.Peer) == Near.end();
    });
}

size_t ConfigDistribution::sourcesIn(const std::vector<Address> &Group) const {
  return static_cast<size_t>(
      std::count_if(Sources.begin(), Sources.end(), [&](const Source &Each) {
        return std::find(Group.begin(), Group.end(), Each.Peer) != Group.end();
      }));
}

void ConfigDistribution::addUpTo(size_t Count, std::vector<Address> Candidates,
                                 TimePoint Now) {
  size_t Present = sourcesIn(Candidates);
  shuffle(Candidates, *Rng);
  for (const Address &Each : Candidates) {
    if (Present >= Count)
      return;
    bool Known = std::any_of(Sources.begin(), Sources.end(),
                             [&](const Source &S) { return S.Peer == Each; });
    if (Known || Each == Peers->self() || AvoidUntil.count(Each) != 0)
      continue;
    addSource(Each, Now);
    ++Present;
  }
}

void ConfigDistribution::addSource(const Address &Peer, TimePoint Now) {
  Sources.push_back({Peer, Now, Now, false});
}

void ConfigDistribution::dropSource(const Address &Peer, TimePoint Now) {
  size_t Dropped = std::erase_if(
      Sources, [&](const Source &Each) { return Each.Peer == Peer; });
  if (Dropped > 0)
    AvoidUntil[Peer] = Now + Rng->jittered(AvoidTime, Spread);
}

bool ConfigDistribution::hasLiveRelay(TimePoint) const {
  return std::any_of(Sources.begin(), Sources.end(),
                     [](const Source &Each) { return Each.Relay; });
}

// The first source that acts as a relay pushes; the others only answer.
bool ConfigDistribution::isPrimary(const Address &Peer, TimePoint) const {
  for (const Source &Each : Sources)
    if (Each.Relay)
      return Each.Peer == Peer;
  return true;
}

void ConfigDistribution::stateWhereDue(TimePoint Now) {
  for (Source &Each : Sources) {
    if (Now < Each.NextStatement)
      continue;
    Each.NextStatement = Now + Rng->jittered(StatementPeriod, 0.2);
    state(Each.Peer);
  }
}

void ConfigDistribution::state(const Address &To, bool WantWhole) {
  wire::ConfigSubscribe Message;
  Message.member = Self.Id;
  Message.domain = Self.FailureDomain;
  Message.version = static_cast<int64_t>(Store->version());
  if (!WantWhole && Store->current())
    Message.digest = static_cast<int64_t>(Store->current()->digest());
  if (!WantWhole && !Opened && !Pending.empty())
    Message.digest = static_cast<int64_t>(digestOf(Pending));
  Message.primary = isPrimary(To, Time->now());
  Message.fresh = !Opened;
  Message.rejected = static_cast<int64_t>(Rejected);
  Message.directory = Directory.digest();
  Message.process = Process;
  Peers->sendMessage(To, FrameType::ConfigSubscribe, Message);
}

void ConfigDistribution::stateToAll() {
  for (const Source &Each : Sources)
    state(Each.Peer);
}

// Without a live relay: asks peers first, then the platform, and contends for a
// slot of the own failure domain if nobody there answers.
void ConfigDistribution::seekRelay(TimePoint Now) {
  if (isRelay(Now) || hasLiveRelay(Now)) {
    LacksRelay = false;
    return;
  }
  if (!LacksRelay) {
    LacksRelay = true;
    LacksRelaySince = Now;
    NextAsk = Now;
    NextList = Now + Rng->jittered(PeersFirst, Spread);
    NextRead = std::max(NextRead, Now + Rng->jittered(LoneReadPeriod, Spread));
  }
  if (Now >= NextAsk)
    askPeers(Now);
  if (Now >= NextList)
    listRelays();
  bool Tried = sourcesIn(Directory.inDomain(Self.FailureDomain)) == 0;
  if (Slot || !Tried || ListedAt < LacksRelaySince)
    return;
  int Count = std::max(1, Options.RelaysPerDomain);
  contend(static_cast<int>(Rng->below(static_cast<uint64_t>(Count))), Now);
}

// Asks a few members, in different failure domains if possible.
void ConfigDistribution::askPeers(TimePoint Now) {
  NextAsk = Now + Rng->jittered(AskPeriod, Spread);
  std::vector<const Member *> Candidates;
  for (const auto &[Id, Record] : Members->memberList().members())
    if (Id != Self.Id && Record.reachable())
      Candidates.push_back(&Record);
  shuffle(Candidates, *Rng);
  std::map<std::string, size_t> Asked;
  std::stable_sort(Candidates.begin(), Candidates.end(),
                   [&](const Member *A, const Member *B) {
                     return (A->FailureDomain == Self.FailureDomain) >
                            (B->FailureDomain == Self.FailureDomain);
                   });
  size_t Sent = 0;
  for (const Member *Each : Candidates) {
    if (Sent >= PeersAsked)
      return;
    if (Asked[Each->FailureDomain]++ > 0 && Candidates.size() > PeersAsked)
      continue;
    state(Each->Peer);
    ++Sent;
  }
}

void ConfigDistribution::listRelays() {
  if (Listing)
    return;
  Listing = true;
  Platform->list(RelayPrefix, [this, Guard = Alive](
                                  Result<PlatformListing, PlatformError> List) {
    if (!*Guard)
      return;
    Listing = false;
    TimePoint Now = Time->now();
    if (!List) {
      NextList = Now + backoffDelay(++ListFailures, PlatformRetryBase,
                                    PlatformRetryLimit, *Rng);
      return;
    }
    ListFailures = 0;
    ListedAt = Now;
    NextList = Now + Rng->jittered(RelayListPeriod, 0.2);
    Directory.listed(List.value(), Now);
    if (isRelay(Now))
      Directory.add(Self.FailureDomain, Peers->self());
  });
}

// Reads the document without a relay: at the start, and while no relay lives in
// any failure domain, which lasts at most about a lease's term.
void ConfigDistribution::readDocument(TimePoint Now) {
  if (Reading || Now < NextRead || Feed->running())
    return;
  Reading = true;
  Platform->read(DocumentKey, [this, Guard = Alive](
                                  Result<PlatformObject, PlatformError> Read) {
    if (!*Guard)
      return;
    Reading = false;
    NextRead = Time->now() + Rng->jittered(LoneReadPeriod, Spread);
    if (Read)
      offer(Read.value().Value);
    if (Read || Read.error() == PlatformError::NotFound) {
      ReadFailures = 0;
      Fresh.confirmed(Read ? versionIn(Read.value().Value) : 0);
    } else {
      if (meansAway(Read.error()))
        Fresh.platformAway();
      NextRead = Time->now() + backoffDelay(++ReadFailures, PlatformRetryBase,
                                            PlatformRetryLimit, *Rng);
      askPeers(Time->now());
    }
    tryOpen();
  });
}

void ConfigDistribution::receiveState(const Address &From,
                                      std::string_view Payload) {
  Result<wire::ConfigState, FrameError> Message =
      decodeMessage<wire::ConfigState>(Payload);
  if (!Message)
    return;
  const wire::ConfigState &Heard = Message.value();
  TimePoint Now = Time->now();
  for (Source &Each : Sources)
    if (Each.Peer == From) {
      Each.LastReceived = Now;
      Each.Relay = Heard.relay;
    }
  if (Heard.__isset.relays) {
    Directory.told(Heard.relays);
    if (isRelay(Now))
      Directory.add(Self.FailureDomain, Peers->self());
  }
  // A daemon that gave its slot up, or whose slot another took.
  if (!Heard.relay && Directory.relays().count(From) == 0)
    dropSource(From, Now);
  for (const wire::DomainStanding &Each : Heard.standing)
    FleetChanged |= Fleet.update(From, Each, Now);
  if (Heard.contendSlot >= 0 && !Slot)
    contend(Heard.contendSlot, Now);
  if (Opened)
    return;
  if (Heard.confirmed && Heard.process == Process)
    Fresh.confirmed(static_cast<uint64_t>(Heard.version));
  if (Heard.platformAway)
    Fresh.platformAway();
  Fresh.peerAnswered(From, Heard.domain, static_cast<uint64_t>(Heard.version));
  tryOpen();
}

void ConfigDistribution::receiveDelta(const Address &From,
                                      std::string_view Payload) {
  Result<wire::ConfigDelta, FrameError> Message =
      decodeMessage<wire::ConfigDelta>(Payload);
  if (!Message)
    return;
  const wire::ConfigDelta &Delta = Message.value();
  if (static_cast<uint64_t>(Delta.toVersion) <= Store->version())
    return;
  if (!Store->current()) {
    state(From, /*WantWhole=*/true);
    return;
  }
  Result<std::string, DeltaError> Text = applyDelta(*Store->current(), Delta);
  if (Text) {
    offer(Text.value());
    return;
  }
  bool OtherBase = Text.error() == DeltaError::OtherBase;
  if (!OtherBase)
    logWarning("config_delta_failed", {{"cause", nameOf(Text.error())},
                                       {"version", Delta.toVersion},
                                       {"peer", From.text()}});
  state(From, /*WantWhole=*/!OtherBase);
}

void ConfigDistribution::receiveSnapshot(const Address &From,
                                         std::string_view Payload) {
  Result<wire::ConfigSnapshot, FrameError> Message =
      decodeMessage<wire::ConfigSnapshot>(Payload);
  if (!Message)
    return;
  Result<std::string, DeltaError> Text = unpackSnapshot(Message.value());
  if (Text) {
    offer(Text.value());
    return;
  }
  logWarning("config_snapshot_failed",
             {{"cause", nameOf(Text.error())}, {"peer", From.text()}});
}

// Puts Text in force, or keeps it until the start is over.
void ConfigDistribution::offer(const std::string &Text) {
  if (Opened) {
    apply(Text);
    return;
  }
  Result<Envelope, DocumentErrors> Parsed = parseEnvelope(Text);
  if (!Parsed) {
    apply(Text); // Is rejected and reported; nothing is in force yet.
    return;
  }
  if (Parsed.value().Version > PendingVersion) {
    PendingVersion = Parsed.value().Version;
    Pending = Text;
  }
  tryOpen();
}

void ConfigDistribution::apply(const std::string &Text) {
  ApplyOutcome Outcome = Store->apply(Text);
  if (Outcome != ApplyOutcome::Invalid)
    return;
  uint64_t Version = versionIn(Text);
  if (Version <= Rejected)
    return;
  Rejected = Version;
  stateToAll();
}

void ConfigDistribution::tryOpen() {
  std::optional<uint64_t> Least = Fresh.leastVersion();
  if (Opened || !Least || PendingVersion < *Least)
    return;
  Opened = true;
  logInfo("config_start_over",
          {{"least", *Least}, {"version", PendingVersion}});
  if (!Pending.empty())
    apply(std::exchange(Pending, std::string()));
  else
    stateToAll();
}

} // namespace cyclamenwind
