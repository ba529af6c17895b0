#include "cyclamenwind/traffic/outbound_calls.h"

#include "cyclamenwind/base/log.h"

#include <charconv>

#include <xxhash.h>

namespace cyclamenwind {
namespace {

// Ids between daemons hold a call's id and the number of the attempt.
constexpr uint64_t AttemptsPerId = 8;
static_assert(RetryPolicy::MaxAttempts < static_cast<int>(AttemptsPerId));
// Leaves room for AttemptsPerId and for the calls of a process.
constexpr uint64_t IdStartLimit = uint64_t(1) << 58;
// How long the caller's side waits past the deadline for the other side's word
// on whether the request was run.
constexpr Duration ReplyGrace = 50ms;

int64_t attemptId(uint64_t Id, int Attempt) {
  return static_cast<int64_t>(Id * AttemptsPerId +
                              static_cast<uint64_t>(Attempt));
}

CallOutcome endOf(wire::CallEnd::type End) {
  switch (End) {
  case wire::CallEnd::ANSWERED:
    return CallOutcome::Answered;
  case wire::CallEnd::REFUSED_NOT_RUN:
    return CallOutcome::Refused;
  default:
    return CallOutcome::Unknown;
  }
}

wire::CallReply failedReply(CallOutcome End, CallReason Reason) {
  wire::CallReply Reply;
  Reply.ending = End == CallOutcome::Refused ? wire::CallEnd::REFUSED_NOT_RUN
                                             : wire::CallEnd::UNKNOWN;
  Reply.reason = nameOf(Reason);
  return Reply;
}

// The route's deadline, shortened by the caller's own; nothing if the caller's
// is malformed.
std::optional<Duration> deadlineOf(const RouteSpec &Route,
                                   const HttpHeaders &Headers) {
  const std::string *Asked = findHeader(Headers, DeadlineHeader);
  if (Asked == nullptr)
    return Route.Deadline;
  int64_t Millis = 0;
  const char *Last = Asked->data() + Asked->size();
  auto [Rest, Error] = std::from_chars(Asked->data(), Last, Millis);
  if (Error != std::errc() || Rest != Last || Millis <= 0 ||
      Millis > milliseconds(Duration::max()))
    return std::nullopt;
  if (Millis >= milliseconds(Route.Deadline))
    return Route.Deadline;
  return std::chrono::milliseconds(Millis);
}

// Headers for the backend server: without those of one connection only, and
// without the deadline, which is written anew.
std::vector<wire::Header> forwardedHeaders(HttpHeaders Headers) {
  std::vector<wire::Header> List;
  for (HttpHeader &Each : Headers) {
    if (isHopByHop(Each.Name) || findHeader({Each}, DeadlineHeader) != nullptr)
      continue;
    wire::Header Header;
    Header.name = std::move(Each.Name);
    Header.value = std::move(Each.Value);
    List.push_back(std::move(Header));
  }
  return List;
}

HttpResponse failureResponse(CallOutcome End, CallReason Reason) {
  HttpResponse Response;
  Response.Status = statusOf(End, Reason);
  Response.Headers = {{EndHeader, std::string(nameOf(End))},
                      {ReasonHeader, std::string(nameOf(Reason))},
                      {"Content-Type", "text/plain"}};
  Response.Body =
      std::string(nameOf(End)) + ": " + std::string(nameOf(Reason)) + "\n";
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
  LocalSide = &TheKernel.find<InboundCalls>("server_side");
  Versions = &TheKernel.find<VersionChooser>("versions");
  Counters = &TheKernel.find<Metrics>("metrics");
  Rng = &TheKernel.random();
  NextId = 1 + Rng->below(IdStartLimit);
  KeyClaims =
      std::make_unique<Claims>(TheKernel.find<PlatformClient>("platform"));
  Balance = std::make_unique<Balancer>(Self.text(), FailureDomain, *Rng);
  Peers->handle(FrameType::CallReply,
                [this](const Address &From, std::string_view Payload) {
                  receiveReply(From, Payload);
                });
  Peers->onPeerDisconnect([this](const Address &Peer, PeerDisconnect End) {
    peerDisconnected(Peer, End);
  });
}

void OutboundCalls::accept(ExchangePtr Received) {
  const HttpRequest &Request = Received->request();
  SnapshotPtr Current = Config->current();
  if (ShuttingDown || !Current) {
    refuseAtOnce(Received, ShuttingDown ? CallReason::ShuttingDown
                                        : CallReason::NotReady);
    return;
  }
  const RouteSpec *Route = Current->route(Request.Method, Request.path());
  if (Route == nullptr) {
    refuseAtOnce(Received, CallReason::NoRoute);
    return;
  }
  std::optional<Duration> Deadline = deadlineOf(*Route, Request.Headers);
  if (!Deadline) {
    refuseAtOnce(Received, CallReason::BadRequest);
    return;
  }
  uint64_t Id = NextId++;
  Call &Added = Calls[Id];
  Added.Caller = Received;
  Added.Config = Current;
  Added.Route = Route;
  Added.Target = Current->service(Route->Service);
  Added.Deadline = Time->now() + *Deadline;
  const std::string *Key = findHeader(Request.Headers, CallerKeyHeader);
  Added.CallerHash =
      Key == nullptr ? Rng->next() : XXH3_64bits(Key->data(), Key->size());
  if (const std::string *Once =
          findHeader(Request.Headers, IdempotencyKeyHeader))
    Added.Request.idempotencyKey = *Once;
  HttpRequest Taken = Received->takeRequest();
  Added.Request.serviceName = Route->Service;
  Added.Request.route = Route->Name;
  Added.Request.method = std::move(Taken.Method);
  Added.Request.target = std::move(Taken.Target);
  Added.Request.headers = forwardedHeaders(std::move(Taken.Headers));
  Added.Request.body = std::move(Taken.Body);
  Added.Request.repeatable = Route->Idempotent;
  Added.Request.priority = static_cast<int32_t>(Route->Urgency);
  Added.Timeout =
      Timers->after(*Deadline + ReplyGrace, [this, Id] { timedOut(Id); });
  Received->onPeerGone([this, Id] { callerLeft(Id); });
  bool Claimed = Route->Resubmission == ResubmissionRule::Claim &&
                 !Added.Request.idempotencyKey.empty();
  if (Claimed)
    claim(Id);
  else
    begin(Id);
}

void OutboundCalls::begin(uint64_t Id) {
  Retries.firstAttempt();
  attempt(Id);
}

// Makes the claim on the call's idempotency key before anything is sent.
void OutboundCalls::claim(uint64_t Id) {
  Claim Wanted = Claims::claimFor(Calls.at(Id).Request, MemberId,
                                  static_cast<int64_t>(Rng->next()));
  KeyClaims->make(Wanted, [this, Id](const ClaimOutcome &Outcome) {
    claimed(Id, Outcome);
  });
}

void OutboundCalls::claimed(uint64_t Id, const ClaimOutcome &Outcome) {
  auto Found = Calls.find(Id);
  if (Found == Calls.end()) {
    // The call ended meanwhile, and was not run.
    if (Outcome.Verdict == ClaimVerdict::Granted)
      KeyClaims->release(Outcome.Held, [] {});
    return;
  }
  switch (Outcome.Verdict) {
  case ClaimVerdict::Granted:
    Found->second.Held = Outcome.Held;
    begin(Id);
    break;
  case ClaimVerdict::Taken:
    if (Outcome.Answer)
      answer(Id, *Outcome.Answer, /*Replayed=*/true);
    else
      end(Id, CallOutcome::Unknown, CallReason::AlreadyClaimed);
    break;
  case ClaimVerdict::Mismatch:
    end(Id, CallOutcome::Refused, CallReason::KeyMismatch);
    break;
  case ClaimVerdict::Unavailable:
    end(Id, CallOutcome::Refused, CallReason::NoClaim);
    break;
  }
}

void OutboundCalls::refuseAtOnce(const ExchangePtr &Received,
                                 CallReason Reason) {
  Counters->countCall("", CallOutcome::Refused, Reason);
  HttpResponse Response = failureResponse(CallOutcome::Refused, Reason);
  if (Reason == CallReason::ShuttingDown)
    Response.Headers.push_back({"Connection", "close"});
  Received->reply(Response);
}

void OutboundCalls::attempt(uint64_t Id) {
  Call &Current = Calls.at(Id);
  TimePoint Now = Time->now();
  Current.Version =
      Versions->versionFor(*Current.Target, *Current.Route, Current.CallerHash,
                           /*PreferOld=*/Current.Attempts > 0, Now);
  const Endpoint *Chosen =
      Balance->choose(Members->endpoints(Current.Target->Name), Current.Version,
                      Current.Tried, Now);
  if (Chosen == nullptr) {
    CallOutcome End = Current.UnknownAttempts > 0 ? CallOutcome::Unknown
                                                  : CallOutcome::Refused;
    end(Id, End, Current.LastReason);
    return;
  }
  ++Current.Attempts;
  Current.Delivered = false;
  Current.Request.id = attemptId(Id, Current.Attempts);
  Current.Tried.insert(Chosen->MemberId);
  Current.MemberId = Chosen->MemberId;
  Current.Peer = Chosen->Peer;
  Current.AttemptBegun = Now;
  Current.Request.serverVersion = Current.Version;
  Current.Request.remainingUs = (Current.Deadline - Now).count();
  Balance->begun(Current.MemberId);
  dispatch(Id);
}

void OutboundCalls::dispatch(uint64_t Id) {
  Call &Current = Calls.at(Id);
  if (Current.Peer != Self) {
    Peers->sendMessage(Current.Peer, FrameType::CallRequest, Current.Request);
    return;
  }
  int Attempt = Current.Attempts;
  Current.LocalNumber = LocalSide->submit(
      Current.Request, [this, Id, Attempt](wire::CallReply Reply) {
        auto Found = Calls.find(Id);
        if (Found != Calls.end() && Found->second.Attempts == Attempt)
          attemptEnded(Id, Reply);
      });
}

void OutboundCalls::receiveReply(const Address &From,
                                 std::string_view Payload) {
  Result<wire::CallReply, FrameError> Reply =
      decodeMessage<wire::CallReply>(Payload);
  if (!Reply)
    return;
  uint64_t Id = static_cast<uint64_t>(Reply.value().id) / AttemptsPerId;
  auto Found = Calls.find(Id);
  if (Found == Calls.end() || Found->second.Peer != From ||
      attemptId(Id, Found->second.Attempts) != Reply.value().id) {
    Counters->countLateReply();
    return;
  }
  attemptEnded(Id, Reply.value());
}

void OutboundCalls::peerDisconnected(const Address &Peer, PeerDisconnect End) {
  std::vector<uint64_t> Affected;
  for (auto &[Id, Each] : Calls) {
    if (Each.Peer != Peer)
      continue;
    Each.Delivered = Each.Delivered || End == PeerDisconnect::Retired;
    Affected.push_back(Id);
  }
  if (End == PeerDisconnect::Retired)
    return;
  for (uint64_t Id : Affected) {
    auto Found = Calls.find(Id);
    if (Found == Calls.end() || Found->second.Peer != Peer)
      continue;
    bool NotRun =
        End == PeerDisconnect::NeverConnected && !Found->second.Delivered;
    attemptEnded(
        Id,
        NotRun ? failedReply(CallOutcome::Refused, CallReason::DaemonDown)
               : failedReply(CallOutcome::Unknown, CallReason::ConnectionLost));
  }
}

void OutboundCalls::attemptEnded(uint64_t Id, const wire::CallReply &Reply) {
  Call &Current = Calls.at(Id);
  Balance->ended(Current.MemberId);
  Balance->reported(Current.MemberId, {Reply.inFlight, Reply.queued},
                    Time->now());
  observe(Current, Reply);
  CallOutcome End = endOf(Reply.ending);
  if (End == CallOutcome::Answered) {
    if (Current.Held)
      KeyClaims->keep(*Current.Held, Reply);
    answer(Id, Reply, /*Replayed=*/false);
    return;
  }
  Current.Peer = {};
  Current.LastReason = parseCallReason(Reply.reason);
  if (End == CallOutcome::Unknown)
    ++Current.UnknownAttempts;
  RetryVerdict Verdict = mayRetry(Current, End);
  if (Verdict == RetryVerdict::Retry) {
    attempt(Id);
    return;
  }
  CallOutcome Told =
      Current.UnknownAttempts > 0 ? CallOutcome::Unknown : CallOutcome::Refused;
  end(Id, Told, Current.LastReason, Verdict);
}

void OutboundCalls::observe(const Call &Ended, const wire::CallReply &Reply) {
  TimePoint Now = Time->now();
  AttemptOutcome Outcome;
  Outcome.Service = Ended.Target->Name;
  Outcome.Version = Ended.Version;
  Outcome.Route = Ended.Route->Name;
  Outcome.MemberId = Ended.MemberId;
  Outcome.End = endOf(Reply.ending);
  Outcome.Reason = parseCallReason(Reply.reason);
  Outcome.Status = Reply.status;
  Outcome.Latency = Now - Ended.AttemptBegun;
  Versions->observe(Outcome, Now);
  Balance->observed({Outcome.Service, Outcome.Version, Outcome.MemberId},
                    Outcome.End, Outcome.Reason, Outcome.Status,
                    Outcome.Latency, Now);
}

RetryVerdict OutboundCalls::mayRetry(const Call &Candidate, CallOutcome End) {
  RetryState State = {Candidate.Attempts, Candidate.UnknownAttempts,
                      Candidate.Route->Idempotent, Candidate.Deadline};
  return Retries.decide(State, End, Time->now());
}

void OutboundCalls::timedOut(uint64_t Id) {
  Call &Current = Calls.at(Id);
  if (Current.Attempts == 0) {
    end(Id, CallOutcome::Refused, CallReason::NoClaim);
    return;
  }
  observe(Current,
          failedReply(CallOutcome::Unknown, CallReason::DeadlinePassed));
  cancelAttempt(Id, Current);
  end(Id, CallOutcome::Unknown, CallReason::DeadlinePassed,
      RetryVerdict::DeadlinePassed);
}

void OutboundCalls::callerLeft(uint64_t Id) {
  Call &Current = Calls.at(Id);
  if (Current.Attempts == 0) {
    end(Id, CallOutcome::Refused, CallReason::Cancelled);
    return;
  }
  cancelAttempt(Id, Current);
  end(Id, CallOutcome::Unknown, CallReason::Cancelled);
}

void OutboundCalls::cancelAttempt(uint64_t Id, Call &Cancelled) {
  Balance->ended(Cancelled.MemberId);
  wire::CallCancel Message;
  Message.id = attemptId(Id, Cancelled.Attempts);
  ++Cancelled.Attempts; // The attempt's own end is ignored from here on.
  if (Cancelled.Peer == Self) {
    LocalSide->cancel(Cancelled.LocalNumber);
    return;
  }
  Peers->sendMessage(Cancelled.Peer, FrameType::CallCancel, Message);
}

void OutboundCalls::answer(uint64_t Id, const wire::CallReply &Reply,
                           bool Replayed) {
  auto Found = Calls.find(Id);
  Call Ended = std::move(Found->second);
  Calls.erase(Found);
  HttpResponse Response;
  Response.Status = Reply.status;
  for (const wire::Header &Each : Reply.headers)
    Response.Headers.push_back({Each.name, Each.value});
  Response.Headers.push_back({EndHeader, "answered"});
  Response.Headers.push_back({RouteHeader, Ended.Route->Name});
  if (Replayed)
    Response.Headers.push_back({ReplayedHeader, "true"});
  else
    Response.Headers.push_back({VersionHeader, Ended.Version});
  Response.Body = Reply.body;
  Counters->countCall(Ended.Route->Name, CallOutcome::Answered,
                      CallReason::None);
  Ended.Caller->reply(Response);
}

void OutboundCalls::end(uint64_t Id, CallOutcome End, CallReason Reason,
                        RetryVerdict Verdict) {
  auto Found = Calls.find(Id);
  Call Ended = std::move(Found->second);
  Calls.erase(Found);
  Counters->countCall(Ended.Route->Name, End, Reason);
  HttpResponse Response = failureResponse(End, Reason);
  Response.Headers.push_back({RouteHeader, Ended.Route->Name});
  if (Verdict != RetryVerdict::Retry)
    Response.Headers.push_back({NoRetryHeader, std::string(nameOf(Verdict))});
  if (!Ended.Held || End != CallOutcome::Refused) {
    Ended.Caller->reply(Response);
    return;
  }
  // The caller may resubmit as soon as it has the response.
  KeyClaims->release(*Ended.Held, [Caller = Ended.Caller, Response] {
    Caller->reply(Response);
  });
}

} // namespace cyclamenwind
