#include "cyclamenwind/rollouts/service.h"

#include "cyclamenwind/base/log.h"
#include "cyclamenwind/rollouts/codec.h"
#include "cyclamenwind/rollouts/ranking.h"
#include "cyclamenwind/rollouts/split.h"

namespace cyclamenwind {
namespace {

constexpr char LeaseKey[] = "lease/moves";
constexpr Duration LeaseTerm = 5s;
constexpr Duration TurnPeriod = 500ms;
// Evidence is reported this often, and without any after this time.
constexpr Duration ReportPeriod = 1s;
constexpr Duration ReportAnyway = 5s;
// A daemon that has heard neither the platform nor a peer for this long is
// unsure.
constexpr Duration KnowledgeLifetime = 10s;
constexpr Duration VersionReportLifetime = 5s;
// Daemons that watch the records on the platform.
constexpr size_t Watchers = 4;
constexpr char WatchTask[] = "watch-moves";

} // namespace

RolloutService::RolloutService() = default;
RolloutService::~RolloutService() = default;

void RolloutService::start(Kernel &TheKernel) {
  Time = &TheKernel.clock();
  Rng = &TheKernel.random();
  Config = &TheKernel.find<ConfigStore>("config");
  Members = &TheKernel.find<MembershipView>("membership");
  Peers = &TheKernel.find<PeerTransport>("peers");
  auto &Platform = TheKernel.find<PlatformClient>("platform");
  Scheduler &Timers = TheKernel.scheduler();
  Spread = std::make_unique<EvidenceGossip>(Book, *Peers, *Members, *Time,
                                            Timers, *Rng);
  Feed = std::make_unique<RolloutRecordWatch>(
      Platform, *Time, Timers, *Rng,
      [this](const RolloutRecord &Record) { learned(Record); });
  const std::string &Self = Members->self().Id;
  Keeper = std::make_unique<RolloutRecordWriter>(Platform, *Rng, Self, *this);
  TheLease = std::make_unique<Lease>(Platform, *Time, Timers, *Rng, LeaseKey,
                                     Self, LeaseTerm);
  Peers->handle(FrameType::MoveEvidence,
                [this](const Address &From, std::string_view Payload) {
                  receiveEvidence(From, Payload);
                });
  Peers->handle(FrameType::RolloutProgress,
                [this](const Address &From, std::string_view Payload) {
                  receiveStanding(From, Payload);
                });
  Config->onChange([this](const SnapshotPtr &Now) { documentChanged(Now); });
  if (Config->current())
    documentChanged(Config->current());
  TurnTimer = Timers.every(TurnPeriod, [this] { turn(); });
}

void RolloutService::stop() {
  TurnTimer.reset();
  if (TheLease)
    TheLease->stop();
  Keeper.reset();
  Feed.reset();
  Spread.reset();
}

bool RolloutService::sure(TimePoint Now) const {
  if (!Spread->caughtUp())
    return false;
  auto Recent = [&](const std::optional<TimePoint> &At) {
    return At && Now - *At <= KnowledgeLifetime;
  };
  return Recent(Spread->lastReceived()) || Recent(Feed->lastAnswer());
}

bool RolloutService::hasServers(const std::string &Service,
                                const std::string &Version) const {
  for (const Endpoint &Each : Members->endpoints(Service))
    if (Each.Version == Version)
      return true;
  return false;
}

std::string RolloutService::versionFor(const ServiceSpec &Service,
                                       const RouteSpec &Route,
                                       uint64_t CallerHash, bool PreferOld,
                                       TimePoint Now) {
  auto Name = ByService.find(Service.Name);
  if (Name == ByService.end())
    return Service.Version;
  const Active &Move = Rollouts.at(Name->second);
  const RolloutRecords::Entry *Known = Book.find(Name->second);
  if (Known == nullptr || !Known->Record)
    return Service.Version;
  const RolloutRecord &Record = *Known->Record;
  // A record of other versions belongs to a document that is not in force.
  if (Record.To != Move.Spec.To || Record.From != Service.Version)
    return Service.Version;
  double Share = shareBy(*Known, Route.Idempotent);
  bool Whole = Share >= 1;
  if (PreferOld && hasServers(Service.Name, Record.From))
    return Record.From;
  if (Record.State != RolloutPhase::Done && !sure(Now))
    return Record.From;
  if (!fallsInto(Share, CallerHash, Move.Seed))
    return Record.From;
  if (!Whole && !hasServers(Service.Name, Record.To))
    return Record.From;
  return Record.To;
}

void RolloutService::observe(const AttemptOutcome &Outcome, TimePoint Now) {
  auto Name = ByService.find(Outcome.Service);
  if (Name == ByService.end())
    return;
  Active &Move = Rollouts.at(Name->second);
  bool OnNew = Outcome.Version == Move.Spec.To;
  bool InSlowStart = false;
  if (OnNew) {
    auto Since = Move.FirstSeen.try_emplace(Outcome.MemberId, Now).first;
    InSlowStart = Now - Since->second < Move.Spec.SlowStart;
  }
  addOutcome(Move.Seen, Outcome, OnNew, InSlowStart);
}

void RolloutService::documentChanged(const SnapshotPtr &Current) {
  std::map<std::string, Active> Kept;
  ByService.clear();
  for (const RolloutSpec &Each : Current->document().Rollouts) {
    auto Before = Rollouts.find(Each.Name);
    Active &Move = Kept[Each.Name];
    if (Before != Rollouts.end() && Before->second.Spec.To == Each.To)
      Move = std::move(Before->second);
    Move.Spec = Each;
    Move.Seed = splitSeed(Each.Name);
    ByService[Each.Service] = Each.Name;
  }
  Rollouts = std::move(Kept);
}

void RolloutService::learned(const RolloutRecord &Record) {
  if (Book.learn(Record))
    Spread->announce(Record.Name);
}

void RolloutService::turn() {
  TimePoint Now = Time->now();
  bool Watching = false;
  for (const Member *Each :
       rankedFor(WatchTask, Watchers, Members->memberList(), Members->self()))
    Watching = Watching || Each->Id == Members->self().Id;
  Feed->setWanted(Watching);
  // Only a daemon that knows the moves contends for the right to decide them.
  if (!Contending && Spread->caughtUp() && Config->current()) {
    Contending = true;
    TheLease->start();
  }
  if (Now - LastReportTurn >= ReportPeriod) {
    LastReportTurn = Now;
    for (auto &[Name, Move] : Rollouts) {
      noteServers(Move, Now);
      report(Name, Move, Now);
      judge(Name, Now);
    }
  }
  Keeper->turn({holdsLease() ? TheLease->epoch() : 0}, Time->wallNow());
}

void RolloutService::noteServers(Active &Move, TimePoint Now) {
  for (const Endpoint &Each : Members->endpoints(Move.Spec.Service))
    if (Each.Version == Move.Spec.To)
      Move.FirstSeen.try_emplace(Each.MemberId, Now);
}

void RolloutService::report(const std::string &Name, Active &Move,
                            TimePoint Now) {
  const RolloutRecords::Entry *Known = Book.find(Name);
  if (Known == nullptr || !Known->Record || Known->Record->final()) {
    Move.Seen.clear();
    return;
  }
  bool Changed = Known->revision() != Move.ReportedRevision ||
                 Known->stopped() != Move.ReportedStopped;
  if (!Changed && Move.Seen.empty() && Now - Move.LastReport < ReportAnyway)
    return;
  EvidenceReport Report = {Members->self().Id, Known->revision(),
                           Known->stopped(), std::move(Move.Seen)};
  Move.Seen.clear();
  Move.ReportedRevision = Report.Revision;
  Move.ReportedStopped = Report.Stopped;
  Move.LastReport = Now;
  const Member *Chosen =
      rankedFor(Name, 1, Members->memberList(), Members->self()).front();
  if (Chosen->Id == Report.Member) {
    take(Name, Report);
    return;
  }
  wire::MoveEvidence Message;
  Message.move = Name;
  Message.revision = static_cast<int64_t>(Report.Revision);
  Message.stopped = Report.Stopped;
  Message.member = Report.Member;
  Message.items = toWire(Report.Seen);
  if (Message.items.size() > MaxEvidenceItems)
    Message.items.resize(MaxEvidenceItems);
  Peers->sendMessage(Chosen->Peer, FrameType::MoveEvidence, Message);
}

void RolloutService::receiveEvidence(const Address &,
                                     std::string_view Payload) {
  Result<wire::MoveEvidence, FrameError> Message =
      decodeMessage<wire::MoveEvidence>(Payload);
  if (!Message)
    return;
  const wire::MoveEvidence &Received = Message.value();
  take(Received.move,
       {Received.member, static_cast<uint64_t>(Received.revision),
        Received.stopped, fromWire(Received.items)});
}

void RolloutService::take(const std::string &Move,
                          const EvidenceReport &Report) {
  auto Known = Rollouts.find(Move);
  if (Known == Rollouts.end())
    return;
  const RolloutSpec &Spec = Known->second.Spec;
  Collector.receive(Spec, routesOf(Spec.Service), Report, Time->now(),
                    Time->wallNow());
}

void RolloutService::judge(const std::string &Name, TimePoint Now) {
  const RolloutRecords::Entry *Known = Book.find(Name);
  if (Known == nullptr || !Known->Record)
    return;
  const RolloutRecord &Record = *Known->Record;
  if (Record.final()) {
    Collector.forget(Name);
    return;
  }
  if (!Collector.collects(Name, Now))
    return;
  std::optional<RolloutFault> Found =
      Collector.judge(Record, Now, Time->wallNow());
  if (Found && Book.stop(Name, *Found)) {
    logWarning("move_stopped", {{"move", Name},
                                {"reason", nameOf(Found->Reason)},
                                {"detail", Found->Detail}});
    Spread->announce(Name);
  }
  RolloutProgress Standing = Collector.standing(Record, liveMembers(), Now);
  const Member *Holder = Members->memberList().find(Record.Holder);
  if (Record.Holder == Members->self().Id) {
    Standings[Name] = {Standing, Now};
    return;
  }
  if (Holder == nullptr || !Holder->reachable())
    return;
  wire::MoveStanding Message;
  Message.move = Name;
  Message.revision = static_cast<int64_t>(Standing.Revision);
  Message.enoughEvidence = Standing.EnoughEvidence;
  Message.allCarry = Standing.AllApplied;
  Peers->sendMessage(Holder->Peer, FrameType::RolloutProgress, Message);
}

void RolloutService::receiveStanding(const Address &,
                                     std::string_view Payload) {
  Result<wire::MoveStanding, FrameError> Message =
      decodeMessage<wire::MoveStanding>(Payload);
  if (!Message || Rollouts.count(Message.value().move) == 0)
    return;
  const wire::MoveStanding &Received = Message.value();
  Standings[Received.move] = {{static_cast<uint64_t>(Received.revision),
                               Received.enoughEvidence, Received.allCarry},
                              Time->now()};
}

bool RolloutService::serversReady(const RolloutSpec &Spec) const {
  return hasServers(Spec.Service, Spec.To);
}

std::optional<RolloutProgress>
RolloutService::standing(const std::string &Move) const {
  auto Found = Standings.find(Move);
  if (Found == Standings.end() ||
      Time->now() - Found->second.At > VersionReportLifetime)
    return std::nullopt;
  return Found->second.Standing;
}

std::optional<RolloutFault>
RolloutService::fault(const std::string &Move) const {
  const RolloutRecords::Entry *Known = Book.find(Move);
  return Known == nullptr ? std::nullopt : Known->Stop;
}

void RolloutService::recorded(const RolloutRecord &Record, bool Written) {
  learned(Record);
  if (!Written)
    return;
  logInfo("move_recorded", {{"move", Record.Name},
                            {"state", nameOf(Record.State)},
                            {"step", Record.Step},
                            {"reason", nameOf(Record.Reason)},
                            {"detail", Record.Detail},
                            {"revision", Record.Revision},
                            {"epoch", Record.Epoch}});
}

bool RolloutService::holdsLease() const {
  return TheLease && TheLease->held(Time->now());
}

std::vector<std::string> RolloutService::liveMembers() const {
  std::vector<std::string> Ids = {Members->self().Id};
  for (const auto &[Id, Each] : Members->memberList().members())
    if (Id != Ids[0] && Each.reachable())
      Ids.push_back(Id);
  return Ids;
}

std::vector<RouteSpec>
RolloutService::routesOf(const std::string &Service) const {
  std::vector<RouteSpec> Routes;
  for (const RouteSpec &Each : Config->current()->document().Routes)
    if (Each.Service == Service)
      Routes.push_back(Each);
  return Routes;
}

nlohmann::json RolloutService::status() const {
  nlohmann::json List = nlohmann::json::array();
  for (const auto &[Name, Move] : Rollouts) {
    nlohmann::json Node = {{"name", Name},
                           {"service", Move.Spec.Service},
                           {"to", Move.Spec.To},
                           {"done_by", formatWallTime(Move.Spec.Deadline)},
                           {"state", "unknown"}};
    const RolloutRecords::Entry *Known = Book.find(Name);
    if (Known != nullptr && Known->Record) {
      const RolloutRecord &Record = *Known->Record;
      Node["state"] = nameOf(Record.State);
      Node["from"] = Record.From;
      Node["step"] = Record.Step;
      Node["steps"] = Record.Steps.size();
      Node["share"] = shareBy(*Known, true);
      Node["non_repeatable_share"] = shareBy(*Known, false);
      Node["reason"] = nameOf(Record.Reason);
      Node["detail"] = Record.Detail;
      Node["short_of_evidence"] = Record.InsufficientEvidence;
      Node["entered"] = formatWallTime(Record.Entered);
      Node["holder"] = Record.Holder;
      Node["revision"] = Record.Revision;
    }
    if (Known != nullptr && Known->Stop)
      Node["stopped"] = {{"reason", nameOf(Known->Stop->Reason)},
                         {"detail", Known->Stop->Detail}};
    List.push_back(std::move(Node));
  }
  return List;
}

} // namespace cyclamenwind
