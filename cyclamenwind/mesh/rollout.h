// Rollouts: bringing in a new version of a service step by step.
//
// RolloutTable holds the order and the recorded status of each service's
// rollout and decides which versions a request may be sent to. planRollout()
// computes the next status from the time since the order and from the evidence
// (version_outcomes.h). Once this daemon has found a version bad, it sends that
// version no more requests, whatever the recorded status says, until the order
// names another version or is removed. Does no I/O and reads no clock.
//
// When the platform was restored from an older copy, the recorded status of an
// order does not go back: a rollout that was completed or rolled back stays so,
// and a running one keeps the higher share. planRollout() then returns the
// known status until the platform holds it again.

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

// A rollout as the operator requested it.
struct RolloutOrder {
  std::string Service;
  std::string TargetVersion;
  Duration TimeLimit{}; // From the order to the rollout deadline.
};

// Progress of a rollout as the daemons record it on the platform.
struct RolloutStatus {
  RolloutState State = RolloutState::Running;
  std::string TargetVersion;
  double Share = 0;   // Share of the service's requests sent to the version.
  Duration Elapsed{}; // From the order until this was recorded.

  bool operator==(const RolloutStatus &) const = default;
};

struct Rollout {
  RolloutOrder Order;
  // Last recorded status of this order; empty before the first.
  std::optional<RolloutStatus> Recorded;
  // Version that an earlier order completed; empty if unknown.
  std::string PreviousVersion;
  uint64_t Revision = 0; // Of the platform object that holds order and status.
  uint64_t Epoch = 0;    // Restore epoch of Revision.
  // The object on the platform holds an earlier status than Recorded, since the
  // platform was restored.
  bool StatusBehind = false;
  TimePoint StartedAt;  // When the order was given, by this daemon's clock.
  TimePoint RecordedAt; // When this daemon received Recorded.
  bool TargetBlocked = false; // This daemon found the version bad.
};

// Input of planRollout() besides the rollout and the time.
struct RolloutEvidence {
  VersionVerdict Verdict = VersionVerdict::Undecided;
  int ReadyServers = 0;    // Of the target version.
  int PreviousServers = 0; // Of all other versions.
};

// Returns the next status. Returns nothing if the recorded one is still right.
std::optional<RolloutStatus> planRollout(const Rollout &Current,
                                         const RolloutEvidence &Evidence,
                                         TimePoint Now);

class RolloutTable {
public:
  // Stores an order and its recorded status. A call whose Revision, in the
  // restore epoch Epoch, is not newer than the stored one is ignored. So is the
  // first call of a higher epoch with an order for another version if
  // MayBeOfCopy: the order may be of the older copy, and the operator is about
  // to write the newer one again.
  void update(const RolloutOrder &Order,
              const std::optional<RolloutStatus> &Recorded, uint64_t Revision,
              TimePoint Now, uint64_t Epoch = 0, bool MayBeOfCopy = false);
  void remove(const std::string &Service);

  // Stops this daemon's requests to the target version, which was found bad.
  void blockTarget(const std::string &Service);

  const Rollout *find(const std::string &Service) const;
  const std::map<std::string, Rollout> &all() const { return ByService; }

  // Whether a request may be sent to Version at all.
  bool allowed(const std::string &Service, const std::string &Version) const;

  // Returns the servers of Ready that a request to Service may be sent to now.
  // While a rollout runs, Rng draws which version gets the request. Ready must
  // be sorted by id.
  std::vector<const MeshEndpoint *>
  eligibleServers(const std::string &Service,
                  const std::vector<const MeshEndpoint *> &Ready,
                  Random &Rng) const;

private:
  std::map<std::string, Rollout> ByService;
};

} // namespace cyclamenwind

#endif
