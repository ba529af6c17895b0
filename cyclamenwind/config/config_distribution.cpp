#include "cyclamenwind/config/config_distribution.h"

#include "cyclamenwind/base/backoff.h"
#include "cyclamenwind/base/log.h"
#include "cyclamenwind/config/delta.h"
#include "cyclamenwind/config/keys.h"

#include <nlohmann/json.hpp>

namespace cyclamenwind {
namespace {

constexpr Duration TickPeriod = 100ms;
constexpr Duration SubscribePeriod = 1s;
// A source that sends nothing for this long is replaced.
constexpr Duration SourceTimeout = 2500ms;
// How long a replaced source is not chosen again.
constexpr Duration AvoidTime = 3s;
constexpr size_t MaxSources = 2;
constexpr size_t MaxPeersQueried = 3;
constexpr Duration PeerQueryPeriod = 700ms;
// How long a daemon without a live relay waits for peers before it lists the
// relays on the platform.
constexpr Duration PlatformListDelay = 300ms;
constexpr Duration RelayListPeriod = 5s;
constexpr Duration PlatformRetryBase = 500ms;
constexpr Duration PlatformRetryLimit = 1500ms;
// How long a daemon in a cold start waits for relays before it reads the
// document from the platform itself.
constexpr Duration ColdStartReadDelay = 1500ms;
// Period of reads from the platform by a daemon that no relay answers.
constexpr Duration DirectReadPeriod = 1s;
constexpr double JitterSpread = 0.6;

// Returns the version named in Text; 0 if there is none.
uint64_t parseVersion(const std::string &Text) {
  nlohmann::json Node = nlohmann::json::parse(Text, nullptr, false);
  if (!Node.is_object() || !Node.contains("version") ||
      !Node["version"].is_number_unsigned())
    return 0;
  return Node["version"].get<uint64_t>();
}

bool isUnreachable(PlatformError Error) {
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
  ProcessNonce = static_cast<int64_t>(Rng->next());
  Store->onChange([this](const SnapshotPtr &) { pushNewest(); });
  auto On = [this](FrameType Type, void (ConfigDistribution::*Receive)(
                                       const Address &, std::string_view)) {
    Peers->handle(
        Type, [this, Receive](const Address &From, std::string_view Payload) {
          (this->*Receive)(From, Payload);
        });
  };
  On(FrameType::ConfigSubscribe, &ConfigDistribution::receiveSubscribe);
  On(FrameType::ConfigState, &ConfigDistribution::receiveState);
  On(FrameType::ConfigDelta, &ConfigDistribution::receiveDelta);
  On(FrameType::ConfigSnapshot, &ConfigDistribution::receiveSnapshot);
  On(FrameType::ConfigStanding, &ConfigDistribution::receiveSummary);
  Peers->onPeerDisconnect([this](const Address &Peer, PeerDisconnect) {
    dropSource(Peer, Time->now());
    Subscribers.erase(Peer);
  });
  Watch = std::make_unique<DocumentWatch>(*Platform, *Timers, *Rng);
  Watch->onText([this](const std::string &Text) { applyOrDefer(Text); });
  Watch->onSynchronised([this] {
    Startup.platformConfirmed(std::max(Store->version(), PendingVersion));
    tryCompleteStart();
  });
  if (Options.WatchDirectly) {
    Watch->start();
    return;
  }
  NextRead = Time->now() + Rng->jittered(ColdStartReadDelay, JitterSpread);
  Ticker = Timers->every(TickPeriod, [this] { tick(); });
}

void ConfigDistribution::stop() {
  Ticker.reset();
  if (SlotLease)
    SlotLease->stop();
  Watch->stop();
  *Alive = false;
}

void ConfigDistribution::tick() {
  TimePoint Now = Time->now();
  std::erase_if(Subscribers, [&](const auto &Entry) {
    return Now - Entry.second.LastReceived >= VersionReportLifetime;
  });
  dropTimedOutSources(Now);
  chooseSources(Now);
  sendDueSubscribes(Now);
  if (isRelay(Now) && Now >= NextList)
    listRelays();
  seekLiveRelay(Now);
  if (!StartComplete || NoLiveRelay)
    readDocument(Now);
  reviewLease(Now);
  sendSummaries(Now);
}

void ConfigDistribution::dropTimedOutSources(TimePoint Now) {
  std::vector<Address> TimedOut;
  for (const Source &From : Sources)
    if (Now - From.LastReceived >= SourceTimeout)
      TimedOut.push_back(From.Peer);
  for (const Address &Peer : TimedOut)
    dropSource(Peer, Now);
  std::erase_if(AvoidUntil,
                [&](const auto &Entry) { return Now >= Entry.second; });
}

// Chooses two relays of this daemon's failure domain. Relays of other failure
// domains are chosen only while there are none in its own; a daemon that holds
// or contends for a lease adds one of them, so that a failure domain that is
// cut off from the platform still receives changes.
void ConfigDistribution::chooseSources(TimePoint Now) {
  std::vector<Address> LocalRelays = Directory.inDomain(Self.FailureDomain);
  std::vector<Address> RemoteRelays =
      Directory.outsideDomain(Self.FailureDomain);
  addSourcesUpTo(MaxSources, LocalRelays, Now);
  size_t LocalCount = countSourcesIn(LocalRelays);
  size_t RemoteWanted = LocalCount == 0 ? MaxSources : (SlotLease ? 1 : 0);
  addSourcesUpTo(RemoteWanted, RemoteRelays, Now);
  if (RemoteWanted == 0 && hasLiveRelay(Now))
    std::erase_if(Sources, [&](const Source &From) {
      return std::find(LocalRelays.begin(), LocalRelays.end(), From.Peer) ==
             LocalRelays.end();
    });
}

size_t
ConfigDistribution::countSourcesIn(const std::vector<Address> &Group) const {
  return static_cast<size_t>(
      std::count_if(Sources.begin(), Sources.end(), [&](const Source &From) {
        return std::find(Group.begin(), Group.end(), From.Peer) != Group.end();
      }));
}

void ConfigDistribution::addSourcesUpTo(size_t Count,
                                        std::vector<Address> Candidates,
                                        TimePoint Now) {
  size_t Chosen = countSourcesIn(Candidates);
  shuffle(Candidates, *Rng);
  for (const Address &Candidate : Candidates) {
    if (Chosen >= Count)
      return;
    bool AlreadyChosen =
        std::any_of(Sources.begin(), Sources.end(),
                    [&](const Source &From) { return From.Peer == Candidate; });
    if (AlreadyChosen || Candidate == Peers->self() ||
        AvoidUntil.count(Candidate) != 0)
      continue;
    addSource(Candidate, Now);
    ++Chosen;
  }
}

void ConfigDistribution::addSource(const Address &Peer, TimePoint Now) {
  Sources.push_back({Peer, Now, Now, false});
}

void ConfigDistribution::dropSource(const Address &Peer, TimePoint Now) {
  size_t Dropped = std::erase_if(
      Sources, [&](const Source &From) { return From.Peer == Peer; });
  if (Dropped > 0)
    AvoidUntil[Peer] = Now + Rng->jittered(AvoidTime, JitterSpread);
}

bool ConfigDistribution::hasLiveRelay(TimePoint) const {
  return std::any_of(Sources.begin(), Sources.end(),
                     [](const Source &From) { return From.ActsAsRelay; });
}

// The first source that acts as a relay is the primary: it pushes changes. The
// others only reply.
bool ConfigDistribution::isPrimary(const Address &Peer, TimePoint) const {
  for (const Source &From : Sources)
    if (From.ActsAsRelay)
      return From.Peer == Peer;
  return true;
}

void ConfigDistribution::sendDueSubscribes(TimePoint Now) {
  for (Source &To : Sources) {
    if (Now < To.NextSubscribe)
      continue;
    To.NextSubscribe = Now + Rng->jittered(SubscribePeriod, 0.2);
    subscribe(To.Peer);
  }
}

void ConfigDistribution::subscribe(const Address &To, bool WantSnapshot) {
  wire::ConfigSubscribe Message;
  Message.member = Self.Id;
  Message.domain = Self.FailureDomain;
  Message.version = static_cast<int64_t>(Store->version());
  if (!WantSnapshot && Store->current())
    Message.digest = static_cast<int64_t>(Store->current()->digest());
  if (!WantSnapshot && !StartComplete && !PendingText.empty())
    Message.digest = static_cast<int64_t>(digestOf(PendingText));
  Message.primary = isPrimary(To, Time->now());
  Message.fresh = !StartComplete;
  Message.rejected = static_cast<int64_t>(RejectedVersion);
  Message.directory = Directory.digest();
  Message.process = ProcessNonce;
  Peers->sendMessage(To, FrameType::ConfigSubscribe, Message);
}

void ConfigDistribution::subscribeToAll() {
  for (const Source &To : Sources)
    subscribe(To.Peer);
}

// While there is no live relay: queries peers first, then lists the relays on
// the platform, and contends for a slot of this daemon's failure domain if no
// relay there answers.
void ConfigDistribution::seekLiveRelay(TimePoint Now) {
  if (isRelay(Now) || hasLiveRelay(Now)) {
    NoLiveRelay = false;
    return;
  }
  if (!NoLiveRelay) {
    NoLiveRelay = true;
    NoLiveRelaySince = Now;
    NextPeerQuery = Now;
    NextList = Now + Rng->jittered(PlatformListDelay, JitterSpread);
    NextRead =
        std::max(NextRead, Now + Rng->jittered(DirectReadPeriod, JitterSpread));
  }
  if (Now >= NextPeerQuery)
    queryPeers(Now);
  if (Now >= NextList)
    listRelays();
  bool NoLocalSource =
      countSourcesIn(Directory.inDomain(Self.FailureDomain)) == 0;
  if (SlotLease || !NoLocalSource || ListedAt < NoLiveRelaySince)
    return;
  int Count = std::max(1, Options.RelaysPerDomain);
  contendForSlot(static_cast<int>(Rng->below(static_cast<uint64_t>(Count))),
                 Now);
}

// Sends ConfigSubscribe to up to MaxPeersQueried members. If there are more, it
// queries at most one in each failure domain, its own domain first.
void ConfigDistribution::queryPeers(TimePoint Now) {
  NextPeerQuery = Now + Rng->jittered(PeerQueryPeriod, JitterSpread);
  std::vector<const Member *> Candidates;
  for (const auto &[Id, Record] : Members->memberList().members())
    if (Id != Self.Id && Record.reachable())
      Candidates.push_back(&Record);
  shuffle(Candidates, *Rng);
  std::map<std::string, size_t> QueriedByDomain;
  std::stable_sort(Candidates.begin(), Candidates.end(),
                   [&](const Member *A, const Member *B) {
                     return (A->FailureDomain == Self.FailureDomain) >
                            (B->FailureDomain == Self.FailureDomain);
                   });
  size_t Sent = 0;
  for (const Member *Candidate : Candidates) {
    if (Sent >= MaxPeersQueried)
      return;
    if (QueriedByDomain[Candidate->FailureDomain]++ > 0 &&
        Candidates.size() > MaxPeersQueried)
      continue;
    subscribe(Candidate->Peer);
    ++Sent;
  }
}

void ConfigDistribution::listRelays() {
  if (ListInProgress)
    return;
  ListInProgress = true;
  Platform->list(RelayPrefix, [this, Guard = Alive](
                                  Result<PlatformListing, PlatformError> List) {
    if (!*Guard)
      return;
    ListInProgress = false;
    TimePoint Now = Time->now();
    if (!List) {
      NextList = Now + backoffDelay(++ListFailures, PlatformRetryBase,
                                    PlatformRetryLimit, *Rng);
      return;
    }
    ListFailures = 0;
    ListedAt = Now;
    NextList = Now + Rng->jittered(RelayListPeriod, 0.2);
    Directory.applyListing(List.value(), Now);
    if (isRelay(Now))
      Directory.add(Self.FailureDomain, Peers->self());
  });
}

// Reads the document from the platform: during the cold start, and while there
// is no live relay in any failure domain, which lasts about one lease term at
// most.
void ConfigDistribution::readDocument(TimePoint Now) {
  if (ReadInProgress || Now < NextRead || Watch->running())
    return;
  ReadInProgress = true;
  Platform->read(DocumentKey, [this, Guard = Alive](
                                  Result<PlatformObject, PlatformError> Read) {
    if (!*Guard)
      return;
    ReadInProgress = false;
    NextRead = Time->now() + Rng->jittered(DirectReadPeriod, JitterSpread);
    if (Read)
      applyOrDefer(Read.value().Value);
    if (Read || Read.error() == PlatformError::NotFound) {
      ReadFailures = 0;
      Startup.platformConfirmed(Read ? parseVersion(Read.value().Value) : 0);
    } else {
      if (isUnreachable(Read.error()))
        Startup.platformUnreachable();
      NextRead = Time->now() + backoffDelay(++ReadFailures, PlatformRetryBase,
                                            PlatformRetryLimit, *Rng);
      queryPeers(Time->now());
    }
    tryCompleteStart();
  });
}

void ConfigDistribution::receiveState(const Address &From,
                                      std::string_view Payload) {
  Result<wire::ConfigState, FrameError> Message =
      decodeMessage<wire::ConfigState>(Payload);
  if (!Message)
    return;
  const wire::ConfigState &State = Message.value();
  TimePoint Now = Time->now();
  for (Source &Candidate : Sources)
    if (Candidate.Peer == From) {
      Candidate.LastReceived = Now;
      Candidate.ActsAsRelay = State.relay;
    }
  if (State.__isset.relays) {
    Directory.assignEntries(State.relays);
    if (isRelay(Now))
      Directory.add(Self.FailureDomain, Peers->self());
  }
  // The sender released its relay slot, or another daemon acquired it.
  if (!State.relay && Directory.relays().count(From) == 0)
    dropSource(From, Now);
  for (const wire::DomainStanding &Summary : State.standing)
    FleetSummariesChanged |= Fleet.update(From, Summary, Now);
  if (State.contendSlot >= 0 && !SlotLease)
    contendForSlot(State.contendSlot, Now);
  if (StartComplete)
    return;
  if (State.confirmed && State.process == ProcessNonce)
    Startup.platformConfirmed(static_cast<uint64_t>(State.version));
  if (State.platformAway)
    Startup.platformUnreachable();
  Startup.peerReported(From, State.domain,
                       static_cast<uint64_t>(State.version));
  tryCompleteStart();
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
    subscribe(From, /*WantSnapshot=*/true);
    return;
  }
  Result<std::string, DeltaError> Text = applyDelta(*Store->current(), Delta);
  if (Text) {
    applyOrDefer(Text.value());
    return;
  }
  bool OtherBase = Text.error() == DeltaError::OtherBase;
  if (!OtherBase)
    logWarning("config_delta_failed", {{"cause", nameOf(Text.error())},
                                       {"version", Delta.toVersion},
                                       {"peer", From.text()}});
  subscribe(From, /*WantSnapshot=*/!OtherBase);
}

void ConfigDistribution::receiveSnapshot(const Address &From,
                                         std::string_view Payload) {
  Result<wire::ConfigSnapshot, FrameError> Message =
      decodeMessage<wire::ConfigSnapshot>(Payload);
  if (!Message)
    return;
  Result<std::string, DeltaError> Text = unpackSnapshot(Message.value());
  if (Text) {
    applyOrDefer(Text.value());
    return;
  }
  logWarning("config_snapshot_failed",
             {{"cause", nameOf(Text.error())}, {"peer", From.text()}});
}

// Applies Text, or keeps it until the cold start is complete.
void ConfigDistribution::applyOrDefer(const std::string &Text) {
  if (StartComplete) {
    apply(Text);
    return;
  }
  Result<Envelope, DocumentErrors> Parsed = parseEnvelope(Text);
  if (!Parsed) {
    apply(Text); // Rejected and reported; no version is applied yet.
    return;
  }
  if (Parsed.value().Version > PendingVersion) {
    PendingVersion = Parsed.value().Version;
    PendingText = Text;
  }
  tryCompleteStart();
}

void ConfigDistribution::apply(const std::string &Text) {
  ApplyOutcome Outcome = Store->apply(Text);
  if (Outcome != ApplyOutcome::Invalid)
    return;
  uint64_t Version = parseVersion(Text);
  if (Version <= RejectedVersion)
    return;
  RejectedVersion = Version;
  subscribeToAll();
}

void ConfigDistribution::tryCompleteStart() {
  std::optional<uint64_t> MinVersion = Startup.minVersion();
  if (StartComplete || !MinVersion || PendingVersion < *MinVersion)
    return;
  StartComplete = true;
  logInfo("config_start_over",
          {{"least", *MinVersion}, {"version", PendingVersion}});
  if (!PendingText.empty())
    apply(std::exchange(PendingText, std::string()));
  else
    subscribeToAll();
}

} // namespace cyclamenwind
