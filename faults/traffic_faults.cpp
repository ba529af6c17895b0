// Fault matrix of calls in virtual time: each fault at each step of a call, on
// idempotent and other routes. Checks the invariants of TrafficWorld on what
// callers and backend servers observed.
//
//   traffic_faults            all seeds
//   traffic_faults --ci       CiSeeds seeds
//   traffic_faults --mutants  broken variants of the program, which the checks
//                             must detect

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
  ServerStall,
  ServerDrain,
  ServerShed,
  LateAnswer,
  CutAnswer,
  CrossedAnswer,
  LocalWithdrawal,
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
    {Fault::ServerStall, "server_silence"},
    {Fault::ServerDrain, "server_drain"},
    {Fault::ServerShed, "server_shed"},
    {Fault::LateAnswer, "late_answer"},
    {Fault::CutAnswer, "cut_answer"},
    {Fault::CrossedAnswer, "crossed_answer"},
    {Fault::LocalWithdrawal, "lying_health"},
    {Fault::DaemonKill, "daemon_kill"},
    {Fault::DaemonRestart, "daemon_restart"},
    {Fault::DaemonDrain, "daemon_drain"},
    {Fault::DaemonPause, "daemon_pause"},
    {Fault::LinkCut, "link_cut"},
    {Fault::CallersDaemonRestart, "callers_daemon_restart"},
}};

bool isPlannedStop(Fault Kind) {
  return Kind == Fault::ServerDrain || Kind == Fault::DaemonDrain;
}

Address peerAddress(int Daemon) {
  return {"10.0.0." + std::to_string(1 + Daemon), 7100};
}

void injectFault(TrafficWorld &World, Fault Kind, int Server,
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
  case Fault::ServerStall:
    Target.Stalled = true;
    break;
  case Fault::ServerDrain:
    World.drainServer(Server);
    break;
  case Fault::ServerShed:
    Target.ShedsLoad = true;
    break;
  case Fault::LateAnswer:
    Target.AnswersLate = true;
    break;
  case Fault::CutAnswer:
    Target.CutsAnswers = true;
    break;
  case Fault::CrossedAnswer:
    World.replayReplies();
    Later(RestartTime, [&World] { World.replayReplies(); });
    break;
  case Fault::LocalWithdrawal:
    World.withdrawLocally(Server);
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
    World.Network.pause(peerAddress(Server), true);
    Later(RestartTime, [&World, Server] {
      World.Network.pause(peerAddress(Server), false);
    });
    break;
  case Fault::LinkCut:
    World.Network.cut(peerAddress(0), peerAddress(Server), true);
    Later(RestartTime, [&World, Server] {
      World.Network.cut(peerAddress(0), peerAddress(Server), false);
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
  std::set<char> BrokenInvariants; // Numbers of the violated invariants.
  int Answered = 0;
  int Refused = 0;
  int Unknown = 0;
  bool StepReached = false;
};

CaseResult runCase(Fault Kind, CallStep Step, bool Idempotent, uint64_t Seed,
                   TrafficMutant Mutant, int Daemons) {
  TrafficOptions Options;
  Options.Seed = Seed;
  Options.Daemons = Daemons;
  Options.Mutant = Mutant;
  TrafficWorld World(Options);
  std::vector<TimerHandle> Timers;
  CaseResult Outcome;
  // The fault is armed after a few calls, so that it occurs under traffic.
  int FaultCall = static_cast<int>(Seed % 8);
  for (int I = 0; I < CallsPerCase; ++I) {
    if (I == FaultCall)
      World.onStep(Step, [&](int Server) {
        Outcome.StepReached = true;
        injectFault(World, Kind, Server, Timers);
      });
    World.call(Idempotent);
    World.Time.advance(CallSpacing);
  }
  World.Time.advance(SettleTime);
  std::vector<std::string> Violations = World.violations(isPlannedStop(Kind));
  Outcome.Violations = static_cast<int>(Violations.size());
  if (!Violations.empty())
    Outcome.Detail = "seed=" + std::to_string(Seed) + " first=\"" +
                     Violations.front() + "\"";
  for (const std::string &Violation : Violations)
    Outcome.BrokenInvariants.insert(Violation.front());
  for (const CallerRecord &Caller : World.Callers) {
    const std::string *CallerOutcome =
        findHeader(Caller.Response.Headers, OutcomeHeader);
    if (CallerOutcome == nullptr)
      continue;
    Outcome.Answered += *CallerOutcome == "answered" ? 1 : 0;
    Outcome.Refused += *CallerOutcome == "refused" ? 1 : 0;
    Outcome.Unknown += *CallerOutcome == "unknown" ? 1 : 0;
  }
  return Outcome;
}

CaseResult runSeeds(Fault Kind, CallStep Step, bool Idempotent, uint64_t Seeds,
                    TrafficMutant Mutant, int Daemons) {
  CaseResult Total;
  bool StepReached = true;
  for (uint64_t Seed = 1; Seed <= Seeds; ++Seed) {
    CaseResult Single = runCase(Kind, Step, Idempotent, Seed, Mutant, Daemons);
    if (Total.Detail.empty())
      Total.Detail = Single.Detail;
    Total.Violations += Single.Violations;
    Total.BrokenInvariants.merge(Single.BrokenInvariants);
    Total.Answered += Single.Answered;
    Total.Refused += Single.Refused;
    Total.Unknown += Single.Unknown;
    StepReached = StepReached && Single.StepReached;
  }
  if (!StepReached && Mutant == TrafficMutant::None) {
    ++Total.Violations;
    Total.Detail += " step not reached";
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
  // 1 where another server would answer in place of the refusal.
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

// A mutant passes if the check of its invariant reports it.
int runMutants(uint64_t Seeds) {
  FaultReport Report;
  for (const MutantCase &Case : MutantCases) {
    CaseResult Total = runSeeds(Case.Kind, Case.Step, /*Idempotent=*/false,
                                Seeds, Case.Mutant, Case.Daemons);
    bool Caught = Total.BrokenInvariants.count(Case.Invariant) != 0;
    Report.add(std::string("mutant_") + Case.Name,
               std::string(nameOf(Case.Step)), Caught ? 0 : 1,
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
