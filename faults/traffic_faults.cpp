// Fault matrix of the path of a call: each fault at each step of a call,
// repeatable and not, in virtual time. What must always hold is checked on what
// callers and backend servers saw.
//
//   traffic_faults            all seeds
//   traffic_faults --ci       a few seeds
//   traffic_faults --mutants  broken variants of the program, which the checks
//                             must catch

#include "testing/report.h"
#include "testing/traffic_world.h"

#include "cyclamenwind/base/log.h"
#include "cyclamenwind/base/names.h"

#include <cstring>
#include <set>

using namespace cyclamenwind;
using namespace cyclamenwind::testing;

namespace {

constexpr uint64_t CiSeeds = 5;
constexpr uint64_t AllSeeds = 60;
constexpr int Daemons = 3;
constexpr int CallsPerCase = 40;
constexpr Duration CallSpacing = 2ms;
constexpr Duration RestartTime = 150ms;
constexpr Duration SettleTime = 8s;

enum class Fault {
  ServerKill,
  ServerRestart,
  ServerPause,
  ServerSilence,
  ServerDrain,
  ServerShed,
  LateAnswer,
  CutAnswer,
  CrossedAnswer,
  LyingHealth,
  DaemonKill,
  DaemonRestart,
  DaemonDrain,
  DaemonPause,
  LinkCut,
  CallersDaemonRestart,
};

constexpr std::array<EnumName<Fault>, 16> FaultNames = {{
    {Fault::ServerKill, "server_kill"},
    {Fault::ServerRestart, "server_restart"},
    {Fault::ServerPause, "server_pause"},
    {Fault::ServerSilence, "server_silence"},
    {Fault::ServerDrain, "server_drain"},
    {Fault::ServerShed, "server_shed"},
    {Fault::LateAnswer, "late_answer"},
    {Fault::CutAnswer, "cut_answer"},
    {Fault::CrossedAnswer, "crossed_answer"},
    {Fault::LyingHealth, "lying_health"},
    {Fault::DaemonKill, "daemon_kill"},
    {Fault::DaemonRestart, "daemon_restart"},
    {Fault::DaemonDrain, "daemon_drain"},
    {Fault::DaemonPause, "daemon_pause"},
    {Fault::LinkCut, "link_cut"},
    {Fault::CallersDaemonRestart, "callers_daemon_restart"},
}};

bool isPlanned(Fault Kind) {
  return Kind == Fault::ServerDrain || Kind == Fault::DaemonDrain;
}

Address peerOf(int Daemon) {
  return {"10.0.0." + std::to_string(1 + Daemon), 7100};
}

void cause(TrafficWorld &World, Fault Kind, int Server,
           std::vector<TimerHandle> &Timers) {
  FakeServer &Target = World.Servers[static_cast<size_t>(Server)];
  auto Later = [&](Duration Delay, std::function<void()> Action) {
    Timers.push_back(World.Time.after(Delay, std::move(Action)));
  };
  switch (Kind) {
  case Fault::ServerKill:
    World.killServer(Server);
    break;
  case Fault::ServerRestart:
    World.killServer(Server);
    Later(RestartTime, [&World, Server] { World.startServer(Server); });
    break;
  case Fault::ServerPause:
    Target.Paused = true;
    Later(RestartTime, [&Target] { Target.Paused = false; });
    break;
  case Fault::ServerSilence:
    Target.Silent = true;
    break;
  case Fault::ServerDrain:
    World.drainServer(Server);
    break;
  case Fault::ServerShed:
    Target.Sheds = true;
    break;
  case Fault::LateAnswer:
    Target.Slow = true;
    break;
  case Fault::CutAnswer:
    Target.Cuts = true;
    break;
  case Fault::CrossedAnswer:
    World.replayReplies();
    Later(RestartTime, [&World] { World.replayReplies(); });
    break;
  case Fault::LyingHealth:
    World.withdrawUnheard(Server);
    break;
  case Fault::DaemonKill:
    World.killDaemon(Server);
    break;
  case Fault::DaemonRestart:
    World.killDaemon(Server);
    Later(RestartTime, [&World, Server] {
      World.startDaemon(Server);
      World.replayReplies();
    });
    break;
  case Fault::DaemonDrain:
    World.drainDaemon(Server);
    break;
  case Fault::DaemonPause:
    World.Network.pause(peerOf(Server), true);
    Later(RestartTime,
          [&World, Server] { World.Network.pause(peerOf(Server), false); });
    break;
  case Fault::LinkCut:
    World.Network.cut(peerOf(0), peerOf(Server), true);
    Later(RestartTime, [&World, Server] {
      World.Network.cut(peerOf(0), peerOf(Server), false);
    });
    break;
  case Fault::CallersDaemonRestart:
    World.killDaemon(0);
    Later(RestartTime, [&World] {
      World.startDaemon(0);
      World.replayReplies();
    });
    break;
  }
}

struct CaseResult {
  int Violations = 0;
  std::string Detail;
  std::set<char> Broken; // Numbers of the invariants.
  int Answered = 0;
  int Refused = 0;
  int Unknown = 0;
  bool Reached = false;
};

CaseResult runOne(Fault Kind, CallStep Step, bool Idempotent, uint64_t Seed,
                  TrafficMutant Mutant, int Daemons) {
  TrafficOptions Options;
  Options.Seed = Seed;
  Options.Daemons = Daemons;
  Options.Mutant = Mutant;
  TrafficWorld World(Options);
  std::vector<TimerHandle> Timers;
  CaseResult Outcome;
  // A few calls first, so that the fault meets traffic that runs.
  int Warm = static_cast<int>(Seed % 8);
  for (int I = 0; I < CallsPerCase; ++I) {
    if (I == Warm)
      World.onStep(Step, [&](int Server) {
        Outcome.Reached = true;
        cause(World, Kind, Server, Timers);
      });
    World.call(Idempotent);
    World.Time.advance(CallSpacing);
  }
  World.Time.advance(SettleTime);
  std::vector<std::string> Found = World.violations(isPlanned(Kind));
  Outcome.Violations = static_cast<int>(Found.size());
  if (!Found.empty())
    Outcome.Detail =
        "seed=" + std::to_string(Seed) + " first=\"" + Found.front() + "\"";
  for (const std::string &Each : Found)
    Outcome.Broken.insert(Each.front());
  for (const CallerRecord &Each : World.Callers) {
    const std::string *End = findHeader(Each.Response.Headers, EndHeader);
    if (End == nullptr)
      continue;
    Outcome.Answered += *End == "answered" ? 1 : 0;
    Outcome.Refused += *End == "refused" ? 1 : 0;
    Outcome.Unknown += *End == "unknown" ? 1 : 0;
  }
  return Outcome;
}

CaseResult runSeeds(Fault Kind, CallStep Step, bool Idempotent, uint64_t Seeds,
                    TrafficMutant Mutant, int Daemons) {
  CaseResult Total;
  bool Reached = true;
  for (uint64_t Seed = 1; Seed <= Seeds; ++Seed) {
    CaseResult One = runOne(Kind, Step, Idempotent, Seed, Mutant, Daemons);
    if (Total.Detail.empty())
      Total.Detail = One.Detail;
    Total.Violations += One.Violations;
    Total.Broken.merge(One.Broken);
    Total.Answered += One.Answered;
    Total.Refused += One.Refused;
    Total.Unknown += One.Unknown;
    Reached = Reached && One.Reached;
  }
  if (!Reached && Mutant == TrafficMutant::None) {
    ++Total.Violations;
    Total.Detail += " the step was not reached";
  }
  return Total;
}

int runMatrix(uint64_t Seeds) {
  FaultReport Report;
  for (const auto &[Kind, Name] : FaultNames)
    for (CallStep Step : AllCallSteps)
      for (bool Idempotent : {false, true}) {
        CaseResult Total = runSeeds(Kind, Step, Idempotent, Seeds,
                                    TrafficMutant::None, Daemons);
        Report.add(std::string(Name), std::string(nameOf(Step)),
                   Total.Violations,
                   "repeatable=" + std::string(Idempotent ? "yes" : "no") +
                       " answered=" + std::to_string(Total.Answered) +
                       " refused=" + std::to_string(Total.Refused) +
                       " unknown=" + std::to_string(Total.Unknown) +
                       (Total.Detail.empty() ? "" : " " + Total.Detail));
      }
  return Report.close();
}

struct MutantCase {
  TrafficMutant Mutant;
  const char *Name;
  char Invariant;
  Fault Kind;
  CallStep Step;
  // One: no other server answers in place of the refusal.
  int Daemons;
};

constexpr std::array<MutantCase, 4> MutantCases = {{
    {TrafficMutant::PassesCutAnswer, "passes_cut_answer", '5', Fault::CutAnswer,
     CallStep::AnswerHalfIn, Daemons},
    {TrafficMutant::DeniesFirstByte, "denies_first_byte", '6',
     Fault::ServerKill, CallStep::Waiting, 1},
    {TrafficMutant::SendsTwice, "sends_twice", '7', Fault::CutAnswer,
     CallStep::AnswerHalfIn, Daemons},
    {TrafficMutant::IgnoresDrain, "ignores_drain", '8', Fault::ServerDrain,
     CallStep::Waiting, Daemons},
}};

// A mutant counts as passed if the check of its invariant caught it.
int runMutants(uint64_t Seeds) {
  FaultReport Report;
  for (const MutantCase &Each : MutantCases) {
    CaseResult Total = runSeeds(Each.Kind, Each.Step, /*Repeatable=*/false,
                                Seeds, Each.Mutant, Each.Daemons);
    bool Caught = Total.Broken.count(Each.Invariant) != 0;
    Report.add(std::string("mutant_") + Each.Name,
               std::string(nameOf(Each.Step)), Caught ? 0 : 1,
               "caught=" + std::string(Caught ? "yes" : "no") + " " +
                   Total.Detail);
  }
  return Report.close();
}

} // namespace

int main(int Count, char **Arguments) {
  startLog(LogLevel::Error, "faults");
  uint64_t Seeds = AllSeeds;
  bool Mutants = false;
  for (int I = 1; I < Count; ++I) {
    if (std::strcmp(Arguments[I], "--ci") == 0)
      Seeds = CiSeeds;
    if (std::strcmp(Arguments[I], "--mutants") == 0)
      Mutants = true;
  }
  return Mutants ? runMutants(Seeds) : runMatrix(Seeds);
}
