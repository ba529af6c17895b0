#include "cyclamenwind/moves/service.h"

#include "cyclamenwind/base/log.h"
#include "cyclamenwind/moves/codec.h"
#include "cyclamenwind/moves/ranking.h"
#include "cyclamenwind/moves/split.h"

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
constexpr Duration StandingLifetime = 5s;
// Daemons that watch the records on the platform.
constexpr size_t Watchers = 4;
constexpr char WatchTask[] = "watch-moves";

} // namespace

MoveService::MoveService() = default;
MoveService::~MoveService() = default;

void MoveService::start(Kernel &Host) {
  Time = &Host.clock();
  Dice = &Host.random();
  Config = &Host.find<ConfigStore>("config");
  Members = &Host.find<MembershipView>("membership");
  Peers = &Host.find<PeerTransport>("peers");
  auto &Platform = Host.find<PlatformClient>("platform");
  Scheduler &Timers = Host.scheduler();
  Spread = std::make_unique<MoveSpread>(Book, *Peers, *Members, *Time, Timers,
                                        *Dice);
  Feed = std::make_unique<MoveFeed>(
      Platform, *Time, Timers, *Dice,
      [this](const MoveRecord &Record) { learned(Record); });
  const std::string &Self = Members->self().Id;
  Keeper = std::make_unique<MoveKeeper>(Platform, *Dice, Self, *this);
  TheLease = std::make_unique<Lease>(Platform, *Time, Timers, *Dice, LeaseKey,
                                     Self, LeaseTerm);
  Peers->handle(FrameType::MoveEvidence,
                [this](const Address &From, std::string_view Payload) {
                  receiveEvidence(From, Payload);
                });
  Peers->handle(FrameType::MoveStanding,
                [this](const Address &From, std::string_view Payload) {
                  receiveStanding(From, Payload);
                });
  Config->onChange([this](const SnapshotPtr &Now) { documentChanged(Now); });
  if (Config->current())
    documentChanged(Config->current());
  TurnTimer = Timers.every(TurnPeriod, [this] { turn(); });
}

void MoveService::stop() {
  TurnTimer.reset();
  if (TheLease)
    TheLease->stop();
  Keeper.reset();
  Feed.reset();
  Spread.reset();
}

bool MoveService::sure(TimePoint Now) const {
  if (!Spread->caughtUp())
    return false;
  auto Recent = [&](const std::optional<TimePoint> &At) {
    return At && Now - *At <= KnowledgeLifetime;
  };
  return Recent(Spread->lastHeard()) || Recent(Feed->lastAnswer());
}

bool MoveService::hasServers(const std::string &Service,
                             const std::string &Version) const {
  for (const Endpoint &Each : Members->endpoints(Service))
    if (Each.Version == Version)
      return true;
  return false;
}

std::string MoveService::versionFor(const ServiceSpec &Service,
                                    const RouteSpec &Route, uint64_t CallerHash,
                                    bool PreferOld, TimePoint Now) {
  auto Name = ByService.find(Service.Name);
  if (Name == ByService.end())
    return Service.Version;
  const Active &Move = Moves.at(Name->second);
  const MoveBook::Entry *Known = Book.find(Name->second);
  if (Known == nullptr || !Known->Record)
    return Service.Version;
  const MoveRecord &Record = *Known->Record;
  // A record of other versions belongs to a document that is not in force.
  if (Record.To != Move.Spec.To || Record.From != Service.Version)
    return Service.Version;
  double Share = shareBy(*Known, Route.Repeatable);
  bool Whole = Share >= 1;
  if (PreferOld && hasServers(Service.Name, Record.From))
    return Record.From;
  if (Record.State != MoveState::Done && !sure(Now))
    return Record.From;
  if (!fallsInto(Share, CallerHash, Move.Seed))
    return Record.From;
  if (!Whole && !hasServers(Service.Name, Record.To))
    return Record.From;
  return Record.To;
}

void MoveService::observe(const AttemptOutcome &Outcome, TimePoint Now) {
  auto Name = ByService.find(Outcome.Service);
  if (Name == ByService.end())
    return;
  Active &Move = Moves.at(Name->second);
  bool OnNew = Outcome.Version == Move.Spec.To;
  bool InSlowStart = false;
  if (OnNew) {
    auto Since = Move.FirstSeen.try_emplace(Outcome.MemberId, Now).first;
    InSlowStart = Now - Since->second < Move.Spec.SlowStart;
  }
  addOutcome(Move.Seen, Outcome, OnNew, InSlowStart);
}

void MoveService::documentChanged(const SnapshotPtr &Current) {
  std::map<std::string, Active> Kept;
  ByService.clear();
  for (const MoveSpec &Each : Current->document().Moves) {
    auto Before = Moves.find(Each.Name);
    Active &Move = Kept[Each.Name];
    if (Before != Moves.end() && Before->second.Spec.To == Each.To)
      Move = std::move(Before->second);
    Move.Spec = Each;
    Move.Seed = splitSeed(Each.Name);
    ByService[Each.Service] = Each.Name;
  }
  Moves = std::move(Kept);
}

void MoveService::learned(const MoveRecord &Record) {
  if (Book.learn(Record))
    Spread->announce(Record.Name);
}

void MoveService::turn() {
  TimePoint Now = Time->now();
  bool Watching = false;
  for (const Member *Each :
       rankedFor(WatchTask, Watchers, Members->roster(), Members->self()))
    Watching = Watching || Each->Id == Members->self().Id;
  Feed->setWanted(Watching);
  // Only a daemon that knows the moves contends for the right to decide them.
  if (!Contending && Spread->caughtUp() && Config->current()) {
    Contending = true;
    TheLease->start();
  }
  if (Now - LastReportTurn >= ReportPeriod) {
    LastReportTurn = Now;
    for (auto &[Name, Move] : Moves) {
      noteServers(Move, Now);
      report(Name, Move, Now);
      judge(Name, Now);
    }
  }
  Keeper->turn({holdsLease() ? TheLease->epoch() : 0}, Time->wallNow());
}

void MoveService::noteServers(Active &Move, TimePoint Now) {
  for (const Endpoint &Each : Members->endpoints(Move.Spec.Service))
    if (Each.Version == Move.Spec.To)
      Move.FirstSeen.try_emplace(Each.MemberId, Now);
}

void MoveService::report(const std::string &Name, Active &Move, TimePoint Now) {
  const MoveBook::Entry *Known = Book.find(Name);
  if (Known == nullptr || !Known->Record || Known->Record->final()) {
    Move.Seen.clear();
    return;
  }
  bool Changed = Known->revision() != Move.ReportedRevision ||
                 Known->stopped() != Move.ReportedStopped;
  if (!Changed && Move.Seen.empty() && Now - Move.LastReport < ReportAnyway)
    return;
  MoveReport Report = {Members->self().Id, Known->revision(), Known->stopped(),
                       std::move(Move.Seen)};
  Move.Seen.clear();
  Move.ReportedRevision = Report.Revision;
  Move.ReportedStopped = Report.Stopped;
  Move.LastReport = Now;
  const Member *Chosen =
      rankedFor(Name, 1, Members->roster(), Members->self()).front();
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

void MoveService::receiveEvidence(const Address &, std::string_view Payload) {
  Result<wire::MoveEvidence, FrameError> Message =
      decodeMessage<wire::MoveEvidence>(Payload);
  if (!Message)
    return;
  const wire::MoveEvidence &Received = Message.value();
  take(Received.move,
       {Received.member, static_cast<uint64_t>(Received.revision),
        Received.stopped, fromWire(Received.items)});
}

void MoveService::take(const std::string &Move, const MoveReport &Report) {
  auto Known = Moves.find(Move);
  if (Known == Moves.end())
    return;
  const MoveSpec &Spec = Known->second.Spec;
  Collector.receive(Spec, routesOf(Spec.Service), Report, Time->now(),
                    Time->wallNow());
}

void MoveService::judge(const std::string &Name, TimePoint Now) {
  const MoveBook::Entry *Known = Book.find(Name);
  if (Known == nullptr || !Known->Record)
    return;
  const MoveRecord &Record = *Known->Record;
  if (Record.final()) {
    Collector.forget(Name);
    return;
  }
  if (!Collector.collects(Name, Now))
    return;
  std::optional<MoveFault> Found =
      Collector.judge(Record, Now, Time->wallNow());
  if (Found && Book.stop(Name, *Found)) {
    logWarning("move_stopped", {{"move", Name},
                                {"reason", nameOf(Found->Reason)},
                                {"detail", Found->Detail}});
    Spread->announce(Name);
  }
  MoveStanding Standing = Collector.standing(Record, liveMembers(), Now);
  const Member *Holder = Members->roster().find(Record.Holder);
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
  Message.allCarry = Standing.AllCarry;
  Peers->sendMessage(Holder->Peer, FrameType::MoveStanding, Message);
}

void MoveService::receiveStanding(const Address &, std::string_view Payload) {
  Result<wire::MoveStanding, FrameError> Message =
      decodeMessage<wire::MoveStanding>(Payload);
  if (!Message || Moves.count(Message.value().move) == 0)
    return;
  const wire::MoveStanding &Received = Message.value();
  Standings[Received.move] = {{static_cast<uint64_t>(Received.revision),
                               Received.enoughEvidence, Received.allCarry},
                              Time->now()};
}

bool MoveService::serversReady(const MoveSpec &Spec) const {
  return hasServers(Spec.Service, Spec.To);
}

std::optional<MoveStanding>
MoveService::standing(const std::string &Move) const {
  auto Found = Standings.find(Move);
  if (Found == Standings.end() ||
      Time->now() - Found->second.At > StandingLifetime)
    return std::nullopt;
  return Found->second.Standing;
}

std::optional<MoveFault> MoveService::fault(const std::string &Move) const {
  const MoveBook::Entry *Known = Book.find(Move);
  return Known == nullptr ? std::nullopt : Known->Stop;
}

void MoveService::recorded(const MoveRecord &Record, bool Written) {
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

bool MoveService::holdsLease() const {
  return TheLease && TheLease->held(Time->now());
}

std::vector<std::string> MoveService::liveMembers() const {
  std::vector<std::string> Ids = {Members->self().Id};
  for (const auto &[Id, Each] : Members->roster().members())
    if (Id != Ids[0] && Each.reachable())
      Ids.push_back(Id);
  return Ids;
}

std::vector<RouteSpec> MoveService::routesOf(const std::string &Service) const {
  std::vector<RouteSpec> Routes;
  for (const RouteSpec &Each : Config->current()->document().Routes)
    if (Each.Service == Service)
      Routes.push_back(Each);
  return Routes;
}

nlohmann::json MoveService::status() const {
  nlohmann::json List = nlohmann::json::array();
  for (const auto &[Name, Move] : Moves) {
    nlohmann::json Node = {{"name", Name},
                           {"service", Move.Spec.Service},
                           {"to", Move.Spec.To},
                           {"done_by", formatWallTime(Move.Spec.DoneBy)},
                           {"state", "unknown"}};
    const MoveBook::Entry *Known = Book.find(Name);
    if (Known != nullptr && Known->Record) {
      const MoveRecord &Record = *Known->Record;
      Node["state"] = nameOf(Record.State);
      Node["from"] = Record.From;
      Node["step"] = Record.Step;
      Node["steps"] = Record.Steps.size();
      Node["share"] = shareBy(*Known, true);
      Node["non_repeatable_share"] = shareBy(*Known, false);
      Node["reason"] = nameOf(Record.Reason);
      Node["detail"] = Record.Detail;
      Node["short_of_evidence"] = Record.ShortOfEvidence;
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
