// The parts of MemberProtocol::tick().

#include "cyclamenwind/base/log.h"
#include "cyclamenwind/membership/monitors.h"
#include "cyclamenwind/membership/protocol.h"

#include <algorithm>
#include <cmath>

namespace cyclamenwind {
namespace {

// Number of members that each member probes.
constexpr size_t MonitorCount = 3;
constexpr size_t GossipFanout = 3;
// Fanout while more than MaxRecordsPerDatagram records are pending.
constexpr size_t BacklogFanout = 6;
// Probe targets change at most this often, so that outstanding probes can
// finish.
constexpr Duration TargetUpdatePeriod = 1s;
constexpr size_t RandomHelpers = 2;
// A longer time between two ticks means that the process was paused.
constexpr Duration PauseThreshold = 4 * MemberTickPeriod;
constexpr double SuspicionPeriods = 4;
constexpr size_t MaxForgottenPeers = 64;
constexpr Duration JoinPullPeriod = 200ms;
constexpr size_t PullsPerJoinPeriod = 1;
constexpr Duration JoinTimeout = 10s;
// Differences that last less than this are left to gossip.
constexpr Duration RepairDelay = 500ms;
constexpr Duration RepairPeriod = 1s;
// Period of pulls from a random member, so that any two member lists are
// compared eventually, not only those of neighbours on the probe ring.
constexpr Duration RandomPullPeriod = 5s;
constexpr Duration DeadContactPeriod = 5s;
constexpr double Jitter = 0.3;

} // namespace

void MemberProtocol::detectPause(TimePoint Now) {
  Duration Elapsed = LastTick ? Now - *LastTick : Duration::zero();
  LastTick = Now;
  if (Elapsed <= PauseThreshold)
    return;
  logWarning("pause_noticed", {{"ms", milliseconds(Elapsed)}});
  Detector.resumedAfterPause(Now);
  for (auto &[Id, TheSuspicion] : Suspicions)
    TheSuspicion.DeadAt += Elapsed;
}

void MemberProtocol::probe(TimePoint Now) {
  if (TargetsEpoch != Members.stateEpoch() && Now >= NextTargetUpdate) {
    NextTargetUpdate = Now + TargetUpdatePeriod;
    TargetsEpoch = Members.stateEpoch();
    std::vector<ProbeTarget> Targets;
    for (const std::string &Id : monitoredBy(Self.Id, Members, MonitorCount))
      Targets.push_back({Id, Members.find(Id)->Peer});
    Detector.setTargets(Targets, Now);
  }
  perform(Detector.tick(Now, helpers()), Now);
}

// Declares suspects dead after their timeout. Until then sends the suspicions
// that this member raised to the suspects once per probe period.
void MemberProtocol::expireSuspicions(TimePoint Now) {
  std::vector<std::string> Expired;
  for (auto &[Id, TheSuspicion] : Suspicions) {
    if (Now >= TheSuspicion.DeadAt) {
      Expired.push_back(Id);
    } else if (TheSuspicion.RaisedLocally &&
               Now >= TheSuspicion.NextNotification) {
      TheSuspicion.NextNotification = Now + Options.ProbePeriod;
      sendToSubject(*Members.find(Id), Now);
    }
  }
  for (const std::string &Id : Expired)
    worsenState(Id, MemberState::Dead, Now);
}

void MemberProtocol::forgetExpired(TimePoint Now) {
  for (auto Entry = ForgetAt.begin(); Entry != ForgetAt.end();) {
    if (Now < Entry->second) {
      ++Entry;
      continue;
    }
    const Member *Current = Members.find(Entry->first);
    if (Current->State == MemberState::Dead)
      ForgottenPeers.push_back(Current->Peer);
    if (ForgottenPeers.size() > MaxForgottenPeers)
      ForgottenPeers.pop_front();
    PendingGossip.erase(Entry->first);
    Members.erase(Entry->first);
    Entry = ForgetAt.erase(Entry);
  }
}

void MemberProtocol::gossip(TimePoint Now) {
  if (PendingGossip.empty())
    return;
  bool Backlog = PendingGossip.size() > MaxRecordsPerDatagram;
  for (const Member *Target :
       randomOthers(Backlog ? BacklogFanout : GossipFanout)) {
    if (!GossipBudget.available(Now))
      return;
    wire::Gossip Message;
    Message.records = takeGossipRecords(GossipBytes, Now);
    if (Message.records.empty())
      return;
    sendCharged(GossipBudget, Target->Peer, FrameType::Gossip, Message);
  }
}

void MemberProtocol::repair(TimePoint Now) {
  if (Now < NextRepair || !RepairBudget.available(Now))
    return;
  std::vector<const Member *> Others = randomOthers(PullsPerJoinPeriod);
  if (!Joined && !Others.empty()) {
    JoinDeadline = JoinDeadline.value_or(Now + JoinTimeout);
    Joined = Now >= *JoinDeadline;
    NextRepair = Now + Rng.jittered(JoinPullPeriod, Jitter);
    for (const Member *Target : Others)
      pull(Target->Peer);
    return;
  }
  if (Now >= NextRandomPull) {
    NextRandomPull = Now + Rng.jittered(RandomPullPeriod, Jitter);
    for (const Member *Target : randomOthers(1))
      pull(Target->Peer);
  }
  if (!DigestDiffersSince || Now - *DigestDiffersSince < RepairDelay)
    return;
  NextRepair = Now + Rng.jittered(RepairPeriod, Jitter);
  DigestDiffersSince.reset();
  pull(DigestDiffersPeer);
}

// Contacts a random dead or forgotten member, which may be on the other side of
// a network partition.
void MemberProtocol::contactDeadMember(TimePoint Now) {
  if (Now < NextDeadContact)
    return;
  NextDeadContact = Now + Rng.jittered(DeadContactPeriod, Jitter);
  std::vector<const Member *> Dead;
  for (const auto &[Id, ForgetTime] : ForgetAt)
    if (Members.find(Id)->State == MemberState::Dead)
      Dead.push_back(Members.find(Id));
  size_t Count = Dead.size() + ForgottenPeers.size();
  if (Count == 0 || !GossipBudget.available(Now))
    return;
  size_t Selected = Rng.below(Count);
  if (Selected >= Dead.size()) {
    pull(ForgottenPeers[Selected - Dead.size()]);
    return;
  }
  sendToSubject(*Dead[Selected], Now);
  pull(Dead[Selected]->Peer);
}

// Helpers for indirect probes: the peer that sent a message last, random alive
// members, then the other recent peers.
std::vector<Address> MemberProtocol::helpers() const {
  std::vector<Address> Peers(RecentPeers.begin(), RecentPeers.end());
  if (Peers.size() > 1)
    Peers.resize(1);
  for (const Member *Helper : randomOthers(RandomHelpers + 1))
    if (Helper->State == MemberState::Alive)
      Peers.push_back(Helper->Peer);
  Peers.insert(Peers.end(), RecentPeers.begin(), RecentPeers.end());
  return Peers;
}

// Grows with the logarithm of the fleet's size, like the time that gossip
// takes.
Duration MemberProtocol::suspicionTimeout() const {
  double Size = static_cast<double>(Members.reachable().size());
  double Periods = SuspicionPeriods * std::max(1.0, std::log10(Size));
  return Duration(static_cast<int64_t>(
      Periods * static_cast<double>(Options.ProbePeriod.count()) *
      (1 + Detector.healthScore())));
}

} // namespace cyclamenwind
