#include "cyclamenwind/mesh/outbound_proxy.h"

#include "cyclamenwind/base/log.h"
#include "cyclamenwind/http/message_parser.h"
#include "cyclamenwind/mesh/large_body.h"
#include "cyclamenwind/wire/http_text.h"

#include <algorithm>

namespace cyclamenwind {
namespace {

// The caller is answered this long before its deadline or the route's timeout,
// so that the response arrives in time.
constexpr Duration ReplyMargin = 15ms;
// Time for a response to come back from another daemon.
constexpr Duration ReturnMargin = 50ms;
// Number of refusals before a server was reached that are retried; the next one
// is passed on to the caller.
constexpr int MaxRefusals = 3;
// Interval between checks for attempts whose daemon is unresponsive.
constexpr Duration ResponsivenessCheckPeriod = 100ms;
// Time for which a server is avoided if its daemon does not know it or cannot
// connect to it.
constexpr Duration AvoidAfterRefusal = 400ms;
// Time for which a server is avoided after a refusal that persists, for example
// because its daemon is shutting down, which takes up to 6 s.
constexpr Duration AvoidAfterLastingRefusal = 4s;
// Bounds of Retry-After, and its value while there is no configuration.
constexpr Duration MinRetryDelay = 60ms;
constexpr Duration MaxRetryDelay = 1s;
constexpr Duration NoConfigRetryDelay = 300ms;
// Callers honour a Retry-After of up to their remaining time divided by this.
constexpr int RetryTimeDivisor = 3;
constexpr double RetryJitter = 0.5;
// A request that a server has run is retried only if another server's share of
// failures is below this.
constexpr double MaxFailureShare = 0.15;
constexpr int FirstFailureStatus = 500;
constexpr double PermilleScale = 1000;

HttpResponse plainResponse(int Status, std::string_view Text) {
  return {Status, {}, std::string(Text) + "\n"};
}

std::string_view pathOf(const HttpRequest &Request) { return Request.path(); }

} // namespace

OutboundProxy::OutboundProxy(const OutboundProxyOptions &Options,
                             const HeaderCodec &Codec)
    : Options(Options), Codec(Codec), Budget(Options.Retries) {}

void OutboundProxy::start(Kernel &TheKernel) {
  Time = &TheKernel.clock();
  Timers = &TheKernel.scheduler();
  Rng = &TheKernel.random();
  Peers = &TheKernel.find<PeerTransport>("peers");
  Inbound = &TheKernel.find<InboundProxy>("gate");
  State = &TheKernel.find<MeshState>("mesh_state");
  Counters = &TheKernel.find<Metrics>("metrics");
  Balancer = std::make_unique<MeshBalancer>(Options.FailureDomain, *Rng);
  NextAttempt = Rng->next() >> 2;
  Peers->handle(FrameType::ForwardReply,
                [this](const Address &From, std::string_view Payload) {
                  receiveReply(From, Payload);
                });
  Peers->handle(FrameType::ForwardAccept,
                [this](const Address &From, std::string_view Payload) {
                  receiveAccept(From, Payload);
                });
  Peers->onPeerDisconnect([this](const Address &Peer, PeerDisconnect Reason) {
    peerDisconnected(Peer, Reason);
  });
  State->onConfig([this] {
    Sizes.retain(State->routes()->config());
    Inbound->responseSizes().retain(State->routes()->config());
  });
  State->onEndpoint([this](const MeshEndpoint &Endpoint) {
    if (Endpoint.State == EndpointState::Ready)
      Balancer->stopAvoiding(Endpoint.Id);
    else if (Endpoint.State == EndpointState::Gone)
      Balancer->forget(Endpoint.Id);
  });
  State->onWarmup([this](const std::string &Id, const ServerWarmup &Warmup) {
    Balancer->updateWarmup(Id, Warmup, Duration::zero(), State->daemons(),
                           Time->now());
  });
}

void OutboundProxy::stop() {
  ResponsivenessTimer.reset();
  Calls.clear();
  Attempts.clear();
}

void OutboundProxy::accept(const ExchangePtr &Received) {
  TimePoint Now = Time->now();
  uint64_t Id = NextCall++;
  Call &NewCall = Calls[Id];
  NewCall.Caller = Received;
  NewCall.Received = Now;
  // A request from the local backend server has this daemon's address; other
  // callers have other addresses.
  NewCall.Nested = Received->peerHost() == Peers->self().Host;
  NewCall.Request = Received->takeRequest();
  NewCall.Table = State->routes();
  CallerMetadata Metadata =
      Codec.extractCallerMetadata(NewCall.Request.Headers);
  NewCall.AttemptId = Metadata.AttemptId;
  if (!NewCall.Table) {
    HttpResponse Refusal = plainResponse(503, "no configuration is known yet");
    Refusal.Headers.push_back(Codec.retryAfter(NoConfigRetryDelay));
    finish(Id, std::move(Refusal), "no_config");
    return;
  }
  const std::string *Host = findHeader(NewCall.Request.Headers, "Host");
  NewCall.Route = NewCall.Table->match(Host == nullptr ? "" : *Host,
                                       pathOf(NewCall.Request));
  if (NewCall.Route == nullptr) {
    finish(Id, plainResponse(404, "no route matches"), "no_route");
    return;
  }
  if (!identifyWorkspace(NewCall)) {
    HttpResponse Refusal = plainResponse(401, "the request has no known key");
    Refusal.Headers.push_back(Codec.keyChallenge());
    finish(Id, std::move(Refusal), "no_key");
    return;
  }
  if (NewCall.AttemptId.empty()) {
    finish(Id, plainResponse(400, "the request has no attempt id"),
           "no_attempt_id");
    return;
  }
  Duration Allowed = NewCall.Route->Timeout;
  if (Metadata.Remaining)
    Allowed = std::min(Allowed, *Metadata.Remaining);
  NewCall.ReplyBy = Now + Allowed - ReplyMargin;
  Received->onPeerGone([this, Id] { onCallerDisconnected(Id); });
  NewCall.Timeout = Timers->after(std::max(NewCall.ReplyBy - Now, Duration(0)),
                                  [this, Id] { onTimeout(Id); });
  if (Allowances != nullptr && NewCall.Owner != nullptr)
    takeAllowance(Id);
  else
    dispatch(Id, /*IsRetry=*/false);
}

void OutboundProxy::limitWith(AllowanceGate &Gate) {
  Allowances = &Gate;
  Gate.onDecision([this](uint64_t Id, const AllowanceAnswer &Answer) {
    onAllowanceDecided(Id, Answer);
  });
}

void OutboundProxy::takeAllowance(uint64_t Id) {
  Call &TheCall = Calls.at(Id);
  AllowanceAnswer Answer = Allowances->admit(TheCall.Owner->Name, Id);
  if (Answer.Decision == AllowanceDecision::Pending)
    TheCall.Allowance = AllowanceState::Pending;
  else
    onAllowanceDecided(Id, Answer);
}

void OutboundProxy::onAllowanceDecided(uint64_t Id,
                                       const AllowanceAnswer &Answer) {
  auto Found = Calls.find(Id);
  if (Found == Calls.end())
    return;
  if (Answer.Decision == AllowanceDecision::Admitted) {
    Found->second.Allowance = AllowanceState::Taken;
    dispatch(Id, /*IsRetry=*/false);
    return;
  }
  Found->second.Allowance = AllowanceState::NotNeeded;
  HttpResponse Refusal =
      plainResponse(429, "the workspace has used its allowance");
  Refusal.Headers.push_back(Codec.retryAfter(Answer.RetryAfter));
  finish(Id, std::move(Refusal), "allowance_used");
}

// A request that ends without having run gives its part back.
void OutboundProxy::releaseAllowance(uint64_t Id, const Call &TheCall,
                                     bool NotRun) {
  if (TheCall.Allowance == AllowanceState::Pending)
    Allowances->withdraw(Id);
  else if (TheCall.Allowance == AllowanceState::Taken && NotRun)
    Allowances->giveBack(TheCall.Owner->Name);
}

// Finds the workspace of the caller's key and removes the key. Returns whether
// the request may go on.
bool OutboundProxy::identifyWorkspace(Call &TheCall) const {
  const WorkspaceTablePtr &Workspaces = TheCall.Table->config().Workspaces;
  if (!Workspaces)
    return true;
  std::string Key = Codec.takeKey(TheCall.Request.Headers);
  TheCall.Owner = Workspaces->findByKey(Key);
  // Callers have keys, and the calls of backend servers have none. The address
  // does not tell: callers on this host have the same one.
  TheCall.Nested = TheCall.Owner == nullptr;
  return TheCall.Owner != nullptr || TheCall.Route->Public;
}

// The target service of a traffic split is drawn once per request, so that a
// service without free capacity does not shift its requests to the others.
const MeshEndpoint *OutboundProxy::chooseServer(Call &TheCall, TimePoint Now) {
  if (TheCall.Service.empty()) {
    double Total = 0;
    for (const WeightedService &Target : TheCall.Route->Targets)
      Total += Target.Weight;
    double Drawn = Rng->fraction() * Total;
    for (const WeightedService &Target : TheCall.Route->Targets) {
      TheCall.Service = Target.Service;
      Drawn -= Target.Weight;
      if (Drawn < 0)
        break;
    }
    Budget.countFirstAttempt(TheCall.Service, Now);
  }
  std::vector<const MeshEndpoint *> Usable =
      State->directory().usable(TheCall.Service);
  std::vector<const MeshEndpoint *> Available = withoutEvacuated(Usable, Now);
  if (Available.empty() && !Usable.empty()) {
    TheCall.LastError = ForwardError::Evacuated;
    TheCall.ExpectedWait = MaxRetryDelay;
    return nullptr;
  }
  std::vector<const MeshEndpoint *> Eligible =
      State->rollouts().eligibleServers(TheCall.Service, Available, *Rng);
  BalancedRequest Request{TheCall.Route->Objective,
                          Sizes.mean(TheCall.Route->Name)};
  if (isLargeBody(TheCall.Request.Body.size()))
    Request.BodyBytes = static_cast<double>(TheCall.Request.Body.size());
  std::vector<const MeshEndpoint *> Candidates = preferConnected(Eligible);
  const MeshEndpoint *Chosen =
      Balancer->choose(Candidates, TheCall.Tried, Request, Now);
  if (Chosen != nullptr)
    return Chosen;
  if (std::optional<Duration> Wait =
          Balancer->warmupWait(Candidates, TheCall.Tried, Now))
    noteWarmupWait(TheCall, *Wait);
  return nullptr;
}

// Removes the servers of evacuated failure domains.
std::vector<const MeshEndpoint *>
OutboundProxy::withoutEvacuated(std::vector<const MeshEndpoint *> Servers,
                                TimePoint Now) const {
  std::erase_if(Servers, [this, Now](const MeshEndpoint *Server) {
    auto Refused = RefusedDomains.find(Server->FailureDomain);
    return State->evacuations().isEvacuated(Server->FailureDomain) ||
           (Refused != RefusedDomains.end() && Now < Refused->second);
  });
  return Servers;
}

// A caller that gets no response is told the shortest wait for a cold server.
void OutboundProxy::noteWarmupWait(Call &TheCall, Duration Wait) {
  TheCall.WarmupWait = std::min(TheCall.WarmupWait.value_or(Wait), Wait);
  TheCall.LastError = ForwardError::WarmingUp;
}

// Returns the candidates on this host and on connected hosts, or all candidates
// if there are none: requests are not used to probe whether a host is alive.
std::vector<const MeshEndpoint *> OutboundProxy::preferConnected(
    const std::vector<const MeshEndpoint *> &Candidates) const {
  std::vector<const MeshEndpoint *> Connected;
  for (const MeshEndpoint *Endpoint : Candidates)
    if (Endpoint->DaemonAddress == Peers->self() ||
        Peers->isConnected(Endpoint->DaemonAddress))
      Connected.push_back(Endpoint);
  return Connected.empty() ? Candidates : Connected;
}

void OutboundProxy::dispatch(uint64_t Id, bool IsRetry) {
  TimePoint Now = Time->now();
  Call &TheCall = Calls.at(Id);
  const MeshEndpoint *Target = chooseServer(TheCall, Now);
  if (Target == nullptr) {
    if (TheCall.Attempts.empty())
      finishUnserved(Id);
    return;
  }
  if (IsRetry) {
    Counters->countRetry(std::string(nameOf(TheCall.LastError)));
    logInfo("request_repeated", {{"request", TheCall.AttemptId},
                                 {"server", Target->Id},
                                 {"cause", nameOf(TheCall.LastError)},
                                 {"arrivals", TheCall.ServersReached}});
  }
  send(Id, *Target, Now);
}

void OutboundProxy::send(uint64_t Id, const MeshEndpoint &Target,
                         TimePoint Now) {
  Call &TheCall = Calls.at(Id);
  uint64_t Number = NextAttempt++;
  Attempt &NewAttempt = Attempts[Number];
  NewAttempt.CallId = Id;
  NewAttempt.EndpointId = Target.Id;
  NewAttempt.DaemonAddress = Target.DaemonAddress;
  NewAttempt.Sent = Now;
  TheCall.Tried.insert(Target.Id);
  TheCall.Attempts.insert(Number);
  Balancer->requestStarted(Target.Id, Now);
  wire::ForwardRequest Message =
      makeForwardRequest(TheCall, Number, Target, Now);
  if (Target.DaemonAddress == Peers->self()) {
    NewAttempt.LocalHandle = Inbound->submit(
        std::move(Message), [this, Number](wire::ForwardReply Reply) {
          onAttemptEnded(Number, std::move(Reply));
        });
    return;
  }
  NewAttempt.Offered = Message.__isset.bodyBytes;
  Message.__set_sentAtUs(Time->sinceBoot().count());
  Peers->sendMessage(Target.DaemonAddress, FrameType::ForwardRequest, Message);
  if (!ResponsivenessTimer)
    ResponsivenessTimer = Timers->every(ResponsivenessCheckPeriod,
                                        [this] { checkResponsiveness(); });
}

wire::ForwardRequest
OutboundProxy::makeForwardRequest(const Call &TheCall, uint64_t Number,
                                  const MeshEndpoint &Target,
                                  TimePoint Now) const {
  wire::ForwardRequest Message;
  Message.id = static_cast<int64_t>(Number);
  Message.instanceId = Target.Id;
  Message.serviceName = TheCall.Service;
  Message.callerService = Options.CallerService;
  Message.attemptId = TheCall.AttemptId;
  Message.method = TheCall.Request.Method;
  Message.target = TheCall.Request.Target;
  for (const HttpHeader &Header : TheCall.Request.Headers)
    if (!isHopByHop(Header.Name)) {
      wire::Header &WireHeader = Message.headers.emplace_back();
      WireHeader.name = Header.Name;
      WireHeader.value = Header.Value;
    }
  if (Target.DaemonAddress != Peers->self() &&
      isLargeBody(TheCall.Request.Body.size()))
    Message.__set_bodyBytes(static_cast<int64_t>(TheCall.Request.Body.size()));
  else
    Message.body = TheCall.Request.Body;
  Message.remainingUs = (TheCall.ReplyBy - Now).count();
  Message.objectiveUs =
      (TheCall.Received + TheCall.Route->Objective - Now).count();
  Message.idempotent = TheCall.Route->Idempotent;
  Message.priority = TheCall.Route->Priority;
  Message.nested = TheCall.Nested;
  if (TheCall.Owner != nullptr) {
    Message.__set_workspace(TheCall.Owner->Name);
    if (TheCall.Owner->Priority)
      Message.__set_workspacePriority(*TheCall.Owner->Priority);
  }
  Message.route = TheCall.Route->Name;
  setConfigPosition(Message, State->named(TheCall.Table->position()));
  if (AnswersEndAt)
    Message.__set_answerWithinUs((*AnswersEndAt - ReturnMargin - Now).count());
  if (std::optional<double> Limit = Balancer->rateLimit(Target, Now)) {
    Message.__set_knownRateLimit(*Limit);
    Message.knownLimitBorn = Target.StartedAtMs;
  }
  return Message;
}

void OutboundProxy::receiveReply(const Address &From,
                                 std::string_view Payload) {
  Result<wire::ForwardReply, FrameError> Reply =
      decodeMessage<wire::ForwardReply>(Payload);
  if (!Reply || !areHttpHeaders(Reply.value().headers)) {
    logWarning("frame_malformed", {{"peer", From.text()}});
    return;
  }
  State->reportPeerRevision(From, configPositionOf(Reply.value()));
  if (Reply.value().outcome == wire::ForwardOutcome::ANSWERED &&
      !isFinalStatus(Reply.value().status)) {
    logWarning("response_status_invalid",
               {{"peer", From.text()}, {"status", Reply.value().status}});
    Reply.value().outcome = wire::ForwardOutcome::UNKNOWN;
    Reply.value().reason = nameOf(ForwardError::BadResponse);
  }
  onAttemptEnded(static_cast<uint64_t>(Reply.value().id),
                 std::move(Reply.value()));
}

void OutboundProxy::onAttemptEnded(uint64_t Number, wire::ForwardReply Reply) {
  auto Found = Attempts.find(Number);
  if (Found == Attempts.end()) {
    Counters->countLateReply();
    return;
  }
  Attempt Ended = Found->second;
  Attempts.erase(Found);
  Balancer->requestEnded(Ended.EndpointId);
  updateBalancer(Ended, Reply, Time->now());
  if (Reply.leaving)
    markLeaving(Ended.EndpointId);
  Calls.at(Ended.CallId).Attempts.erase(Number);
  retryOrFinish(Ended.CallId, std::move(Reply));
}

// The announcement of the server's daemon may be delayed or lost.
void OutboundProxy::markLeaving(const std::string &EndpointId) {
  const MeshEndpoint *Known = State->directory().find(EndpointId);
  if (Known == nullptr || Known->State > EndpointState::Unreachable)
    return;
  MeshEndpoint Record = *Known;
  Record.State = EndpointState::Draining;
  State->merge(Record);
}

void OutboundProxy::updateBalancer(const Attempt &TheAttempt,
                                   const wire::ForwardReply &Reply,
                                   TimePoint Now) {
  if (std::optional<ServerWarmup> Warmup =
          warmupOf(Reply.coldForUs, Reply.coldRate))
    Balancer->updateWarmup(TheAttempt.EndpointId, *Warmup,
                           Duration(Reply.expectedWaitUs), State->daemons(),
                           Now);
  else if (Reply.limit > 0)
    Balancer->endWarmup(TheAttempt.EndpointId);
  switch (parseForwardError(Reply.reason).value_or(ForwardError::None)) {
  case ForwardError::Evacuated:
    if (const MeshEndpoint *Server =
            State->directory().find(TheAttempt.EndpointId))
      RefusedDomains[Server->FailureDomain] = Now + AvoidAfterRefusal;
    return;
  case ForwardError::NoServer:
  case ForwardError::ConnectFailed:
    Balancer->avoid(TheAttempt.EndpointId, AvoidAfterRefusal, Now);
    return;
  case ForwardError::Leaving:
  case ForwardError::Stopping:
  case ForwardError::BadVersion:
    Balancer->avoid(TheAttempt.EndpointId, AvoidAfterLastingRefusal, Now);
    return;
  case ForwardError::LinkFull:
    Balancer->updateBodyWait(TheAttempt.EndpointId,
                             Duration(Reply.expectedWaitUs), Now);
    break;
  default:
    break;
  }
  Duration Transit =
      Now - TheAttempt.Sent - Duration(Reply.waitedUs + Reply.ranUs);
  if (Reply.limit <= 0)
    return;
  EndpointLoad Load;
  Load.Running = Reply.running;
  Load.Queued = Reply.queued;
  Load.Slots = Reply.limit;
  Load.ServiceTime = Duration(Reply.serviceTimeUs);
  Load.FailureShare = Reply.failurePermille / PermilleScale;
  Load.Transit = std::max(Transit, Duration::zero());
  if (Reply.__isset.rateLimit) {
    Load.RateLimit = Reply.rateLimit;
    Load.RateWait = Duration(Reply.expectedWaitUs);
    const MeshEndpoint *Server = State->directory().find(TheAttempt.EndpointId);
    Load.LimitStartedAtMs = Server == nullptr ? 0 : Server->StartedAtMs;
  }
  Balancer->updateLoad(TheAttempt.EndpointId, Load, Now);
}

bool OutboundProxy::mayRetry(const Call &TheCall, bool ReachedServer,
                             bool Executed, TimePoint Now) {
  if (Now >= TheCall.ReplyBy || (AnswersEndAt && Now >= *AnswersEndAt))
    return false;
  if (!ReachedServer)
    return TheCall.Refusals <= MaxRefusals;
  return TheCall.ServersReached < TheCall.Route->MaxAttempts &&
         Budget.takeRetry(TheCall.Service, Executed, State->daemons(), Now);
}

// Whether an untried server has a share of failures below MaxFailureShare. If
// all servers fail, the cause is probably a dependency of theirs, and a retry
// would only add load.
bool OutboundProxy::hasHealthierServer(const Call &TheCall,
                                       TimePoint Now) const {
  for (const MeshEndpoint *Endpoint : State->directory().ready(TheCall.Service))
    if (TheCall.Tried.count(Endpoint->Id) == 0 &&
        Balancer->failureShare(Endpoint->Id, Now) < MaxFailureShare)
      return true;
  return false;
}

// Answers the caller, retries, or waits for another attempt, after an attempt
// has ended.
void OutboundProxy::retryOrFinish(uint64_t Id, wire::ForwardReply Reply) {
  TimePoint Now = Time->now();
  Call &TheCall = Calls.at(Id);
  TheCall.LastError =
      parseForwardError(Reply.reason).value_or(ForwardError::BadResponse);
  TheCall.ExpectedWait = Duration(Reply.expectedWaitUs);
  if (TheCall.LastError == ForwardError::WarmingUp)
    noteWarmupWait(TheCall, TheCall.ExpectedWait);
  bool ReachedServer = Reply.arrived;
  if (ReachedServer)
    ++TheCall.ServersReached;
  bool Failed = Reply.outcome != wire::ForwardOutcome::ANSWERED ||
                Reply.status >= FirstFailureStatus;
  if (!Failed) {
    Sizes.count(TheCall.Route->Name, Reply.body.size());
    finishWithReply(Id, Reply);
    return;
  }
  bool NotRun = Reply.outcome == wire::ForwardOutcome::NOT_RUN;
  if (!NotRun)
    TheCall.MayHaveRun = true;
  else if (!ReachedServer)
    ++TheCall.Refusals;
  bool Safe = TheCall.Route->Idempotent ||
              (NotRun && !TheCall.MayHaveRun && TheCall.Attempts.empty());
  if (Reply.outcome == wire::ForwardOutcome::ANSWERED)
    TheCall.ErrorReply = std::move(Reply);
  if (!TheCall.Attempts.empty())
    return; // Another attempt may still succeed.
  bool Executed = ReachedServer && !NotRun;
  if (Safe && (!Executed || hasHealthierServer(TheCall, Now)) &&
      mayRetry(TheCall, ReachedServer, Executed, Now)) {
    dispatch(Id, /*IsRetry=*/true);
    return;
  }
  finishUnserved(Id);
}

// Passes on a server's error response, if there is one, unchanged.
void OutboundProxy::finishUnserved(uint64_t Id) {
  Call &TheCall = Calls.at(Id);
  if (TheCall.ErrorReply)
    finishWithReply(Id, wire::ForwardReply(*TheCall.ErrorReply));
  else
    finishWithoutResponse(Id);
}

void OutboundProxy::onTimeout(uint64_t Id) {
  Call &TheCall = Calls.at(Id);
  if (hasAttemptThatMayHaveRun(TheCall))
    TheCall.MayHaveRun = true;
  TheCall.LastError = ForwardError::TimedOut;
  finishUnserved(Id);
}

void OutboundProxy::answerBy(TimePoint EndsAt) {
  AnswersEndAt = EndsAt;
  TimePoint Limit = EndsAt - ReturnMargin;
  std::vector<uint64_t> Numbers;
  for (const auto &[Number, TheAttempt] : Attempts)
    Numbers.push_back(Number);
  // A local request may be refused, and sent elsewhere, in this loop.
  for (uint64_t Number : Numbers) {
    auto Found = Attempts.find(Number);
    if (Found == Attempts.end())
      continue;
    if (Found->second.LocalHandle != 0) {
      Inbound->limitAnswer(Found->second.LocalHandle, Limit);
      continue;
    }
    wire::ForwardLimit Message;
    Message.id = static_cast<int64_t>(Number);
    Message.answerWithinUs = (Limit - Time->now()).count();
    Peers->sendMessage(Found->second.DaemonAddress, FrameType::ForwardLimit,
                       Message);
  }
}

void OutboundProxy::answerAll() {
  AnswersEndAt = Time->now();
  std::vector<uint64_t> Ids;
  for (const auto &[Id, TheCall] : Calls)
    Ids.push_back(Id);
  for (uint64_t Id : Ids) {
    auto Found = Calls.find(Id);
    if (Found == Calls.end())
      continue;
    Call &TheCall = Found->second;
    if (hasAttemptThatMayHaveRun(TheCall))
      TheCall.MayHaveRun = true;
    for (uint64_t Number : TheCall.Attempts)
      Attempts.erase(Number);
    TheCall.Attempts.clear();
    TheCall.LastError = ForwardError::Stopping;
    finishUnserved(Id);
  }
}

void OutboundProxy::onCallerDisconnected(uint64_t Id) {
  auto Found = Calls.find(Id);
  if (Found == Calls.end())
    return;
  logInfo("caller_left", {{"request", Found->second.AttemptId}});
  releaseAllowance(Id, Found->second, /*NotRun=*/false);
  cancelAttempts(Found->second);
  Counters->countCall(Found->second.Route->Name, CallOutcome::Unknown,
                      CallReason::Cancelled);
  Calls.erase(Found);
}

void OutboundProxy::cancelAttempts(Call &TheCall) {
  for (uint64_t Number : TheCall.Attempts) {
    auto Found = Attempts.find(Number);
    if (Found == Attempts.end())
      continue;
    Attempt Cancelled = Found->second;
    Attempts.erase(Found);
    Balancer->requestEnded(Cancelled.EndpointId);
    if (Cancelled.LocalHandle != 0) {
      Inbound->cancel(Cancelled.LocalHandle);
      continue;
    }
    wire::ForwardCancel Message;
    Message.id = static_cast<int64_t>(Number);
    Peers->sendMessage(Cancelled.DaemonAddress, FrameType::ForwardCancel,
                       Message);
  }
  TheCall.Attempts.clear();
}

void OutboundProxy::finishWithReply(uint64_t Id,
                                    const wire::ForwardReply &Reply) {
  HttpResponse Response{Reply.status, {}, Reply.body};
  for (const wire::Header &Header : Reply.headers)
    Response.Headers.push_back({Header.name, Header.value});
  finish(Id, std::move(Response), "answered");
}

Duration OutboundProxy::retryDelay(const Call &TheCall, TimePoint Now) {
  Duration Delay = std::clamp(TheCall.WarmupWait.value_or(TheCall.ExpectedWait),
                              MinRetryDelay, MaxRetryDelay);
  Delay = Rng->jittered(Delay + Delay / 2, RetryJitter);
  Duration MaxDelay = (TheCall.ReplyBy - Now) / RetryTimeDivisor;
  return std::max(std::min(Delay, MaxDelay), Duration::zero());
}

void OutboundProxy::finishWithoutResponse(uint64_t Id) {
  Call &TheCall = Calls.at(Id);
  TimePoint Now = Time->now();
  if (!TheCall.MayHaveRun) {
    HttpResponse Refusal = plainResponse(503, nameOf(TheCall.LastError));
    Refusal.Headers.push_back(Codec.retryAfter(retryDelay(TheCall, Now)));
    finish(Id, std::move(Refusal), nameOf(TheCall.LastError));
    return;
  }
  int Status = Now >= TheCall.ReplyBy ? 504 : 502;
  finish(Id, plainResponse(Status, nameOf(TheCall.LastError)),
         nameOf(TheCall.LastError));
}

void OutboundProxy::finish(uint64_t Id, HttpResponse Response,
                           std::string_view Outcome) {
  auto Found = Calls.find(Id);
  Call TheCall = std::move(Found->second);
  Calls.erase(Found);
  cancelAttempts(TheCall);
  TimePoint Now = Time->now();
  CallOutcome FinalOutcome = CallOutcome::Answered;
  if (Outcome != "answered")
    FinalOutcome =
        TheCall.MayHaveRun ? CallOutcome::Unknown : CallOutcome::Refused;
  releaseAllowance(Id, TheCall, FinalOutcome == CallOutcome::Refused);
  std::string Route = TheCall.Route == nullptr ? "" : TheCall.Route->Name;
  LogFields Fields = {
      {"request", TheCall.AttemptId},
      {"route", Route},
      {"workspace", TheCall.Owner == nullptr ? "" : TheCall.Owner->Name},
      {"service", TheCall.Service},
      {"status", Response.Status},
      {"outcome", Outcome},
      {"took_us", (Now - TheCall.Received).count()},
      {"arrivals", TheCall.ServersReached},
      {"refusals", TheCall.Refusals},
      {"config", TheCall.Table ? TheCall.Table->revision() : 0}};
  if (FinalOutcome == CallOutcome::Answered &&
      Response.Status < FirstFailureStatus)
    logEvent(LogLevel::Debug, "request_answered", Fields);
  else
    logInfo("request_failed", Fields);
  bool SharesLinks = TheCall.Route != nullptr && !TheCall.Route->Uploads &&
                     TheCall.Table->takesUploads(TheCall.Service);
  if (SharesLinks)
    Inbound->nestedCallEnded(FinalOutcome == CallOutcome::Answered &&
                             Response.Status < FirstFailureStatus);
  Counters->countCall(Route, FinalOutcome, CallReason::None);
  Counters->observeRequest(FinalOutcome, Now - TheCall.Received);
  TheCall.Caller->reply(Response);
}

} // namespace cyclamenwind
