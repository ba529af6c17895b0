// Evidence: counts of calls, errors and latencies on the old and the new
// version of a rollout.
//
// Each daemon counts the calls that it accepted; the counts are summed over the
// fleet. Two kinds of attempts are not evidence: those refused before
// execution, because a new version with few servers refuses for lack of slots
// without being faulty, and those that the caller cancelled. The latency of a
// backend server in its slow start is not counted; its errors are.

#ifndef CYCLAMENWIND_ROLLOUTS_EVIDENCE_H
#define CYCLAMENWIND_ROLLOUTS_EVIDENCE_H

#include "cyclamenwind/rollouts/histogram.h"
#include "cyclamenwind/traffic/versions.h"

#include <map>
#include <string>
#include <tuple>

namespace cyclamenwind {

// Counts of one route on one backend server of the new version, or on all of
// the old version.
struct SideCounts {
  uint64_t Calls = 0;
  uint64_t Errors = 0; // Status of 500 or more, or outcome unknown.
  LatencyHistogram Latencies;

  void add(const SideCounts &Other);
};

struct EvidenceKey {
  std::string Route;
  bool OnNew = false;
  std::string Server; // Id of the server's member; empty if not OnNew.

  bool operator==(const EvidenceKey &) const = default;
  bool operator<(const EvidenceKey &Other) const {
    return std::tie(Route, OnNew, Server) <
           std::tie(Other.Route, Other.OnNew, Other.Server);
  }
};

using Evidence = std::map<EvidenceKey, SideCounts>;

// Adds all counts of Added to Total.
void addEvidence(Evidence &Total, const Evidence &Added);

// Whether an attempt counts as evidence about its version.
bool isEvidence(const AttemptOutcome &Outcome);

// Adds one attempt to Total, without its latency if InSlowStart is set.
void addOutcome(Evidence &Total, const AttemptOutcome &Outcome, bool OnNew,
                bool InSlowStart);

} // namespace cyclamenwind

#endif
