// RolloutFleet: daemons with the real move service, in virtual time, and
// callers and backend servers that are only counted.
//
// The platform, the network and the membership are fakes with faults. A call is
// decided by a daemon's VersionChooser, and its outcome by the behaviour of the
// version that it went to.

#ifndef CYCLAMENWIND_TESTING_ROLLOUT_FLEET_H
#define CYCLAMENWIND_TESTING_ROLLOUT_FLEET_H

#include "cyclamenwind/rollouts/service.h"
#include "testing/fake_peers.h"
#include "testing/fake_platform.h"
#include "testing/virtual_time.h"

namespace cyclamenwind::testing {

// How a version answers.
struct VersionBehaviour {
  double ErrorRate = 0.002;
  Duration Latency = 5ms;
};

struct MoveFleetOptions {
  uint64_t Seed = 1;
  size_t Daemons = 8;
  size_t ServersPerVersion = 4;
  double CallsPerSecond = 800;
  Duration Length = 4min; // From the acceptance to the set time.
  DeadlineRule AtSetTime = DeadlineRule::RollBack;
};

class RolloutFleet {
public:
  explicit RolloutFleet(const MoveFleetOptions &Options);
  ~RolloutFleet();

  // Runs for Span, with calls.
  void run(Duration Span);

  // Runs until Reached says so, for at most Limit; says whether it did.
  bool runUntil(const std::function<bool()> &Reached, Duration Limit);

  // The record on the platform; nothing before the first.
  std::optional<RolloutRecord> record() const;

  // Ends a daemon's process, or starts it with nothing kept.
  void kill(size_t Index);
  void restart(size_t Index);

  // A daemon whose process is paused takes no turns and no calls.
  void pause(size_t Index, bool Paused);

  // Cuts a daemon off from all others.
  void isolate(size_t Index, bool Isolated);

  // The daemon that holds the lease; nothing if none does.
  std::optional<size_t> holder() const;

  // The daemon that collects the move's evidence.
  size_t collector() const;

  size_t size() const { return Daemons.size(); }
  bool alive(size_t Index) const { return Daemons[Index] != nullptr; }
  RolloutService &moves(size_t Index);

  // Puts the next document in force on all daemons.
  void accept(const std::function<void(Document &)> &Change);

  // What the invariants were violated by, one line each.
  const std::vector<std::string> &violations() const { return Violations; }

  VirtualTime Time;
  Random Rng;
  FakePlatform Platform;
  FakeNetwork Network;
  VersionBehaviour Old;
  VersionBehaviour New;

  uint64_t OldCalls = 0;
  uint64_t NewCalls = 0;
  TimePoint LastNewCall{};
  // When the first daemon knew of a stop.
  std::optional<TimePoint> FirstStop;

private:
  struct Daemon;

  void start(size_t Index);
  void tick();
  void call();
  void watchRecord();
  void violated(const std::string &What);
  std::string envelope() const;
  void rebuildRosters();
  bool paused(size_t Index) const { return Paused.count(Index) > 0; }

  MoveFleetOptions Options;
  Envelope Accepted;
  std::vector<Member> MemberList;
  std::vector<std::unique_ptr<Daemon>> Daemons;
  std::set<size_t> Paused;
  std::optional<RolloutRecord> LastRecord;
  uint64_t SeenRevision = 0;
  double CallsDue = 0;
  std::vector<std::string> Violations;
};

} // namespace cyclamenwind::testing

#endif
