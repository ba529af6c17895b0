#include "cyclamenwind/rollouts/service.h"

#include "cyclamenwind/base/log.h"
#include "cyclamenwind/rollouts/codec.h"
#include "cyclamenwind/rollouts/ranking.h"
#include "cyclamenwind/rollouts/split.h"

namespace cyclamenwind {
namespace {

constexpr char LeaseKey[] = "lease/moves";
constexpr Duration LeaseTerm = 5s;
constexpr Duration TickPeriod = 500ms;
// Evidence is reported every ReportPeriod. Without evidence or a changed record
// a report is sent every MaxReportInterval.
constexpr Duration ReportPeriod = 1s;
constexpr Duration MaxReportInterval = 5s;
// Records are stale when the daemon has received nothing from the platform or a
// peer for this long.
constexpr Duration RecordsStaleAfter = 10s;
constexpr Duration ProgressLifetime = 5s;
// Daemons that watch the records on the platform for the whole fleet.
constexpr size_t WatcherCount = 4;
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
  Gossip = std::make_unique<RecordGossip>(Records, *Peers, *Members, *Time,
                                          Timers, *Rng);
  RecordWatch = std::make_unique<RolloutRecordWatch>(
      Platform, *Time, Timers, *Rng,
      [this](const RolloutRecord &Record) { mergeRecord(Record); });
  const std::string &Self = Members->self().Id;
  RecordWriter =
      std::make_unique<RolloutRecordWriter>(Platform, *Rng, Self, *this);
  TheLease = std::make_unique<Lease>(Platform, *Time, Timers, *Rng, LeaseKey,
                                     Self, LeaseTerm);
  Peers->handle(FrameType::MoveEvidence,
                [this](const Address &From, std::string_view Payload) {
                  receiveEvidence(From, Payload);
                });
  Peers->handle(FrameType::MoveStanding,
                [this](const Address &From, std::string_view Payload) {
                  receiveProgress(From, Payload);
                });
  Config->onChange(
      [this](const SnapshotPtr &Snapshot) { documentChanged(Snapshot); });
  if (Config->current())
    documentChanged(Config->current());
  TickTimer = Timers.every(TickPeriod, [this] { tick(); });
}

void RolloutService::stop() {
  TickTimer.reset();
  if (TheLease)
    TheLease->stop();
  RecordWriter.reset();
  RecordWatch.reset();
  Gossip.reset();
}

bool RolloutService::recordsCurrent(TimePoint Now) const {
  if (!Gossip->caughtUp())
    return false;
  auto Recent = [&](const std::optional<TimePoint> &LastTime) {
    return LastTime && Now - *LastTime <= RecordsStaleAfter;
  };
  return Recent(Gossip->lastReceived()) || Recent(RecordWatch->lastAnswer());
}

bool RolloutService::hasServers(const std::string &Service,
                                const std::string &Version) const {
  for (const Endpoint &Server : Members->endpoints(Service))
    if (Server.Version == Version)
      return true;
  return false;
}

std::string RolloutService::versionFor(const ServiceSpec &Service,
                                       const RouteSpec &Route,
                                       uint64_t CallerHash, bool PreferOld,
                                       TimePoint Now) {
  auto Found = ByService.find(Service.Name);
  if (Found == ByService.end())
    return Service.Version;
  const ActiveRollout &Rollout = Rollouts.at(Found->second);
  const RolloutRecords::Entry *Entry = Records.find(Found->second);
  if (Entry == nullptr || !Entry->Record)
    return Service.Version;
  const RolloutRecord &Record = *Entry->Record;
  // A record of other versions belongs to a document that is not active here.
  if (Record.To != Rollout.Spec.To || Record.From != Service.Version)
    return Service.Version;
  double Share = effectiveShare(*Entry, Route.Idempotent);
  bool Complete = Share >= 1;
  if (PreferOld && hasServers(Service.Name, Record.From))
    return Record.From;
  if (Record.Phase != RolloutPhase::Done && !recordsCurrent(Now))
    return Record.From;
  if (!selectsNewVersion(Share, CallerHash, Rollout.Seed))
    return Record.From;
  if (!Complete && !hasServers(Service.Name, Record.To))
    return Record.From;
  return Record.To;
}

void RolloutService::observe(const AttemptOutcome &Outcome, TimePoint Now) {
  auto Found = ByService.find(Outcome.Service);
  if (Found == ByService.end())
    return;
  ActiveRollout &Rollout = Rollouts.at(Found->second);
  bool OnNew = Outcome.Version == Rollout.Spec.To;
  bool InSlowStart = false;
  if (OnNew) {
    auto Since = Rollout.FirstSeen.try_emplace(Outcome.MemberId, Now).first;
    InSlowStart = Now - Since->second < Rollout.Spec.SlowStart;
  }
  addOutcome(Rollout.Observed, Outcome, OnNew, InSlowStart);
}

void RolloutService::documentChanged(const SnapshotPtr &Current) {
  std::map<std::string, ActiveRollout> Updated;
  ByService.clear();
  for (const RolloutSpec &Spec : Current->document().Rollouts) {
    auto Existing = Rollouts.find(Spec.Name);
    ActiveRollout &Rollout = Updated[Spec.Name];
    if (Existing != Rollouts.end() && Existing->second.Spec.To == Spec.To)
      Rollout = std::move(Existing->second);
    Rollout.Spec = Spec;
    Rollout.Seed = splitSeed(Spec.Name);
    ByService[Spec.Service] = Spec.Name;
  }
  Rollouts = std::move(Updated);
}

void RolloutService::mergeRecord(const RolloutRecord &Record) {
  if (Records.merge(Record))
    Gossip->publish(Record.Name);
}

void RolloutService::tick() {
  TimePoint Now = Time->now();
  bool IsWatcher = false;
  for (const Member *Watcher : rankedFor(
           WatchTask, WatcherCount, Members->memberList(), Members->self()))
    IsWatcher = IsWatcher || Watcher->Id == Members->self().Id;
  RecordWatch->setEnabled(IsWatcher);
  // A daemon contends for the lease only after it has caught up on the records.
  if (!Contending && Gossip->caughtUp() && Config->current()) {
    Contending = true;
    TheLease->start();
  }
  if (Now - LastReportTick >= ReportPeriod) {
    LastReportTick = Now;
    for (auto &[Name, Rollout] : Rollouts) {
      trackServers(Rollout, Now);
      report(Name, Rollout, Now);
      analyze(Name, Now);
    }
  }
  RecordWriter->tick({holdsLease() ? TheLease->epoch() : 0}, Time->wallNow());
}

void RolloutService::trackServers(ActiveRollout &Rollout, TimePoint Now) {
  for (const Endpoint &Server : Members->endpoints(Rollout.Spec.Service))
    if (Server.Version == Rollout.Spec.To)
      Rollout.FirstSeen.try_emplace(Server.MemberId, Now);
}

void RolloutService::report(const std::string &Name, ActiveRollout &Rollout,
                            TimePoint Now) {
  const RolloutRecords::Entry *Entry = Records.find(Name);
  if (Entry == nullptr || !Entry->Record || Entry->Record->final()) {
    Rollout.Observed.clear();
    return;
  }
  bool Changed = Entry->revision() != Rollout.ReportedRevision ||
                 Entry->stopped() != Rollout.ReportedStopped;
  if (!Changed && Rollout.Observed.empty() &&
      Now - Rollout.LastReport < MaxReportInterval)
    return;
  EvidenceReport Report = {Members->self().Id, Entry->revision(),
                           Entry->stopped(), std::move(Rollout.Observed)};
  Rollout.Observed.clear();
  Rollout.ReportedRevision = Report.Revision;
  Rollout.ReportedStopped = Report.Stopped;
  Rollout.LastReport = Now;
  const Member *Receiver =
      rankedFor(Name, 1, Members->memberList(), Members->self()).front();
  if (Receiver->Id == Report.Member) {
    collect(Name, Report);
    return;
  }
  wire::MoveEvidence Message;
  Message.move = Name;
  Message.revision = static_cast<int64_t>(Report.Revision);
  Message.stopped = Report.Stopped;
  Message.member = Report.Member;
  Message.items = toWire(Report.Observed);
  if (Message.items.size() > MaxEvidenceItems)
    Message.items.resize(MaxEvidenceItems);
  Peers->sendMessage(Receiver->Peer, FrameType::MoveEvidence, Message);
}

void RolloutService::receiveEvidence(const Address &,
                                     std::string_view Payload) {
  Result<wire::MoveEvidence, FrameError> Message =
      decodeMessage<wire::MoveEvidence>(Payload);
  if (!Message)
    return;
  const wire::MoveEvidence &Received = Message.value();
  collect(Received.move,
          {Received.member, static_cast<uint64_t>(Received.revision),
           Received.stopped, fromWire(Received.items)});
}

void RolloutService::collect(const std::string &Name,
                             const EvidenceReport &Report) {
  auto Found = Rollouts.find(Name);
  if (Found == Rollouts.end())
    return;
  const RolloutSpec &Spec = Found->second.Spec;
  Collector.receive(Spec, routesOf(Spec.Service), Report, Time->now(),
                    Time->wallNow());
}

void RolloutService::analyze(const std::string &Name, TimePoint Now) {
  const RolloutRecords::Entry *Entry = Records.find(Name);
  if (Entry == nullptr || !Entry->Record)
    return;
  const RolloutRecord &Record = *Entry->Record;
  if (Record.final()) {
    Collector.forget(Name);
    return;
  }
  if (!Collector.hasRecentReports(Name, Now))
    return;
  std::optional<RolloutFault> Fault =
      Collector.analyze(Record, Now, Time->wallNow());
  if (Fault && Records.stop(Name, *Fault)) {
    logWarning("move_stopped", {{"move", Name},
                                {"reason", nameOf(Fault->Reason)},
                                {"detail", Fault->Detail}});
    Gossip->publish(Name);
  }
  RolloutProgress Progress = Collector.progress(Record, liveMembers(), Now);
  const Member *Holder = Members->memberList().find(Record.Holder);
  if (Record.Holder == Members->self().Id) {
    ProgressReports[Name] = {Progress, Now};
    return;
  }
  if (Holder == nullptr || !Holder->reachable())
    return;
  wire::MoveStanding Message;
  Message.move = Name;
  Message.revision = static_cast<int64_t>(Progress.Revision);
  Message.enoughEvidence = Progress.EnoughEvidence;
  Message.allCarry = Progress.AllApplied;
  Peers->sendMessage(Holder->Peer, FrameType::MoveStanding, Message);
}

void RolloutService::receiveProgress(const Address &,
                                     std::string_view Payload) {
  Result<wire::MoveStanding, FrameError> Message =
      decodeMessage<wire::MoveStanding>(Payload);
  if (!Message || Rollouts.count(Message.value().move) == 0)
    return;
  const wire::MoveStanding &Received = Message.value();
  ProgressReports[Received.move] = {{static_cast<uint64_t>(Received.revision),
                                     Received.enoughEvidence,
                                     Received.allCarry},
                                    Time->now()};
}

bool RolloutService::serversReady(const RolloutSpec &Spec) const {
  return hasServers(Spec.Service, Spec.To);
}

std::optional<RolloutProgress>
RolloutService::progress(const std::string &Name) const {
  auto Found = ProgressReports.find(Name);
  if (Found == ProgressReports.end() ||
      Time->now() - Found->second.ReceivedAt > ProgressLifetime)
    return std::nullopt;
  return Found->second.Progress;
}

std::optional<RolloutFault>
RolloutService::fault(const std::string &Name) const {
  const RolloutRecords::Entry *Entry = Records.find(Name);
  return Entry == nullptr ? std::nullopt : Entry->Stop;
}

void RolloutService::onRecorded(const RolloutRecord &Record, bool Written) {
  mergeRecord(Record);
  if (!Written)
    return;
  logInfo("move_recorded", {{"move", Record.Name},
                            {"state", nameOf(Record.Phase)},
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
  for (const auto &[Id, Other] : Members->memberList().members())
    if (Id != Ids[0] && Other.reachable())
      Ids.push_back(Id);
  return Ids;
}

std::vector<RouteSpec>
RolloutService::routesOf(const std::string &Service) const {
  std::vector<RouteSpec> Routes;
  for (const RouteSpec &Route : Config->current()->document().Routes)
    if (Route.Service == Service)
      Routes.push_back(Route);
  return Routes;
}

nlohmann::json RolloutService::status() const {
  nlohmann::json List = nlohmann::json::array();
  for (const auto &[Name, Rollout] : Rollouts) {
    nlohmann::json Node = {{"name", Name},
                           {"service", Rollout.Spec.Service},
                           {"to", Rollout.Spec.To},
                           {"done_by", formatWallTime(Rollout.Spec.Deadline)},
                           {"state", "unknown"}};
    const RolloutRecords::Entry *Entry = Records.find(Name);
    if (Entry != nullptr && Entry->Record) {
      const RolloutRecord &Record = *Entry->Record;
      Node["state"] = nameOf(Record.Phase);
      Node["from"] = Record.From;
      Node["step"] = Record.Step;
      Node["steps"] = Record.Steps.size();
      Node["share"] = effectiveShare(*Entry, true);
      Node["non_repeatable_share"] = effectiveShare(*Entry, false);
      Node["reason"] = nameOf(Record.Reason);
      Node["detail"] = Record.Detail;
      Node["short_of_evidence"] = Record.InsufficientEvidence;
      Node["entered"] = formatWallTime(Record.Entered);
      Node["holder"] = Record.Holder;
      Node["revision"] = Record.Revision;
    }
    if (Entry != nullptr && Entry->Stop)
      Node["stopped"] = {{"reason", nameOf(Entry->Stop->Reason)},
                         {"detail", Entry->Stop->Detail}};
    List.push_back(std::move(Node));
  }
  return List;
}

} // namespace cyclamenwind
