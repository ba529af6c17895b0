// The part of ConfigDistribution that serves other daemons.

#include "cyclamenwind/config/config_distribution.h"

#include "cyclamenwind/base/log.h"
#include "cyclamenwind/config/keys.h"

namespace cyclamenwind {
namespace {

constexpr Duration SlotTerm = 3s;
// A slot whose object did not change for this long has no holder.
constexpr Duration VacantTime = SlotTerm + 1s;
// Minimum time between two nominations for the same slot.
constexpr Duration NominationPeriod = 2 * SlotTerm;
// Minimum time between two transmissions of the summaries.
constexpr Duration MinSummaryPeriod = 200ms;
// Unchanged summaries are sent again to the relays this long after
// MinSummaryPeriod has passed.
constexpr Duration SummaryRefreshPeriod = 1s;

} // namespace

void ConfigDistribution::contendForSlot(int SlotNumber, TimePoint Now) {
  if (SlotNumber >= Options.RelaysPerDomain)
    return;
  RelaySlot Wanted = {Self.FailureDomain, SlotNumber};
  SlotLease =
      std::make_unique<Lease>(*Platform, *Time, *Timers, *Rng, Wanted.key(),
                              Peers->self().text(), SlotTerm);
  LeaseSince = Now;
  SlotLease->onGained([this] {
    Directory.add(Self.FailureDomain, Peers->self());
    NextList = Time->now();
    Watch->start();
  });
  SlotLease->onLost([this] { LeaseSince = Time->now(); });
  SlotLease->start();
}

// Stops contending for a slot once its holder answers as a relay, or 3 *
// SlotTerm after the lease was requested or lost. While no other holder is
// known, a daemon whose watch is running keeps contending.
void ConfigDistribution::reviewLease(TimePoint Now) {
  if (!SlotLease || SlotLease->held(Now))
    return;
  std::optional<Address> Holder = parseAddress(SlotLease->observedHolder());
  bool TimedOut = Now - LeaseSince >= 3 * SlotTerm;
  if (!Holder || *Holder == Peers->self()) {
    if (!Watch->running() && TimedOut)
      SlotLease.reset();
    return;
  }
  bool HolderAnswers =
      std::any_of(Sources.begin(), Sources.end(), [&](const Source &From) {
        return From.Peer == *Holder && From.ActsAsRelay;
      });
  if (!HolderAnswers && !TimedOut) {
    if (AvoidUntil.count(*Holder) == 0)
      Directory.add(Self.FailureDomain, *Holder);
    return;
  }
  SlotLease->stop();
  SlotLease.reset();
  Watch->stop();
  Directory.remove(Peers->self());
  Directory.add(Self.FailureDomain, *Holder);
}

// A relay that cannot reach the platform keeps serving the version that it has,
// also after its lease has expired.
bool ConfigDistribution::actsAsRelay(TimePoint Now) const {
  return isRelay(Now) || (SlotLease && Watch->running() && Watch->failing());
}

void ConfigDistribution::receiveSubscribe(const Address &From,
                                          std::string_view Payload) {
  Result<wire::ConfigSubscribe, FrameError> Message =
      decodeMessage<wire::ConfigSubscribe>(Payload);
  if (!Message)
    return;
  const wire::ConfigSubscribe &Request = Message.value();
  TimePoint Now = Time->now();
  bool Existing = Subscribers.count(From) != 0;
  Subscriber &Sender = Subscribers[From];
  uint64_t Version = static_cast<uint64_t>(Request.version);
  OwnSummariesChanged |=
      !Existing || Sender.Version != Version ||
      Sender.RejectedVersion != static_cast<uint64_t>(Request.rejected);
  if (!Existing)
    Sender.LagsSince = Now;
  Sender.MemberId = Request.member;
  Sender.FailureDomain = Request.domain;
  Sender.Version = Version;
  Sender.Digest = static_cast<uint64_t>(Request.digest);
  Sender.RejectedVersion = static_cast<uint64_t>(Request.rejected);
  Sender.SentVersion = Sender.Version;
  Sender.SentDigest = Sender.Digest;
  Sender.DirectoryDigest = Request.directory;
  Sender.ProcessNonce = Request.process;
  Sender.Primary = Request.primary;
  Sender.ColdStarting = Request.fresh;
  Sender.LastReceived = Now;
  if (Request.fresh && actsAsRelay(Now)) {
    ColdStartRequests.push_back({From, Request.process});
    confirmForColdStarts();
    return;
  }
  reply(From, {});
  if (Version > Store->version() && Version > RejectedVersion)
    subscribe(From);
}

wire::ConfigState
ConfigDistribution::makeStateMessage(const Subscriber &Receiver,
                                     TimePoint Now) const {
  wire::ConfigState Message;
  Message.version = static_cast<int64_t>(Store->version());
  if (Store->current())
    Message.digest = static_cast<int64_t>(Store->current()->digest());
  Message.domain = Self.FailureDomain;
  Message.relay = actsAsRelay(Now);
  Message.contendSlot = -1;
  if (Receiver.DirectoryDigest != Directory.digest() &&
      !Directory.relays().empty()) {
    Message.relays = Directory.entries();
    Message.__isset.relays = true;
  }
  if (Message.relay && Receiver.Primary)
    Message.standing = fleetVersions(Now);
  return Message;
}

// Sends To the update that it lacks and then this daemon's state, with the
// confirmation fields of Confirmation.
void ConfigDistribution::reply(const Address &To,
                               const wire::ConfigState &Confirmation) {
  auto Found = Subscribers.find(To);
  if (Found == Subscribers.end())
    return;
  TimePoint Now = Time->now();
  sendUpdate(To, Found->second);
  wire::ConfigState Message = makeStateMessage(Found->second, Now);
  Message.confirmed = Confirmation.confirmed;
  Message.platformAway = Confirmation.platformAway;
  Message.process = Confirmation.process;
  if (std::optional<int> Number = nominate(To, Found->second, Now))
    Message.contendSlot = *Number;
  Peers->sendMessage(To, FrameType::ConfigState, Message);
}

// Sends the newest version to Peer, unless Peer has it already, holds it until
// its cold start is complete, or has rejected it.
void ConfigDistribution::sendUpdate(const Address &Peer, Subscriber &Target) {
  if (History.empty())
    return;
  const Snapshot &Newest = *History.newest();
  bool HeldBack = Target.ColdStarting && Target.Digest == Newest.digest();
  if (Target.SentVersion >= Newest.version() || HeldBack ||
      Target.RejectedVersion >= Newest.version())
    return;
  const ConfigUpdate &Update =
      History.updateFrom(Target.SentVersion, Target.SentDigest);
  Peers->send(Peer, Update.Type, Update.Payload);
  Target.SentVersion = Newest.version();
  Target.SentDigest = Newest.digest();
}

// One read from the platform confirms the version for all daemons in a cold
// start whose requests arrived before the read.
void ConfigDistribution::confirmForColdStarts() {
  if (ConfirmInProgress || ColdStartRequests.empty())
    return;
  ConfirmInProgress = true;
  Platform->read(DocumentKey, [this, Guard = Alive,
                               Requests = std::exchange(ColdStartRequests, {})](
                                  Result<PlatformObject, PlatformError> Read) {
    if (!*Guard)
      return;
    ConfirmInProgress = false;
    if (Read)
      applyOrDefer(Read.value().Value);
    bool PlatformAnswered = Read || Read.error() == PlatformError::NotFound;
    // A version that this daemon rejected is not confirmed.
    uint64_t UnappliedVersion =
        RejectedVersion > Store->version() ? RejectedVersion : 0;
    for (const auto &[Peer, Nonce] : Requests) {
      wire::ConfigState Confirmation;
      Confirmation.confirmed =
          PlatformAnswered && StartComplete && UnappliedVersion == 0;
      Confirmation.platformAway = !PlatformAnswered;
      Confirmation.process = Nonce;
      reply(Peer, Confirmation);
    }
    confirmForColdStarts();
  });
}

// Pushes the new snapshot to the subscribers and reports it to the sources.
void ConfigDistribution::pushNewest() {
  uint64_t PreviousVersion = History.empty() ? 0 : History.newest()->version();
  History.add(Store->current());
  TimePoint Now = Time->now();
  for (auto &[Peer, To] : Subscribers) {
    if (To.Version >= PreviousVersion)
      To.LagsSince = Now;
    if (To.Primary && !To.ColdStarting)
      sendUpdate(Peer, To);
  }
  OwnSummariesChanged = true;
  subscribeToAll();
}

// Returns a vacant slot of Candidate's failure domain for which Candidate, the
// daemon at Peer, should contend. Returns nothing if there is none or this
// daemon does not nominate Candidate.
std::optional<int> ConfigDistribution::nominate(const Address &Peer,
                                                const Subscriber &Candidate,
                                                TimePoint Now) {
  bool IsRelay = Directory.relays().count(Peer) != 0;
  if (!isRelay(Now) || Candidate.ColdStarting || IsRelay)
    return std::nullopt;
  for (int Number = 0; Number < Options.RelaysPerDomain; ++Number) {
    RelaySlot Vacant = {Candidate.FailureDomain, Number};
    auto Last = LastNominated.find(Vacant);
    bool RecentlyNominated =
        Last != LastNominated.end() && Now - Last->second < NominationPeriod;
    if (RecentlyNominated || !Directory.isVacant(Vacant, VacantTime, Now))
      continue;
    LastNominated[Vacant] = Now;
    return Number;
  }
  return std::nullopt;
}

Subscriber ConfigDistribution::ownReport() const {
  Subscriber Report;
  Report.MemberId = Self.Id;
  Report.FailureDomain = Self.FailureDomain;
  Report.Version = Store->version();
  Report.RejectedVersion = RejectedVersion;
  return Report;
}

std::vector<wire::DomainStanding>
ConfigDistribution::ownSummaries(TimePoint Now) const {
  std::map<std::string, bool> Domains = {{Self.FailureDomain, true}};
  for (const auto &[Peer, From] : Subscribers)
    Domains[From.FailureDomain] = true;
  std::vector<wire::DomainStanding> Summaries;
  for (const auto &[Domain, Unused] : Domains)
    Summaries.push_back(summarizeDomain(Domain, Subscribers, ownReport(),
                                        Members->memberList(), Store->version(),
                                        Now));
  return Summaries;
}

std::vector<wire::DomainStanding>
ConfigDistribution::fleetVersions(TimePoint Now) const {
  FleetVersions Versions = Fleet;
  if (actsAsRelay(Now))
    for (const wire::DomainStanding &Summary : ownSummaries(Now))
      Versions.update(Peers->self(), Summary, Now);
  return Versions.summaries(Now);
}

// Sends this daemon's summaries to the other relays, and the summaries of all
// failure domains to the subscribers.
void ConfigDistribution::sendSummaries(TimePoint Now) {
  bool Changed = OwnSummariesChanged || FleetSummariesChanged;
  if (!actsAsRelay(Now) || Now < NextSummaries ||
      (!Changed && Now - NextSummaries < SummaryRefreshPeriod))
    return;
  NextSummaries = Now + MinSummaryPeriod;
  for (const wire::DomainStanding &Summary : ownSummaries(Now)) {
    wire::ConfigStanding Message;
    Message.sum = Summary;
    std::string Payload = encodeMessage(Message);
    for (const auto &[Relay, Domain] : Directory.relays())
      if (Relay != Peers->self())
        Peers->send(Relay, FrameType::ConfigStanding, Payload);
  }
  if (Changed)
    for (const auto &[Peer, To] : Subscribers)
      if (To.Primary)
        Peers->sendMessage(Peer, FrameType::ConfigState,
                           makeStateMessage(To, Now));
  OwnSummariesChanged = false;
  FleetSummariesChanged = false;
}

void ConfigDistribution::receiveSummary(const Address &From,
                                        std::string_view Payload) {
  Result<wire::ConfigStanding, FrameError> Message =
      decodeMessage<wire::ConfigStanding>(Payload);
  if (Message)
    FleetSummariesChanged |=
        Fleet.update(From, Message.value().sum, Time->now());
}

} // namespace cyclamenwind
