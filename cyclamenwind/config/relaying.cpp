// The side of Distribution that serves other daemons.

#include "cyclamenwind/config/config_distribution.h"

#include "cyclamenwind/base/log.h"
#include "cyclamenwind/config/keys.h"

namespace cyclamenwind {
namespace {

constexpr Duration SlotTerm = 3s;
// A slot that did not change for this long has no holder.
constexpr Duration VacantTime = SlotTerm + 1s;
constexpr Duration NominationPeriod = 2 * SlotTerm;
// Least time between two sums.
constexpr Duration SumPeriod = 200ms;
constexpr Duration SumLimit = 1s;

} // namespace

void ConfigDistribution::contend(int SlotNumber, TimePoint Now) {
  if (SlotNumber >= Options.RelaysPerDomain)
    return;
  RelaySlot Wanted = {Self.FailureDomain, SlotNumber};
  Slot = std::make_unique<Lease>(*Platform, *Time, *Timers, *Rng, Wanted.key(),
                                 Peers->self().text(), SlotTerm);
  SlotSince = Now;
  Slot->onGained([this] {
    Directory.add(Self.FailureDomain, Peers->self());
    NextList = Time->now();
    Feed->start();
  });
  Slot->onLost([this] { SlotSince = Time->now(); });
  Slot->start();
}

// Gives a slot up that another daemon holds.
void ConfigDistribution::reviewSlot(TimePoint Now) {
  if (!Slot || Slot->held(Now))
    return;
  std::optional<Address> Holder = parseAddress(Slot->observedHolder());
  bool TooLong = Now - SlotSince >= 3 * SlotTerm;
  if (!Holder || *Holder == Peers->self()) {
    if (!Feed->running() && TooLong)
      Slot.reset();
    return;
  }
  bool Answers =
      std::any_of(Sources.begin(), Sources.end(), [&](const Source &Each) {
        return Each.Peer == *Holder && Each.Relay;
      });
  if (!Answers && !TooLong) {
    if (AvoidUntil.count(*Holder) == 0)
      Directory.add(Self.FailureDomain, *Holder);
    return;
  }
  Slot->stop();
  Slot.reset();
  Feed->stop();
  Directory.remove(Peers->self());
  Directory.add(Self.FailureDomain, *Holder);
}

// A relay that can't reach the platform goes on serving what it has.
bool ConfigDistribution::actsAsRelay(TimePoint Now) const {
  return isRelay(Now) || (Slot && Feed->running() && Feed->failing());
}

void ConfigDistribution::receiveStatement(const Address &From,
                                          std::string_view Payload) {
  Result<wire::ConfigSubscribe, FrameError> Message =
      decodeMessage<wire::ConfigSubscribe>(Payload);
  if (!Message)
    return;
  const wire::ConfigSubscribe &Heard = Message.value();
  TimePoint Now = Time->now();
  bool Known = Following.count(From) != 0;
  Follower &Stated = Following[From];
  uint64_t Version = static_cast<uint64_t>(Heard.version);
  SumsChanged |= !Known || Stated.Version != Version ||
                 Stated.Rejected != static_cast<uint64_t>(Heard.rejected);
  if (!Known)
    Stated.LagsSince = Now;
  Stated.MemberId = Heard.member;
  Stated.FailureDomain = Heard.domain;
  Stated.Version = Version;
  Stated.Digest = static_cast<uint64_t>(Heard.digest);
  Stated.Rejected = static_cast<uint64_t>(Heard.rejected);
  Stated.SentVersion = Stated.Version;
  Stated.SentDigest = Stated.Digest;
  Stated.DirectoryDigest = Heard.directory;
  Stated.Process = Heard.process;
  Stated.Primary = Heard.primary;
  Stated.Fresh = Heard.fresh;
  Stated.LastReceived = Now;
  if (Heard.fresh && actsAsRelay(Now)) {
    Newcomers.push_back({From, Heard.process});
    confirmForNewcomers();
    return;
  }
  answer(From, {});
  if (Version > Store->version() && Version > Rejected)
    state(From);
}

wire::ConfigState ConfigDistribution::stateMessage(const Follower &For,
                                                   TimePoint Now) const {
  wire::ConfigState Message;
  Message.version = static_cast<int64_t>(Store->version());
  if (Store->current())
    Message.digest = static_cast<int64_t>(Store->current()->digest());
  Message.domain = Self.FailureDomain;
  Message.relay = actsAsRelay(Now);
  Message.contendSlot = -1;
  if (For.DirectoryDigest != Directory.digest() &&
      !Directory.relays().empty()) {
    Message.relays = Directory.entries();
    Message.__isset.relays = true;
  }
  if (Message.relay && For.Primary)
    Message.standing = standing(Now);
  return Message;
}

// Sends To what it lacks and then the state, with what Template confirms.
void ConfigDistribution::answer(const Address &To,
                                const wire::ConfigState &Template) {
  auto Found = Following.find(To);
  if (Found == Following.end())
    return;
  TimePoint Now = Time->now();
  bringUpToDate(To, Found->second);
  wire::ConfigState Message = stateMessage(Found->second, Now);
  Message.confirmed = Template.confirmed;
  Message.platformAway = Template.platformAway;
  Message.process = Template.process;
  if (std::optional<int> Number = slotFor(To, Found->second, Now))
    Message.contendSlot = *Number;
  Peers->sendMessage(To, FrameType::ConfigState, Message);
}

// Sends what To lacks, unless it has it, holds it back or can't apply it.
void ConfigDistribution::bringUpToDate(const Address &To, Follower &Known) {
  if (History.empty())
    return;
  const Snapshot &Newest = *History.newest();
  bool HeldBack = Known.Fresh && Known.Digest == Newest.digest();
  if (Known.SentVersion >= Newest.version() || HeldBack ||
      Known.Rejected >= Newest.version())
    return;
  const ConfigUpdate &Update =
      History.updateFrom(Known.SentVersion, Known.SentDigest);
  Peers->send(To, Update.Type, Update.Payload);
  Known.SentVersion = Newest.version();
  Known.SentDigest = Newest.digest();
}

// One read of the platform answers all newcomers that asked before it.
void ConfigDistribution::confirmForNewcomers() {
  if (Confirming || Newcomers.empty())
    return;
  Confirming = true;
  Platform->read(
      DocumentKey, [this, Guard = Alive, Asked = std::exchange(Newcomers, {})](
                       Result<PlatformObject, PlatformError> Read) {
        if (!*Guard)
          return;
        Confirming = false;
        if (Read)
          offer(Read.value().Value);
        bool Known = Read || Read.error() == PlatformError::NotFound;
        // A document that can't be applied here confirms nothing.
        uint64_t Rejecting = Rejected > Store->version() ? Rejected : 0;
        for (const auto &[Peer, Process] : Asked) {
          wire::ConfigState Template;
          Template.confirmed = Known && Opened && Rejecting == 0;
          Template.platformAway = !Known;
          Template.process = Process;
          answer(Peer, Template);
        }
        confirmForNewcomers();
      });
}

// Passes the new snapshot on and states it.
void ConfigDistribution::pushNewest() {
  uint64_t Before = History.empty() ? 0 : History.newest()->version();
  History.add(Store->current());
  TimePoint Now = Time->now();
  for (auto &[Peer, Each] : Following) {
    if (Each.Version >= Before)
      Each.LagsSince = Now;
    if (Each.Primary && !Each.Fresh)
      bringUpToDate(Peer, Each);
  }
  SumsChanged = true;
  stateToAll();
}

// A vacant slot of the asker's failure domain that it should contend for.
std::optional<int> ConfigDistribution::slotFor(const Address &Peer,
                                               const Follower &Asking,
                                               TimePoint Now) {
  bool Holds = Directory.relays().count(Peer) != 0;
  if (!isRelay(Now) || Asking.Fresh || Holds)
    return std::nullopt;
  for (int Number = 0; Number < Options.RelaysPerDomain; ++Number) {
    RelaySlot Vacant = {Asking.FailureDomain, Number};
    auto Last = Nominated.find(Vacant);
    bool Waits =
        Last != Nominated.end() && Now - Last->second < NominationPeriod;
    if (Waits || !Directory.vacant(Vacant, VacantTime, Now))
      continue;
    Nominated[Vacant] = Now;
    return Number;
  }
  return std::nullopt;
}

Follower ConfigDistribution::ownStatement() const {
  Follower Own;
  Own.MemberId = Self.Id;
  Own.FailureDomain = Self.FailureDomain;
  Own.Version = Store->version();
  Own.Rejected = Rejected;
  return Own;
}

std::vector<wire::DomainStanding>
ConfigDistribution::ownSums(TimePoint Now) const {
  std::map<std::string, bool> Domains = {{Self.FailureDomain, true}};
  for (const auto &[Peer, Each] : Following)
    Domains[Each.FailureDomain] = true;
  std::vector<wire::DomainStanding> Sums;
  for (const auto &[Domain, Present] : Domains)
    Sums.push_back(sumOf(Domain, Following, ownStatement(),
                         Members->memberList(), Store->version(), Now));
  return Sums;
}

std::vector<wire::DomainStanding>
ConfigDistribution::standing(TimePoint Now) const {
  FleetVersions Known = Fleet;
  if (actsAsRelay(Now))
    for (const wire::DomainStanding &Each : ownSums(Now))
      Known.update(Peers->self(), Each, Now);
  return Known.sums(Now);
}

// Sends the own sums to the other relays, and all to the followers.
void ConfigDistribution::sendSums(TimePoint Now) {
  bool Changed = SumsChanged || FleetChanged;
  if (!actsAsRelay(Now) || Now < NextSums ||
      (!Changed && Now - NextSums < SumLimit))
    return;
  NextSums = Now + SumPeriod;
  for (const wire::DomainStanding &Each : ownSums(Now)) {
    wire::ConfigStanding Message;
    Message.sum = Each;
    std::string Payload = encodeMessage(Message);
    for (const auto &[Relay, Domain] : Directory.relays())
      if (Relay != Peers->self())
        Peers->send(Relay, FrameType::ConfigStanding, Payload);
  }
  if (Changed)
    for (const auto &[Peer, Each] : Following)
      if (Each.Primary)
        Peers->sendMessage(Peer, FrameType::ConfigState,
                           stateMessage(Each, Now));
  SumsChanged = false;
  FleetChanged = false;
}

void ConfigDistribution::receiveSum(const Address &From,
                                    std::string_view Payload) {
  Result<wire::ConfigStanding, FrameError> Message =
      decodeMessage<wire::ConfigStanding>(Payload);
  if (Message)
    FleetChanged |= Fleet.update(From, Message.value().sum, Time->now());
}

} // namespace cyclamenwind
