// Rollouts: moving a service's traffic to a new version.
//
// RolloutTable holds each service's order and recorded status and decides which
// versions a request may go to. planRollout() decides the next status from the
// time since the order and the evidence (version_outcomes.h). A version that
// this daemon has seen to be bad gets no more requests from it, whatever the
// recorded status says, for as long as the order stands. Pure deciding code.

#ifndef CYCLAMENWIND_MESH_ROLLOUT_H
#define CYCLAMENWIND_MESH_ROLLOUT_H

#include "cyclamenwind/base/random.h"
#include "cyclamenwind/base/time.h"
#include "cyclamenwind/mesh/endpoint.h"
#include "cyclamenwind/mesh/version_outcomes.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace cyclamenwind {

enum class RolloutState { Running, Completed, RolledBack };

std::string_view nameOf(RolloutState State);
std::optional<RolloutState> parseRolloutState(std::string_view Name);

// What the operator asked for.
struct RolloutOrder {
  std::string Service;
  std::string TargetVersion;
  Duration Within{}; // From the order to its deadline.
};

// What the system recorded of it.
struct RolloutStatus {
  RolloutState State = RolloutState::Running;
  std::string TargetVersion;
  double Share = 0;   // Of the service's requests that go to the version.
  Duration Elapsed{}; // Since the order, when this was recorded.

  bool operator==(const RolloutStatus &) const = default;
};

struct Rollout {
  RolloutOrder Order;
  std::optional<RolloutStatus> Recorded; // Of this order; none yet.
  // Version that an earlier order was completed with; empty if unknown.
  std::string PreviousVersion;
  uint64_t Revision = 0;  // Of the object that holds both.
  TimePoint Begun;        // When the order was given, by this daemon's clock.
  TimePoint RecordedAt;   // When this daemon learned of Recorded.
  bool Suspended = false; // This daemon has seen that the version is bad.
};

// What is known of a rollout when its next status is decided.
struct RolloutEvidence {
  VersionVerdict Verdict = VersionVerdict::Undecided;
  int ReadyServers = 0;    // Of the target version.
  int PreviousServers = 0; // Of the others.
};

// The next status, or nothing if the recorded one stands.
std::optional<RolloutStatus> planRollout(const Rollout &Present,
                                         const RolloutEvidence &Evidence,
                                         TimePoint Now);

class RolloutTable {
public:
  // Takes an order and its recorded status; Revision orders them.
  void update(const RolloutOrder &Order,
              const std::optional<RolloutStatus> &Recorded, uint64_t Revision,
              TimePoint Now);
  void remove(const std::string &Service);

  // The version is bad: this daemon sends it nothing more.
  void suspend(const std::string &Service);

  const Rollout *find(const std::string &Service) const;
  const std::map<std::string, Rollout> &all() const { return ByService; }

  // Whether a request may go to Version at all.
  bool allowed(const std::string &Service, const std::string &Version) const;

  // Those of Ready, a service's servers, that a request may go to now. Rng
  // splits the requests between the versions of a running rollout. Ready is in
  // the order of ids.
  std::vector<const MeshEndpoint *>
  eligible(const std::string &Service,
           const std::vector<const MeshEndpoint *> &Ready, Random &Rng) const;

private:
  std::map<std::string, Rollout> ByService;
};

} // namespace cyclamenwind

#endif
