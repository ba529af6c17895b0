// TrafficWorld: daemons, backend servers and callers in virtual time, with
// faults, and a record of what callers and backend servers saw.
//
// The daemons' halves of a call are the real ones; transport, connections to
// backend servers, membership and callers are fakes. violations() checks what
// must always hold on the record alone.

#ifndef CYCLAMENWIND_TESTING_TRAFFIC_WORLD_H
#define CYCLAMENWIND_TESTING_TRAFFIC_WORLD_H

#include "cyclamenwind/traffic/outbound_calls.h"
#include "testing/fake_peers.h"
#include "testing/fake_platform.h"
#include "testing/virtual_time.h"

namespace cyclamenwind::testing {

// Where a request is on its way to a backend server and back.
enum class CallStep {
  BeforeConnect,
  Queued,
  FirstByteOut,
  BodyHalfOut,
  Waiting,
  AnswerHalfIn,
};

inline constexpr std::array<CallStep, 6> AllCallSteps = {
    CallStep::BeforeConnect, CallStep::Queued,  CallStep::FirstByteOut,
    CallStep::BodyHalfOut,   CallStep::Waiting, CallStep::AnswerHalfIn};

std::string_view nameOf(CallStep Step);

// Faults of the program under test that violations() must catch.
enum class TrafficMutant {
  None,
  PassesCutAnswer, // A cut answer is passed on as whole.
  DeniesFirstByte, // A lost connection is reported as if nothing was sent.
  SendsTwice,      // The client library sends again by itself.
  IgnoresDrain,    // The daemon does not hear that its server drains.
};

struct TrafficOptions {
  uint64_t Seed = 1;
  int Daemons = 3; // Each with one backend server; callers use the first.
  int Slots = 2;
  Duration Work = 20ms;
  Duration Deadline = 500ms;
  TrafficMutant Mutant = TrafficMutant::None;
};

// One backend server.
struct FakeServer {
  Address Listen;
  bool Up = true;
  bool Paused = false; // Accepts connections, does nothing.
  bool Silent = false; // Its present connections carry nothing any more.
  bool Sheds = false;  // Answers 503 without running.
  bool Slow = false;   // Answers after the deadline.
  bool Cuts = false;   // Breaks its connections half way in an answer.
  std::optional<TimePoint> DrainBegun = std::nullopt;
};

// What one caller saw.
struct CallerRecord {
  std::string Id;
  std::string Key; // Idempotency key; empty: none.
  bool Idempotent = false;
  int Through = 0; // Daemon that was asked.
  TimePoint Begun;
  std::optional<TimePoint> Ended;
  int Replies = 0;
  HttpResponse Response;
  bool DaemonDied = false;
};

// What the backend servers saw of one request id.
struct ServerRecord {
  int Touched = 0; // Attempts of which a byte arrived.
  int Runs = 0;    // Attempts that arrived as a whole.
};

class TrafficWorld {
public:
  explicit TrafficWorld(const TrafficOptions &Options);
  ~TrafficWorld();
  TrafficWorld(const TrafficWorld &) = delete;
  TrafficWorld &operator=(const TrafficWorld &) = delete;

  // Sends a request to daemon Through; returns its number in Callers.
  size_t call(bool Idempotent, const std::string &Key = "", int Through = 0);

  // Calls Action once, when a request on any server reaches Step.
  void onStep(CallStep Step, std::function<void(int Server)> Action);

  void killServer(int Index);
  void startServer(int Index);
  void drainServer(int Index);
  // Withdraws the server at its daemon while the others still list it.
  void withdrawUnheard(int Index);
  void killDaemon(int Index);
  void startDaemon(int Index);
  // Planned stop, as the daemon does it.
  void drainDaemon(int Index);
  // Delivers the replies seen so far again, and to the calls under way the
  // replies of others.
  void replayReplies();

  int callsUnderWay(int Index) const;

  // Rules that the record breaks, one line each. Planned: only planned stops
  // were made, so that no call may end unknown.
  std::vector<std::string> violations(bool Planned) const;

  VirtualTime Time;
  Random Rng;
  FakeNetwork Network;
  FakePlatform Platform;
  TrafficOptions Options;
  std::vector<FakeServer> Servers;
  std::vector<CallerRecord> Callers;
  std::map<std::string, ServerRecord> Seen;
  // Bytes that reached a server after it began to drain.
  int TouchedAfterDrain = 0;

private:
  friend class FakeBackends;
  friend class FakeBackendCall;
  struct Daemon;
  class FakeMembers;
  class FakeCaller;

  void reached(CallStep Step, int Server);
  void announce(int Index);
  int touchedWithKey(const std::string &Key) const;
  bool isAnswerTo(const CallerRecord &Each, bool Replayed) const;
  void checkCaller(const CallerRecord &Each, bool Planned,
                   std::vector<std::string> &Found) const;

  std::vector<Endpoint> Listed;
  std::vector<std::unique_ptr<Daemon>> Daemons;
  std::map<uint64_t, class FakeBackendCall *> Open;
  std::vector<std::tuple<Address, Address, std::string>> Replies;
  std::vector<TimerHandle> Timers;
  std::optional<CallStep> WantedStep;
  std::function<void(int)> StepAction;
  TimerHandle Poll;
  uint64_t NextCall = 0;
};

} // namespace cyclamenwind::testing

#endif
