// TrafficWorld: simulates daemons, backend servers and callers in virtual time,
// injects faults, and records what callers and backend servers observed.
//
// InboundCalls and OutboundCalls are the real classes; transport, connections
// to backend servers, membership and callers are fakes. violations() checks
// these invariants on the record alone:
//
//   5  each request gets one outcome, in time; an answer is complete and not
//      that of another request
//   6  each response names its outcome; refused: no byte reached a server
//   7  a request that is not idempotent reaches a server at most once, and so
//      do all requests with one idempotency key together
//   8  no attempt is sent to a server that has begun to drain
//   9  no outcome is unknown if only planned stops were injected

#ifndef CYCLAMENWIND_TESTING_TRAFFIC_WORLD_H
#define CYCLAMENWIND_TESTING_TRAFFIC_WORLD_H

#include "cyclamenwind/traffic/outbound_calls.h"
#include "testing/fake_peers.h"
#include "testing/fake_platform.h"
#include "testing/virtual_time.h"

namespace cyclamenwind::testing {

// Steps of a request to a backend server and of its answer.
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

// Defects that can be put into the tested program; violations() must detect
// each.
enum class TrafficMutant {
  None,
  PassesCutAnswer, // A truncated answer is passed on as complete.
  DeniesFirstByte, // A lost connection is reported as if no byte had been sent.
  SendsTwice,      // The HTTP client sends a request again by itself.
  IgnoresDrain,    // The daemon does not learn that its server drains.
};

struct TrafficOptions {
  uint64_t Seed = 1;
  // Each with one backend server; callers use daemon 0 by default.
  int Daemons = 3;
  int Slots = 2;
  Duration Work = 20ms;
  Duration Deadline = 500ms;
  TrafficMutant Mutant = TrafficMutant::None;
};

// One backend server.
struct FakeServer {
  Address Listen;
  bool Up = true;
  bool Paused = false;    // Accepts connections, but neither reads nor writes.
  bool Stalled = false;   // Its open connections deliver nothing any more.
  bool ShedsLoad = false; // Answers 503 without running the request.
  bool AnswersLate = false; // Answers after the deadline.
  // Closes its connections in the middle of an answer.
  bool CutsAnswers = false;
  std::optional<TimePoint> DrainBegun = std::nullopt;
};

// Record of one call, as its caller observed it.
struct CallerRecord {
  std::string Id;
  std::string Key; // Idempotency key; empty if there is none.
  bool Idempotent = false;
  int DaemonIndex = 0; // Daemon that received the request.
  TimePoint Started;
  std::optional<TimePoint> Ended;
  int Replies = 0;
  HttpResponse Response;
  bool DaemonDied = false;
};

// Record of one request id, over all backend servers.
struct ServerRecord {
  int ReceivedAttempts = 0; // Attempts of which at least one byte arrived.
  int Runs = 0;             // Attempts that arrived completely.
};

class TrafficWorld {
public:
  explicit TrafficWorld(const TrafficOptions &Options);
  ~TrafficWorld();
  TrafficWorld(const TrafficWorld &) = delete;
  TrafficWorld &operator=(const TrafficWorld &) = delete;

  // Sends a request to the daemon DaemonIndex; returns its index in Callers.
  size_t call(bool Idempotent, const std::string &Key = "",
              int DaemonIndex = 0);

  // Calls Action once, when a request on any server reaches Step.
  void onStep(CallStep Step, std::function<void(int Server)> Action);

  void killServer(int Index);
  void startServer(int Index);
  void drainServer(int Index);
  // Withdraws the registration of the server at its daemon, while the other
  // daemons still list it.
  void withdrawLocally(int Index);
  void killDaemon(int Index);
  void startDaemon(int Index);
  // Planned stop of a daemon, in the order that the real daemon uses.
  void drainDaemon(int Index);
  // Delivers the recorded replies once more, and also the replies of each
  // daemon as if another had sent them.
  void replayReplies();

  int activeCalls(int Index) const;

  // Returns the violated invariants, one line each; a line begins with the
  // number of its invariant. PlannedOnly: only planned stops were injected, so
  // that no call may end unknown.
  std::vector<std::string> violations(bool PlannedOnly) const;

  VirtualTime Time;
  Random Rng;
  FakeNetwork Network;
  FakePlatform Platform;
  TrafficOptions Options;
  std::vector<FakeServer> Servers;
  std::vector<CallerRecord> Callers;
  std::map<std::string, ServerRecord> ServerRecords;
  // Attempts of which a byte reached a server after it had begun to drain.
  int ReceivedAfterDrain = 0;

private:
  friend class FakeBackends;
  friend class FakeBackendCall;
  struct Daemon;
  class FakeMembers;
  class FakeCaller;

  void stepReached(CallStep Step, int Server);
  void registerServer(int Index);
  int receivedWithKey(const std::string &Key) const;
  bool isAnswerTo(const CallerRecord &Caller, bool Replayed) const;
  void checkCaller(const CallerRecord &Caller, bool PlannedOnly,
                   std::vector<std::string> &Violations) const;

  std::vector<Endpoint> ListedEndpoints;
  std::vector<std::unique_ptr<Daemon>> Daemons;
  std::map<uint64_t, class FakeBackendCall *> OpenCalls;
  std::vector<std::tuple<Address, Address, std::string>> Replies;
  std::vector<TimerHandle> Timers;
  std::optional<CallStep> ActionStep;
  std::function<void(int)> StepAction;
  TimerHandle QueuePollTimer;
  uint64_t NextCallNumber = 0;
};

} // namespace cyclamenwind::testing

#endif
