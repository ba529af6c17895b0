// Fault matrix of the membership in virtual time: every fault while the fleet
// is idle, joining, losing a member, letting one leave, or healing from a cut.
//
// Violations: a dead or left member that still gets new work after the bound; a
// running member that stays out, or is held dead or suspect, after the faults;
// rosters that stay different.

#include "testing/member_fleet.h"
#include "testing/report.h"

#include <string_view>

using namespace cyclamenwind;
using namespace cyclamenwind::testing;

namespace {

// From the brief.
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
  // Begin and end of the fault.
  void (*Begin)(MemberFleet &Fleet);
  void (*End)(MemberFleet &Fleet);
};

struct Step {
  std::string_view Name;
  void (*Run)(MemberFleet &Fleet);
  // A member that is to get no new work, if any.
  std::optional<size_t> Gone;
};

void nothing(MemberFleet &) {}

void lose(MemberFleet &Fleet) { Fleet.Network.LoseShare = 0.05; }
void loseNothing(MemberFleet &Fleet) { Fleet.Network.LoseShare = 0; }
void repeat(MemberFleet &Fleet) { Fleet.Network.DoubleShare = 0.5; }
void repeatNothing(MemberFleet &Fleet) { Fleet.Network.DoubleShare = 0; }
void reorder(MemberFleet &Fleet) { Fleet.Network.Spread = 30; }
void keepOrder(MemberFleet &Fleet) { Fleet.Network.Spread = 1; }
void pauseOne(MemberFleet &Fleet) { Fleet.pause(10, true); }
void resumeOne(MemberFleet &Fleet) { Fleet.pause(10, false); }
void crashOne(MemberFleet &Fleet) { Fleet.crash(11); }
void startOne(MemberFleet &Fleet) { Fleet.start(11); }
void cutOther(MemberFleet &Fleet) { Fleet.cutDomain(2, true); }
void healOther(MemberFleet &Fleet) { Fleet.cutDomain(2, false); }

// All members of the last domain stop, and start again at once.
void herdStops(MemberFleet &Fleet) {
  for (size_t I = Domains - 1; I < Size; I += Domains)
    if (I != Leaver && Fleet.running(I))
      Fleet.crash(I);
}
void herdStarts(MemberFleet &Fleet) {
  for (size_t I = Domains - 1; I < Size; I += Domains)
    if (!Fleet.running(I))
      Fleet.start(I);
}

constexpr Fault Faults[] = {
    {"none", nothing, nothing},
    {"loss", lose, loseNothing},
    {"doubling", repeat, repeatNothing},
    {"reordering", reorder, keepOrder},
    {"pause", pauseOne, resumeOne},
    {"crash", crashOne, startOne},
    {"domain_cut", cutOther, healOther},
    {"herd_restart", herdStops, herdStarts},
};

void joins(MemberFleet &Fleet) {
  Fleet.crash(Joiner);
  Fleet.Time.advance(100ms);
  Fleet.start(Joiner);
}
void crashes(MemberFleet &Fleet) { Fleet.crash(Crashed); }
void leaves(MemberFleet &Fleet) { Fleet.leave(Leaver); }
void heals(MemberFleet &Fleet) {
  Fleet.cutDomain(CutDomain, true);
  Fleet.Time.advance(10s);
  Fleet.cutDomain(CutDomain, false);
}

constexpr Step Steps[] = {
    {"idle", nothing, std::nullopt},      {"joining", joins, std::nullopt},
    {"member_crashes", crashes, Crashed}, {"member_leaves", leaves, Leaver},
    {"cut_heals", heals, std::nullopt},
};

// Running members that can be reached and still give work to Gone. A member
// that is cut off or paused learns of it only afterwards, and can reach nobody
// that would run the work meanwhile.
size_t connectedUsers(const MemberFleet &Fleet, size_t Gone,
                      std::string_view FaultName) {
  size_t Count = 0;
  for (size_t I = 0; I < Fleet.size(); ++I) {
    bool CutOff = FaultName == "domain_cut" && Fleet.domainOf(I) == 2;
    bool Paused = FaultName == "pause" && I == 10;
    if (Fleet.running(I) && !CutOff && !Paused && Fleet.usedBy(I, Gone))
      ++Count;
  }
  return Count;
}

int violations(const Fault &TheFault, const Step &TheStep, uint64_t Seed) {
  MemberFleet Fleet(Size, Domains, Seed);
  Fleet.startTogether();
  TheFault.Begin(Fleet);
  Fleet.Time.advance(Duration(static_cast<int64_t>(Fleet.Rng.below(1000000))));
  TheStep.Run(Fleet);
  int Violations = 0;
  if (TheStep.Gone) {
    Fleet.Time.advance(RemovalBound);
    Violations += connectedUsers(Fleet, *TheStep.Gone, TheFault.Name) > 0;
  }
  Fleet.Time.advance(5s);
  TheFault.End(Fleet);
  if (TheStep.Gone == Leaver)
    Fleet.crash(Leaver);
  Fleet.until([&] { return Fleet.converged(); }, SettleTime);
  Violations += Fleet.converged() ? 0 : 1;
  Violations += Fleet.falseDeaths() > 0;
  return Violations;
}

} // namespace

int main(int Count, char **Arguments) {
  bool Short = Count > 1 && std::string_view(Arguments[1]) == "--ci";
  uint64_t Seeds = Short ? 2 : 20;
  FaultReport Report;
  for (const Fault &TheFault : Faults) {
    for (const Step &TheStep : Steps) {
      int Total = 0;
      std::string Failed;
      for (uint64_t Seed = 1; Seed <= Seeds; ++Seed) {
        int Found = violations(TheFault, TheStep, Seed);
        Total += Found;
        if (Found > 0)
          Failed += (Failed.empty() ? "seeds=" : ",") + std::to_string(Seed);
      }
      Report.add(std::string(TheFault.Name), std::string(TheStep.Name), Total,
                 Failed);
    }
  }
  return Report.close();
}
