#include "cyclamenwind/mesh/allowance_service.h"

#include "cyclamenwind/base/log.h"
#include "cyclamenwind/mesh/allowance_ranking.h"
#include "cyclamenwind/wire/gen-cpp/mesh_types.h"

#include <algorithm>

#include <prometheus/registry.h>

namespace cyclamenwind {
namespace {

// Interval at which the connected daemons are compared with those that the
// owners were worked out from.
constexpr Duration TickPeriod = 200ms;
// A process that was not running for this long may have been replaced as an
// owner: peers close a stream on which nothing arrives for about as long.
constexpr Duration PauseLimit = 1s;
// Time for which a daemon is not asked again after it stated that it is not the
// owner; the views of two daemons agree again within about this time.
constexpr Duration NotOwnerFor = 1s;
// Labels of metrics are bounded; further workspaces count as OtherLabel.
constexpr size_t MaxLabels = 32;
constexpr char OtherLabel[] = "other";
// A peer's larger times are cut to this, so that sums do not overflow.
constexpr Duration MaxTime = 1h;

AllowanceShares fromWire(const wire::AllowanceShare &Message) {
  AllowanceShares Shares;
  Shares.Tokens = Message.tokens;
  Shares.ValidFor = std::clamp(Duration(Message.validUs), Duration::zero(),
                               Duration(MaxTime));
  Shares.OnCredit = Message.plentiful;
  Shares.RetryAfter = std::clamp(Duration(Message.retryAfterUs),
                                 Duration::zero(), Duration(MaxTime));
  return Shares;
}

} // namespace

void AllowanceService::start(Kernel &TheKernel) {
  Time = &TheKernel.clock();
  Timers = &TheKernel.scheduler();
  Peers = &TheKernel.find<PeerTransport>("peers");
  State = &TheKernel.find<MeshState>("mesh_state");
  Counters = &TheKernel.find<Metrics>("metrics");
  Decisions = &prometheus::BuildCounter()
                   .Name("cyclamenwind_workspace_requests_total")
                   .Help("Decisions on requests by workspace.")
                   .Register(Counters->registry());
  Client.emplace(
      [this](const std::string &Workspace) { return ownerOf(Workspace); },
      static_cast<int64_t>(TheKernel.random().next() >> 2), bootNow());
  Peers->handle(FrameType::AllowanceRequest,
                [this](const Address &From, std::string_view Payload) {
                  receiveRequest(From, Payload);
                });
  Peers->handle(FrameType::AllowanceGrant,
                [this](const Address &From, std::string_view Payload) {
                  receiveGrant(From, Payload);
                });
  Peers->onPeerDisconnect([this](const Address &, PeerDisconnect) {
    if (TickTimer)
      refreshOwners();
  });
  State->onConfig([this] { applyConfig(); });
}

void AllowanceService::stop() {
  TickTimer.reset();
  FlushTimer.reset();
}

void AllowanceService::applyConfig() {
  Limited.clear();
  if (const WorkspaceTablePtr &Table = State->routes()->config().Workspaces)
    for (const auto &[Name, Each] : Table->all())
      if (Each.PerSecond > 0)
        Limited.push_back(Each);
  if (Limited.empty() && !TickTimer)
    return;
  // The owners are worked out again, also if the connected daemons are the
  // same.
  Daemons = 0;
  refreshOwners();
  if (Limited.empty()) {
    TickTimer.reset();
  } else if (!TickTimer) {
    LastTickAt = bootNow();
    TickTimer = Timers->every(TickPeriod, [this] { tick(); });
  }
}

// Frames that arrived during a pause may be handled before the timer runs.
void AllowanceService::checkPause(TimePoint Now) {
  if (TickTimer && Now - LastTickAt > PauseLimit) {
    logWarning("allowances_paused", {{"ms", milliseconds(Now - LastTickAt)}});
    Owner.startAgain(Now);
  }
  LastTickAt = Now;
}

void AllowanceService::tick() {
  TimePoint Now = bootNow();
  checkPause(Now);
  size_t Known = NotOwners.size();
  for (auto &[Name, Until] : NotOwners)
    std::erase_if(Until,
                  [Now](const auto &Entry) { return Entry.second <= Now; });
  std::erase_if(NotOwners,
                [](const auto &Entry) { return Entry.second.empty(); });
  if (NotOwners.size() != Known)
    Client->ownersChanged(Now);
  refreshOwners();
}

void AllowanceService::refreshOwners() {
  std::vector<Address> NowConnected = Peers->connectedPeers();
  size_t NowDaemons = std::max(State->daemons(), NowConnected.size() + 1);
  if (NowConnected == Connected && NowDaemons == Daemons)
    return;
  TimePoint Now = bootNow();
  Connected = NowConnected;
  Daemons = NowDaemons;
  std::vector<Address> Previous = Owners;
  Owners.clear();
  if (!Connected.empty() || Daemons == 1) {
    NowConnected.push_back(Peers->self());
    Owners = allowanceOwners(std::move(NowConnected));
  }
  std::vector<Workspace> Owned;
  for (const Workspace &Each : Limited)
    if (!Owners.empty() &&
        rankedOwners(Each.Name, Owners).front() == Peers->self())
      Owned.push_back(Each);
  double Part =
      static_cast<double>(Connected.size() + 1) / static_cast<double>(Daemons);
  Owner.own(Owned, Part, Now);
  Client->configure(Limited, Daemons, Now);
  Client->ownersChanged(Now);
  if (Owners != Previous)
    logInfo("allowance_owners_changed", {{"owned", Owned.size()},
                                         {"connected", Connected.size()},
                                         {"daemons", Daemons}});
  arm();
}

std::optional<Address>
AllowanceService::ownerOf(const std::string &Workspace) const {
  auto Excluded = NotOwners.find(Workspace);
  for (const Address &Candidate : rankedOwners(Workspace, Owners))
    if (Excluded == NotOwners.end() || Excluded->second.count(Candidate) == 0)
      return Candidate;
  return std::nullopt;
}

AllowanceAnswer AllowanceService::admit(const std::string &Workspace,
                                        uint64_t Request) {
  AllowanceAnswer Answer = Client->admit(Workspace, Request, bootNow());
  if (Answer.Decision == AllowanceDecision::Pending)
    PendingWorkspace[Request] = Workspace;
  else
    count(Workspace, Answer);
  arm();
  return Answer;
}

void AllowanceService::withdraw(uint64_t Request) {
  auto Found = PendingWorkspace.find(Request);
  if (Found == PendingWorkspace.end())
    return;
  Client->withdraw(Found->second, Request);
  PendingWorkspace.erase(Found);
}

void AllowanceService::giveBack(const std::string &Workspace) {
  Client->giveBack(Workspace, bootNow());
  arm();
}

void AllowanceService::receiveRequest(const Address &From,
                                      std::string_view Payload) {
  Result<wire::AllowanceRequest, FrameError> Message =
      decodeMessage<wire::AllowanceRequest>(Payload);
  if (!Message) {
    logWarning("frame_malformed", {{"peer", From.text()}});
    return;
  }
  TimePoint Now = bootNow();
  checkPause(Now);
  wire::AllowanceGrant Grant;
  Grant.id = Message.value().id;
  for (const wire::AllowanceDemand &Demand : Message.value().demands) {
    if (!Owner.owns(Demand.workspace)) {
      Grant.notOwned.push_back(Demand.workspace);
      continue;
    }
    AllowanceShares Shares =
        Owner.take(Demand.workspace, From,
                   {Demand.wanted, Demand.charged, Demand.returned}, Now);
    wire::AllowanceShare &Share = Grant.shares.emplace_back();
    Share.workspace = Demand.workspace;
    Share.tokens = Shares.Tokens;
    Share.validUs = Shares.ValidFor.count();
    Share.plentiful = Shares.OnCredit;
    Share.retryAfterUs = Shares.RetryAfter.count();
  }
  Peers->sendMessage(From, FrameType::AllowanceGrant, Grant);
}

void AllowanceService::receiveGrant(const Address &From,
                                    std::string_view Payload) {
  Result<wire::AllowanceGrant, FrameError> Message =
      decodeMessage<wire::AllowanceGrant>(Payload);
  if (!Message) {
    logWarning("frame_malformed", {{"peer", From.text()}});
    return;
  }
  TimePoint Now = bootNow();
  const wire::AllowanceGrant &Grant = Message.value();
  std::vector<SettledRequest> Settled;
  for (const wire::AllowanceShare &Share : Grant.shares)
    for (const SettledRequest &Each :
         Client->receive(From, Grant.id, Share.workspace, fromWire(Share), Now))
      Settled.push_back(Each);
  Client->answered(From, Grant.id);
  for (const std::string &Workspace : Grant.notOwned)
    if (ownerOf(Workspace) == From)
      NotOwners[Workspace][From] = Now + NotOwnerFor;
  if (!Grant.notOwned.empty())
    Client->ownersChanged(Now);
  settle(Settled);
  arm();
}

void AllowanceService::flush() {
  TimePoint Now = bootNow();
  std::vector<SettledRequest> Settled = Client->expire(Now);
  for (AllowanceMessage &Message : Client->messagesDue(Now)) {
    if (Message.Owner == Peers->self()) {
      for (const auto &[Workspace, Need] : Message.Needs)
        if (Owner.owns(Workspace))
          for (const SettledRequest &Each : Client->receive(
                   Message.Owner, Message.Id, Workspace,
                   Owner.take(Workspace, Message.Owner, Need, Now), Now))
            Settled.push_back(Each);
      Client->answered(Message.Owner, Message.Id);
      continue;
    }
    wire::AllowanceRequest Request;
    Request.id = Message.Id;
    for (const auto &[Workspace, Need] : Message.Needs) {
      wire::AllowanceDemand &Demand = Request.demands.emplace_back();
      Demand.workspace = Workspace;
      Demand.wanted = Need.Wanted;
      Demand.charged = Need.Charged;
      Demand.returned = Need.Returned;
    }
    Peers->sendMessage(Message.Owner, FrameType::AllowanceRequest, Request);
  }
  settle(Settled);
  arm();
}

void AllowanceService::arm() {
  TimePoint Now = bootNow();
  std::optional<TimePoint> Next = Client->nextDue(Now);
  if (!Next) {
    FlushTimer.reset();
    return;
  }
  if (FlushTimer && FlushAt <= *Next)
    return;
  FlushAt = *Next;
  FlushTimer = Timers->after(*Next - Now, [this] {
    TimerHandle Fired = std::move(FlushTimer);
    flush();
  });
}

void AllowanceService::settle(const std::vector<SettledRequest> &Settled) {
  for (const SettledRequest &Each : Settled) {
    auto Found = PendingWorkspace.find(Each.Request);
    if (Found == PendingWorkspace.end()) {
      continue; // Withdrawn by the handler of another request.
    }
    count(Found->second, Each.Answer);
    PendingWorkspace.erase(Found);
    if (Handler)
      Handler(Each.Request, Each.Answer);
  }
}

std::string AllowanceService::labelOf(const std::string &Workspace) {
  if (Labels.count(Workspace) == 0 && Labels.size() >= MaxLabels)
    return OtherLabel;
  return *Labels.insert(Workspace).first;
}

void AllowanceService::count(const std::string &Workspace,
                             const AllowanceAnswer &Answer) {
  bool Admitted = Answer.Decision == AllowanceDecision::Admitted;
  Decisions
      ->Add({{"workspace", labelOf(Workspace)},
             {"decision", Admitted ? "admitted" : "refused"}})
      .Increment();
}

void AllowanceService::setGauges() {
  TimePoint Now = bootNow();
  std::map<std::string, double> Held;
  for (const Workspace &Each : Limited) {
    auto Found = Labels.find(Each.Name);
    Held[Found == Labels.end() ? OtherLabel : Each.Name] +=
        Client->held(Each.Name, Now);
  }
  for (const auto &[Label, Tokens] : Held)
    Counters->setGauge("cyclamenwind_allowance_tokens",
                       "Requests that would be admitted without a message.",
                       {{"workspace", Label}}, Tokens);
}

} // namespace cyclamenwind
