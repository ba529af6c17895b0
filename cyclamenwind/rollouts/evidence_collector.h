// EvidenceCollector: sums the evidence of moves and what each daemon carries.
//
// Every daemon has one; the reports about a move go to the member that ranks
// first for it. It judges the evidence, originates a stop when it finds a
// fault, and tells the holder of the lease how the step stands. It needs
// neither the lease nor the platform.

#ifndef CYCLAMENWIND_ROLLOUTS_EVIDENCE_COLLECTOR_H
#define CYCLAMENWIND_ROLLOUTS_EVIDENCE_COLLECTOR_H

#include "cyclamenwind/rollouts/canary_analyzer.h"
#include "cyclamenwind/rollouts/records.h"

namespace cyclamenwind {

// What one daemon reports of a move.
struct EvidenceReport {
  std::string Member;
  uint64_t Revision = 0; // Of the record that the daemon carries.
  bool Stopped = false;
  Evidence Seen;
};

class EvidenceCollector {
public:
  // Takes a report; the move and its routes are those of the present document.
  void receive(const RolloutSpec &Spec, const std::vector<RouteSpec> &Routes,
               const EvidenceReport &Report, TimePoint Now, WallTime Wall);

  // Judges a move's evidence up to now; the fault found, if any.
  std::optional<RolloutFault> judge(const RolloutRecord &Record, TimePoint Now,
                                    WallTime Wall);

  // How the step of Record stands, given the ids of all live daemons.
  RolloutProgress standing(const RolloutRecord &Record,
                           const std::vector<std::string> &Live,
                           TimePoint Now) const;

  // Whether anything was reported of a move lately.
  bool collects(const std::string &Move, TimePoint Now) const;

  // Forgets a move that has ended.
  void forget(const std::string &Move) { Rollouts.erase(Move); }

private:
  struct Carried {
    uint64_t Revision = 0;
    bool Stopped = false;
    TimePoint Reported;
  };

  struct Collected {
    std::unique_ptr<CanaryAnalyzer> Judge;
    std::map<std::string, Carried> Daemons;
    std::optional<uint64_t> Step;
    TimePoint LastReport;
  };

  std::map<std::string, Collected> Rollouts;
};

} // namespace cyclamenwind

#endif
