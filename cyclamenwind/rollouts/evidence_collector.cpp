#include "cyclamenwind/rollouts/evidence_collector.h"

namespace cyclamenwind {
namespace {

// A daemon whose last report is older does not count as having applied the
// record; a rollout without a newer report is not analyzed.
constexpr Duration ReportLifetime = 15s;

} // namespace

void EvidenceCollector::receive(const RolloutSpec &Spec,
                                const std::vector<RouteSpec> &Routes,
                                const EvidenceReport &Report, TimePoint Now,
                                WallTime WallNow) {
  RolloutEvidence &Rollout = Rollouts[Spec.Name];
  if (!Rollout.Analyzer)
    Rollout.Analyzer = std::make_unique<CanaryAnalyzer>(Spec, Routes, WallNow);
  Rollout.Analyzer->add(Report.Observed);
  Rollout.Daemons[Report.Member] = {Report.Revision, Report.Stopped, Now};
  Rollout.LastReport = Now;
}

std::optional<RolloutFault>
EvidenceCollector::analyze(const RolloutRecord &Record, TimePoint Now,
                           WallTime WallNow) {
  auto Found = Rollouts.find(Record.Name);
  if (Found == Rollouts.end() || !hasRecentReports(Record.Name, Now))
    return std::nullopt;
  RolloutEvidence &Rollout = Found->second;
  if (Rollout.Step != Record.Step) {
    Rollout.Step = Record.Step;
    Rollout.Analyzer->beginStep();
  }
  Rollout.Analyzer->analyze(WallNow);
  return Rollout.Analyzer->fault();
}

RolloutProgress
EvidenceCollector::progress(const RolloutRecord &Record,
                            const std::vector<std::string> &Live,
                            TimePoint Now) const {
  RolloutProgress Progress;
  Progress.Revision = Record.Revision;
  auto Found = Rollouts.find(Record.Name);
  if (Found == Rollouts.end())
    return Progress;
  const RolloutEvidence &Rollout = Found->second;
  RolloutStep Step = {Record.share(true), Record.share(false), 0};
  Progress.EnoughEvidence = Rollout.Analyzer->enoughFor(Step);
  Progress.AllApplied = !Rollout.Analyzer->fault();
  for (const std::string &Id : Live) {
    auto Daemon = Rollout.Daemons.find(Id);
    if (Daemon == Rollout.Daemons.end() || Daemon->second.Stopped ||
        Daemon->second.Revision != Record.Revision ||
        Now - Daemon->second.Reported > ReportLifetime)
      Progress.AllApplied = false;
  }
  return Progress;
}

bool EvidenceCollector::hasRecentReports(const std::string &Name,
                                         TimePoint Now) const {
  auto Found = Rollouts.find(Name);
  return Found != Rollouts.end() &&
         Now - Found->second.LastReport <= ReportLifetime;
}

} // namespace cyclamenwind
