// Fault matrix of the membership in virtual time: each fault combined with each
// step (idle, a member joins, crashes or leaves, a partition heals).
//
// Violations: a dead or left member that still gets new calls after
// RemovalBound; a running member that is missing, dead or suspect in a member
// list SettleTime after the fault ended; member lists that still differ then.

#include "testing/member_fleet.h"
#include "testing/report.h"

#include <string_view>

using namespace cyclamenwind;
using namespace cyclamenwind::testing;

namespace {

// Requirement: a dead or leaving server receives no new calls after this time.
constexpr Duration RemovalBound = 3s;
constexpr Duration SettleTime = 40s;
constexpr size_t Size = 24;
constexpr size_t Domains = 4;
// Members that the steps act on; the faults act on others.
constexpr size_t Joiner = 5;
constexpr size_t Crashed = 6;
constexpr size_t Leaver = 7;
constexpr size_t CutDomain = 1;

struct Fault {
  std::string_view Name;
  void (*Begin)(MemberFleet &Fleet);
  void (*End)(MemberFleet &Fleet);
};

struct Step {
  std::string_view Name;
  void (*Run)(MemberFleet &Fleet);
  // The member that must get no new calls after this step, if any.
  std::optional<size_t> Removed;
};

void doNothing(MemberFleet &) {}

void startLoss(MemberFleet &Fleet) { Fleet.Network.LossRate = 0.05; }
void stopLoss(MemberFleet &Fleet) { Fleet.Network.LossRate = 0; }
void startDuplication(MemberFleet &Fleet) {
  Fleet.Network.DuplicationRate = 0.5;
}
void stopDuplication(MemberFleet &Fleet) { Fleet.Network.DuplicationRate = 0; }
void startReordering(MemberFleet &Fleet) { Fleet.Network.Spread = 30; }
void stopReordering(MemberFleet &Fleet) { Fleet.Network.Spread = 1; }
void pauseMember(MemberFleet &Fleet) { Fleet.pause(10, true); }
void resumeMember(MemberFleet &Fleet) { Fleet.pause(10, false); }
void crashMember(MemberFleet &Fleet) { Fleet.crash(11); }
void restartMember(MemberFleet &Fleet) { Fleet.start(11); }
void cutOtherDomain(MemberFleet &Fleet) { Fleet.cutDomain(2, true); }
void healOtherDomain(MemberFleet &Fleet) { Fleet.cutDomain(2, false); }

// All members of the last failure domain except Leaver stop together, and start
// again together.
void stopLastDomain(MemberFleet &Fleet) {
  for (size_t I = Domains - 1; I < Size; I += Domains)
    if (I != Leaver && Fleet.running(I))
      Fleet.crash(I);
}
void startLastDomain(MemberFleet &Fleet) {
  for (size_t I = Domains - 1; I < Size; I += Domains)
    if (!Fleet.running(I))
      Fleet.start(I);
}

constexpr Fault Faults[] = {
    {"none", doNothing, doNothing},
    {"loss", startLoss, stopLoss},
    {"doubling", startDuplication, stopDuplication},
    {"reordering", startReordering, stopReordering},
    {"pause", pauseMember, resumeMember},
    {"crash", crashMember, restartMember},
    {"domain_cut", cutOtherDomain, healOtherDomain},
    {"herd_restart", stopLastDomain, startLastDomain},
};

void restartJoiner(MemberFleet &Fleet) {
  Fleet.crash(Joiner);
  Fleet.Time.advance(100ms);
  Fleet.start(Joiner);
}
void crashOneMember(MemberFleet &Fleet) { Fleet.crash(Crashed); }
void leaveFleet(MemberFleet &Fleet) { Fleet.leave(Leaver); }
void cutAndHealDomain(MemberFleet &Fleet) {
  Fleet.cutDomain(CutDomain, true);
  Fleet.Time.advance(10s);
  Fleet.cutDomain(CutDomain, false);
}

constexpr Step Steps[] = {
    {"idle", doNothing, std::nullopt},
    {"joining", restartJoiner, std::nullopt},
    {"member_crashes", crashOneMember, Crashed},
    {"member_leaves", leaveFleet, Leaver},
    {"cut_heals", cutAndHealDomain, std::nullopt},
};

// Number of running, connected members that still send new calls to Removed.
// Members that are cut off or paused are not counted: they receive the change
// only after the fault ends, and until then they cannot reach a server that
// would run their calls.
size_t connectedSenderCount(const MemberFleet &Fleet, size_t Removed,
                            std::string_view FaultName) {
  size_t Count = 0;
  for (size_t I = 0; I < Fleet.size(); ++I) {
    bool CutOff = FaultName == "domain_cut" && Fleet.domainOf(I) == 2;
    bool Paused = FaultName == "pause" && I == 10;
    if (Fleet.running(I) && !CutOff && !Paused &&
        Fleet.sendsNewCallsTo(I, Removed))
      ++Count;
  }
  return Count;
}

int violations(const Fault &TheFault, const Step &TheStep, uint64_t Seed) {
  MemberFleet Fleet(Size, Domains, Seed);
  Fleet.startConverged();
  TheFault.Begin(Fleet);
  Fleet.Time.advance(Duration(static_cast<int64_t>(Fleet.Rng.below(1000000))));
  TheStep.Run(Fleet);
  int Violations = 0;
  if (TheStep.Removed) {
    Fleet.Time.advance(RemovalBound);
    Violations +=
        connectedSenderCount(Fleet, *TheStep.Removed, TheFault.Name) > 0;
  }
  Fleet.Time.advance(5s);
  TheFault.End(Fleet);
  if (TheStep.Removed == Leaver)
    Fleet.crash(Leaver);
  Fleet.runUntil([&] { return Fleet.converged(); }, SettleTime);
  Violations += Fleet.converged() ? 0 : 1;
  Violations += Fleet.falseDeadCount() > 0;
  return Violations;
}

} // namespace

int main(int Count, char **Arguments) {
  bool CiRun = Count > 1 && std::string_view(Arguments[1]) == "--ci";
  uint64_t Seeds = CiRun ? 2 : 20;
  FaultReport Report;
  for (const Fault &TheFault : Faults) {
    for (const Step &TheStep : Steps) {
      int Total = 0;
      std::string FailedSeeds;
      for (uint64_t Seed = 1; Seed <= Seeds; ++Seed) {
        int SeedViolations = violations(TheFault, TheStep, Seed);
        Total += SeedViolations;
        if (SeedViolations > 0)
          FailedSeeds +=
              (FailedSeeds.empty() ? "seeds=" : ",") + std::to_string(Seed);
      }
      Report.add(std::string(TheFault.Name), std::string(TheStep.Name), Total,
                 FailedSeeds);
    }
  }
  return Report.close();
}
