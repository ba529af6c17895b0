#include "cyclamenwind/traffic/inbound_calls.h"

#include "cyclamenwind/base/log.h"
#include "cyclamenwind/wire/http_text.h"

namespace cyclamenwind {
namespace {

constexpr Duration QueueExpiryPeriod = 10ms;

wire::CallReply failureReply(CallOutcome Outcome, CallReason Reason) {
  wire::CallReply Reply;
  Reply.ending = Outcome == CallOutcome::Refused
                     ? wire::CallEnd::REFUSED_NOT_RUN
                     : wire::CallEnd::UNKNOWN;
  Reply.reason = nameOf(Reason);
  return Reply;
}

wire::CallReply answeredReply(HttpResponse Response) {
  wire::CallReply Reply;
  Reply.ending = wire::CallEnd::ANSWERED;
  Reply.status = Response.Status;
  for (HttpHeader &Received : Response.Headers) {
    if (isHopByHop(Received.Name))
      continue;
    wire::Header Header;
    Header.name = std::move(Received.Name);
    Header.value = std::move(Received.Value);
    Reply.headers.push_back(std::move(Header));
  }
  Reply.body = std::move(Response.Body);
  return Reply;
}

HttpRequest toHttpRequest(const wire::CallRequest &Request, Duration Left) {
  HttpRequest Http;
  Http.Method = Request.method;
  Http.Target = Request.target;
  for (const wire::Header &Forwarded : Request.headers)
    Http.Headers.push_back({Forwarded.name, Forwarded.value});
  Http.Headers.push_back({DeadlineHeader, std::to_string(milliseconds(Left))});
  Http.Body = Request.body;
  return Http;
}

CallReason failureReason(const HttpClientError &Error) {
  if (!Error.Sent)
    return Error.Code == HttpClientErrorCode::TimedOut
               ? CallReason::QueueTimeout
               : CallReason::ServerDown;
  switch (Error.Code) {
  case HttpClientErrorCode::TimedOut:
    return CallReason::DeadlinePassed;
  case HttpClientErrorCode::ResponseTooLarge:
  case HttpClientErrorCode::BadResponse:
    return CallReason::BadAnswer;
  default:
    return CallReason::ConnectionLost;
  }
}

} // namespace

InboundCalls::InboundCalls(std::unique_ptr<HttpSender> Backends,
                           const TrafficSettings &Options)
    : Backends(std::move(Backends)), Options(Options) {}

void InboundCalls::start(Kernel &TheKernel) {
  Time = &TheKernel.clock();
  Timers = &TheKernel.scheduler();
  Registrations = &TheKernel.find<ServerRegistrations>("announcements");
  Peers = &TheKernel.find<PeerTransport>("peers");
  Registrations->onChange([this] { serversChanged(); });
  Peers->handle(FrameType::CallRequest,
                [this](const Address &From, std::string_view Payload) {
                  receiveRequest(From, Payload);
                });
  Peers->handle(FrameType::CallCancel,
                [this](const Address &From, std::string_view Payload) {
                  receiveCancel(From, Payload);
                });
  Peers->onPeerDisconnect([this](const Address &Peer, PeerDisconnect Cause) {
    peerDisconnected(Peer, Cause);
  });
  ExpiryTimer = Timers->every(QueueExpiryPeriod, [this] { expireQueues(); });
}

void InboundCalls::stop() { ExpiryTimer.reset(); }

uint64_t InboundCalls::submit(const wire::CallRequest &Request,
                              CallReplyCallback OnDone) {
  TimePoint Now = Time->now();
  uint64_t CallNumber = NextCallNumber++;
  Call &Added = Calls[CallNumber];
  Added.Request = Request;
  Added.OnDone = std::move(OnDone);
  Added.Deadline = Now + Duration(Request.remainingUs);
  if (ShuttingDown || Added.Deadline <= Now) {
    deferRefusal(CallNumber, ShuttingDown ? CallReason::ShuttingDown
                                          : CallReason::QueueTimeout);
    return CallNumber;
  }
  const BackendServer *Server = chooseServer(Request);
  if (Server == nullptr) {
    deferRefusal(CallNumber, CallReason::ServerLeft);
    return CallNumber;
  }
  Added.ServerAddress = Server->Listen;
  AdmissionActions Actions;
  AdmissionDecision Decision =
      Servers.at(Server->Listen)
          .AdmissionControl.tryAdmit(CallNumber,
                                     static_cast<Priority>(Request.priority),
                                     Added.Deadline, Now, Actions);
  if (Decision == AdmissionDecision::Run)
    run(CallNumber);
  if (Decision == AdmissionDecision::Refused)
    deferRefusal(CallNumber, CallReason::QueueFull);
  applyActions(Actions);
  return CallNumber;
}

void InboundCalls::cancel(uint64_t CallNumber) {
  auto Found = Calls.find(CallNumber);
  if (Found == Calls.end())
    return;
  Call &Cancelled = Found->second;
  if (!Cancelled.Admitted) {
    auto Server = Servers.find(Cancelled.ServerAddress);
    if (Server != Servers.end())
      Server->second.AdmissionControl.removeQueued(CallNumber);
    refuse(CallNumber, CallReason::Cancelled);
    return;
  }
  bool Sent = Cancelled.Http->sent();
  finish(CallNumber,
         Sent ? failureReply(CallOutcome::Unknown, CallReason::Cancelled)
              : failureReply(CallOutcome::Refused, CallReason::Cancelled));
}

void InboundCalls::receiveRequest(const Address &From,
                                  std::string_view Payload) {
  Result<wire::CallRequest, FrameError> Request =
      decodeMessage<wire::CallRequest>(Payload);
  if (!Request || !isHttpRequest(Request.value())) {
    logWarning("frame_malformed", {{"peer", From.text()}});
    return;
  }
  int64_t Id = Request.value().id;
  if (PeerCalls.count({From, Id}) != 0) {
    logWarning("call_repeated", {{"peer", From.text()}, {"id", Id}});
    return;
  }
  uint64_t CallNumber =
      submit(Request.value(), [this, From, Id](wire::CallReply Reply) {
        PeerCalls.erase({From, Id});
        Reply.id = Id;
        Peers->sendMessage(From, FrameType::CallReply, Reply);
      });
  PeerCalls[{From, Id}] = CallNumber;
}

void InboundCalls::receiveCancel(const Address &From,
                                 std::string_view Payload) {
  Result<wire::CallCancel, FrameError> Message =
      decodeMessage<wire::CallCancel>(Payload);
  if (!Message)
    return;
  auto Found = PeerCalls.find({From, Message.value().id});
  if (Found != PeerCalls.end())
    cancel(Found->second);
}

void InboundCalls::peerDisconnected(const Address &Peer, PeerDisconnect Cause) {
  if (Cause != PeerDisconnect::Lost && Cause != PeerDisconnect::Silent)
    return;
  std::vector<uint64_t> Numbers;
  for (auto Position = PeerCalls.lower_bound({Peer, INT64_MIN});
       Position != PeerCalls.end() && Position->first.first == Peer; ++Position)
    Numbers.push_back(Position->second);
  for (uint64_t CallNumber : Numbers) {
    Call &Abandoned = Calls.at(CallNumber);
    PeerCalls.erase({Peer, Abandoned.Request.id});
    Abandoned.OnDone = [](const wire::CallReply &) {};
    cancel(CallNumber);
  }
}

void InboundCalls::serversChanged() {
  for (const BackendServer &Registered : Registrations->servers()) {
    int QueueLimit = Registered.Slots * Options.QueuePerSlot;
    auto [Position, Inserted] = Servers.try_emplace(
        Registered.Listen, Server{{Registered.Slots, QueueLimit}});
    if (!Inserted)
      Position->second.AdmissionControl.resize(Registered.Slots, QueueLimit);
  }
  std::vector<Address> Leaving;
  for (const auto &[Listen, Entry] : Servers) {
    const BackendServer *Registered = Registrations->find(Listen);
    if (Registered == nullptr || Registered->Draining)
      Leaving.push_back(Listen);
  }
  for (const Address &Listen : Leaving)
    refuseUnsent(Listen);
  std::erase_if(Servers, [this](const auto &Entry) {
    return Registrations->find(Entry.first) == nullptr &&
           Entry.second.AdmissionControl.running() == 0;
  });
}

// Refuses the calls of which no byte has been sent to a server that is draining
// or has left.
void InboundCalls::refuseUnsent(const Address &Listen) {
  std::vector<uint64_t> Unsent;
  for (const auto &[CallNumber, Candidate] : Calls) {
    if (Candidate.ServerAddress != Listen)
      continue;
    bool IsUnsent = Candidate.Admitted && !Candidate.Http->sent();
    if (IsUnsent ||
        Servers.at(Listen).AdmissionControl.removeQueued(CallNumber))
      Unsent.push_back(CallNumber);
  }
  for (uint64_t CallNumber : Unsent)
    refuse(CallNumber, CallReason::ServerLeft);
}

const BackendServer *
InboundCalls::chooseServer(const wire::CallRequest &Request) const {
  const BackendServer *Best = nullptr;
  int BestLoad = 0;
  for (const auto &[Listen, Entry] : Servers) {
    const BackendServer *Registered = Registrations->find(Listen);
    if (Registered == nullptr || Registered->Draining ||
        Registered->Service != Request.serviceName ||
        Registered->Version != Request.serverVersion)
      continue;
    int Load =
        Entry.AdmissionControl.running() + Entry.AdmissionControl.queued();
    if (Best == nullptr || Load < BestLoad) {
      Best = Registered;
      BestLoad = Load;
    }
  }
  return Best;
}

void InboundCalls::run(uint64_t CallNumber) {
  Call &Started = Calls.at(CallNumber);
  Started.Admitted = true;
  Duration Left = Started.Deadline - Time->now();
  Started.Http = Backends->send(
      Started.ServerAddress, toHttpRequest(Started.Request, Left), Left,
      [this, CallNumber](Result<HttpResponse, HttpClientError> Response) {
        httpCompleted(CallNumber, std::move(Response));
      });
}

void InboundCalls::httpCompleted(
    uint64_t CallNumber, Result<HttpResponse, HttpClientError> Response) {
  if (Response) {
    finish(CallNumber, answeredReply(std::move(Response.value())));
    return;
  }
  CallOutcome Outcome =
      Response.error().Sent ? CallOutcome::Unknown : CallOutcome::Refused;
  finish(CallNumber, failureReply(Outcome, failureReason(Response.error())));
}

void InboundCalls::applyActions(const AdmissionActions &Actions) {
  for (uint64_t CallNumber : Actions.Displaced)
    refuse(CallNumber, CallReason::QueueFull);
  for (uint64_t CallNumber : Actions.Expired)
    refuse(CallNumber, CallReason::QueueTimeout);
  for (uint64_t CallNumber : Actions.Run)
    run(CallNumber);
}

void InboundCalls::expireQueues() {
  TimePoint Now = Time->now();
  for (auto &[Listen, Entry] : Servers)
    if (Entry.AdmissionControl.queued() > 0)
      applyActions(Entry.AdmissionControl.expire(Now));
}

void InboundCalls::refuse(uint64_t CallNumber, CallReason Reason) {
  finish(CallNumber, failureReply(CallOutcome::Refused, Reason));
}

void InboundCalls::deferRefusal(uint64_t CallNumber, CallReason Reason) {
  Timers->defer([this, CallNumber, Reason] { refuse(CallNumber, Reason); });
}

void InboundCalls::finish(uint64_t CallNumber, wire::CallReply Reply) {
  auto Found = Calls.find(CallNumber);
  if (Found == Calls.end())
    return;
  Call Ended = std::move(Found->second);
  Calls.erase(Found);
  auto Server = Servers.find(Ended.ServerAddress);
  AdmissionActions Actions;
  if (Server != Servers.end()) {
    if (Ended.Admitted)
      Actions =
          Server->second.AdmissionControl.callFinished(CallNumber, Time->now());
    Reply.inFlight = Server->second.AdmissionControl.running();
    Reply.queued = Server->second.AdmissionControl.queued();
  }
  // Applied before OnDone, which may submit or cancel other calls.
  applyActions(Actions);
  Ended.OnDone(std::move(Reply));
}

} // namespace cyclamenwind
