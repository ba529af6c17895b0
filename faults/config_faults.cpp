// Fault matrix of accepting and distributing the document, in virtual time.
//
//   config_faults [--ci]
//
// Each fault is injected at each step of a change: before it is accepted, while
// it is being accepted, and while it is being distributed. After the fault a
// second change is accepted. A case counts a violation for each broken
// invariant of ConfigFleet, if the first change is not applied everywhere
// within 3 s of the end of the fault or the second within 3 s of its
// acceptance, and if an author got a wrong answer.

#include "testing/config_fleet.h"
#include "testing/report.h"

#include <cstring>

namespace {

using namespace cyclamenwind;
using namespace cyclamenwind::testing;

constexpr Duration ApplyLimit = 3s;
constexpr size_t HostCount = 18;
constexpr size_t DomainCount = 3;
// The host through which changes are accepted. It is never crashed, paused or
// cut off.
constexpr size_t AuthorHost = HostCount - 1;

struct Fault {
  const char *Name;
  void (*Begin)(ConfigFleet &Fleet);
};

void forEachRelay(ConfigFleet &Fleet, void (*Action)(ConfigFleet &, size_t)) {
  for (size_t I = 0; I < AuthorHost; ++I)
    if (Fleet.Hosts[I].Process &&
        Fleet.Hosts[I].Process->Distribution->isRelay(Fleet.Time.now()))
      Action(Fleet, I);
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
       forEachRelay(F, [](ConfigFleet &G, size_t I) { G.crash(I); });
     }},
    {"relays_paused",
     [](ConfigFleet &F) {
       forEachRelay(F, [](ConfigFleet &G, size_t I) { G.pause(I, true); });
     }},
    {"half_killed",
     [](ConfigFleet &F) {
       for (size_t I = 0; I < AuthorHost; I += 2)
         F.crash(I);
     }},
    {"half_restarted",
     [](ConfigFleet &F) {
       for (size_t I = 0; I < AuthorHost; I += 2) {
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

// Accepts one change with Injected beginning at Step, then another after its
// end; returns the number of violations.
int countViolations(const Fault &Injected, size_t Step, uint64_t Seed) {
  constexpr Duration IntoStep[] = {0ms, 3ms, 9ms};
  ConfigFleet Fleet(Seed, HostCount, DomainCount);
  Fleet.run(5s);
  Fleet.accept(AuthorHost);
  Fleet.run(8s);
  if (Step == 0) {
    Injected.Begin(Fleet);
    Fleet.run(500ms);
  }
  Fleet.accept(AuthorHost);
  Fleet.run(IntoStep[Step]);
  if (Step > 0)
    Injected.Begin(Fleet);
  Fleet.run(8s);
  Fleet.heal();
  Fleet.Platform.Spread = 0;
  Fleet.run(200ms);
  int Count = 0;
  if (!Fleet.runUntilApplied(ApplyLimit))
    ++Count;
  if (!Fleet.accept(AuthorHost))
    ++Count;
  Fleet.run(200ms);
  if (!Fleet.runUntilApplied(ApplyLimit))
    ++Count;
  // Each acceptance answered with success is one version; only those with an
  // unknown outcome may have made more.
  uint64_t AcceptedCount = static_cast<uint64_t>(Fleet.Outcomes["accepted"]);
  uint64_t UnknownCount = static_cast<uint64_t>(Fleet.Outcomes["unknown"]);
  if (Fleet.newest() < AcceptedCount ||
      Fleet.newest() > AcceptedCount + UnknownCount)
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
  for (const Fault &Tested : Faults)
    for (size_t Step = 0; Step < std::size(Steps); ++Step) {
      int Violations = 0;
      for (uint64_t Seed = 1; Seed <= Seeds; ++Seed)
        Violations += countViolations(Tested, Step, Seed);
      Report.add(std::string("config_") + Tested.Name, Steps[Step], Violations,
                 "seeds=1-" + std::to_string(Seeds));
    }
  return Report.close();
}
