// Choice and admission in virtual time: the real Balancer and Admission beside
// simulated backend servers, and a plain baseline (round robin, unbounded FIFO
// queues) on the same calls. Goodput counts answers without error before the
// deadline. Deterministic.

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
constexpr Duration Work = 10ms;
constexpr Duration Hop = 500us;
constexpr Duration CallDeadline = 200ms;
constexpr Duration Length = 6s;
constexpr Duration WarmUp = 15s;
constexpr int MaxAttempts = 3;
constexpr double SlowFactor = 10;
constexpr double ColdFactor = 5;
constexpr double CapacityPerSecond =
    Servers * Slots / (static_cast<double>(Work.count()) / 1e6);
// From the letter and the brief: useful work stays near capacity; a dead server
// gets no new work after 3 s.
constexpr double MinGoodputOverloaded = 0.9;
constexpr Duration RemovalTime = 3s;

enum class ServerFault { None, Slow, Lying, Cold, Silent, LostDomain };

struct SimulatedServer {
  Admission Gate{Slots, Slots *QueuePerSlot};
  std::deque<uint64_t> Fifo; // The baseline's queue.
  int Running = 0;           // The baseline's running calls.
};

struct Call {
  size_t Daemon;
  size_t Server;
  Priority Urgency;
  TimePoint Begun;
  TimePoint Deadline;
  TimePoint AttemptBegun;
  int Attempts = 0;
  bool Ended = false;
  std::set<std::string> Tried;
};

struct Tally {
  uint64_t Offered = 0;
  uint64_t Good = 0;
  uint64_t Refused = 0;
  uint64_t UrgentOffered = 0;
  uint64_t UrgentGood = 0;
  uint64_t LateToFaulty = 0; // Sent there after RemovalTime.
  std::vector<double> Millis;

  double quantile(double Share) {
    if (Millis.empty())
      return 0;
    std::sort(Millis.begin(), Millis.end());
    return Millis[static_cast<size_t>(Share *
                                      static_cast<double>(Millis.size() - 1))];
  }
};

class Simulation {
public:
  Simulation(bool Plain, double LoadFactor, ServerFault Fault)
      : Plain(Plain), LoadFactor(LoadFactor), Fault(Fault), Machines(Servers) {
    for (size_t I = 0; I < Servers; ++I)
      if (Fault != ServerFault::Cold || I != 0)
        addEndpoint(I);
    for (size_t I = 0; I < Daemons; ++I)
      Balancers.emplace_back("daemon-" + std::to_string(I),
                             "d" + std::to_string(I % Domains), Rng);
  }

  Tally run() {
    for (Duration Span{}; Span < WarmUp; Span += 1s) {
      for (Balancer &Each : Balancers)
        Each.choose(Endpoints, "v1", {}, Time.now());
      Time.advance(1s);
    }
    FaultBegun = Time.now();
    if (Fault == ServerFault::Cold)
      addEndpoint(0);
    scheduleArrival();
    Time.advance(Length);
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

  bool faulty(size_t Server) const {
    if (Fault == ServerFault::None)
      return false;
    return Fault == ServerFault::LostDomain ? Server % Domains == 0
                                            : Server == 0;
  }
  bool mute(size_t Server) const {
    return faulty(Server) &&
           (Fault == ServerFault::Silent || Fault == ServerFault::LostDomain);
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
    Added.Urgency = Rng.below(10) == 0 ? Priority::Urgent : Priority::Normal;
    Added.Begun = Time.now();
    Added.Deadline = Time.now() + CallDeadline;
    ++Total.Offered;
    Total.UrgentOffered += Added.Urgency == Priority::Urgent ? 1 : 0;
    after(CallDeadline, [this, Id] { timedOut(Id); });
    attempt(Id);
  }

  void attempt(uint64_t Id) {
    Call &Current = Calls.at(Id);
    const Endpoint *Chosen =
        Plain ? &Endpoints[RoundRobin++ % Endpoints.size()]
              : Balancers[Current.Daemon].choose(Endpoints, "v1", Current.Tried,
                                                 Time.now());
    if (Chosen == nullptr || Current.Attempts == MaxAttempts) {
      ++Total.Refused;
      Current.Ended = true;
      return;
    }
    ++Current.Attempts;
    Current.AttemptBegun = Time.now();
    Current.Server = std::stoul(Chosen->MemberId);
    Current.Tried.insert(Chosen->MemberId);
    Balancers[Current.Daemon].begun(Chosen->MemberId);
    if (mute(Current.Server)) {
      Total.LateToFaulty += Time.now() > FaultBegun + RemovalTime ? 1 : 0;
      return;
    }
    after(Hop, [this, Id] { received(Id); });
  }

  void received(uint64_t Id) {
    Call &Current = Calls.at(Id);
    SimulatedServer &Machine = Machines[Current.Server];
    if (faulty(Current.Server) && Fault == ServerFault::Lying) {
      after(Hop, [this, Id] { answered(Id, 500); });
      return;
    }
    if (Plain) {
      Machine.Fifo.push_back(Id);
      runPlain(Current.Server);
      return;
    }
    AdmissionActions Actions;
    AdmissionVerdict Verdict = Machine.Gate.offer(
        Id, Current.Urgency, Current.Deadline, Time.now(), Actions);
    if (Verdict == AdmissionVerdict::Run)
      work(Id);
    if (Verdict == AdmissionVerdict::Refused)
      refuse(Id);
    perform(Actions);
  }

  void runPlain(size_t Server) {
    SimulatedServer &Machine = Machines[Server];
    while (Machine.Running < Slots && !Machine.Fifo.empty()) {
      uint64_t Next = Machine.Fifo.front();
      Machine.Fifo.pop_front();
      ++Machine.Running;
      work(Next);
    }
  }

  void perform(const AdmissionActions &Actions) {
    for (const auto *List : {&Actions.Displaced, &Actions.Expired})
      for (uint64_t Id : *List)
        refuse(Id);
    for (uint64_t Id : Actions.Run)
      work(Id);
  }

  void work(uint64_t Id) {
    size_t Server = Calls.at(Id).Server;
    double Factor = 0.5 + Rng.fraction();
    if (faulty(Server) && Fault == ServerFault::Slow)
      Factor *= SlowFactor;
    if (faulty(Server) && Fault == ServerFault::Cold)
      Factor *= ColdFactor;
    Duration Span(static_cast<int64_t>(Factor * Work.count()));
    after(Span, [this, Id, Server] {
      after(Hop, [this, Id] { answered(Id, 200); });
      if (!Plain) {
        perform(Machines[Server].Gate.finished(Id, Time.now()));
        return;
      }
      --Machines[Server].Running;
      runPlain(Server);
    });
  }

  void refuse(uint64_t Id) {
    after(Hop, [this, Id] {
      Call &Current = Calls.at(Id);
      if (Current.Ended)
        return;
      tell(Current, CallOutcome::Refused, CallReason::QueueFull, 0);
      attempt(Id);
    });
  }

  void answered(uint64_t Id, int Status) {
    Call &Current = Calls.at(Id);
    if (Current.Ended)
      return;
    Current.Ended = true;
    tell(Current, CallOutcome::Answered, CallReason::None, Status);
    if (Status != 200)
      return;
    ++Total.Good;
    Total.UrgentGood += Current.Urgency == Priority::Urgent ? 1 : 0;
    Total.Millis.push_back(
        static_cast<double>((Time.now() - Current.Begun).count()) / 1e3);
  }

  void timedOut(uint64_t Id) {
    Call &Current = Calls.at(Id);
    if (Current.Ended)
      return;
    Current.Ended = true;
    tell(Current, CallOutcome::Unknown, CallReason::DeadlinePassed, 0);
  }

  void tell(const Call &Ended, CallOutcome End, CallReason Reason, int Status) {
    Balancer &Balance = Balancers[Ended.Daemon];
    std::string Id = std::to_string(Ended.Server);
    const Admission &Gate = Machines[Ended.Server].Gate;
    // A lying server's daemon sees no load, since its calls end at once.
    Balance.ended(Id);
    Balance.reported(Id, {Gate.running(), Gate.queued()}, Time.now());
    Balance.observed({"s", "v1", Id}, End, Reason, Status,
                     Time.now() - Ended.AttemptBegun, Time.now());
  }

  bool Plain;
  double LoadFactor;
  ServerFault Fault;
  VirtualTime Time;
  Random Rng{77};
  std::vector<SimulatedServer> Machines;
  std::vector<Endpoint> Endpoints;
  std::deque<Balancer> Balancers;
  std::map<uint64_t, Call> Calls;
  std::map<uint64_t, TimerHandle> Timers;
  TimePoint FaultBegun;
  Tally Total;
  uint64_t NextTimer = 0;
  uint64_t NextCall = 1;
  size_t RoundRobin = 0;
  bool Arriving = true;
};

double perSecond(uint64_t Count) {
  return static_cast<double>(Count) * 1e6 / static_cast<double>(Length.count());
}

void report(BenchReport &Report, const std::string &Name, bool Plain,
            Tally &Total) {
  std::string Suffix = Name + (Plain ? "_plain" : "");
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
    for (bool Plain : {false, true}) {
      Tally Total = Simulation(Plain, Factor, ServerFault::None).run();
      std::string Name = "load_" + std::to_string(Factor).substr(0, 3);
      report(Report, Name, Plain, Total);
      if (Plain || Factor < 2)
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
      {ServerFault::Lying, "lying"},
      {ServerFault::Cold, "cold"},
      {ServerFault::Silent, "silent"},
      {ServerFault::LostDomain, "lost_domain"}};
  for (const auto &[Fault, Name] : Cases) {
    for (bool Plain : {false, true}) {
      Tally Total = Simulation(Plain, 0.5, Fault).run();
      report(Report, Name, Plain, Total);
      Report.figure(std::string("answered_") + Name + (Plain ? "_plain" : ""),
                    static_cast<double>(Total.Good) /
                        static_cast<double>(Total.Offered),
                    "of offered");
      Report.figure(std::string("late_to_mute_") + Name +
                        (Plain ? "_plain" : ""),
                    static_cast<double>(Total.LateToFaulty), "calls");
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
