// Evidence: what was seen of calls on the old and the new version of a move.
//
// Counted by each daemon for the calls that it accepted, and summed over the
// fleet. A refused attempt is no evidence: it was not run, and a small new side
// refuses for lack of slots without being at fault. A caller that left early
// says nothing either. The latency of a backend server in its slow start is
// left out; its errors count.

#ifndef CYCLAMENWIND_ROLLOUTS_EVIDENCE_H
#define CYCLAMENWIND_ROLLOUTS_EVIDENCE_H

#include "cyclamenwind/rollouts/histogram.h"
#include "cyclamenwind/traffic/versions.h"

#include <map>
#include <string>
#include <tuple>

namespace cyclamenwind {

// Counts of one route on one backend server, or on all of the old version.
struct SideCounts {
  uint64_t Calls = 0;
  uint64_t Errors = 0; // Status 500 or more, or of unknown end.
  LatencyHistogram Latencies;

  void add(const SideCounts &Other);
};

struct EvidenceKey {
  std::string Route;
  bool OnNew = false;
  std::string Server; // Member beside it; empty for the old version.

  bool operator==(const EvidenceKey &) const = default;
  bool operator<(const EvidenceKey &Other) const {
    return std::tie(Route, OnNew, Server) <
           std::tie(Other.Route, Other.OnNew, Other.Server);
  }
};

using Evidence = std::map<EvidenceKey, SideCounts>;

// Adds all of Added to Sum.
void addEvidence(Evidence &Sum, const Evidence &Added);

// Whether an attempt tells anything about its version.
bool isEvidence(const AttemptOutcome &Outcome);

// Adds one attempt; InSlowStart leaves its latency out.
void addOutcome(Evidence &Sum, const AttemptOutcome &Outcome, bool OnNew,
                bool InSlowStart);

} // namespace cyclamenwind

#endif
