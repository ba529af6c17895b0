// Fault matrix of version moves: each fault at each step of a good and of a bad
// move, on real move services in virtual time.
//
// A case is violated if a record or a call breaks an invariant, if a good move
// is not done, if a bad one is not taken back or is called done, or if calls go
// to the bad version later than 3 s after the first daemon knew of the stop.
// "--ci" runs one seed, else three; a line names its seed.

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

// Where in a move the fault strikes.
struct Stage {
  const char *Name;
  double Share;
  RolloutPhase State;
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
constexpr Duration Length = 5min;
constexpr Duration StopLimit = 3s;

void inject(RolloutFleet &Fleet, Fault Which) {
  size_t Holder = Fleet.holder().value_or(0);
  switch (Which) {
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
    size_t Chosen = Holder == 0 ? 1 : 0;
    Fleet.isolate(Chosen, true);
    Fleet.run(FaultLength);
    Fleet.isolate(Chosen, false);
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

bool reached(RolloutFleet &Fleet, const Stage &Where) {
  return Fleet.runUntil(
      [&] {
        std::optional<RolloutRecord> Record = Fleet.record();
        return Record && Record->State == Where.State &&
               Record->share(true) >= Where.Share;
      },
      Length);
}

MoveFleetOptions optionsFor(uint64_t Seed) {
  MoveFleetOptions Options;
  Options.Seed = Seed;
  Options.Length = Length;
  return Options;
}

bool ended(RolloutFleet &Fleet) {
  return Fleet.runUntil(
      [&] { return Fleet.record() && Fleet.record()->final(); }, 2 * Length);
}

std::string detailOf(const RolloutFleet &Fleet, const char *Version,
                     uint64_t Seed) {
  std::string Detail =
      "version=" + std::string(Version) + " seed=" + std::to_string(Seed);
  if (std::optional<RolloutRecord> Record = Fleet.record())
    Detail += " state=" + std::string(nameOf(Record->State)) +
              " reason=" + std::string(nameOf(Record->Reason));
  for (const std::string &Each : Fleet.violations())
    Detail += " violation=\"" + Each + "\"";
  return Detail;
}

void playGood(FaultReport &Report, const EnumName<Fault> &Which,
              const Stage &Where, uint64_t Seed) {
  RolloutFleet Fleet(optionsFor(Seed));
  bool There = reached(Fleet, Where);
  inject(Fleet, Which.Value);
  bool Done = ended(Fleet) && Fleet.record()->State == RolloutPhase::Done;
  Fleet.run(3s);
  int Violations = static_cast<int>(Fleet.violations().size());
  Violations += !There + !Done;
  Report.add(std::string(Which.Name), Where.Name, Violations,
             detailOf(Fleet, "good", Seed));
}

// The version turns bad as the fault strikes.
void playBad(FaultReport &Report, const EnumName<Fault> &Which,
             const Stage &Where, uint64_t Seed) {
  RolloutFleet Fleet(optionsFor(Seed));
  bool There = reached(Fleet, Where);
  if (Seed % 2 == 1)
    Fleet.New.ErrorRate = 0.1;
  else
    Fleet.New.Latency *= 2;
  inject(Fleet, Which.Value);
  bool Back = ended(Fleet) && Fleet.record()->State == RolloutPhase::RolledBack;
  Fleet.run(5s);
  bool Late =
      Fleet.FirstStop && Fleet.LastNewCall - *Fleet.FirstStop > StopLimit;
  int Violations = static_cast<int>(Fleet.violations().size());
  Violations += !There + !Back + Late;
  Report.add(std::string(Which.Name), Where.Name, Violations,
             detailOf(Fleet, "bad", Seed) + (Late ? " late=true" : ""));
}

} // namespace

int main(int Count, char **Arguments) {
  bool Short = Count > 1 && std::strcmp(Arguments[1], "--ci") == 0;
  uint64_t Seeds = Short ? 1 : 3;
  FaultReport Report;
  for (uint64_t Seed = 1; Seed <= Seeds; ++Seed) {
    for (const EnumName<Fault> &Which : FaultNames) {
      for (const Stage &Where : Stages) {
        playGood(Report, Which, Where, Seed);
        // While all calls go to the new version there is nothing to compare it
        // with: a fault that begins there is not the move's to find.
        if (Where.State != RolloutPhase::Holding)
          playBad(Report, Which, Where, Seed);
      }
    }
  }
  return Report.close();
}
