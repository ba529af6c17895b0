// The timed parts of MemberProtocol.

#include "cyclamenwind/base/log.h"
#include "cyclamenwind/membership/monitors.h"
#include "cyclamenwind/membership/protocol.h"

#include <algorithm>
#include <cmath>

namespace cyclamenwind {
namespace {

// Members that each member probes.
constexpr size_t MonitorCount = 3;
constexpr size_t GossipFanout = 3;
// While there are more changes than fit into a datagram.
constexpr size_t CrowdFanout = 6;
// Targets change no more often, so that probes come to an end.
constexpr Duration WatchPeriod = 1s;
constexpr size_t RandomHelpers = 2;
// A tick later than this means that the process stood still.
constexpr Duration LateTick = 4 * MemberTickPeriod;
constexpr double SuspicionPeriods = 4;
constexpr size_t MaxFormerPeers = 64;
constexpr Duration JoinPeriod = 200ms;
constexpr size_t JoinPulls = 1;
constexpr Duration MaxJoinTime = 10s;
// Digests that differ for less are left to gossip.
constexpr Duration RepairDelay = 500ms;
constexpr Duration RepairPeriod = 1s;
// Any two rosters are compared now and then, whatever the ring.
constexpr Duration RandomPullPeriod = 5s;
constexpr Duration ReconnectPeriod = 5s;
constexpr double Jitter = 0.3;

} // namespace

void MemberProtocol::noticePause(TimePoint Now) {
  Duration Elapsed = LastTick ? Now - *LastTick : Duration::zero();
  LastTick = Now;
  if (Elapsed <= LateTick)
    return;
  logWarning("pause_noticed", {{"ms", milliseconds(Elapsed)}});
  Detector.resumed(Now);
  for (auto &[Id, Each] : Suspicions)
    Each.DeadAt += Elapsed;
}

void MemberProtocol::probe(TimePoint Now) {
  if (WatchedEpoch != Members.stateEpoch() && Now >= NextWatch) {
    NextWatch = Now + WatchPeriod;
    WatchedEpoch = Members.stateEpoch();
    std::vector<ProbeTarget> Targets;
    for (const std::string &Id : monitoredBy(Self.Id, Members, MonitorCount))
      Targets.push_back({Id, Members.find(Id)->Peer});
    Detector.watch(Targets, Now);
  }
  perform(Detector.tick(Now, helpers()), Now);
}

// Tells the suspects that this member accused, and gives up those whose time
// has run out.
void MemberProtocol::settleSuspicions(TimePoint Now) {
  std::vector<std::string> Overdue;
  for (auto &[Id, Each] : Suspicions) {
    if (Now >= Each.DeadAt) {
      Overdue.push_back(Id);
    } else if (Each.OwnAccusation && Now >= Each.NextNotice) {
      Each.NextNotice = Now + Options.ProbePeriod;
      tellDirectly(*Members.find(Id), Now);
    }
  }
  for (const std::string &Id : Overdue)
    declare(Id, MemberState::Dead, Now);
}

void MemberProtocol::forget(TimePoint Now) {
  for (auto Each = Retained.begin(); Each != Retained.end();) {
    if (Now < Each->second) {
      ++Each;
      continue;
    }
    const Member *Held = Members.find(Each->first);
    if (Held->State == MemberState::Dead)
      FormerPeers.push_back(Held->Peer);
    if (FormerPeers.size() > MaxFormerPeers)
      FormerPeers.pop_front();
    Rumours.erase(Each->first);
    Members.erase(Each->first);
    Each = Retained.erase(Each);
  }
}

void MemberProtocol::gossip(TimePoint Now) {
  if (Rumours.empty())
    return;
  bool Many = Rumours.size() > MaxRumoursPerDatagram;
  for (const Member *Each : randomOthers(Many ? CrowdFanout : GossipFanout)) {
    if (!Budget.available(Now))
      return;
    wire::Gossip Message;
    Message.records = rumoursWithin(GossipBytes, Now);
    if (Message.records.empty())
      return;
    sendOn(Budget, Each->Peer, FrameType::Gossip, Message);
  }
}

void MemberProtocol::repair(TimePoint Now) {
  if (Now < NextRepair || !RepairBudget.available(Now))
    return;
  std::vector<const Member *> Others = randomOthers(JoinPulls);
  if (!Joined && !Others.empty()) {
    JoinLimit = JoinLimit.value_or(Now + MaxJoinTime);
    Joined = Now >= *JoinLimit;
    NextRepair = Now + Rng.jittered(JoinPeriod, Jitter);
    for (const Member *Each : Others)
      pull(Each->Peer);
    return;
  }
  if (Now >= NextRandomPull) {
    NextRandomPull = Now + Rng.jittered(RandomPullPeriod, Jitter);
    for (const Member *Each : randomOthers(1))
      pull(Each->Peer);
  }
  if (!DiffersSince || Now - *DiffersSince < RepairDelay)
    return;
  NextRepair = Now + Rng.jittered(RepairPeriod, Jitter);
  DiffersSince.reset();
  pull(DiffersFrom);
}

// Tries the address of a dead or forgotten member: it may have been cut off.
void MemberProtocol::reconnect(TimePoint Now) {
  if (Now < NextReconnect)
    return;
  NextReconnect = Now + Rng.jittered(ReconnectPeriod, Jitter);
  std::vector<const Member *> Dead;
  for (const auto &[Id, Until] : Retained)
    if (Members.find(Id)->State == MemberState::Dead)
      Dead.push_back(Members.find(Id));
  size_t Count = Dead.size() + FormerPeers.size();
  if (Count == 0 || !Budget.available(Now))
    return;
  size_t Choice = Rng.below(Count);
  if (Choice >= Dead.size()) {
    pull(FormerPeers[Choice - Dead.size()]);
    return;
  }
  tellDirectly(*Dead[Choice], Now);
  pull(Dead[Choice]->Peer);
}
// Members that this one heard from last, then random ones.
std::vector<Address> MemberProtocol::helpers() const {
  std::vector<Address> List(Contacts.begin(), Contacts.end());
  if (List.size() > 1)
    List.resize(1);
  for (const Member *Each : randomOthers(RandomHelpers + 1))
    if (Each->State == MemberState::Alive)
      List.push_back(Each->Peer);
  List.insert(List.end(), Contacts.begin(), Contacts.end());
  return List;
}

// Grows with the logarithm of the fleet, as gossip does.
Duration MemberProtocol::suspicionTime() const {
  double Size = static_cast<double>(Members.reachable().size());
  double Periods = SuspicionPeriods * std::max(1.0, std::log10(Size));
  return Duration(static_cast<int64_t>(
      Periods * static_cast<double>(Options.ProbePeriod.count()) *
      (1 + Detector.healthScore())));
}

} // namespace cyclamenwind
