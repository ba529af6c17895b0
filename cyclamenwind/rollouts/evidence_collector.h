// EvidenceCollector: sums the evidence on rollouts, and tracks which record
// revision each daemon has applied.
//
// Every daemon has a collector. All daemons send their reports on a rollout to
// the member that ranks first for it. The collector there analyzes the
// evidence; its daemon issues a stop when a fault is found, and reports the
// progress of the step to the lease holder that wrote the record. Neither the
// lease nor the platform is needed for this.

#ifndef CYCLAMENWIND_ROLLOUTS_EVIDENCE_COLLECTOR_H
#define CYCLAMENWIND_ROLLOUTS_EVIDENCE_COLLECTOR_H

#include "cyclamenwind/rollouts/canary_analyzer.h"
#include "cyclamenwind/rollouts/records.h"

namespace cyclamenwind {

// Report of one daemon on a rollout.
struct EvidenceReport {
  std::string Member;
  uint64_t Revision = 0; // Of the record that the daemon applies.
  bool Stopped = false;
  Evidence Observed;
};

class EvidenceCollector {
public:
  // Adds a report. Spec and Routes are from the active document.
  void receive(const RolloutSpec &Spec, const std::vector<RouteSpec> &Routes,
               const EvidenceReport &Report, TimePoint Now, WallTime WallNow);

  // Analyzes a rollout's evidence up to now and returns the detected fault.
  // Returns nothing if there is none or if no report arrived within the last
  // 15 s.
  std::optional<RolloutFault> analyze(const RolloutRecord &Record,
                                      TimePoint Now, WallTime WallNow);

  // Progress of the step of Record; Live has the ids of all live daemons.
  RolloutProgress progress(const RolloutRecord &Record,
                           const std::vector<std::string> &Live,
                           TimePoint Now) const;

  // Whether a report on a rollout arrived within the last 15 s.
  bool hasRecentReports(const std::string &Name, TimePoint Now) const;

  // Discards the evidence on a finished rollout.
  void forget(const std::string &Name) { Rollouts.erase(Name); }

private:
  struct DaemonReport {
    uint64_t Revision = 0;
    bool Stopped = false;
    TimePoint Reported;
  };

  struct RolloutEvidence {
    std::unique_ptr<CanaryAnalyzer> Analyzer;
    std::map<std::string, DaemonReport> Daemons;
    std::optional<uint64_t> Step;
    TimePoint LastReport;
  };

  std::map<std::string, RolloutEvidence> Rollouts;
};

} // namespace cyclamenwind

#endif
