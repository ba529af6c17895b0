// Balancing and admission in virtual time: the real Balancer and Admission with
// simulated backend servers, compared with a baseline (round robin, unbounded
// FIFO queues) on the same load. Goodput counts answers without error before
// the deadline. Deterministic.

#include "cyclamenwind/traffic/admission.h"
#include "cyclamenwind/traffic/balancer.h"
#include "testing/report.h"
#include "testing/virtual_time.h"

#include <algorithm>
#include <cmath>
#include <deque>

using namespace cyclamenwind;
using namespace cyclamenwind::testing;

namespace {

constexpr size_t Servers = 12;
constexpr size_t Domains = 4;
constexpr size_t Daemons = 8;
constexpr int Slots = 10;
constexpr int QueuePerSlot = 2;
constexpr Duration ServiceTime = 10ms;
constexpr Duration NetworkDelay = 500us;
constexpr Duration CallDeadline = 200ms;
constexpr Duration LoadDuration = 6s;
constexpr Duration WarmUp = 15s;
constexpr int MaxAttempts = 3;
constexpr double SlowFactor = 10;
constexpr double ColdFactor = 5;
constexpr double CapacityPerSecond =
    Servers * Slots / (static_cast<double>(ServiceTime.count()) / 1e6);
// Requirements: under overload the goodput stays near capacity; an unresponsive
// server receives no new calls after 3 s.
constexpr double MinGoodputOverloaded = 0.9;
constexpr Duration RemovalTime = 3s;

enum class ServerFault {
  None,
  Slow,
  FailsFast,
  Cold,
  Unresponsive,
  LostDomain
};

struct SimulatedServer {
  Admission AdmissionControl{Slots, Slots *QueuePerSlot};
  std::deque<uint64_t> Fifo; // Queue of the baseline.
  int Running = 0;           // Running calls of the baseline.
};

struct Call {
  size_t Daemon;
  size_t Server;
  Priority CallPriority;
  TimePoint Started;
  TimePoint Deadline;
  TimePoint AttemptStarted;
  int Attempts = 0;
  bool Ended = false;
  std::set<std::string> Tried;
};

struct CallStats {
  uint64_t Offered = 0;
  uint64_t Good = 0;
  uint64_t Refused = 0;
  uint64_t UrgentOffered = 0;
  uint64_t UrgentGood = 0;
  // Calls sent to an unresponsive server later than RemovalTime after the
  // fault.
  uint64_t LateToUnresponsive = 0;
  std::vector<double> LatenciesMs;

  double quantile(double Share) {
    if (LatenciesMs.empty())
      return 0;
    std::sort(LatenciesMs.begin(), LatenciesMs.end());
    return LatenciesMs[static_cast<size_t>(
        Share * static_cast<double>(LatenciesMs.size() - 1))];
  }
};

class Simulation {
public:
  Simulation(bool Baseline, double LoadFactor, ServerFault Fault)
      : Baseline(Baseline), LoadFactor(LoadFactor), Fault(Fault),
        SimulatedServers(Servers) {
    for (size_t I = 0; I < Servers; ++I)
      if (Fault != ServerFault::Cold || I != 0)
        addEndpoint(I);
    for (size_t I = 0; I < Daemons; ++I)
      Balancers.emplace_back("daemon-" + std::to_string(I),
                             "d" + std::to_string(I % Domains), Rng);
  }

  CallStats run() {
    for (Duration Span{}; Span < WarmUp; Span += 1s) {
      for (Balancer &DaemonBalancer : Balancers)
        DaemonBalancer.choose(Endpoints, "v1", {}, Time.now());
      Time.advance(1s);
    }
    FaultStarted = Time.now();
    if (Fault == ServerFault::Cold)
      addEndpoint(0);
    scheduleArrival();
    Time.advance(LoadDuration);
    Arriving = false;
    Time.advance(2 * CallDeadline);
    return Total;
  }

private:
  void addEndpoint(size_t I) {
    Endpoints.push_back({std::to_string(I),
                         {},
                         "d" + std::to_string(I % Domains),
                         "v1",
                         Slots,
                         false});
  }

  void after(Duration Delay, std::function<void()> Action) {
    uint64_t Id = NextTimer++;
    Timers[Id] = Time.after(Delay, [this, Id, Action = std::move(Action)] {
      TimerHandle Fired = std::move(Timers[Id]);
      Timers.erase(Id);
      Action();
    });
  }

  bool isFaulty(size_t Server) const {
    if (Fault == ServerFault::None)
      return false;
    return Fault == ServerFault::LostDomain ? Server % Domains == 0
                                            : Server == 0;
  }
  bool isUnresponsive(size_t Server) const {
    return isFaulty(Server) && (Fault == ServerFault::Unresponsive ||
                                Fault == ServerFault::LostDomain);
  }

  void scheduleArrival() {
    double Rate = LoadFactor * CapacityPerSecond;
    double Gap = -std::log(1 - Rng.fraction()) * 1e6 / Rate;
    after(Duration(static_cast<int64_t>(Gap)), [this] {
      if (!Arriving)
        return;
      arrive();
      scheduleArrival();
    });
  }

  void arrive() {
    uint64_t Id = NextCall++;
    Call &Added = Calls[Id];
    Added.Daemon = Rng.below(Daemons);
    Added.CallPriority =
        Rng.below(10) == 0 ? Priority::Urgent : Priority::Normal;
    Added.Started = Time.now();
    Added.Deadline = Time.now() + CallDeadline;
    ++Total.Offered;
    Total.UrgentOffered += Added.CallPriority == Priority::Urgent ? 1 : 0;
    after(CallDeadline, [this, Id] { timedOut(Id); });
    attempt(Id);
  }

  void attempt(uint64_t Id) {
    Call &Current = Calls.at(Id);
    const Endpoint *Target =
        Baseline ? &Endpoints[RoundRobin++ % Endpoints.size()]
                 : Balancers[Current.Daemon].choose(Endpoints, "v1",
                                                    Current.Tried, Time.now());
    if (Target == nullptr || Current.Attempts == MaxAttempts) {
      ++Total.Refused;
      Current.Ended = true;
      return;
    }
    ++Current.Attempts;
    Current.AttemptStarted = Time.now();
    Current.Server = std::stoul(Target->MemberId);
    Current.Tried.insert(Target->MemberId);
    Balancers[Current.Daemon].recordStart(Target->MemberId);
    if (isUnresponsive(Current.Server)) {
      Total.LateToUnresponsive +=
          Time.now() > FaultStarted + RemovalTime ? 1 : 0;
      return;
    }
    after(NetworkDelay, [this, Id] { received(Id); });
  }

  void received(uint64_t Id) {
    Call &Current = Calls.at(Id);
    SimulatedServer &Server = SimulatedServers[Current.Server];
    if (isFaulty(Current.Server) && Fault == ServerFault::FailsFast) {
      after(NetworkDelay, [this, Id] { answered(Id, 500); });
      return;
    }
    if (Baseline) {
      Server.Fifo.push_back(Id);
      runBaseline(Current.Server);
      return;
    }
    AdmissionActions Actions;
    AdmissionDecision Decision = Server.AdmissionControl.tryAdmit(
        Id, Current.CallPriority, Current.Deadline, Time.now(), Actions);
    if (Decision == AdmissionDecision::Run)
      work(Id);
    if (Decision == AdmissionDecision::Refused)
      refuse(Id);
    applyActions(Actions);
  }

  void runBaseline(size_t Index) {
    SimulatedServer &Server = SimulatedServers[Index];
    while (Server.Running < Slots && !Server.Fifo.empty()) {
      uint64_t Next = Server.Fifo.front();
      Server.Fifo.pop_front();
      ++Server.Running;
      work(Next);
    }
  }

  void applyActions(const AdmissionActions &Actions) {
    for (const auto *List : {&Actions.Displaced, &Actions.Expired})
      for (uint64_t Id : *List)
        refuse(Id);
    for (uint64_t Id : Actions.Run)
      work(Id);
  }

  void work(uint64_t Id) {
    size_t Server = Calls.at(Id).Server;
    double Factor = 0.5 + Rng.fraction();
    if (isFaulty(Server) && Fault == ServerFault::Slow)
      Factor *= SlowFactor;
    if (isFaulty(Server) && Fault == ServerFault::Cold)
      Factor *= ColdFactor;
    Duration Span(static_cast<int64_t>(Factor * ServiceTime.count()));
    after(Span, [this, Id, Server] {
      after(NetworkDelay, [this, Id] { answered(Id, 200); });
      if (!Baseline) {
        applyActions(SimulatedServers[Server].AdmissionControl.callFinished(
            Id, Time.now()));
        return;
      }
      --SimulatedServers[Server].Running;
      runBaseline(Server);
    });
  }

  void refuse(uint64_t Id) {
    after(NetworkDelay, [this, Id] {
      Call &Current = Calls.at(Id);
      if (Current.Ended)
        return;
      recordOutcome(Current, CallOutcome::Refused, CallReason::QueueFull, 0);
      attempt(Id);
    });
  }

  void answered(uint64_t Id, int Status) {
    Call &Current = Calls.at(Id);
    if (Current.Ended)
      return;
    Current.Ended = true;
    recordOutcome(Current, CallOutcome::Answered, CallReason::None, Status);
    if (Status != 200)
      return;
    ++Total.Good;
    Total.UrgentGood += Current.CallPriority == Priority::Urgent ? 1 : 0;
    Total.LatenciesMs.push_back(
        static_cast<double>((Time.now() - Current.Started).count()) / 1e3);
  }

  void timedOut(uint64_t Id) {
    Call &Current = Calls.at(Id);
    if (Current.Ended)
      return;
    Current.Ended = true;
    recordOutcome(Current, CallOutcome::Unknown, CallReason::DeadlinePassed, 0);
  }

  void recordOutcome(const Call &Ended, CallOutcome Outcome, CallReason Reason,
                     int Status) {
    Balancer &DaemonBalancer = Balancers[Ended.Daemon];
    std::string Id = std::to_string(Ended.Server);
    const Admission &AdmissionControl =
        SimulatedServers[Ended.Server].AdmissionControl;
    // The daemon of a server that fails fast reports no load, since its calls
    // end at once.
    DaemonBalancer.recordEnd(Id);
    DaemonBalancer.recordLoad(
        Id, {AdmissionControl.running(), AdmissionControl.queued()},
        Time.now());
    DaemonBalancer.recordOutcome({"s", "v1", Id}, Outcome, Reason, Status,
                                 Time.now() - Ended.AttemptStarted, Time.now());
  }

  bool Baseline;
  double LoadFactor;
  ServerFault Fault;
  VirtualTime Time;
  Random Rng{77};
  std::vector<SimulatedServer> SimulatedServers;
  std::vector<Endpoint> Endpoints;
  std::deque<Balancer> Balancers;
  std::map<uint64_t, Call> Calls;
  std::map<uint64_t, TimerHandle> Timers;
  TimePoint FaultStarted;
  CallStats Total;
  uint64_t NextTimer = 0;
  uint64_t NextCall = 1;
  size_t RoundRobin = 0;
  bool Arriving = true;
};

double perSecond(uint64_t Count) {
  return static_cast<double>(Count) * 1e6 /
         static_cast<double>(LoadDuration.count());
}

void report(BenchReport &Report, const std::string &Name, bool Baseline,
            CallStats &Total) {
  std::string Suffix = Name + (Baseline ? "_plain" : "");
  Report.figure("goodput_" + Suffix, perSecond(Total.Good) / CapacityPerSecond,
                "of capacity");
  Report.figure("p50_" + Suffix, Total.quantile(0.5), "ms");
  Report.figure("p99_" + Suffix, Total.quantile(0.99), "ms");
  Report.figure("refused_" + Suffix,
                static_cast<double>(Total.Refused) /
                    static_cast<double>(Total.Offered),
                "of offered");
}

void runLoads(BenchReport &Report) {
  for (double Factor : {0.5, 1.0, 2.0}) {
    for (bool Baseline : {false, true}) {
      CallStats Total = Simulation(Baseline, Factor, ServerFault::None).run();
      std::string Name = "load_" + std::to_string(Factor).substr(0, 3);
      report(Report, Name, Baseline, Total);
      if (Baseline || Factor < 2)
        continue;
      Report.atLeast("goodput_overloaded",
                     perSecond(Total.Good) / CapacityPerSecond, "of capacity",
                     MinGoodputOverloaded);
      Report.figure("urgent_answered_overloaded",
                    static_cast<double>(Total.UrgentGood) /
                        static_cast<double>(Total.UrgentOffered),
                    "of offered");
    }
  }
}

void runFaults(BenchReport &Report) {
  constexpr std::pair<ServerFault, const char *> Cases[] = {
      {ServerFault::Slow, "slow"},
      {ServerFault::FailsFast, "lying"},
      {ServerFault::Cold, "cold"},
      {ServerFault::Unresponsive, "silent"},
      {ServerFault::LostDomain, "lost_domain"}};
  for (const auto &[Fault, Name] : Cases) {
    for (bool Baseline : {false, true}) {
      CallStats Total = Simulation(Baseline, 0.5, Fault).run();
      report(Report, Name, Baseline, Total);
      Report.figure(
          std::string("answered_") + Name + (Baseline ? "_plain" : ""),
          static_cast<double>(Total.Good) / static_cast<double>(Total.Offered),
          "of offered");
      Report.figure(std::string("late_to_mute_") + Name +
                        (Baseline ? "_plain" : ""),
                    static_cast<double>(Total.LateToUnresponsive), "calls");
    }
  }
}

} // namespace

int main() {
  BenchReport Report("traffic");
  runLoads(Report);
  runFaults(Report);
  return Report.status();
}
