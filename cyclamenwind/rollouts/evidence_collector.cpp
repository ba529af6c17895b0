#include "cyclamenwind/rollouts/evidence_collector.h"

namespace cyclamenwind {
namespace {

// A daemon that has not reported for this long does not count as carrying.
constexpr Duration ReportLifetime = 15s;

} // namespace

void EvidenceCollector::receive(const RolloutSpec &Spec,
                                const std::vector<RouteSpec> &Routes,
                                const EvidenceReport &Report, TimePoint Now,
                                WallTime Wall) {
  Collected &Move = Rollouts[Spec.Name];
  if (!Move.Judge)
    Move.Judge = std::make_unique<CanaryAnalyzer>(Spec, Routes, Wall);
  Move.Judge->add(Report.Seen);
  Move.Daemons[Report.Member] = {Report.Revision, Report.Stopped, Now};
  Move.LastReport = Now;
}

std::optional<RolloutFault>
EvidenceCollector::judge(const RolloutRecord &Record, TimePoint Now,
                         WallTime Wall) {
  auto Found = Rollouts.find(Record.Name);
  if (Found == Rollouts.end() || !collects(Record.Name, Now))
    return std::nullopt;
  Collected &Move = Found->second;
  if (Move.Step != Record.Step) {
    Move.Step = Record.Step;
    Move.Judge->beginStep();
  }
  Move.Judge->judge(Wall);
  return Move.Judge->fault();
}

RolloutProgress
EvidenceCollector::standing(const RolloutRecord &Record,
                            const std::vector<std::string> &Live,
                            TimePoint Now) const {
  RolloutProgress Standing;
  Standing.Revision = Record.Revision;
  auto Found = Rollouts.find(Record.Name);
  if (Found == Rollouts.end())
    return Standing;
  const Collected &Move = Found->second;
  RolloutStep Step = {Record.share(true), Record.share(false), 0};
  Standing.EnoughEvidence = Move.Judge->enoughFor(Step);
  Standing.AllApplied = !Move.Judge->fault();
  for (const std::string &Id : Live) {
    auto Daemon = Move.Daemons.find(Id);
    if (Daemon == Move.Daemons.end() || Daemon->second.Stopped ||
        Daemon->second.Revision != Record.Revision ||
        Now - Daemon->second.Reported > ReportLifetime)
      Standing.AllApplied = false;
  }
  return Standing;
}

bool EvidenceCollector::collects(const std::string &Move, TimePoint Now) const {
  auto Found = Rollouts.find(Move);
  return Found != Rollouts.end() &&
         Now - Found->second.LastReport <= ReportLifetime;
}

} // namespace cyclamenwind
