#include "cyclamenwind/mesh/inbound_proxy.h"

#include "cyclamenwind/base/log.h"
#include "cyclamenwind/base/names.h"

namespace cyclamenwind {
namespace {

// How often waiting requests are checked for those that cannot end in time.
constexpr Duration ExpiryPeriod = 25ms;
// A server that refused a connection is not asked again for this long.
constexpr Duration DownTime = 400ms;
// The server stops at the deadline; its answer to that still has to arrive.
constexpr Duration AnswerMargin = 50ms;
// A peer whose stream broke may connect anew and still want its answers.
constexpr Duration PeerGrace = 350ms;
// A health check takes a few milliseconds unless the server is full.
constexpr Duration HealthTimeout = 300ms;
constexpr int FirstFailureStatus = 500;
constexpr double Thousand = 1000;

constexpr std::array<EnumName<ForwardError>, 13> ReasonNames = {{
    {ForwardError::None, "none"},
    {ForwardError::NoServer, "no_server"},
    {ForwardError::Leaving, "leaving"},
    {ForwardError::Stopping, "stopping"},
    {ForwardError::Overloaded, "overloaded"},
    {ForwardError::Expired, "expired"},
    {ForwardError::BadVersion, "bad_version"},
    {ForwardError::ConnectFailed, "connect_failed"},
    {ForwardError::Shed, "shed"},
    {ForwardError::BadAnswer, "bad_answer"},
    {ForwardError::Lost, "lost"},
    {ForwardError::TimedOut, "timed_out"},
    {ForwardError::Cancelled, "cancelled"},
}};

wire::ForwardReply replyOf(wire::ForwardOutcome::type Outcome,
                           ForwardError Reason, bool Arrived) {
  wire::ForwardReply Reply;
  Reply.outcome = Outcome;
  Reply.reason = nameOf(Reason);
  Reply.arrived = Arrived;
  return Reply;
}

// Statuses that tell a caller that its request has not run.
bool promisesNotRun(int Status) {
  return Status == 408 || Status == 421 || Status == 429 || Status == 503;
}

} // namespace

std::string_view nameOf(ForwardError Reason) {
  return nameIn(ReasonNames, Reason);
}

std::optional<ForwardError> parseForwardError(std::string_view Name) {
  return valueIn(ReasonNames, Name);
}

void InboundProxy::start(Kernel &TheKernel) {
  Time = &TheKernel.clock();
  Timers = &TheKernel.scheduler();
  Peers = &TheKernel.find<PeerTransport>("peers");
  Counters = &TheKernel.find<Metrics>("metrics");
  Peers->handle(FrameType::ForwardRequest,
                [this](const Address &From, std::string_view Payload) {
                  receiveRequest(From, Payload);
                });
  Peers->handle(FrameType::ForwardCancel,
                [this](const Address &From, std::string_view Payload) {
                  receiveCancel(From, Payload);
                });
  Peers->onPeerDisconnect([this](const Address &Peer, PeerDisconnect End) {
    peerDisconnected(Peer, End);
  });
}

void InboundProxy::stop() {
  ExpiryTimer.reset();
  Abandoning.clear();
  HealthChecks.clear();
  Requests.clear();
}

// One that comes back is a new incarnation and reports anew.
void InboundProxy::forgetGone(const std::string &Except) {
  std::erase_if(Beside, [&Except](const auto &Entry) {
    const Server &Each = Entry.second;
    return Entry.first != Except && Each.Record.State == EndpointState::Gone &&
           Each.Queue.running() == 0 && Each.Queue.queued() == 0;
  });
}

void InboundProxy::serverChanged(const MeshEndpoint &Record) {
  forgetGone(Record.Id);
  auto [Position, IsNew] = Beside.emplace(
      Record.Id, Server{Record, AdmissionQueue(Record.Slots), {}, {}, false});
  Server &Changed = Position->second;
  if (!IsNew && Changed.Record.Born != Record.Born)
    Changed.Failures = {};
  Changed.Record = Record;
  Changed.Silent = false;
  Changed.Queue.resize(Record.Slots);
  if (Record.State == EndpointState::Ready) {
    Changed.DownUntil = TimePoint();
    return;
  }
  for (RequestHandle Each : Changed.Queue.withdrawAll())
    refuse(Each, ForwardError::Leaving, /*Arrived=*/false);
}

void InboundProxy::serverTimedOut(const std::string &Id) {
  auto Found = Beside.find(Id);
  if (Found == Beside.end())
    return;
  Found->second.Silent = true;
  for (RequestHandle Each : Found->second.Queue.withdrawAll())
    refuse(Each, ForwardError::NoServer, /*Arrived=*/false);
}

void InboundProxy::checkHealth(const MeshEndpoint &Record,
                               const std::string &Path,
                               std::function<void(bool)> OnDone) {
  RequestHandle Ticket = NextTicket++;
  auto Finish = [this, Ticket, Id = Record.Id, OnDone = std::move(OnDone)](
                    Result<HttpResponse, HttpClientError> Outcome) {
    std::unique_ptr<HttpCall> Finished = std::move(HealthChecks[Ticket]);
    HealthChecks.erase(Ticket);
    constexpr int Healthy = 200;
    bool Same = Outcome && Outcome.value().Status == Healthy &&
                Format.responseMetadata(Outcome.value()).InstanceId == Id;
    logInfo("server_health_checked",
            {{"server", Id},
             {"status", Outcome ? Outcome.value().Status : 0},
             {"healthy", int(Same)}});
    OnDone(Same);
  };
  HealthChecks[Ticket] = Servers->send(Record.Server, {"GET", Path, {}, ""},
                                       HealthTimeout, std::move(Finish));
}

// Null if the server that Message names is not beside this daemon.
InboundProxy::Server *
InboundProxy::serverFor(const wire::ForwardRequest &Message) {
  auto Named = Beside.find(Message.instanceId);
  if (Named != Beside.end() &&
      Named->second.Record.Service == Message.serviceName)
    return &Named->second;
  return nullptr;
}

ForwardError InboundProxy::admissible(const Server *Target,
                                      TimePoint Now) const {
  if (Stopping)
    return ForwardError::Stopping;
  if (Target == nullptr || Target->Silent)
    return ForwardError::NoServer;
  if (Target->Record.State != EndpointState::Ready)
    return ForwardError::Leaving;
  if (Now < Target->DownUntil)
    return ForwardError::ConnectFailed;
  if (VersionAllowed &&
      !VersionAllowed(Target->Record.Service, Target->Record.Version))
    return ForwardError::BadVersion;
  return ForwardError::None;
}

RequestHandle InboundProxy::submit(wire::ForwardRequest Message,
                                   ForwardCallback OnDone) {
  RequestHandle Ticket = NextTicket++;
  TimePoint Now = Time->now();
  Server *Target = serverFor(Message);
  Request &Added = Requests[Ticket];
  Added.OnDone = std::move(OnDone);
  Added.Received = Now;
  Added.Deadline = Now + Duration(Message.remainingUs);
  Added.InstanceId = Message.instanceId;
  Added.Message = std::move(Message);
  ForwardError Reason = admissible(Target, Now);
  if (Reason == ForwardError::None) {
    QueuedRequest Offer{Ticket,
                        Added.Message.route,
                        Added.Message.nested,
                        Added.Message.priority,
                        Now + Duration(Added.Message.objectiveUs),
                        Added.Deadline};
    QueueDecision Verdict = Target->Queue.offer(Offer, Now);
    if (Verdict == QueueDecision::Run)
      run(Ticket);
    else if (Verdict == QueueDecision::Queued && !ExpiryTimer)
      ExpiryTimer = Timers->every(ExpiryPeriod, [this] { expireQueues(); });
    if (Verdict != QueueDecision::Refused)
      return Ticket;
    Reason = ForwardError::Overloaded;
  }
  Timers->defer([this, Ticket, Reason] {
    if (Requests.count(Ticket) != 0)
      refuse(Ticket, Reason, /*Arrived=*/false);
  });
  return Ticket;
}

HttpRequest InboundProxy::requestFor(const Request &Running,
                                     TimePoint Now) const {
  const wire::ForwardRequest &Message = Running.Message;
  HttpRequest Http{Message.method, Message.target, {}, Message.body};
  for (const wire::Header &Each : Message.headers)
    Http.Headers.push_back({Each.name, Each.value});
  Format.addServerMetadata(Http.Headers,
                           {Message.attemptId, Running.InstanceId,
                            Message.callerService, Running.Deadline - Now});
  return Http;
}

void InboundProxy::run(RequestHandle Ticket) {
  Request &Running = Requests.at(Ticket);
  Server &Target = Beside.at(Running.InstanceId);
  TimePoint Now = Time->now();
  Running.Started = Now;
  Counters->observeGateWait(Now - Running.Received);
  Duration Remaining = Running.Deadline - Now;
  if (Remaining <= Duration::zero()) {
    Timers->defer([this, Ticket] {
      auto Found = Requests.find(Ticket);
      if (Found == Requests.end())
        return;
      Server &Late = Beside.at(Found->second.InstanceId);
      QueueActions Turns = Late.Queue.finished(Ticket, false, Time->now());
      refuse(Ticket, ForwardError::Expired, /*Arrived=*/false);
      perform(Turns);
    });
    return;
  }
  Running.Call = Servers->send(
      Target.Record.Server, requestFor(Running, Now), Remaining + AnswerMargin,
      [this, Ticket](Result<HttpResponse, HttpClientError> Outcome) {
        completed(Ticket, std::move(Outcome));
      });
}

void InboundProxy::completed(RequestHandle Ticket,
                             Result<HttpResponse, HttpClientError> Outcome) {
  TimePoint Now = Time->now();
  Request &Ended = Requests.at(Ticket);
  Server &From = Beside.at(Ended.InstanceId);
  wire::ForwardReply Reply;
  if (!Outcome) {
    bool Sent = Outcome.error().Sent;
    ForwardError Reason = ForwardError::Lost;
    if (Outcome.error().Code == HttpClientErrorCode::TimedOut)
      Reason = ForwardError::TimedOut;
    else if (Outcome.error().Code == HttpClientErrorCode::BadResponse ||
             Outcome.error().Code == HttpClientErrorCode::ResponseTooLarge)
      Reason = ForwardError::BadAnswer;
    else if (!Sent)
      Reason = ForwardError::ConnectFailed;
    Reply = replyOf(Sent ? wire::ForwardOutcome::UNKNOWN
                         : wire::ForwardOutcome::NOT_RUN,
                    Reason, Sent);
  } else {
    HttpResponse &Response = Outcome.value();
    ResponseMetadata Terms = Format.responseMetadata(Response);
    constexpr int FirstRedirect = 300;
    bool Success = Response.Status < FirstRedirect;
    if (Terms.NotRun) {
      Reply = replyOf(wire::ForwardOutcome::NOT_RUN, ForwardError::Shed,
                      /*Arrived=*/true);
    } else if (Terms.Encoded || (Success && !Terms.Signed) ||
               (promisesNotRun(Response.Status) && !Terms.Signed)) {
      Reply = replyOf(wire::ForwardOutcome::UNKNOWN, ForwardError::BadAnswer,
                      /*Arrived=*/true);
    } else {
      Reply = replyOf(wire::ForwardOutcome::ANSWERED, ForwardError::None,
                      /*Arrived=*/true);
      Reply.status = Response.Status;
      for (HttpHeader &Each : Response.Headers)
        if (!isHopByHop(Each.Name)) {
          wire::Header &Added = Reply.headers.emplace_back();
          Added.name = std::move(Each.Name);
          Added.value = std::move(Each.Value);
        }
      Reply.body = std::move(Response.Body);
    }
  }
  judge(From, Ended, Reply, Now);
  bool Answered = Reply.outcome == wire::ForwardOutcome::ANSWERED;
  QueueActions Turns = From.Queue.finished(Ticket, Answered, Now);
  finish(Ticket, std::move(Reply));
  perform(Turns);
}

// Draws conclusions about the server from the end of a request.
void InboundProxy::judge(Server &From, const Request &Ended,
                         const wire::ForwardReply &Reply, TimePoint Now) {
  bool Failed = Reply.outcome != wire::ForwardOutcome::ANSWERED ||
                Reply.status >= FirstFailureStatus;
  From.Failures.count(Failed);
  if (Reply.reason == nameOf(ForwardError::ConnectFailed)) {
    From.DownUntil = Now + DownTime;
    logWarning("server_unreachable", {{"server", From.Record.Id},
                                      {"request", Ended.Message.attemptId}});
    return;
  }
  Outcomes.count(
      {From.Record.Service, From.Record.Version, Ended.Message.route}, Failed,
      Now - Ended.Started);
}

void InboundProxy::perform(const QueueActions &Turns) {
  for (RequestHandle Each : Turns.Expired)
    refuse(Each, ForwardError::Expired, /*Arrived=*/false);
  for (RequestHandle Each : Turns.Run)
    if (Requests.count(Each) != 0)
      run(Each);
}

void InboundProxy::expireQueues() {
  TimePoint Now = Time->now();
  int Waiting = 0;
  for (auto &[Id, Each] : Beside) {
    if (Each.Queue.queued() > 0)
      perform(Each.Queue.expire(Now));
    Waiting += Each.Queue.queued();
  }
  if (Waiting == 0)
    ExpiryTimer.reset();
}

void InboundProxy::refuse(RequestHandle Ticket, ForwardError Reason,
                          bool Arrived) {
  finish(Ticket, replyOf(wire::ForwardOutcome::NOT_RUN, Reason, Arrived));
}

void InboundProxy::describe(const Server *From,
                            wire::ForwardReply &Reply) const {
  if (ConfigRevision)
    Reply.configRevision = ConfigRevision();
  if (From == nullptr)
    return;
  Reply.running = From->Queue.running();
  Reply.queued = From->Queue.queued();
  Reply.limit = From->Queue.slots();
  Reply.serviceTimeUs = From->Queue.serviceTime().count();
  Reply.expectedWaitUs = From->Queue.expectedWait().count();
  Reply.failurePermille =
      static_cast<int32_t>(From->Failures.value() * Thousand);
}

void InboundProxy::finish(RequestHandle Ticket, wire::ForwardReply Reply) {
  auto Found = Requests.find(Ticket);
  if (Found == Requests.end())
    return;
  Request Ended = std::move(Found->second);
  Requests.erase(Found);
  TimePoint Now = Time->now();
  bool Ran = Ended.Started != TimePoint();
  Reply.id = Ended.Message.id;
  Reply.waitedUs = ((Ran ? Ended.Started : Now) - Ended.Received).count();
  Reply.ranUs = Ran ? (Now - Ended.Started).count() : 0;
  auto Server = Beside.find(Ended.InstanceId);
  describe(Server == Beside.end() ? nullptr : &Server->second, Reply);
  LogFields Fields = {{"request", Ended.Message.attemptId},
                      {"server", Ended.InstanceId},
                      {"reason", Reply.reason},
                      {"status", Reply.status},
                      {"arrived", int(Reply.arrived)},
                      {"waited_us", Reply.waitedUs},
                      {"ran_us", Reply.ranUs},
                      {"running", Reply.running},
                      {"queued", Reply.queued},
                      {"wait_expected_us", Reply.expectedWaitUs}};
  if (Reply.outcome == wire::ForwardOutcome::ANSWERED)
    logEvent(LogLevel::Debug, "gate_answered", Fields);
  else
    logInfo("gate_refused", Fields);
  if (Ended.OnDone)
    Ended.OnDone(std::move(Reply));
}

void InboundProxy::cancel(RequestHandle Ticket) {
  auto Found = Requests.find(Ticket);
  if (Found == Requests.end())
    return;
  Request Ended = std::move(Found->second);
  Requests.erase(Found);
  auto From = Beside.find(Ended.InstanceId);
  if (From == Beside.end())
    return;
  logInfo("gate_cancelled",
          {{"request", Ended.Message.attemptId}, {"server", Ended.InstanceId}});
  if (!From->second.Queue.withdraw(Ticket))
    perform(From->second.Queue.finished(Ticket, false, Time->now()));
}

void InboundProxy::receiveRequest(const Address &From,
                                  std::string_view Payload) {
  Result<wire::ForwardRequest, FrameError> Message =
      decodeMessage<wire::ForwardRequest>(Payload);
  if (!Message) {
    logWarning("frame_malformed", {{"peer", From.text()}});
    return;
  }
  if (OnPeerRevision)
    OnPeerRevision(From, Message.value().configRevision);
  std::pair<Address, int64_t> Key(From, Message.value().id);
  FromPeers[Key] =
      submit(std::move(Message.value()), [this, Key](wire::ForwardReply Reply) {
        FromPeers.erase(Key);
        Peers->sendMessage(Key.first, FrameType::ForwardReply, Reply);
      });
}

void InboundProxy::receiveCancel(const Address &From,
                                 std::string_view Payload) {
  Result<wire::ForwardCancel, FrameError> Message =
      decodeMessage<wire::ForwardCancel>(Payload);
  if (!Message) {
    logWarning("frame_malformed", {{"peer", From.text()}});
    return;
  }
  auto Found = FromPeers.find({From, Message.value().id});
  if (Found == FromPeers.end())
    return;
  RequestHandle Ticket = Found->second;
  FromPeers.erase(Found);
  cancel(Ticket);
}

// The peer may be dead, and then nobody waits, or connect anew.
void InboundProxy::peerDisconnected(const Address &Peer, PeerDisconnect End) {
  if (End == PeerDisconnect::Retired)
    return;
  auto First = FromPeers.lower_bound({Peer, INT64_MIN});
  if (First == FromPeers.end() || First->first.first != Peer)
    return;
  Abandoning[Peer] = Timers->after(PeerGrace, [this, Peer] {
    if (!Peers->isConnected(Peer))
      abandonPeer(Peer);
  });
}

void InboundProxy::abandonPeer(const Address &Peer) {
  std::vector<RequestHandle> Given;
  for (auto Each = FromPeers.lower_bound({Peer, INT64_MIN});
       Each != FromPeers.end() && Each->first.first == Peer; ++Each) {
    auto Found = Requests.find(Each->second);
    // What may not be repeated is brought to its end.
    if (Found != Requests.end() && Found->second.Message.idempotent)
      Given.push_back(Each->second);
  }
  for (RequestHandle Each : Given)
    cancel(Each);
}

} // namespace cyclamenwind
