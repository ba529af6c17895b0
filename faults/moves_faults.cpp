// Fault matrix of rollouts: each fault at each stage of a rollout of a good and
// of a bad version, on real RolloutServices in virtual time.
//
// A case is violated if a record or a call breaks an invariant, if the stage is
// not reached, if a rollout of a good version is not done, if one of a bad
// version is not rolled back or is recorded as done, or if a call goes to the
// bad version more than 3 s after the first daemon had the stop. "--ci" runs
// one seed, otherwise three; each output line names its seed.

#include "testing/report.h"
#include "testing/rollout_fleet.h"

#include "cyclamenwind/base/names.h"

#include <cstring>

using namespace cyclamenwind;
using namespace cyclamenwind::testing;

namespace {

enum class Fault {
  None,
  HolderDies,
  HolderPaused,
  CollectorDies,
  PlatformDown,
  PlatformSlow,
  AnswersLost,
  AllRestart,
  DaemonIsolated,
  HolderDiesWithPlatformDown,
};

constexpr std::array<EnumName<Fault>, 10> FaultNames = {{
    {Fault::None, "none"},
    {Fault::HolderDies, "holder_dies"},
    {Fault::HolderPaused, "holder_paused"},
    {Fault::CollectorDies, "collector_dies"},
    {Fault::PlatformDown, "platform_down"},
    {Fault::PlatformSlow, "platform_slow"},
    {Fault::AnswersLost, "answers_lost"},
    {Fault::AllRestart, "all_restart"},
    {Fault::DaemonIsolated, "daemon_isolated"},
    {Fault::HolderDiesWithPlatformDown, "holder_dies_with_platform_down"},
}};

// Stage of a rollout at which the fault is injected.
struct Stage {
  const char *Name;
  double Share;
  RolloutPhase Phase;
};

constexpr Stage Stages[] = {
    {"waiting", 0, RolloutPhase::WaitingForServers},
    {"first_step", 0.01, RolloutPhase::Stepping},
    {"small_share", 0.05, RolloutPhase::Stepping},
    {"half", 0.5, RolloutPhase::Stepping},
    {"last_step", 0.75, RolloutPhase::Stepping},
    {"holding", 1, RolloutPhase::Holding},
};

constexpr Duration FaultLength = 20s;
constexpr Duration TimeToDeadline = 5min;
constexpr Duration StopLimit = 3s;

void inject(RolloutFleet &Fleet, Fault Injected) {
  size_t Holder = Fleet.holder().value_or(0);
  switch (Injected) {
  case Fault::None:
    break;
  case Fault::HolderDies:
    Fleet.kill(Holder);
    break;
  case Fault::HolderPaused:
    Fleet.pause(Holder, true);
    Fleet.run(FaultLength);
    Fleet.pause(Holder, false);
    return;
  case Fault::CollectorDies:
    Fleet.kill(Fleet.collector());
    break;
  case Fault::PlatformDown:
    Fleet.Platform.Outage = true;
    Fleet.run(FaultLength);
    Fleet.Platform.Outage = false;
    return;
  case Fault::PlatformSlow:
    Fleet.Platform.Delay = 800ms;
    Fleet.Platform.Spread = 2;
    Fleet.run(FaultLength);
    Fleet.Platform.Delay = 2ms;
    Fleet.Platform.Spread = 0;
    return;
  case Fault::AnswersLost:
    Fleet.Platform.LoseAnswers = 6;
    break;
  case Fault::AllRestart:
    for (size_t I = 0; I < Fleet.size(); ++I)
      Fleet.restart(I);
    break;
  case Fault::DaemonIsolated: {
    size_t Target = Holder == 0 ? 1 : 0;
    Fleet.isolate(Target, true);
    Fleet.run(FaultLength);
    Fleet.isolate(Target, false);
    return;
  }
  case Fault::HolderDiesWithPlatformDown:
    Fleet.Platform.Outage = true;
    Fleet.kill(Holder);
    Fleet.run(FaultLength);
    Fleet.Platform.Outage = false;
    return;
  }
  Fleet.run(FaultLength);
}

bool reached(RolloutFleet &Fleet, const Stage &AtStage) {
  return Fleet.runUntil(
      [&] {
        std::optional<RolloutRecord> Record = Fleet.record();
        return Record && Record->Phase == AtStage.Phase &&
               Record->share(true) >= AtStage.Share;
      },
      TimeToDeadline);
}

RolloutFleetOptions optionsFor(uint64_t Seed) {
  RolloutFleetOptions Options;
  Options.Seed = Seed;
  Options.TimeToDeadline = TimeToDeadline;
  return Options;
}

bool finished(RolloutFleet &Fleet) {
  return Fleet.runUntil(
      [&] { return Fleet.record() && Fleet.record()->final(); },
      2 * TimeToDeadline);
}

std::string detailOf(const RolloutFleet &Fleet, const char *Version,
                     uint64_t Seed) {
  std::string Detail =
      "version=" + std::string(Version) + " seed=" + std::to_string(Seed);
  if (std::optional<RolloutRecord> Record = Fleet.record())
    Detail += " state=" + std::string(nameOf(Record->Phase)) +
              " reason=" + std::string(nameOf(Record->Reason));
  for (const std::string &Violation : Fleet.violations())
    Detail += " violation=\"" + Violation + "\"";
  return Detail;
}

void runGoodVersion(FaultReport &Report, const EnumName<Fault> &Injected,
                    const Stage &AtStage, uint64_t Seed) {
  RolloutFleet Fleet(optionsFor(Seed));
  bool StageReached = reached(Fleet, AtStage);
  inject(Fleet, Injected.Value);
  bool Done = finished(Fleet) && Fleet.record()->Phase == RolloutPhase::Done;
  Fleet.run(3s);
  int Violations = static_cast<int>(Fleet.violations().size());
  Violations += !StageReached + !Done;
  Report.add(std::string(Injected.Name), AtStage.Name, Violations,
             detailOf(Fleet, "good", Seed));
}

// The version turns bad when the fault is injected.
void runBadVersion(FaultReport &Report, const EnumName<Fault> &Injected,
                   const Stage &AtStage, uint64_t Seed) {
  RolloutFleet Fleet(optionsFor(Seed));
  bool StageReached = reached(Fleet, AtStage);
  if (Seed % 2 == 1)
    Fleet.New.ErrorRate = 0.1;
  else
    Fleet.New.Latency *= 2;
  inject(Fleet, Injected.Value);
  bool RolledBack =
      finished(Fleet) && Fleet.record()->Phase == RolloutPhase::RolledBack;
  Fleet.run(5s);
  bool Late =
      Fleet.FirstStop && Fleet.LastNewCall - *Fleet.FirstStop > StopLimit;
  int Violations = static_cast<int>(Fleet.violations().size());
  Violations += !StageReached + !RolledBack + Late;
  Report.add(std::string(Injected.Name), AtStage.Name, Violations,
             detailOf(Fleet, "bad", Seed) + (Late ? " late=true" : ""));
}

} // namespace

int main(int Count, char **Arguments) {
  bool CiMode = Count > 1 && std::strcmp(Arguments[1], "--ci") == 0;
  uint64_t Seeds = CiMode ? 1 : 3;
  FaultReport Report;
  for (uint64_t Seed = 1; Seed <= Seeds; ++Seed) {
    for (const EnumName<Fault> &Injected : FaultNames) {
      for (const Stage &AtStage : Stages) {
        runGoodVersion(Report, Injected, AtStage, Seed);
        // While all calls go to the new version there are no calls to compare
        // with: a version that turns bad in this stage cannot be detected.
        if (AtStage.Phase != RolloutPhase::Holding)
          runBadVersion(Report, Injected, AtStage, Seed);
      }
    }
  }
  return Report.close();
}
