// Fault matrix of accepting and distributing the document, in virtual time.
//
//   config_faults [--ci]
//
// Each fault begins at each step of a change: before it is accepted, while it
// is being accepted, and while it is on its way. A case counts a violation for
// each invariant of ConfigFleet that broke, if the change is not in force
// everywhere within 3 s of healing, and if an author was told wrongly.

#include "testing/config_fleet.h"
#include "testing/report.h"

#include <cstring>

namespace {

using namespace cyclamenwind;
using namespace cyclamenwind::testing;

constexpr Duration Target = 3s;
constexpr size_t HostCount = 18;
constexpr size_t DomainCount = 3;
// Takes part in no fault; changes are accepted through it.
constexpr size_t Author = HostCount - 1;

struct Fault {
  const char *Name;
  void (*Begin)(ConfigFleet &Fleet);
};

void eachRelay(ConfigFleet &Fleet, void (*Act)(ConfigFleet &, size_t)) {
  for (size_t I = 0; I < Author; ++I)
    if (Fleet.Hosts[I].Process &&
        Fleet.Hosts[I].Process->Spread->isRelay(Fleet.Time.now()))
      Act(Fleet, I);
}

const Fault Faults[] = {
    {"none", [](ConfigFleet &) {}},
    {"platform_down", [](ConfigFleet &F) { F.Platform.Outage = true; }},
    {"platform_slow", [](ConfigFleet &F) { F.Platform.Delay = 900ms; }},
    {"answer_lost", [](ConfigFleet &F) { F.Platform.LoseAnswers = 3; }},
    {"answers_crossed",
     [](ConfigFleet &F) {
       F.Platform.Delay = 20ms;
       F.Platform.Spread = 30;
       F.Network.Delay = 100ms;
       F.Network.Spread = 5;
     }},
    {"relays_killed",
     [](ConfigFleet &F) {
       eachRelay(F, [](ConfigFleet &G, size_t I) { G.crash(I); });
     }},
    {"relays_paused",
     [](ConfigFleet &F) {
       eachRelay(F, [](ConfigFleet &G, size_t I) { G.pause(I, true); });
     }},
    {"half_killed",
     [](ConfigFleet &F) {
       for (size_t I = 0; I < Author; I += 2)
         F.crash(I);
     }},
    {"half_restarted",
     [](ConfigFleet &F) {
       for (size_t I = 0; I < Author; I += 2) {
         F.crash(I);
         F.start(I);
       }
     }},
    {"domain_cut_off",
     [](ConfigFleet &F) {
       F.cutOffDomain(0, true);
       for (size_t I = 0; I < HostCount; I += DomainCount)
         F.cutOffPlatform(I, true);
     }},
    {"operators_race",
     [](ConfigFleet &F) {
       F.accept(0);
       F.accept(1);
       F.accept(2);
     }},
};

constexpr const char *Steps[] = {"before_accept", "in_accept", "on_its_way"};

// Accepts one change with Chosen beginning at Step; counts what went wrong.
int violationsOf(const Fault &Chosen, size_t Step, uint64_t Seed) {
  constexpr Duration IntoStep[] = {0ms, 3ms, 9ms};
  ConfigFleet Fleet(Seed, HostCount, DomainCount);
  Fleet.run(5s);
  Fleet.accept(Author);
  Fleet.run(8s);
  if (Step == 0) {
    Chosen.Begin(Fleet);
    Fleet.run(500ms);
  }
  Fleet.accept(Author);
  Fleet.run(IntoStep[Step]);
  if (Step > 0)
    Chosen.Begin(Fleet);
  Fleet.run(8s);
  Fleet.heal();
  Fleet.Platform.Spread = 0;
  Fleet.run(200ms);
  int Count = 0;
  if (!Fleet.settle(Target))
    ++Count;
  if (!Fleet.accept(Author))
    ++Count;
  Fleet.run(200ms);
  if (!Fleet.settle(Target))
    ++Count;
  // Each acceptance that was told is one version, and none is lost silently.
  uint64_t Told = static_cast<uint64_t>(Fleet.Outcomes["accepted"]);
  uint64_t Unknown = static_cast<uint64_t>(Fleet.Outcomes["unknown"]);
  if (Fleet.newest() < Told || Fleet.newest() > Told + Unknown)
    ++Count;
  Count += static_cast<int>(Fleet.Violations.size());
  if (Count != 0)
    std::fputs(Fleet.traceText().c_str(), stderr);
  return Count;
}

} // namespace

int main(int Count, char **Arguments) {
  bool Short = Count > 1 && std::strcmp(Arguments[1], "--ci") == 0;
  uint64_t Seeds = Short ? 1 : 10;
  FaultReport Report;
  for (const Fault &Each : Faults)
    for (size_t Step = 0; Step < std::size(Steps); ++Step) {
      int Violations = 0;
      for (uint64_t Seed = 1; Seed <= Seeds; ++Seed)
        Violations += violationsOf(Each, Step, Seed);
      Report.add(std::string("config_") + Each.Name, Steps[Step], Violations,
                 "seeds=1-" + std::to_string(Seeds));
    }
  return Report.close();
}
