#include "cyclamenwind/traffic/inbound_calls.h"

#include "cyclamenwind/base/log.h"

namespace cyclamenwind {
namespace {

constexpr Duration QueueCheckPeriod = 10ms;

wire::CallReply replyWith(CallOutcome End, CallReason Reason) {
  wire::CallReply Reply;
  Reply.ending = End == CallOutcome::Refused ? wire::CallEnd::REFUSED_NOT_RUN
                                             : wire::CallEnd::UNKNOWN;
  Reply.reason = nameOf(Reason);
  return Reply;
}

wire::CallReply answerWith(HttpResponse Response) {
  wire::CallReply Reply;
  Reply.ending = wire::CallEnd::ANSWERED;
  Reply.status = Response.Status;
  for (HttpHeader &Each : Response.Headers) {
    if (isHopByHop(Each.Name))
      continue;
    wire::Header Header;
    Header.name = std::move(Each.Name);
    Header.value = std::move(Each.Value);
    Reply.headers.push_back(std::move(Header));
  }
  Reply.body = std::move(Response.Body);
  return Reply;
}

HttpRequest httpRequestOf(const wire::CallRequest &Request, Duration Left) {
  HttpRequest Http;
  Http.Method = Request.method;
  Http.Target = Request.target;
  for (const wire::Header &Each : Request.headers)
    Http.Headers.push_back({Each.name, Each.value});
  Http.Headers.push_back({DeadlineHeader, std::to_string(milliseconds(Left))});
  Http.Body = Request.body;
  return Http;
}

CallReason reasonOf(const HttpClientError &Error) {
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
  Local = &TheKernel.find<ServerRegistrations>("announcements");
  Peers = &TheKernel.find<PeerTransport>("peers");
  Local->onChange([this] { serversChanged(); });
  Peers->handle(FrameType::CallRequest,
                [this](const Address &From, std::string_view Payload) {
                  receiveRequest(From, Payload);
                });
  Peers->handle(FrameType::CallCancel,
                [this](const Address &From, std::string_view Payload) {
                  receiveCancel(From, Payload);
                });
  Peers->onPeerDisconnect([this](const Address &Peer, PeerDisconnect End) {
    peerDisconnected(Peer, End);
  });
  ExpiryTimer = Timers->every(QueueCheckPeriod, [this] { expireQueues(); });
}

void InboundCalls::stop() { ExpiryTimer.reset(); }

uint64_t InboundCalls::submit(const wire::CallRequest &Request,
                              CallReplyCallback OnDone) {
  TimePoint Now = Time->now();
  uint64_t Number = NextNumber++;
  Call &Added = Calls[Number];
  Added.Request = Request;
  Added.OnDone = std::move(OnDone);
  Added.Deadline = Now + Duration(Request.remainingUs);
  if (ShuttingDown || Added.Deadline <= Now) {
    refuseSoon(Number, ShuttingDown ? CallReason::ShuttingDown
                                    : CallReason::QueueTimeout);
    return Number;
  }
  const BackendServer *Chosen = chooseServer(Request);
  if (Chosen == nullptr) {
    refuseSoon(Number, CallReason::ServerLeft);
    return Number;
  }
  Added.Target = Chosen->Listen;
  AdmissionActions Actions;
  AdmissionVerdict Verdict =
      Servers.at(Chosen->Listen)
          .Gate.offer(Number, static_cast<Priority>(Request.priority),
                      Added.Deadline, Now, Actions);
  if (Verdict == AdmissionVerdict::Run)
    run(Number);
  if (Verdict == AdmissionVerdict::Refused)
    refuseSoon(Number, CallReason::QueueFull);
  perform(Actions);
  return Number;
}

void InboundCalls::cancel(uint64_t Number) {
  auto Found = Calls.find(Number);
  if (Found == Calls.end())
    return;
  Call &Cancelled = Found->second;
  if (!Cancelled.Admitted) {
    auto Server = Servers.find(Cancelled.Target);
    if (Server != Servers.end())
      Server->second.Gate.withdraw(Number);
    refuse(Number, CallReason::Cancelled);
    return;
  }
  bool Sent = Cancelled.Http->sent();
  finish(Number, Sent ? replyWith(CallOutcome::Unknown, CallReason::Cancelled)
                      : replyWith(CallOutcome::Refused, CallReason::Cancelled));
}

void InboundCalls::receiveRequest(const Address &From,
                                  std::string_view Payload) {
  Result<wire::CallRequest, FrameError> Request =
      decodeMessage<wire::CallRequest>(Payload);
  if (!Request) {
    logWarning("frame_malformed", {{"peer", From.text()}});
    return;
  }
  int64_t Id = Request.value().id;
  if (FromPeers.count({From, Id}) != 0) {
    logWarning("call_repeated", {{"peer", From.text()}, {"id", Id}});
    return;
  }
  uint64_t Number =
      submit(Request.value(), [this, From, Id](wire::CallReply Reply) {
        FromPeers.erase({From, Id});
        Reply.id = Id;
        Peers->sendMessage(From, FrameType::CallReply, Reply);
      });
  FromPeers[{From, Id}] = Number;
}

void InboundCalls::receiveCancel(const Address &From,
                                 std::string_view Payload) {
  Result<wire::CallCancel, FrameError> Message =
      decodeMessage<wire::CallCancel>(Payload);
  if (!Message)
    return;
  auto Found = FromPeers.find({From, Message.value().id});
  if (Found != FromPeers.end())
    cancel(Found->second);
}

void InboundCalls::peerDisconnected(const Address &Peer, PeerDisconnect End) {
  if (End != PeerDisconnect::Lost)
    return;
  std::vector<uint64_t> Abandoned;
  for (auto Each = FromPeers.lower_bound({Peer, INT64_MIN});
       Each != FromPeers.end() && Each->first.first == Peer; ++Each)
    Abandoned.push_back(Each->second);
  for (uint64_t Number : Abandoned) {
    Call &Each = Calls.at(Number);
    FromPeers.erase({Peer, Each.Request.id});
    Each.OnDone = [](const wire::CallReply &) {};
    cancel(Number);
  }
}

void InboundCalls::serversChanged() {
  for (const BackendServer &Each : Local->servers()) {
    int QueueLimit = Each.Slots * Options.QueuePerSlot;
    auto [Position, Inserted] =
        Servers.try_emplace(Each.Listen, Server{{Each.Slots, QueueLimit}});
    if (!Inserted)
      Position->second.Gate.resize(Each.Slots, QueueLimit);
  }
  std::vector<Address> Leaving;
  for (const auto &[Listen, Each] : Servers) {
    const BackendServer *Known = Local->find(Listen);
    if (Known == nullptr || Known->Draining)
      Leaving.push_back(Listen);
  }
  for (const Address &Listen : Leaving)
    refuseWaiting(Listen);
  std::erase_if(Servers, [this](const auto &Entry) {
    return Local->find(Entry.first) == nullptr &&
           Entry.second.Gate.running() == 0;
  });
}

// Refuses the calls of which a server that takes no more has seen no byte.
void InboundCalls::refuseWaiting(const Address &Listen) {
  std::vector<uint64_t> Waiting;
  for (const auto &[Number, Each] : Calls) {
    if (Each.Target != Listen)
      continue;
    bool Unsent = Each.Admitted && !Each.Http->sent();
    if (Unsent || Servers.at(Listen).Gate.withdraw(Number))
      Waiting.push_back(Number);
  }
  for (uint64_t Number : Waiting)
    refuse(Number, CallReason::ServerLeft);
}

const BackendServer *
InboundCalls::chooseServer(const wire::CallRequest &Request) const {
  const BackendServer *Best = nullptr;
  int BestLoad = 0;
  for (const auto &[Listen, Each] : Servers) {
    const BackendServer *Known = Local->find(Listen);
    if (Known == nullptr || Known->Draining ||
        Known->Service != Request.serviceName ||
        Known->Version != Request.serverVersion)
      continue;
    int Load = Each.Gate.running() + Each.Gate.queued();
    if (Best == nullptr || Load < BestLoad) {
      Best = Known;
      BestLoad = Load;
    }
  }
  return Best;
}

void InboundCalls::run(uint64_t Number) {
  Call &Started = Calls.at(Number);
  Started.Admitted = true;
  Duration Left = Started.Deadline - Time->now();
  Started.Http = Backends->send(
      Started.Target, httpRequestOf(Started.Request, Left), Left,
      [this, Number](Result<HttpResponse, HttpClientError> Outcome) {
        completed(Number, std::move(Outcome));
      });
}

void InboundCalls::completed(uint64_t Number,
                             Result<HttpResponse, HttpClientError> Outcome) {
  if (Outcome) {
    finish(Number, answerWith(std::move(Outcome.value())));
    return;
  }
  CallOutcome End =
      Outcome.error().Sent ? CallOutcome::Unknown : CallOutcome::Refused;
  finish(Number, replyWith(End, reasonOf(Outcome.error())));
}

void InboundCalls::perform(const AdmissionActions &Actions) {
  for (uint64_t Number : Actions.Displaced)
    refuse(Number, CallReason::QueueFull);
  for (uint64_t Number : Actions.Expired)
    refuse(Number, CallReason::QueueTimeout);
  for (uint64_t Number : Actions.Run)
    run(Number);
}

void InboundCalls::expireQueues() {
  TimePoint Now = Time->now();
  for (auto &[Listen, Each] : Servers)
    if (Each.Gate.queued() > 0)
      perform(Each.Gate.expire(Now));
}

void InboundCalls::refuse(uint64_t Number, CallReason Reason) {
  finish(Number, replyWith(CallOutcome::Refused, Reason));
}

void InboundCalls::refuseSoon(uint64_t Number, CallReason Reason) {
  Timers->defer([this, Number, Reason] { refuse(Number, Reason); });
}

void InboundCalls::finish(uint64_t Number, wire::CallReply Reply) {
  auto Found = Calls.find(Number);
  if (Found == Calls.end())
    return;
  Call Ended = std::move(Found->second);
  Calls.erase(Found);
  auto Server = Servers.find(Ended.Target);
  AdmissionActions Actions;
  if (Server != Servers.end()) {
    if (Ended.Admitted)
      Actions = Server->second.Gate.finished(Number, Time->now());
    Reply.inFlight = Server->second.Gate.running();
    Reply.queued = Server->second.Gate.queued();
  }
  // Before Done, which may submit or cancel other calls.
  perform(Actions);
  Ended.OnDone(std::move(Reply));
}

} // namespace cyclamenwind
