// RolloutFleet: a fleet of daemons that run the real RolloutService, in virtual
// time. Callers and backend servers are simulated by their counts only.
//
// The platform, the network and the membership are fakes with fault injection.
// A daemon's VersionChooser selects the version of a call, and the
// VersionBehaviour of that version determines the outcome.

#ifndef CYCLAMENWIND_TESTING_ROLLOUT_FLEET_H
#define CYCLAMENWIND_TESTING_ROLLOUT_FLEET_H

#include "cyclamenwind/rollouts/service.h"
#include "testing/fake_peers.h"
#include "testing/fake_platform.h"
#include "testing/virtual_time.h"

namespace cyclamenwind::testing {

// Error rate and latency of a version.
struct VersionBehaviour {
  double ErrorRate = 0.002;
  Duration Latency = 5ms;
};

struct RolloutFleetOptions {
  uint64_t Seed = 1;
  size_t Daemons = 8;
  size_t ServersPerVersion = 4;
  double CallsPerSecond = 800;
  Duration TimeToDeadline = 4min; // From the acceptance of the document.
  DeadlineRule AtSetTime = DeadlineRule::RollBack;
};

class RolloutFleet {
public:
  explicit RolloutFleet(const RolloutFleetOptions &Options);
  ~RolloutFleet();

  // Simulates Span, with calls.
  void run(Duration Span);

  // Runs until Reached returns true, for at most Limit; returns whether it did.
  bool runUntil(const std::function<bool()> &Reached, Duration Limit);

  // The record on the platform. Returns nothing if there is none yet.
  std::optional<RolloutRecord> record() const;

  // Kills a daemon, or restarts it without any kept state.
  void kill(size_t Index);
  void restart(size_t Index);

  // A paused daemon receives no messages, cannot reach the platform and takes
  // no calls; its timers still run, and it still sends to its peers.
  void pause(size_t Index, bool Paused);

  // Disconnects a daemon from all others.
  void isolate(size_t Index, bool Isolated);

  // Index of the daemon that holds the lease. Returns nothing if none does.
  std::optional<size_t> holder() const;

  // Index of the daemon that collects the rollout's evidence.
  size_t collector() const;

  size_t size() const { return Daemons.size(); }
  bool alive(size_t Index) const { return Daemons[Index] != nullptr; }
  RolloutService &rollouts(size_t Index);

  // Applies a changed document as the next version on all daemons.
  void accept(const std::function<void(Document &)> &Change);

  // Violations of invariants, the first ten, one line each.
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
  // When a stop was first present on any daemon.
  std::optional<TimePoint> FirstStop;

private:
  struct Daemon;

  void start(size_t Index);
  void tick();
  void call();
  void checkRecord();
  void recordViolation(const std::string &What);
  std::string envelope() const;
  void rebuildMemberLists();
  bool paused(size_t Index) const { return Paused.count(Index) > 0; }

  RolloutFleetOptions Options;
  Envelope Accepted;
  std::vector<Member> FleetMembers;
  std::vector<std::unique_ptr<Daemon>> Daemons;
  std::set<size_t> Paused;
  std::optional<RolloutRecord> LastRecord;
  uint64_t LastStoreRevision = 0;
  double CallsDue = 0;
  std::vector<std::string> Violations;
};

} // namespace cyclamenwind::testing

#endif
