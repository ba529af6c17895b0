#include "cyclamenwind/config/distribution.h"

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

template <typename T> void shuffle(std::vector<T> &List, Random &Dice) {
  for (size_t I = List.size(); I > 1; --I)
    std::swap(List[I - 1], List[Dice.below(I)]);
}

} // namespace

Distribution::Distribution(const Settings &TheSettings)
    : Self(TheSettings.Member), Options(TheSettings.Config) {}

void Distribution::start(Kernel &Host) {
  Time = &Host.clock();
  Timers = &Host.scheduler();
  Dice = &Host.random();
  Platform = &Host.find<PlatformClient>("platform");
  Peers = &Host.find<PeerTransport>("peers");
  Store = &Host.find<ConfigStore>("config");
  Members = &Host.find<MembershipView>("membership");
  Process = static_cast<int64_t>(Dice->next());
  Store->onChange([this](const SnapshotPtr &) { pushNewest(); });
  auto On = [this](FrameType Type, void (Distribution::*Receive)(
                                       const Address &, std::string_view)) {
    Peers->handle(
        Type, [this, Receive](const Address &From, std::string_view Payload) {
          (this->*Receive)(From, Payload);
        });
  };
  On(FrameType::ConfigSubscribe, &Distribution::receiveStatement);
  On(FrameType::ConfigState, &Distribution::receiveState);
  On(FrameType::ConfigDelta, &Distribution::receiveDelta);
  On(FrameType::ConfigSnapshot, &Distribution::receiveSnapshot);
  On(FrameType::ConfigStanding, &Distribution::receiveSum);
  Peers->onLinkDown([this](const Address &Peer, LinkEnd) {
    dropSource(Peer, Time->now());
    Following.erase(Peer);
  });
  Feed = std::make_unique<PlatformFeed>(*Platform, *Timers, *Dice);
  Feed->onText([this](const std::string &Text) { offer(Text); });
  Feed->onSynchronised([this] {
    Fresh.confirmed(std::max(Store->version(), PendingVersion));
    tryOpen();
  });
  if (Options.WatchDirectly) {
    Feed->start();
    return;
  }
  NextRead = Time->now() + Dice->jittered(FreshReadDelay, Spread);
  Ticker = Timers->every(TickPeriod, [this] { tick(); });
}

void Distribution::stop() {
  Ticker.reset();
  if (Slot)
    Slot->stop();
  Feed->stop();
  *Alive = false;
}

void Distribution::tick() {
  TimePoint Now = Time->now();
  std::erase_if(Following, [&](const auto &Each) {
    return Now - Each.second.LastHeard >= StandingLifetime;
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

void Distribution::dropSilentSources(TimePoint Now) {
  std::vector<Address> Silent;
  for (const Source &Each : Sources)
    if (Now - Each.LastHeard >= SourceSilence)
      Silent.push_back(Each.Peer);
  for (const Address &Each : Silent)
    dropSource(Each, Now);
  std::erase_if(AvoidUntil,
                [&](const auto &Each) { return Now >= Each.second; });
}

// Two relays of the own failure domain. Others only while there is none, or one
// of them if this daemon is a relay, so that a failure domain that the platform
// can't reach still hears of changes.
void Distribution::chooseSources(TimePoint Now) {
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

size_t Distribution::sourcesIn(const std::vector<Address> &Group) const {
  return static_cast<size_t>(
      std::count_if(Sources.begin(), Sources.end(), [&](const Source &Each) {
        return std::find(Group.begin(), Group.end(), Each.Peer) != Group.end();
      }));
}

void Distribution::addUpTo(size_t Count, std::vector<Address> Candidates,
                           TimePoint Now) {
  size_t Present = sourcesIn(Candidates);
  shuffle(Candidates, *Dice);
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

void Distribution::addSource(const Address &Peer, TimePoint Now) {
  Sources.push_back({Peer, Now, Now, false});
}

void Distribution::dropSource(const Address &Peer, TimePoint Now) {
  size_t Dropped = std::erase_if(
      Sources, [&](const Source &Each) { return Each.Peer == Peer; });
  if (Dropped > 0)
    AvoidUntil[Peer] = Now + Dice->jittered(AvoidTime, Spread);
}

bool Distribution::hasLiveRelay(TimePoint) const {
  return std::any_of(Sources.begin(), Sources.end(),
                     [](const Source &Each) { return Each.Relay; });
}

// The first source that acts as a relay pushes; the others only answer.
bool Distribution::isPrimary(const Address &Peer, TimePoint) const {
  for (const Source &Each : Sources)
    if (Each.Relay)
      return Each.Peer == Peer;
  return true;
}

void Distribution::stateWhereDue(TimePoint Now) {
  for (Source &Each : Sources) {
    if (Now < Each.NextStatement)
      continue;
    Each.NextStatement = Now + Dice->jittered(StatementPeriod, 0.2);
    state(Each.Peer);
  }
}

void Distribution::state(const Address &To, bool WantWhole) {
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

void Distribution::stateToAll() {
  for (const Source &Each : Sources)
    state(Each.Peer);
}

// Without a live relay: asks peers first, then the platform, and contends for a
// slot of the own failure domain if nobody there answers.
void Distribution::seekRelay(TimePoint Now) {
  if (isRelay(Now) || hasLiveRelay(Now)) {
    LacksRelay = false;
    return;
  }
  if (!LacksRelay) {
    LacksRelay = true;
    LacksRelaySince = Now;
    NextAsk = Now;
    NextList = Now + Dice->jittered(PeersFirst, Spread);
    NextRead = std::max(NextRead, Now + Dice->jittered(LoneReadPeriod, Spread));
  }
  if (Now >= NextAsk)
    askPeers(Now);
  if (Now >= NextList)
    listRelays();
  bool Tried = sourcesIn(Directory.inDomain(Self.FailureDomain)) == 0;
  if (Slot || !Tried || ListedAt < LacksRelaySince)
    return;
  int Count = std::max(1, Options.RelaysPerDomain);
  contend(static_cast<int>(Dice->below(static_cast<uint64_t>(Count))), Now);
}

// Asks a few members, in different failure domains if possible.
void Distribution::askPeers(TimePoint Now) {
  NextAsk = Now + Dice->jittered(AskPeriod, Spread);
  std::vector<const Member *> Candidates;
  for (const auto &[Id, Record] : Members->roster().members())
    if (Id != Self.Id && Record.reachable())
      Candidates.push_back(&Record);
  shuffle(Candidates, *Dice);
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

void Distribution::listRelays() {
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
                                    PlatformRetryLimit, *Dice);
      return;
    }
    ListFailures = 0;
    ListedAt = Now;
    NextList = Now + Dice->jittered(RelayListPeriod, 0.2);
    Directory.listed(List.value(), Now);
    if (isRelay(Now))
      Directory.add(Self.FailureDomain, Peers->self());
  });
}

// Reads the document without a relay: at the start, and while no relay lives in
// any failure domain, which lasts at most about a lease's term.
void Distribution::readDocument(TimePoint Now) {
  if (Reading || Now < NextRead || Feed->running())
    return;
  Reading = true;
  Platform->read(DocumentKey, [this, Guard = Alive](
                                  Result<PlatformObject, PlatformError> Read) {
    if (!*Guard)
      return;
    Reading = false;
    NextRead = Time->now() + Dice->jittered(LoneReadPeriod, Spread);
    if (Read)
      offer(Read.value().Value);
    if (Read || Read.error() == PlatformError::NotFound) {
      ReadFailures = 0;
      Fresh.confirmed(Read ? versionIn(Read.value().Value) : 0);
    } else {
      if (meansAway(Read.error()))
        Fresh.platformAway();
      NextRead = Time->now() + backoffDelay(++ReadFailures, PlatformRetryBase,
                                            PlatformRetryLimit, *Dice);
      askPeers(Time->now());
    }
    tryOpen();
  });
}

void Distribution::receiveState(const Address &From, std::string_view Payload) {
  Result<wire::ConfigState, FrameError> Message =
      decodeMessage<wire::ConfigState>(Payload);
  if (!Message)
    return;
  const wire::ConfigState &Heard = Message.value();
  TimePoint Now = Time->now();
  for (Source &Each : Sources)
    if (Each.Peer == From) {
      Each.LastHeard = Now;
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

void Distribution::receiveDelta(const Address &From, std::string_view Payload) {
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

void Distribution::receiveSnapshot(const Address &From,
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
void Distribution::offer(const std::string &Text) {
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

void Distribution::apply(const std::string &Text) {
  ApplyOutcome Outcome = Store->apply(Text);
  if (Outcome != ApplyOutcome::Invalid)
    return;
  uint64_t Version = versionIn(Text);
  if (Version <= Rejected)
    return;
  Rejected = Version;
  stateToAll();
}

void Distribution::tryOpen() {
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
