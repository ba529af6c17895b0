#include "cyclamenwind/traffic/outbound_calls.h"

#include "cyclamenwind/base/log.h"
#include "cyclamenwind/wire/http_text.h"

#include <charconv>

#include <xxhash.h>

namespace cyclamenwind {
namespace {

// An attempt id is the id of the call times AttemptIdsPerCall plus the number
// of the attempt.
constexpr uint64_t AttemptIdsPerCall = 8;
static_assert(RetryPolicy::MaxAttempts < static_cast<int>(AttemptIdsPerCall));
// Leaves room for the factor AttemptIdsPerCall and for the calls of one
// process.
constexpr uint64_t MaxFirstId = uint64_t(1) << 58;
// Time that a call waits past its deadline for a reply that says whether the
// request was run.
constexpr Duration ReplyGrace = 50ms;

int64_t attemptId(uint64_t Id, int Attempt) {
  return static_cast<int64_t>(Id * AttemptIdsPerCall +
                              static_cast<uint64_t>(Attempt));
}

CallOutcome outcomeOf(wire::CallEnd::type Outcome) {
  switch (Outcome) {
  case wire::CallEnd::ANSWERED:
    return CallOutcome::Answered;
  case wire::CallEnd::REFUSED_NOT_RUN:
    return CallOutcome::Refused;
  default:
    return CallOutcome::Unknown;
  }
}

wire::CallReply failureReply(CallOutcome Outcome, CallReason Reason) {
  wire::CallReply Reply;
  Reply.ending = Outcome == CallOutcome::Refused
                     ? wire::CallEnd::REFUSED_NOT_RUN
                     : wire::CallEnd::UNKNOWN;
  Reply.reason = nameOf(Reason);
  return Reply;
}

// Returns the route's deadline, or the caller's if that is shorter. Returns
// nothing if the caller's is malformed.
std::optional<Duration> deadlineOf(const RouteSpec &Route,
                                   const HttpHeaders &Headers) {
  const std::string *CallerDeadline = findHeader(Headers, DeadlineHeader);
  if (CallerDeadline == nullptr)
    return Route.Deadline;
  int64_t Millis = 0;
  const char *TextEnd = CallerDeadline->data() + CallerDeadline->size();
  auto [Rest, Error] = std::from_chars(CallerDeadline->data(), TextEnd, Millis);
  if (Error != std::errc() || Rest != TextEnd || Millis <= 0 ||
      Millis > milliseconds(Duration::max()))
    return std::nullopt;
  if (Millis >= milliseconds(Route.Deadline))
    return Route.Deadline;
  return std::chrono::milliseconds(Millis);
}

// Headers for the backend server: without hop-by-hop headers, and without the
// deadline, which the daemon of the server writes again.
std::vector<wire::Header> forwardedHeaders(HttpHeaders Headers) {
  std::vector<wire::Header> List;
  for (HttpHeader &Received : Headers) {
    if (isHopByHop(Received.Name) ||
        findHeader({Received}, DeadlineHeader) != nullptr)
      continue;
    wire::Header Header;
    Header.name = std::move(Received.Name);
    Header.value = std::move(Received.Value);
    List.push_back(std::move(Header));
  }
  return List;
}

HttpResponse failureResponse(CallOutcome Outcome, CallReason Reason) {
  HttpResponse Response;
  Response.Status = httpStatusFor(Outcome, Reason);
  Response.Headers = {{OutcomeHeader, std::string(nameOf(Outcome))},
                      {ReasonHeader, std::string(nameOf(Reason))},
                      {"Content-Type", "text/plain"}};
  Response.Body =
      std::string(nameOf(Outcome)) + ": " + std::string(nameOf(Reason)) + "\n";
  return Response;
}

} // namespace

OutboundCalls::OutboundCalls(const Settings &TheSettings)
    : Self(TheSettings.Addresses.Peers), MemberId(TheSettings.Member.Id),
      FailureDomain(TheSettings.Member.FailureDomain) {}

void OutboundCalls::start(Kernel &TheKernel) {
  Time = &TheKernel.clock();
  Timers = &TheKernel.scheduler();
  Config = &TheKernel.find<ConfigStore>("config");
  Members = &TheKernel.find<MembershipView>("membership");
  Peers = &TheKernel.find<PeerTransport>("peers");
  Inbound = &TheKernel.find<InboundCalls>("server_side");
  Versions = &TheKernel.find<VersionChooser>("versions");
  CallMetrics = &TheKernel.find<Metrics>("metrics");
  Rng = &TheKernel.random();
  NextId = 1 + Rng->below(MaxFirstId);
  IdempotencyClaims =
      std::make_unique<Claims>(TheKernel.find<PlatformClient>("platform"));
  EndpointBalancer =
      std::make_unique<Balancer>(Self.text(), FailureDomain, *Rng);
  Peers->handle(FrameType::CallReply,
                [this](const Address &From, std::string_view Payload) {
                  receiveReply(From, Payload);
                });
  Peers->onPeerDisconnect([this](const Address &Peer, PeerDisconnect Cause) {
    peerDisconnected(Peer, Cause);
  });
}

void OutboundCalls::accept(ExchangePtr Received) {
  const HttpRequest &Request = Received->request();
  SnapshotPtr Current = Config->current();
  if (ShuttingDown || !Current) {
    refuseImmediately(Received, ShuttingDown ? CallReason::ShuttingDown
                                             : CallReason::NotReady);
    return;
  }
  const RouteSpec *Route = Current->route(Request.Method, Request.path());
  if (Route == nullptr) {
    refuseImmediately(Received, CallReason::NoRoute);
    return;
  }
  std::optional<Duration> Deadline = deadlineOf(*Route, Request.Headers);
  if (!Deadline) {
    refuseImmediately(Received, CallReason::BadRequest);
    return;
  }
  uint64_t Id = NextId++;
  Call &Added = Calls[Id];
  Added.Caller = Received;
  Added.Config = Current;
  Added.Route = Route;
  Added.TargetService = Current->service(Route->Service);
  Added.Deadline = Time->now() + *Deadline;
  const std::string *CallerKey = findHeader(Request.Headers, CallerKeyHeader);
  Added.CallerHash = CallerKey == nullptr
                         ? Rng->next()
                         : XXH3_64bits(CallerKey->data(), CallerKey->size());
  if (const std::string *IdempotencyKey =
          findHeader(Request.Headers, IdempotencyKeyHeader))
    Added.Request.idempotencyKey = *IdempotencyKey;
  HttpRequest OwnedRequest = Received->takeRequest();
  Added.Request.serviceName = Route->Service;
  Added.Request.route = Route->Name;
  Added.Request.method = std::move(OwnedRequest.Method);
  Added.Request.target = std::move(OwnedRequest.Target);
  Added.Request.headers = forwardedHeaders(std::move(OwnedRequest.Headers));
  Added.Request.body = std::move(OwnedRequest.Body);
  Added.Request.repeatable = Route->Idempotent;
  Added.Request.priority = static_cast<int32_t>(Route->Urgency);
  Added.Timeout = Timers->after(*Deadline + ReplyGrace,
                                [this, Id] { deadlineExpired(Id); });
  Received->onPeerGone([this, Id] { callerDisconnected(Id); });
  bool NeedsClaim = Route->Resubmission == ResubmissionRule::Claim &&
                    !Added.Request.idempotencyKey.empty();
  if (NeedsClaim)
    acquireClaim(Id);
  else
    startFirstAttempt(Id);
}

void OutboundCalls::startFirstAttempt(uint64_t Id) {
  Retries.recordFirstAttempt();
  startAttempt(Id);
}

// Acquires the claim on the idempotency key before the request is sent.
void OutboundCalls::acquireClaim(uint64_t Id) {
  Claim Wanted = Claims::claimFor(Calls.at(Id).Request, MemberId,
                                  static_cast<int64_t>(Rng->next()));
  IdempotencyClaims->acquire(Wanted, [this, Id](const ClaimOutcome &Outcome) {
    claimCompleted(Id, Outcome);
  });
}

void OutboundCalls::claimCompleted(uint64_t Id, const ClaimOutcome &Outcome) {
  auto Found = Calls.find(Id);
  if (Found == Calls.end()) {
    // The call ended before the claim was granted, and was not run.
    if (Outcome.Status == ClaimStatus::Granted)
      IdempotencyClaims->release(Outcome.Held, [] {});
    return;
  }
  switch (Outcome.Status) {
  case ClaimStatus::Granted:
    Found->second.HeldClaim = Outcome.Held;
    startFirstAttempt(Id);
    break;
  case ClaimStatus::Taken:
    if (Outcome.Answer)
      sendAnswer(Id, *Outcome.Answer, /*Replayed=*/true);
    else
      sendFailure(Id, CallOutcome::Unknown, CallReason::AlreadyClaimed);
    break;
  case ClaimStatus::Mismatch:
    sendFailure(Id, CallOutcome::Refused, CallReason::KeyMismatch);
    break;
  case ClaimStatus::Unavailable:
    sendFailure(Id, CallOutcome::Refused, CallReason::NoClaim);
    break;
  }
}

void OutboundCalls::refuseImmediately(const ExchangePtr &Received,
                                      CallReason Reason) {
  CallMetrics->countCall("", CallOutcome::Refused, Reason);
  HttpResponse Response = failureResponse(CallOutcome::Refused, Reason);
  if (Reason == CallReason::ShuttingDown)
    Response.Headers.push_back({"Connection", "close"});
  Received->reply(Response);
}

void OutboundCalls::startAttempt(uint64_t Id) {
  Call &Current = Calls.at(Id);
  TimePoint Now = Time->now();
  Current.Version = Versions->versionFor(
      *Current.TargetService, *Current.Route, Current.CallerHash,
      /*PreferOld=*/Current.Attempts > 0, Now);
  const Endpoint *Target =
      EndpointBalancer->choose(Members->endpoints(Current.TargetService->Name),
                               Current.Version, Current.Tried, Now);
  if (Target == nullptr) {
    CallOutcome Outcome = Current.UnknownAttempts > 0 ? CallOutcome::Unknown
                                                      : CallOutcome::Refused;
    sendFailure(Id, Outcome, Current.LastReason);
    return;
  }
  ++Current.Attempts;
  Current.Delivered = false;
  Current.Request.id = attemptId(Id, Current.Attempts);
  Current.Tried.insert(Target->MemberId);
  Current.MemberId = Target->MemberId;
  Current.Peer = Target->Peer;
  Current.AttemptStarted = Now;
  Current.Request.serverVersion = Current.Version;
  Current.Request.remainingUs = (Current.Deadline - Now).count();
  EndpointBalancer->recordStart(Current.MemberId);
  sendAttempt(Id);
}

void OutboundCalls::sendAttempt(uint64_t Id) {
  Call &Current = Calls.at(Id);
  if (Current.Peer != Self) {
    Peers->sendMessage(Current.Peer, FrameType::CallRequest, Current.Request);
    return;
  }
  int Attempt = Current.Attempts;
  Current.InboundCallNumber = Inbound->submit(
      Current.Request, [this, Id, Attempt](wire::CallReply Reply) {
        auto Found = Calls.find(Id);
        if (Found != Calls.end() && Found->second.Attempts == Attempt)
          attemptFinished(Id, Reply);
      });
}

void OutboundCalls::receiveReply(const Address &From,
                                 std::string_view Payload) {
  Result<wire::CallReply, FrameError> Reply =
      decodeMessage<wire::CallReply>(Payload);
  if (!Reply || !areHttpHeaders(Reply.value().headers)) {
    logWarning("frame_malformed", {{"peer", From.text()}});
    return;
  }
  uint64_t Id = static_cast<uint64_t>(Reply.value().id) / AttemptIdsPerCall;
  auto Found = Calls.find(Id);
  if (Found == Calls.end() || Found->second.Peer != From ||
      attemptId(Id, Found->second.Attempts) != Reply.value().id) {
    CallMetrics->countLateReply();
    return;
  }
  attemptFinished(Id, Reply.value());
}

void OutboundCalls::peerDisconnected(const Address &Peer,
                                     PeerDisconnect Cause) {
  std::vector<uint64_t> Affected;
  for (auto &[Id, Candidate] : Calls) {
    if (Candidate.Peer != Peer)
      continue;
    Candidate.Delivered =
        Candidate.Delivered || Cause == PeerDisconnect::Retired;
    Affected.push_back(Id);
  }
  if (Cause == PeerDisconnect::Retired)
    return;
  for (uint64_t Id : Affected) {
    auto Found = Calls.find(Id);
    if (Found == Calls.end() || Found->second.Peer != Peer)
      continue;
    bool NotRun =
        Cause == PeerDisconnect::NeverConnected && !Found->second.Delivered;
    attemptFinished(
        Id, NotRun ? failureReply(CallOutcome::Refused, CallReason::DaemonDown)
                   : failureReply(CallOutcome::Unknown,
                                  CallReason::ConnectionLost));
  }
}

void OutboundCalls::attemptFinished(uint64_t Id, const wire::CallReply &Reply) {
  Call &Current = Calls.at(Id);
  EndpointBalancer->recordEnd(Current.MemberId);
  EndpointBalancer->recordLoad(Current.MemberId, {Reply.inFlight, Reply.queued},
                               Time->now());
  recordAttempt(Current, Reply);
  CallOutcome Outcome = outcomeOf(Reply.ending);
  if (Outcome == CallOutcome::Answered) {
    if (Current.HeldClaim)
      IdempotencyClaims->storeAnswer(*Current.HeldClaim, Reply);
    sendAnswer(Id, Reply, /*Replayed=*/false);
    return;
  }
  Current.Peer = {};
  Current.LastReason = parseCallReason(Reply.reason);
  if (Outcome == CallOutcome::Unknown)
    ++Current.UnknownAttempts;
  RetryDecision Decision = decideRetry(Current, Outcome);
  if (Decision == RetryDecision::Retry) {
    startAttempt(Id);
    return;
  }
  CallOutcome CallerOutcome =
      Current.UnknownAttempts > 0 ? CallOutcome::Unknown : CallOutcome::Refused;
  sendFailure(Id, CallerOutcome, Current.LastReason, Decision);
}

void OutboundCalls::recordAttempt(const Call &Ended,
                                  const wire::CallReply &Reply) {
  TimePoint Now = Time->now();
  AttemptOutcome Observation;
  Observation.Service = Ended.TargetService->Name;
  Observation.Version = Ended.Version;
  Observation.Route = Ended.Route->Name;
  Observation.MemberId = Ended.MemberId;
  Observation.End = outcomeOf(Reply.ending);
  Observation.Reason = parseCallReason(Reply.reason);
  Observation.Status = Reply.status;
  Observation.Latency = Now - Ended.AttemptStarted;
  Versions->observe(Observation, Now);
  EndpointBalancer->recordOutcome(
      {Observation.Service, Observation.Version, Observation.MemberId},
      Observation.End, Observation.Reason, Observation.Status,
      Observation.Latency, Now);
}

RetryDecision OutboundCalls::decideRetry(const Call &Candidate,
                                         CallOutcome Outcome) {
  RetryState State = {Candidate.Attempts, Candidate.UnknownAttempts,
                      Candidate.Route->Idempotent, Candidate.Deadline};
  return Retries.decide(State, Outcome, Time->now());
}

void OutboundCalls::deadlineExpired(uint64_t Id) {
  Call &Current = Calls.at(Id);
  if (Current.Attempts == 0) {
    sendFailure(Id, CallOutcome::Refused, CallReason::NoClaim);
    return;
  }
  recordAttempt(Current,
                failureReply(CallOutcome::Unknown, CallReason::DeadlinePassed));
  cancelAttempt(Id, Current);
  sendFailure(Id, CallOutcome::Unknown, CallReason::DeadlinePassed,
              RetryDecision::DeadlinePassed);
}

void OutboundCalls::callerDisconnected(uint64_t Id) {
  Call &Current = Calls.at(Id);
  if (Current.Attempts == 0) {
    sendFailure(Id, CallOutcome::Refused, CallReason::Cancelled);
    return;
  }
  cancelAttempt(Id, Current);
  sendFailure(Id, CallOutcome::Unknown, CallReason::Cancelled);
}

void OutboundCalls::cancelAttempt(uint64_t Id, Call &Cancelled) {
  EndpointBalancer->recordEnd(Cancelled.MemberId);
  wire::CallCancel Message;
  Message.id = attemptId(Id, Cancelled.Attempts);
  ++Cancelled.Attempts; // From here on the reply to the attempt is ignored.
  if (Cancelled.Peer == Self) {
    Inbound->cancel(Cancelled.InboundCallNumber);
    return;
  }
  Peers->sendMessage(Cancelled.Peer, FrameType::CallCancel, Message);
}

void OutboundCalls::sendAnswer(uint64_t Id, const wire::CallReply &Reply,
                               bool Replayed) {
  auto Found = Calls.find(Id);
  Call Ended = std::move(Found->second);
  Calls.erase(Found);
  HttpResponse Response;
  Response.Status = Reply.status;
  for (const wire::Header &Received : Reply.headers)
    Response.Headers.push_back({Received.name, Received.value});
  Response.Headers.push_back({OutcomeHeader, "answered"});
  Response.Headers.push_back({RouteHeader, Ended.Route->Name});
  if (Replayed)
    Response.Headers.push_back({ReplayedHeader, "true"});
  else
    Response.Headers.push_back({VersionHeader, Ended.Version});
  Response.Body = Reply.body;
  CallMetrics->countCall(Ended.Route->Name, CallOutcome::Answered,
                         CallReason::None);
  Ended.Caller->reply(Response);
}

void OutboundCalls::sendFailure(uint64_t Id, CallOutcome Outcome,
                                CallReason Reason, RetryDecision Decision) {
  auto Found = Calls.find(Id);
  Call Ended = std::move(Found->second);
  Calls.erase(Found);
  CallMetrics->countCall(Ended.Route->Name, Outcome, Reason);
  HttpResponse Response = failureResponse(Outcome, Reason);
  Response.Headers.push_back({RouteHeader, Ended.Route->Name});
  if (Decision != RetryDecision::Retry)
    Response.Headers.push_back({NoRetryHeader, std::string(nameOf(Decision))});
  if (!Ended.HeldClaim || Outcome != CallOutcome::Refused) {
    Ended.Caller->reply(Response);
    return;
  }
  // Releases the claim before the response: the caller may resubmit as soon as
  // it has the response.
  IdempotencyClaims->release(
      *Ended.HeldClaim,
      [Caller = Ended.Caller, Response] { Caller->reply(Response); });
}

} // namespace cyclamenwind
