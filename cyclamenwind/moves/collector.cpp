#include "cyclamenwind/moves/collector.h"

namespace cyclamenwind {
namespace {

// A daemon that has not reported for this long does not count as carrying.
constexpr Duration ReportLifetime = 15s;

} // namespace

void MoveCollector::receive(const MoveSpec &Spec,
                            const std::vector<RouteSpec> &Routes,
                            const MoveReport &Report, TimePoint Now,
                            WallTime Wall) {
  Collected &Move = Moves[Spec.Name];
  if (!Move.Judge)
    Move.Judge = std::make_unique<Decider>(Spec, Routes, Wall);
  Move.Judge->add(Report.Seen);
  Move.Daemons[Report.Member] = {Report.Revision, Report.Stopped, Now};
  Move.LastReport = Now;
}

std::optional<MoveFault> MoveCollector::judge(const MoveRecord &Record,
                                              TimePoint Now, WallTime Wall) {
  auto Found = Moves.find(Record.Name);
  if (Found == Moves.end() || !collects(Record.Name, Now))
    return std::nullopt;
  Collected &Move = Found->second;
  if (Move.Step != Record.Step) {
    Move.Step = Record.Step;
    Move.Judge->beginStep();
  }
  Move.Judge->judge(Wall);
  return Move.Judge->fault();
}

MoveStanding MoveCollector::standing(const MoveRecord &Record,
                                     const std::vector<std::string> &Live,
                                     TimePoint Now) const {
  MoveStanding Standing;
  Standing.Revision = Record.Revision;
  auto Found = Moves.find(Record.Name);
  if (Found == Moves.end())
    return Standing;
  const Collected &Move = Found->second;
  MoveStep Step = {Record.share(true), Record.share(false), 0};
  Standing.EnoughEvidence = Move.Judge->enoughFor(Step);
  Standing.AllCarry = !Move.Judge->fault();
  for (const std::string &Id : Live) {
    auto Daemon = Move.Daemons.find(Id);
    if (Daemon == Move.Daemons.end() || Daemon->second.Stopped ||
        Daemon->second.Revision != Record.Revision ||
        Now - Daemon->second.Reported > ReportLifetime)
      Standing.AllCarry = false;
  }
  return Standing;
}

bool MoveCollector::collects(const std::string &Move, TimePoint Now) const {
  auto Found = Moves.find(Move);
  return Found != Moves.end() &&
         Now - Found->second.LastReport <= ReportLifetime;
}

} // namespace cyclamenwind
