#include "cyclamenwind/mesh/outbound_proxy.h"

#include "cyclamenwind/base/log.h"

#include <algorithm>

namespace cyclamenwind {
namespace {

// The final answer leaves this much before the caller's deadline or the route's
// timeout, so that it arrives in time.
constexpr Duration AnswerMargin = 15ms;
// Gate refusals after which a request is refused as a whole.
constexpr int MaxRefusals = 3;
// How often attempts are checked for silent gates.
constexpr Duration SilencePeriod = 100ms;
// How long a server is avoided that its gate does not know or reach now, and
// one whose refusal will last, such as by a daemon that stops (within 6 s).
constexpr Duration AvoidRefusing = 400ms;
constexpr Duration AvoidStopping = 4s;
// Bounds and default of Retry-After.
constexpr Duration MinRetryDelay = 60ms;
constexpr Duration MaxRetryDelay = 1s;
constexpr Duration StartingRetryDelay = 300ms;
// Callers honour a delay of up to this part of the time they have left.
constexpr int RetryTimeDivisor = 3;
constexpr double RetrySpread = 0.5;
// A server that fails more often than this is no better choice for a repeat.
constexpr double MaxFailureShare = 0.15;
constexpr int FirstFailureStatus = 500;
constexpr double Thousand = 1000;

HttpResponse plainResponse(int Status, std::string_view Text) {
  return {Status, {}, std::string(Text) + "\n"};
}

std::string_view pathOf(const HttpRequest &Request) { return Request.path(); }

} // namespace

OutboundProxy::OutboundProxy(const OutboundProxyOptions &Options,
                             const HeaderCodec &Format)
    : Options(Options), Format(Format), Allowance(Options.Retries) {}

void OutboundProxy::start(Kernel &TheKernel) {
  Time = &TheKernel.clock();
  Timers = &TheKernel.scheduler();
  Rng = &TheKernel.random();
  Peers = &TheKernel.find<PeerTransport>("peers");
  LocalGate = &TheKernel.find<InboundProxy>("gate");
  State = &TheKernel.find<MeshState>("mesh_state");
  Counters = &TheKernel.find<Metrics>("metrics");
  Chooser = std::make_unique<MeshBalancer>(Options.FailureDomain, *Rng);
  NextAttempt = Rng->next() >> 2;
  Peers->handle(FrameType::ForwardReply,
                [this](const Address &From, std::string_view Payload) {
                  receiveReply(From, Payload);
                });
  Peers->onPeerDisconnect([this](const Address &Peer, PeerDisconnect End) {
    peerDisconnected(Peer, End);
  });
  State->onEndpoint([this](const MeshEndpoint &Each) {
    if (Each.State == EndpointState::Ready)
      Chooser->regained(Each.Id);
    else if (Each.State == EndpointState::Gone)
      Chooser->forget(Each.Id);
  });
}

void OutboundProxy::stop() {
  SilenceTimer.reset();
  Calls.clear();
  Attempts.clear();
}

void OutboundProxy::accept(const ExchangePtr &Received) {
  TimePoint Now = Time->now();
  uint64_t Id = NextCall++;
  Call &Added = Calls[Id];
  Added.Caller = Received;
  Added.Received = Now;
  // The backend server beside this daemon has the daemon's address; callers
  // have others.
  Added.Nested = Received->peerHost() == Peers->self().Host;
  Added.Request = Received->takeRequest();
  Added.Table = State->routes();
  CallerMetadata Terms = Format.extractCallerMetadata(Added.Request.Headers);
  Added.AttemptId = Terms.AttemptId;
  if (!Added.Table) {
    HttpResponse Refusal = plainResponse(503, "no configuration is known yet");
    Refusal.Headers.push_back(Format.retryAfter(StartingRetryDelay));
    finish(Id, std::move(Refusal), "no_config");
    return;
  }
  const std::string *Host = findHeader(Added.Request.Headers, "Host");
  Added.Route =
      Added.Table->match(Host == nullptr ? "" : *Host, pathOf(Added.Request));
  if (Added.Route == nullptr) {
    finish(Id, plainResponse(404, "no route matches"), "no_route");
    return;
  }
  if (Added.AttemptId.empty()) {
    finish(Id, plainResponse(400, "the request has no attempt id"),
           "no_attempt_id");
    return;
  }
  Duration Allowed = Added.Route->Timeout;
  if (Terms.Remaining)
    Allowed = std::min(Allowed, *Terms.Remaining);
  Added.FinalBy = Now + Allowed - AnswerMargin;
  Received->onPeerGone([this, Id] { callerLeft(Id); });
  Added.Timeout = Timers->after(std::max(Added.FinalBy - Now, Duration(0)),
                                [this, Id] { timedOut(Id); });
  dispatch(Id, /*Repeat=*/false);
}

// The service is drawn once for a request: a part of a split that is short of
// room does not pass its requests to the others.
const MeshEndpoint *OutboundProxy::chooseServer(Call &Chosen, TimePoint Now) {
  if (Chosen.Service.empty()) {
    double Total = 0;
    for (const WeightedService &Each : Chosen.Route->Targets)
      Total += Each.Weight;
    double Drawn = Rng->fraction() * Total;
    for (const WeightedService &Each : Chosen.Route->Targets) {
      Chosen.Service = Each.Service;
      Drawn -= Each.Weight;
      if (Drawn < 0)
        break;
    }
    Allowance.countFirst(Chosen.Service, Now);
  }
  std::vector<const MeshEndpoint *> Eligible = State->rollouts().eligible(
      Chosen.Service, State->directory().usable(Chosen.Service), *Rng);
  return Chooser->choose(reachable(Eligible), Chosen.Tried,
                         Chosen.Route->Objective, Now);
}

// Those of Candidates to whose gate a stream stands, or all if there are none:
// requests are not used to find out whether a host lives.
std::vector<const MeshEndpoint *> OutboundProxy::reachable(
    const std::vector<const MeshEndpoint *> &Candidates) const {
  std::vector<const MeshEndpoint *> Linked;
  for (const MeshEndpoint *Each : Candidates)
    if (Each->DaemonAddress == Peers->self() ||
        Peers->isConnected(Each->DaemonAddress))
      Linked.push_back(Each);
  return Linked.empty() ? Candidates : Linked;
}

void OutboundProxy::dispatch(uint64_t Id, bool Repeat) {
  TimePoint Now = Time->now();
  Call &Present = Calls.at(Id);
  const MeshEndpoint *Target = chooseServer(Present, Now);
  if (Target == nullptr) {
    if (Present.Attempts.empty())
      endUnserved(Id);
    return;
  }
  if (Repeat) {
    Counters->countRepeat(std::string(nameOf(Present.LastReason)));
    logInfo("request_repeated", {{"request", Present.AttemptId},
                                 {"server", Target->Id},
                                 {"cause", nameOf(Present.LastReason)},
                                 {"arrivals", Present.Arrivals}});
  }
  send(Id, *Target, Now);
}

void OutboundProxy::send(uint64_t Id, const MeshEndpoint &Target,
                         TimePoint Now) {
  Call &Present = Calls.at(Id);
  uint64_t Number = NextAttempt++;
  Attempt &Added = Attempts[Number];
  Added.CallId = Id;
  Added.EndpointId = Target.Id;
  Added.DaemonAddress = Target.DaemonAddress;
  Added.Sent = Now;
  Present.Tried.insert(Target.Id);
  Present.Attempts.insert(Number);
  Chooser->began(Target.Id);
  wire::ForwardRequest Message = messageFor(Present, Number, Target, Now);
  if (Target.DaemonAddress == Peers->self()) {
    Added.LocalTicket = LocalGate->submit(
        std::move(Message), [this, Number](wire::ForwardReply Reply) {
          attemptEnded(Number, std::move(Reply));
        });
    return;
  }
  Peers->sendMessage(Target.DaemonAddress, FrameType::ForwardRequest, Message);
  if (!SilenceTimer)
    SilenceTimer = Timers->every(SilencePeriod, [this] { checkSilence(); });
}

wire::ForwardRequest OutboundProxy::messageFor(const Call &Sent,
                                               uint64_t AttemptNumber,
                                               const MeshEndpoint &Target,
                                               TimePoint Now) const {
  wire::ForwardRequest Message;
  Message.id = static_cast<int64_t>(AttemptNumber);
  Message.instanceId = Target.Id;
  Message.serviceName = Sent.Service;
  Message.callerService = Options.CallerService;
  Message.attemptId = Sent.AttemptId;
  Message.method = Sent.Request.Method;
  Message.target = Sent.Request.Target;
  for (const HttpHeader &Each : Sent.Request.Headers)
    if (!isHopByHop(Each.Name)) {
      wire::Header &Added = Message.headers.emplace_back();
      Added.name = Each.Name;
      Added.value = Each.Value;
    }
  Message.body = Sent.Request.Body;
  Message.remainingUs = (Sent.FinalBy - Now).count();
  Message.objectiveUs = (Sent.Received + Sent.Route->Objective - Now).count();
  Message.idempotent = Sent.Route->Idempotent;
  Message.priority = Sent.Route->Priority;
  Message.nested = Sent.Nested;
  Message.route = Sent.Route->Name;
  Message.configRevision = static_cast<int64_t>(Sent.Table->revision());
  return Message;
}

void OutboundProxy::receiveReply(const Address &From,
                                 std::string_view Payload) {
  Result<wire::ForwardReply, FrameError> Reply =
      decodeMessage<wire::ForwardReply>(Payload);
  if (!Reply) {
    logWarning("frame_malformed", {{"peer", From.text()}});
    return;
  }
  State->reportPeerRevision(
      From, static_cast<uint64_t>(Reply.value().configRevision));
  attemptEnded(static_cast<uint64_t>(Reply.value().id),
               std::move(Reply.value()));
}

void OutboundProxy::attemptEnded(uint64_t Number, wire::ForwardReply Reply) {
  auto Found = Attempts.find(Number);
  if (Found == Attempts.end()) {
    Counters->countLateReply();
    return;
  }
  Attempt Ended = Found->second;
  Attempts.erase(Found);
  Chooser->ended(Ended.EndpointId);
  learn(Ended, Reply, Time->now());
  Calls.at(Ended.CallId).Attempts.erase(Number);
  continueAfter(Ended.CallId, std::move(Reply));
}

void OutboundProxy::learn(const Attempt &Ended, const wire::ForwardReply &Reply,
                          TimePoint Now) {
  switch (parseForwardError(Reply.reason).value_or(ForwardError::None)) {
  case ForwardError::NoServer:
  case ForwardError::ConnectFailed:
    Chooser->avoid(Ended.EndpointId, AvoidRefusing, Now);
    return;
  case ForwardError::Leaving:
  case ForwardError::Stopping:
  case ForwardError::BadVersion:
    Chooser->avoid(Ended.EndpointId, AvoidStopping, Now);
    return;
  default:
    break;
  }
  if (Reply.limit > 0)
    Chooser->reported(Ended.EndpointId,
                      {Reply.running, Reply.queued, Reply.limit,
                       Duration(Reply.serviceTimeUs),
                       Reply.failurePermille / Thousand},
                      Now);
}

bool OutboundProxy::mayRepeat(const Call &Failed, bool Arrived, bool Ran,
                              TimePoint Now) {
  if (Now >= Failed.FinalBy)
    return false;
  if (!Arrived)
    return Failed.Refusals <= MaxRefusals;
  return Failed.Arrivals < Failed.Route->MaxAttempts &&
         Allowance.takeRepeat(Failed.Service, Ran, State->daemons(), Now);
}

// Whether a server that was not tried fails seldom. If all fail, the cause is
// likely to be behind them, and a repeat would only add load.
bool OutboundProxy::betterServerLeft(const Call &Failed, TimePoint Now) const {
  for (const MeshEndpoint *Each : State->directory().ready(Failed.Service))
    if (Failed.Tried.count(Each->Id) == 0 &&
        Chooser->failureShare(Each->Id, Now) < MaxFailureShare)
      return true;
  return false;
}

// Decides what follows the end of an attempt.
void OutboundProxy::continueAfter(uint64_t Id, wire::ForwardReply Reply) {
  TimePoint Now = Time->now();
  Call &Present = Calls.at(Id);
  Present.LastReason =
      parseForwardError(Reply.reason).value_or(ForwardError::BadAnswer);
  Present.ExpectedWait = Duration(Reply.expectedWaitUs);
  bool Arrived = Reply.arrived;
  if (Arrived)
    ++Present.Arrivals;
  bool Failed = Reply.outcome != wire::ForwardOutcome::ANSWERED ||
                Reply.status >= FirstFailureStatus;
  if (!Failed) {
    answer(Id, Reply);
    return;
  }
  bool NotRun = Reply.outcome == wire::ForwardOutcome::NOT_RUN;
  if (!NotRun)
    Present.MayHaveRun = true;
  else if (!Arrived)
    ++Present.Refusals;
  bool Safe = Present.Route->Idempotent ||
              (NotRun && !Present.MayHaveRun && Present.Attempts.empty());
  if (Reply.outcome == wire::ForwardOutcome::ANSWERED)
    Present.Failure = std::move(Reply);
  if (!Present.Attempts.empty())
    return; // Another attempt may still bring an answer.
  bool Ran = Arrived && !NotRun;
  if (Safe && (!Ran || betterServerLeft(Present, Now)) &&
      mayRepeat(Present, Arrived, Ran, Now)) {
    dispatch(Id, /*Repeat=*/true);
    return;
  }
  endUnserved(Id);
}

// A server's own failure is passed on as it is if nothing better came.
void OutboundProxy::endUnserved(uint64_t Id) {
  Call &Present = Calls.at(Id);
  if (Present.Failure)
    answer(Id, wire::ForwardReply(*Present.Failure));
  else
    endWithoutAnswer(Id);
}

void OutboundProxy::timedOut(uint64_t Id) {
  Call &Present = Calls.at(Id);
  if (!Present.Attempts.empty())
    Present.MayHaveRun = true;
  Present.LastReason = ForwardError::TimedOut;
  endUnserved(Id);
}

void OutboundProxy::callerLeft(uint64_t Id) {
  auto Found = Calls.find(Id);
  if (Found == Calls.end())
    return;
  logInfo("caller_left", {{"request", Found->second.AttemptId}});
  cancelAttempts(Found->second);
  Counters->countCall(Found->second.Route->Name, CallOutcome::Unknown,
                      CallReason::Cancelled);
  Calls.erase(Found);
}

void OutboundProxy::cancelAttempts(Call &Ended) {
  for (uint64_t Number : Ended.Attempts) {
    auto Found = Attempts.find(Number);
    if (Found == Attempts.end())
      continue;
    Attempt Cancelled = Found->second;
    Attempts.erase(Found);
    Chooser->ended(Cancelled.EndpointId);
    if (Cancelled.LocalTicket != 0) {
      LocalGate->cancel(Cancelled.LocalTicket);
      continue;
    }
    wire::ForwardCancel Message;
    Message.id = static_cast<int64_t>(Number);
    Peers->sendMessage(Cancelled.DaemonAddress, FrameType::ForwardCancel,
                       Message);
  }
  Ended.Attempts.clear();
}

void OutboundProxy::answer(uint64_t Id, const wire::ForwardReply &Reply) {
  HttpResponse Response{Reply.status, {}, Reply.body};
  for (const wire::Header &Each : Reply.headers)
    Response.Headers.push_back({Each.name, Each.value});
  finish(Id, std::move(Response), "answered");
}

Duration OutboundProxy::retryDelay(const Call &Refused, TimePoint Now) {
  Duration Delay =
      std::clamp(Refused.ExpectedWait, MinRetryDelay, MaxRetryDelay);
  Delay = Rng->jittered(Delay + Delay / 2, RetrySpread);
  Duration Left = (Refused.FinalBy - Now) / RetryTimeDivisor;
  return std::max(std::min(Delay, Left), Duration::zero());
}

void OutboundProxy::endWithoutAnswer(uint64_t Id) {
  Call &Present = Calls.at(Id);
  TimePoint Now = Time->now();
  if (!Present.MayHaveRun) {
    HttpResponse Refusal = plainResponse(503, nameOf(Present.LastReason));
    Refusal.Headers.push_back(Format.retryAfter(retryDelay(Present, Now)));
    finish(Id, std::move(Refusal), nameOf(Present.LastReason));
    return;
  }
  int Status = Now >= Present.FinalBy ? 504 : 502;
  finish(Id, plainResponse(Status, nameOf(Present.LastReason)),
         nameOf(Present.LastReason));
}

void OutboundProxy::finish(uint64_t Id, HttpResponse Response,
                           std::string_view Outcome) {
  auto Found = Calls.find(Id);
  Call Ended = std::move(Found->second);
  Calls.erase(Found);
  cancelAttempts(Ended);
  TimePoint Now = Time->now();
  CallOutcome End = CallOutcome::Answered;
  if (Outcome != "answered")
    End = Ended.MayHaveRun ? CallOutcome::Unknown : CallOutcome::Refused;
  std::string Route = Ended.Route == nullptr ? "" : Ended.Route->Name;
  LogFields Fields = {{"request", Ended.AttemptId},
                      {"route", Route},
                      {"service", Ended.Service},
                      {"status", Response.Status},
                      {"outcome", Outcome},
                      {"took_us", (Now - Ended.Received).count()},
                      {"arrivals", Ended.Arrivals},
                      {"refusals", Ended.Refusals},
                      {"config", Ended.Table ? Ended.Table->revision() : 0}};
  if (End == CallOutcome::Answered && Response.Status < FirstFailureStatus)
    logEvent(LogLevel::Debug, "request_answered", Fields);
  else
    logInfo("request_failed", Fields);
  Counters->countCall(Route, End, CallReason::None);
  Counters->observeRequest(End, Now - Ended.Received);
  Ended.Caller->reply(Response);
}

} // namespace cyclamenwind
