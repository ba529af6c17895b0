#include "cyclamenwind/mesh/inbound_proxy.h"

#include "cyclamenwind/base/log.h"
#include "cyclamenwind/base/names.h"
#include "cyclamenwind/http/message_parser.h"
#include "cyclamenwind/mesh/mesh_state.h"
#include "cyclamenwind/wire/http_text.h"

#include <algorithm>

namespace cyclamenwind {
namespace {

// Interval between checks for waiting requests that can no longer end in time
// or for which the server's rate limit has room.
constexpr Duration ExpiryPeriod = 25ms;
// After a failed connection, requests to the server are refused for this long.
constexpr Duration ConnectBackoff = 400ms;
// The inbound proxy waits for the server until this long after the deadline:
// the server stops at the deadline, and its response then still has to arrive.
constexpr Duration ResponseMargin = 50ms;
// Time that a disconnected peer has to reconnect before its idempotent requests
// are cancelled; a peer that reconnects still waits for their responses.
constexpr Duration PeerReconnectGrace = 350ms;
// A sender that waits for a reply is heard at least every 300 ms, because it
// probes a quiet peer. Shorter than the 500 ms after a caller has left within
// which its requests have to go.
constexpr Duration SenderSilenceLimit = 450ms;
// A health check takes a few milliseconds unless all slots are in use.
constexpr Duration HealthTimeout = 300ms;
// Interval between health checks of a server that accepted no connection. Short
// against the seconds that a server takes to start, and a few percent of the
// requests that a cold server tolerates.
constexpr Duration HealthRetryPeriod = 200ms;
// Time for which a server that is assumed to be cold is announced as cold. Its
// health response, due within a few milliseconds, replaces it.
constexpr Duration AssumedWarmup = 500ms;
// A stopping sender ends within this time; a peer's larger number is cut to it.
constexpr Duration MaxAnswerTime = 1h;
constexpr int FirstFailureStatus = 500;
// Another server, which now uses the address, gave the response.
constexpr int Misdirected = 421;
constexpr double PermilleScale = 1000;
// A response that waits no longer than this on the way out is not late because
// of it.
constexpr Duration ShortTransferWait = 100ms;

// Copies of a request's body that exist at a time: the message, and the bytes
// for the server. A header line is an element of the message and of the request
// to the server, of which the vectors have spare capacity.
constexpr size_t RequestBodyCopies = 2;
constexpr size_t HeaderLineMemory = 256;
// A request of this size is accepted also when there is no memory left.
constexpr size_t UnchargedBytes = 4 * 1024;

constexpr std::array<EnumName<ForwardError>, 20> ForwardErrorNames = {{
    {ForwardError::None, "none"},
    {ForwardError::NoServer, "no_server"},
    {ForwardError::Leaving, "leaving"},
    {ForwardError::Stopping, "stopping"},
    {ForwardError::Overloaded, "overloaded"},
    {ForwardError::RateLimited, "rate_limited"},
    {ForwardError::DependencyOverloaded, "dependency_overloaded"},
    {ForwardError::WarmingUp, "warming_up"},
    {ForwardError::Evacuated, "evacuated"},
    {ForwardError::Expired, "expired"},
    {ForwardError::SenderSilent, "sender_silent"},
    {ForwardError::LinkFull, "link_full"},
    {ForwardError::BodyMissing, "body_missing"},
    {ForwardError::BadVersion, "bad_version"},
    {ForwardError::ConnectFailed, "connect_failed"},
    {ForwardError::Shed, "shed"},
    {ForwardError::BadResponse, "bad_answer"},
    {ForwardError::ConnectionLost, "lost"},
    {ForwardError::TimedOut, "timed_out"},
    {ForwardError::Cancelled, "cancelled"},
}};

wire::ForwardReply makeReply(wire::ForwardOutcome::type Outcome,
                             ForwardError Reason, bool ReachedServer) {
  wire::ForwardReply Reply;
  Reply.outcome = Outcome;
  Reply.reason = nameOf(Reason);
  Reply.arrived = ReachedServer;
  return Reply;
}

// Whether everything in Message that goes to the server can be written there.
bool isForwardable(const wire::ForwardRequest &Message) {
  return isHttpRequest(Message) && isHeaderValue(Message.attemptId) &&
         isHeaderValue(Message.callerService) &&
         isHeaderValue(Message.instanceId) &&
         (!Message.__isset.workspace || isHeaderValue(Message.workspace));
}

// Whether Message is no offer, or offers a body that can be sent.
bool isValidOffer(const wire::ForwardRequest &Message) {
  return !Message.__isset.bodyBytes ||
         (Message.body.empty() && Message.bodyBytes > 0 &&
          Message.bodyBytes < static_cast<int64_t>(MaxFrameBytes));
}

// The time until which the sender of a request can pass on a response.
TimePoint answerLimit(int64_t AnswerWithinUs, TimePoint Now) {
  return Now +
         std::clamp(Duration(AnswerWithinUs), -MaxAnswerTime, MaxAnswerTime);
}

size_t memoryOf(const wire::ForwardRequest &Message) {
  size_t Bytes = RequestBodyCopies * Message.body.size();
  for (const wire::Header &Header : Message.headers)
    Bytes += HeaderLineMemory + Header.name.size() + Header.value.size();
  return Bytes;
}

// Whether callers take Status as a guarantee that the request did not run.
bool impliesNotRun(int Status) {
  return Status == 408 || Status == Misdirected || Status == 429 ||
         Status == 503;
}

} // namespace

std::string_view nameOf(ForwardError Reason) {
  return nameIn(ForwardErrorNames, Reason);
}

std::optional<ForwardError> parseForwardError(std::string_view Name) {
  return valueIn(ForwardErrorNames, Name);
}

void InboundProxy::start(Kernel &TheKernel) {
  Time = &TheKernel.clock();
  StartedAt = Time->now();
  auto &FoundState = TheKernel.find<MeshState>("mesh_state");
  FoundState.onConfig([this] { applyColdRates(); });
  FoundState.onEvacuations([this] { applyEvacuations(); });
  State = &FoundState;
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
  Peers->handle(FrameType::ForwardLimit,
                [this](const Address &From, std::string_view Payload) {
                  receiveLimit(From, Payload);
                });
  Peers->handle(FrameType::ForwardBody,
                [this](const Address &From, std::string_view Payload) {
                  receiveBody(From, Payload);
                });
  Peers->onPeerDisconnect([this](const Address &Peer, PeerDisconnect Reason) {
    peerDisconnected(Peer, Reason);
  });
}

void InboundProxy::stop() {
  ExpiryTimer.reset();
  BodyTimer.reset();
  DisconnectTimers.clear();
  HealthChecks.clear();
  for (auto &[Id, Local] : LocalServers)
    Local.HealthCheckTimer.reset();
  Requests.clear();
}

// Erases the records of servers that have left and have no requests. A server
// that returns is a new incarnation and registers again.
void InboundProxy::eraseGoneServers(const std::string &Except) {
  std::erase_if(LocalServers, [&Except](const auto &Entry) {
    const Server &Local = Entry.second;
    return Entry.first != Except && Local.Record.State == EndpointState::Gone &&
           Local.Queue.running() == 0 && Local.Queue.queued() == 0;
  });
  TimePoint Now = Time->now();
  std::erase_if(Warmups, [this, &Except, Now](const auto &Entry) {
    return Entry.first != Except && LocalServers.count(Entry.first) == 0 &&
           Entry.second.isIdle(Now);
  });
}

std::optional<MeshService>
InboundProxy::serviceOf(const MeshEndpoint &Record) const {
  const MeshService *Found = State->routes() == nullptr
                                 ? nullptr
                                 : State->routes()->service(Record.Service);
  return Found == nullptr ? std::nullopt : std::optional(*Found);
}

WarmupLimiter &InboundProxy::limiterOf(const MeshEndpoint &Record) {
  WarmupLimiter &Limiter =
      Warmups.try_emplace(Record.Id, WarmupLimits, StartedAt).first->second;
  std::optional<MeshService> Service = serviceOf(Record);
  Limiter.setRate(Service ? Service->ColdRate : std::nullopt);
  Limiter.beginIncarnation(Record.StartedAtMs);
  return Limiter;
}

void InboundProxy::applyColdRates() {
  for (const auto &[Id, Local] : LocalServers)
    limiterOf(Local.Record);
}

bool InboundProxy::reportWarmup(const MeshEndpoint &Record,
                                double Milliseconds) {
  TimePoint Now = Time->now();
  std::optional<Duration> Left = warmupOf(Milliseconds);
  if (!Left) {
    logWarning(
        "warmup_ignored",
        {{"server", Record.Id}, {"source", "report"}, {"ms", Milliseconds}});
    return false;
  }
  WarmupLimiter &Limiter = limiterOf(Record);
  if (!Limiter.learnFromReport(Record.StartedAtMs, Record.Sequence, *Left, Now))
    return false;
  logInfo("server_cold", {{"server", Record.Id},
                          {"source", "report"},
                          {"for_ms", milliseconds(*Left)},
                          {"limited", int(Limiter.isLimited(Now))}});
  return Limiter.isLimited(Now);
}

// What the server of Record says in a health response.
void InboundProxy::learnFromHealth(const MeshEndpoint &Record,
                                   const ResponseMetadata &Metadata) {
  TimePoint Now = Time->now();
  std::optional<Duration> Left;
  if (Metadata.WarmupMs) {
    Left = warmupOf(*Metadata.WarmupMs);
    if (!Left)
      logWarning("warmup_ignored", {{"server", Record.Id},
                                    {"source", "health"},
                                    {"ms", Metadata.WarmupText}});
  }
  auto Local = LocalServers.find(Record.Id);
  // A server that was not reachable or got no requests may have become cold.
  if (!Left && Local != LocalServers.end() && Local->second.HealthCheckTimer)
    Left = serviceOf(Record).value_or(MeshService{}).Warmup;
  WarmupLimiter &Limiter = limiterOf(Record);
  if (!Limiter.learnFromHealth(Record.StartedAtMs, Left, Now))
    return;
  logInfo("server_cold", {{"server", Record.Id},
                          {"source", "health"},
                          {"for_ms", milliseconds(Limiter.coldFor(Now))},
                          {"limited", int(Limiter.isLimited(Now))}});
  if (Limiter.isLimited(Now) && OnServerCold)
    OnServerCold(Record.Id);
}

std::optional<ServerWarmup> InboundProxy::warmup(const std::string &Id) const {
  TimePoint Now = Time->now();
  auto Found = Warmups.find(Id);
  if (Found == Warmups.end() || !Found->second.isLimited(Now))
    return std::nullopt;
  Duration Left = Found->second.coldFor(Now);
  return ServerWarmup{Left > Duration::zero() ? Left : AssumedWarmup,
                      static_cast<double>(Found->second.sendsPerSecond())};
}

size_t InboundProxy::coldServers() const {
  TimePoint Now = Time->now();
  return static_cast<size_t>(std::count_if(
      LocalServers.begin(), LocalServers.end(), [this, Now](const auto &Entry) {
        return Entry.second.Record.State == EndpointState::Ready &&
               Warmups.at(Entry.first).isLimited(Now);
      }));
}

// Checks the health of the server until it has answered.
void InboundProxy::startHealthChecks(Server &Local) {
  if (Local.HealthCheckTimer)
    return;
  logInfo("server_awaits_health_check", {{"server", Local.Record.Id}});
  Local.HealthCheckTimer = Timers->every(
      HealthRetryPeriod, [this, Id = Local.Record.Id] { checkAwaited(Id); });
}

void InboundProxy::checkAwaited(const std::string &Id) {
  auto Found = LocalServers.find(Id);
  if (Found == LocalServers.end() || Found->second.HealthCheckPending ||
      Found->second.Evacuated)
    return;
  Server &Local = Found->second;
  std::optional<MeshService> Service = serviceOf(Local.Record);
  if (Local.Record.State != EndpointState::Ready || !Service)
    return;
  if (Service->HealthPath.empty()) {
    learnFromHealth(Local.Record, {});
    endAwaiting(Local);
    return;
  }
  Local.HealthCheckPending = true;
  checkHealth(Local.Record, Service->HealthPath, [this, Id](bool Healthy) {
    auto Checked = LocalServers.find(Id);
    if (Checked == LocalServers.end())
      return;
    Checked->second.HealthCheckPending = false;
    if (Healthy)
      endAwaiting(Checked->second);
  });
}

// The callbacks of refused requests may change LocalServers.
void InboundProxy::applyEvacuations() {
  std::vector<std::string> Ids;
  for (const auto &[Id, Local] : LocalServers)
    Ids.push_back(Id);
  for (const std::string &Id : Ids) {
    auto Found = LocalServers.find(Id);
    if (Found == LocalServers.end())
      continue;
    Server &Local = Found->second;
    bool Evacuated =
        State->evacuations().isEvacuated(Local.Record.FailureDomain);
    if (Evacuated == Local.Evacuated)
      continue;
    Local.Evacuated = Evacuated;
    logInfo(Evacuated ? "server_evacuated" : "server_evacuation_ended",
            {{"server", Id},
             {"domain", Local.Record.FailureDomain},
             {"running", Local.Queue.running()},
             {"waiting", Local.Queue.queued()}});
    if (Evacuated) {
      for (RequestHandle Handle : Local.Queue.withdrawAll())
        refuse(Handle, ForwardError::Evacuated, /*ReachedServer=*/false);
      continue;
    }
    WarmupLimiter &Limiter = limiterOf(Local.Record);
    Limiter.assumeCold();
    startHealthChecks(Local);
    checkAwaited(Id);
    if (Limiter.isLimited(Time->now()) && OnServerCold)
      OnServerCold(Id);
  }
}

void InboundProxy::endAwaiting(Server &Local) {
  Local.AwaitsHealthCheck = false;
  Local.HealthCheckTimer.reset();
  Local.ConnectBackoffUntil = TimePoint();
}

void InboundProxy::serverChanged(const MeshEndpoint &Record) {
  eraseGoneServers(Record.Id);
  auto [Position, IsNew] = LocalServers.emplace(
      Record.Id, Server{Record,
                        AdmissionQueue(Record.Slots, &limiterOf(Record)),
                        {},
                        {},
                        {}});
  Server &Changed = Position->second;
  if (!IsNew && Changed.Record.StartedAtMs != Record.StartedAtMs) {
    Changed.Failures = {};
    Changed.HasResponded = Changed.SaysLeaving = false;
    Changed.AwaitsHealthCheck = false;
    Changed.HealthCheckTimer.reset();
    Changed.Queue.limitRate(std::nullopt, Time->now());
  }
  Changed.Record = Record;
  Changed.TimedOut = false;
  Changed.Evacuated = State->evacuations().isEvacuated(Record.FailureDomain);
  Changed.Queue.resize(Record.Slots);
  if (Record.State == EndpointState::Ready) {
    Changed.ConnectBackoffUntil = TimePoint();
    return;
  }
  for (RequestHandle Handle : Changed.Queue.withdrawAll())
    refuse(Handle, ForwardError::Leaving, /*ReachedServer=*/false);
  refuseBodies(
      [&Record](const Request &Each) { return Each.InstanceId == Record.Id; },
      ForwardError::Leaving);
}

void InboundProxy::serverTimedOut(const std::string &Id) {
  auto Found = LocalServers.find(Id);
  if (Found == LocalServers.end())
    return;
  Found->second.TimedOut = true;
  for (RequestHandle Handle : Found->second.Queue.withdrawAll())
    refuse(Handle, ForwardError::NoServer, /*ReachedServer=*/false);
  refuseBodies([&Id](const Request &Each) { return Each.InstanceId == Id; },
               ForwardError::NoServer);
}

void InboundProxy::checkHealth(const MeshEndpoint &Record,
                               const std::string &Path,
                               std::function<void(bool)> OnDone) {
  RequestHandle Handle = NextHandle++;
  limiterOf(Record).countSend(Time->now());
  auto Finish = [this, Handle, Record, Id = Record.Id,
                 OnDone = std::move(OnDone)](
                    Result<HttpResponse, HttpClientError> Outcome) {
    std::unique_ptr<HttpCall> Finished = std::move(HealthChecks[Handle]);
    HealthChecks.erase(Handle);
    constexpr int Healthy = 200;
    auto Local = LocalServers.find(Id);
    ResponseMetadata Metadata;
    if (Outcome)
      Metadata = Codec.responseMetadata(Outcome.value());
    // That a health check names no limit does not end one.
    if (Local != LocalServers.end() && Metadata.InstanceId == Id &&
        (Metadata.RateLimit || Metadata.Leaving))
      applyStatements(Local->second, Metadata, Time->now());
    if (Metadata.InstanceId == Id)
      learnFromHealth(Record, Metadata);
    bool IsHealthy = Outcome && Outcome.value().Status == Healthy &&
                     Metadata.InstanceId == Id;
    logInfo("server_health_checked",
            {{"server", Id},
             {"status", Outcome ? Outcome.value().Status : 0},
             {"healthy", int(IsHealthy)}});
    OnDone(IsHealthy);
  };
  HealthChecks[Handle] =
      Sender->send(Record.ServerAddress, {"GET", Path, {}, ""}, HealthTimeout,
                   std::move(Finish));
}

// The local backend server that Message is meant for; null if there is none.
InboundProxy::Server *
InboundProxy::serverFor(const wire::ForwardRequest &Message) {
  auto Found = LocalServers.find(Message.instanceId);
  if (Found != LocalServers.end() &&
      Found->second.Record.Service == Message.serviceName)
    return &Found->second;
  return nullptr;
}

ForwardError InboundProxy::admissionError(const Server *Target,
                                          TimePoint Now) const {
  return Stopping ? ForwardError::Stopping : serverError(Target, Now);
}

// The same for a request that was admitted before this daemon began to stop.
ForwardError InboundProxy::serverError(const Server *Target,
                                       TimePoint Now) const {
  if (Target == nullptr || Target->TimedOut)
    return ForwardError::NoServer;
  if (Target->Record.State != EndpointState::Ready || Target->SaysLeaving)
    return ForwardError::Leaving;
  if (Target->Evacuated)
    return ForwardError::Evacuated;
  if (Now < Target->ConnectBackoffUntil || Target->AwaitsHealthCheck)
    return ForwardError::ConnectFailed;
  if (VersionAllowed &&
      !VersionAllowed(Target->Record.Service, Target->Record.Version))
    return ForwardError::BadVersion;
  return ForwardError::None;
}

RequestHandle InboundProxy::submit(wire::ForwardRequest Message,
                                   ForwardCallback OnDone) {
  RequestHandle Handle = NextHandle++;
  TimePoint Now = Time->now();
  Server *Target = serverFor(Message);
  Request &NewRequest = Requests[Handle];
  NewRequest.OnDone = std::move(OnDone);
  NewRequest.Received = Now;
  NewRequest.Objective = Now + Duration(Message.objectiveUs);
  NewRequest.Deadline = Now + Duration(Message.remainingUs);
  if (Message.__isset.answerWithinUs)
    NewRequest.AnswerBy = answerLimit(Message.answerWithinUs, Now);
  NewRequest.InstanceId = Message.instanceId;
  NewRequest.Message = std::move(Message);
  ForwardError Error = admissionError(Target, Now);
  if (Error == ForwardError::None &&
      isLinkFull(NewRequest.Message, Target->Queue))
    Error = ForwardError::Overloaded;
  if (Error == ForwardError::None && !claimMemory(NewRequest))
    Error = ForwardError::Overloaded;
  if (Error == ForwardError::None) {
    const std::string &Route = NewRequest.Message.route;
    NewRequest.StartCounted = Target->Dependencies.tryStart(Route, Now);
    if (!NewRequest.StartCounted) {
      Error = ForwardError::DependencyOverloaded;
      NewRequest.DependencyWait = Target->Dependencies.retryDelay(Route, Now);
    }
  }
  if (Error == ForwardError::None) {
    adoptKnownLimit(*Target, NewRequest.Message, Now);
    Error = NewRequest.Message.__isset.bodyBytes
                ? offerBody(Handle, *Target, Now)
                : enqueue(Handle, *Target, Now);
  }
  if (Error == ForwardError::None)
    return Handle;
  Timers->defer([this, Handle, Error] {
    if (Requests.count(Handle) != 0)
      refuse(Handle, Error, /*ReachedServer=*/false);
  });
  return Handle;
}

QueuedRequest InboundProxy::queuedRequest(RequestHandle Handle,
                                          const Request &Received) const {
  QueuedRequest Queued{Handle,
                       Received.Message.route,
                       Received.Message.nested,
                       Received.Message.priority,
                       Received.Objective,
                       Received.Deadline,
                       AnswersEndAt};
  if (Received.AnswerBy)
    Queued.AnswerBy = std::min(*Received.AnswerBy,
                               Queued.AnswerBy.value_or(TimePoint::max()));
  if (Received.Message.__isset.workspace)
    Queued.Workspace = Received.Message.workspace;
  if (Received.Message.__isset.workspacePriority)
    Queued.WorkspacePriority = Received.Message.workspacePriority;
  return Queued;
}

// Runs or queues a request whose body is here. Returns why not, if it does
// neither.
ForwardError InboundProxy::enqueue(RequestHandle Handle, Server &Target,
                                   TimePoint Now) {
  QueueDecision Decision =
      Target.Queue.offer(queuedRequest(Handle, Requests.at(Handle)), Now);
  if (Decision == QueueDecision::Run)
    run(Handle);
  else if (Decision == QueueDecision::Queued && !ExpiryTimer)
    ExpiryTimer = Timers->every(ExpiryPeriod, [this] { expireQueues(); });
  return Decision == QueueDecision::Refused ? shortageAt(Target, Now)
                                            : ForwardError::None;
}

// Why the queue of Target refuses a request.
ForwardError InboundProxy::shortageAt(const Server &Target,
                                      TimePoint Now) const {
  if (!Warmups.at(Target.Record.Id).maySend(Now))
    return ForwardError::WarmingUp;
  bool SlotsFree = Target.Queue.running() < Target.Queue.slots();
  return SlotsFree ? ForwardError::RateLimited : ForwardError::Overloaded;
}

// Returns whether there is memory for the request.
bool InboundProxy::claimMemory(Request &NewRequest) {
  NewRequest.Charge = MemoryCharge(Memory, MemoryKind::Forwarded);
  size_t Bytes = memoryOf(NewRequest.Message);
  if (Bytes <= UnchargedBytes || NewRequest.Charge.trySet(Bytes))
    return true;
  logWarning("gate_memory_short",
             {{"request", NewRequest.Message.attemptId}, {"bytes", Bytes}});
  Memory->countShed(ShedCause::Forwarded);
  return false;
}

// What the server said before this process started.
void InboundProxy::adoptKnownLimit(Server &Target,
                                   const wire::ForwardRequest &Message,
                                   TimePoint Now) {
  if (!Target.HasResponded && Message.__isset.knownRateLimit &&
      Message.knownRateLimit >= 0 &&
      Message.knownLimitBorn == Target.Record.StartedAtMs)
    Target.Queue.limitRate(Message.knownRateLimit, Now);
}

// A rate limit holds until a response names another one or none.
void InboundProxy::applyStatements(Server &From,
                                   const ResponseMetadata &Metadata,
                                   TimePoint Now) {
  bool WasLimited = From.Queue.rateLimit().has_value();
  if (Metadata.RateLimit.has_value() != WasLimited)
    logInfo("server_rate_limit", {{"server", From.Record.Id},
                                  {"limited", int(!WasLimited)},
                                  {"per_s", Metadata.RateLimit.value_or(0)}});
  From.HasResponded = true;
  From.Queue.limitRate(Metadata.RateLimit, Now);
  if (!Metadata.Leaving || From.SaysLeaving)
    return;
  From.SaysLeaving = true;
  logInfo("server_says_leaving", {{"server", From.Record.Id}});
  Timers->defer([this, Id = From.Record.Id] {
    if (OnServerLeaving)
      OnServerLeaving(Id);
  });
}

// Whether the response to Message would miss its objective because it waits for
// other large responses on the link of this host.
bool InboundProxy::isLinkFull(const wire::ForwardRequest &Message,
                              const AdmissionQueue &Queue) const {
  auto Bytes = static_cast<size_t>(Sizes.mean(Message.route));
  if (!TransferWait || Bytes == 0)
    return false;
  Duration Wait = TransferWait(Bytes);
  return Wait > ShortTransferWait &&
         Wait + Queue.serviceTime() > Duration(Message.objectiveUs);
}

HttpRequest InboundProxy::makeHttpRequest(const Request &Running,
                                          TimePoint Now) const {
  const wire::ForwardRequest &Message = Running.Message;
  HttpRequest Http{Message.method, Message.target, {}, Message.body};
  for (const wire::Header &Header : Message.headers)
    Http.Headers.push_back({Header.name, Header.value});
  Codec.addServerMetadata(Http.Headers,
                          {Message.attemptId, Running.InstanceId,
                           Message.callerService, Running.Deadline - Now,
                           Message.__isset.workspace ? Message.workspace : ""});
  return Http;
}

void InboundProxy::run(RequestHandle Handle) {
  Request &Running = Requests.at(Handle);
  Server &Target = LocalServers.at(Running.InstanceId);
  TimePoint Now = Time->now();
  Running.Started = Now;
  Counters->observeAdmissionWait(Now - Running.Received);
  Duration Remaining = Running.Deadline - Now;
  if (Remaining <= Duration::zero()) {
    refuseInsteadOfRunning(Handle, ForwardError::Expired);
    return;
  }
  if (isSenderSilent(Running, Now)) {
    refuseInsteadOfRunning(Handle, ForwardError::SenderSilent);
    return;
  }
  Running.Call = Sender->send(
      Target.Record.ServerAddress, makeHttpRequest(Running, Now),
      Remaining + ResponseMargin,
      [this, Handle](Result<HttpResponse, HttpClientError> Outcome) {
        onServerResponse(Handle, std::move(Outcome));
      });
}

// Whether the news that the caller of a request that waited has left may be
// lost.
bool InboundProxy::isSenderSilent(const Request &Waiting, TimePoint Now) const {
  return Waiting.Sender && Waiting.Received != Now &&
         Now - std::max(Waiting.Received,
                        Peers->lastReceived(*Waiting.Sender)) >
             SenderSilenceLimit;
}

// Refuses a request for which the queue has reserved a slot.
void InboundProxy::refuseInsteadOfRunning(RequestHandle Handle,
                                          ForwardError Reason) {
  Timers->defer([this, Handle, Reason] {
    auto Found = Requests.find(Handle);
    if (Found == Requests.end())
      return;
    Server &Target = LocalServers.at(Found->second.InstanceId);
    QueueActions Actions = Target.Queue.finished(Handle, false, Time->now());
    refuse(Handle, Reason, /*ReachedServer=*/false);
    applyQueueActions(Actions);
  });
}

void InboundProxy::onServerResponse(
    RequestHandle Handle, Result<HttpResponse, HttpClientError> Outcome) {
  TimePoint Now = Time->now();
  Request &Ended = Requests.at(Handle);
  Server &From = LocalServers.at(Ended.InstanceId);
  wire::ForwardReply Reply;
  if (!Outcome) {
    bool Sent = Outcome.error().Sent;
    ForwardError Error = ForwardError::ConnectionLost;
    if (Outcome.error().Code == HttpClientErrorCode::TimedOut)
      Error = ForwardError::TimedOut;
    else if (Outcome.error().Code == HttpClientErrorCode::BadResponse ||
             Outcome.error().Code == HttpClientErrorCode::ResponseTooLarge)
      Error = ForwardError::BadResponse;
    else if (!Sent)
      Error = ForwardError::ConnectFailed;
    Reply = makeReply(Sent ? wire::ForwardOutcome::UNKNOWN
                           : wire::ForwardOutcome::NOT_RUN,
                      Error, Sent);
  } else if (!isFinalStatus(Outcome.value().Status)) {
    logWarning("response_status_invalid", {{"server", From.Record.Id},
                                           {"request", Ended.Message.attemptId},
                                           {"status", Outcome.value().Status}});
    Reply = makeReply(wire::ForwardOutcome::UNKNOWN, ForwardError::BadResponse,
                      /*ReachedServer=*/true);
  } else {
    HttpResponse &Response = Outcome.value();
    ResponseMetadata Metadata = Codec.responseMetadata(Response);
    if (Response.Status != Misdirected)
      applyStatements(From, Metadata, Now);
    constexpr int FirstRedirect = 300;
    bool Success = Response.Status < FirstRedirect;
    if (Metadata.NotRun) {
      Reply = makeReply(wire::ForwardOutcome::NOT_RUN, ForwardError::Shed,
                        /*ReachedServer=*/true);
    } else if (Metadata.Encoded || (Success && !Metadata.Signed) ||
               (impliesNotRun(Response.Status) && !Metadata.Signed)) {
      Reply =
          makeReply(wire::ForwardOutcome::UNKNOWN, ForwardError::BadResponse,
                    /*ReachedServer=*/true);
    } else {
      Reply = makeReply(wire::ForwardOutcome::ANSWERED, ForwardError::None,
                        /*ReachedServer=*/true);
      Reply.status = Response.Status;
      for (HttpHeader &Header : Response.Headers)
        if (!isHopByHop(Header.Name)) {
          wire::Header &WireHeader = Reply.headers.emplace_back();
          WireHeader.name = std::move(Header.Name);
          WireHeader.value = std::move(Header.Value);
        }
      Reply.body = std::move(Response.Body);
      if (Success)
        Sizes.count(Ended.Message.route, Reply.body.size());
    }
  }
  recordOutcome(From, Ended, Reply, Now);
  std::vector<RequestHandle> Unserved;
  if (From.AwaitsHealthCheck)
    Unserved = From.Queue.withdrawAll();
  bool Answered = Reply.outcome == wire::ForwardOutcome::ANSWERED;
  QueueActions Actions = From.Queue.finished(Handle, Answered, Now);
  finish(Handle, std::move(Reply));
  applyQueueActions(Actions);
  for (RequestHandle Waiting : Unserved)
    refuse(Waiting, ForwardError::ConnectFailed, /*ReachedServer=*/false);
}

// Updates the statistics and the state of the server after a request.
void InboundProxy::recordOutcome(Server &From, const Request &Ended,
                                 const wire::ForwardReply &Reply,
                                 TimePoint Now) {
  bool Failed = Reply.outcome != wire::ForwardOutcome::ANSWERED ||
                Reply.status >= FirstFailureStatus;
  From.Failures.count(Failed);
  if (Reply.outcome != wire::ForwardOutcome::NOT_RUN)
    From.Dependencies.requestEnded(Ended.Message.route, !Failed, Now);
  if (Reply.reason == nameOf(ForwardError::ConnectFailed)) {
    From.ConnectBackoffUntil = Now + ConnectBackoff;
    logWarning("server_unreachable", {{"server", From.Record.Id},
                                      {"request", Ended.Message.attemptId}});
    if (Warmups.at(From.Record.Id).hasRate()) {
      From.AwaitsHealthCheck = true;
      startHealthChecks(From);
    }
    return;
  }
  Outcomes.count(
      {From.Record.Service, From.Record.Version, Ended.Message.route}, Failed,
      Now - Ended.Started);
}

void InboundProxy::nestedCallEnded(bool Succeeded) {
  for (auto &[Id, Local] : LocalServers)
    Local.Dependencies.nestedCallEnded(Succeeded, Time->now());
}

void InboundProxy::limitAnswer(RequestHandle Handle, TimePoint AnswerBy) {
  auto Found = Requests.find(Handle);
  if (Found == Requests.end())
    return;
  if (Found->second.Body != BodyState::Here) {
    std::optional<TimePoint> &Limit = Found->second.AnswerBy;
    Limit = std::min(AnswerBy, Limit.value_or(AnswerBy));
    limitBodies();
    return;
  }
  auto Target = LocalServers.find(Found->second.InstanceId);
  if (Target != LocalServers.end())
    applyQueueActions(
        Target->second.Queue.limitAnswer(Handle, AnswerBy, Time->now()));
}

void InboundProxy::answerBy(TimePoint EndsAt) {
  AnswersEndAt = EndsAt;
  for (auto &[Id, Local] : LocalServers)
    applyQueueActions(Local.Queue.limitAnswers(EndsAt, Time->now()));
  limitBodies();
}

void InboundProxy::endAll() {
  refuseNew();
  for (auto &[Id, Local] : LocalServers)
    for (RequestHandle Handle : Local.Queue.withdrawAll())
      refuse(Handle, ForwardError::Stopping, /*ReachedServer=*/false);
  refuseBodies([](const Request &) { return true; }, ForwardError::Stopping);
  std::vector<RequestHandle> Running;
  for (const auto &[Handle, Entry] : Requests)
    if (Entry.Started != TimePoint())
      Running.push_back(Handle);
  for (RequestHandle Handle : Running)
    finish(Handle, makeReply(wire::ForwardOutcome::UNKNOWN,
                             ForwardError::Stopping, /*ReachedServer=*/true));
}

void InboundProxy::applyQueueActions(const QueueActions &Actions) {
  for (RequestHandle Handle : Actions.Expired)
    refuse(Handle, ForwardError::Expired, /*ReachedServer=*/false);
  for (RequestHandle Handle : Actions.Run)
    if (Requests.count(Handle) != 0)
      run(Handle);
}

void InboundProxy::expireQueues() {
  TimePoint Now = Time->now();
  int Waiting = 0;
  for (auto &[Id, Local] : LocalServers) {
    if (Local.Queue.queued() > 0) {
      applyQueueActions(Local.Queue.expire(Now));
      applyQueueActions(Local.Queue.startDue(Now));
    }
    Waiting += Local.Queue.queued();
  }
  if (Waiting == 0)
    ExpiryTimer.reset();
}

void InboundProxy::refuse(RequestHandle Handle, ForwardError Reason,
                          bool ReachedServer) {
  finish(Handle,
         makeReply(wire::ForwardOutcome::NOT_RUN, Reason, ReachedServer));
}

void InboundProxy::addServerLoad(const Server *From,
                                 wire::ForwardReply &Reply) const {
  if (AppliedConfig)
    setConfigPosition(Reply, AppliedConfig());
  if (From == nullptr)
    return;
  Reply.running = From->Queue.running();
  Reply.queued = From->Queue.queued();
  Reply.limit = From->Queue.slots();
  Reply.serviceTimeUs = From->Queue.serviceTime().count();
  Reply.expectedWaitUs = From->Queue.expectedWait(Time->now()).count();
  Reply.failurePermille =
      static_cast<int32_t>(From->Failures.value() * PermilleScale);
  if (std::optional<double> Limit = From->Queue.rateLimit())
    Reply.__set_rateLimit(*Limit);
  if (std::optional<ServerWarmup> Warmup = warmup(From->Record.Id)) {
    Reply.__set_coldForUs(Warmup->Left.count());
    Reply.__set_coldRate(Warmup->PerSecond);
  }
  Reply.leaving = From->SaysLeaving;
}

void InboundProxy::finish(RequestHandle Handle, wire::ForwardReply Reply) {
  auto Found = Requests.find(Handle);
  if (Found == Requests.end())
    return;
  Request Ended = std::move(Found->second);
  Requests.erase(Found);
  releaseBody(Handle, Ended);
  TimePoint Now = Time->now();
  bool Ran = Ended.Started != TimePoint();
  Reply.id = Ended.Message.id;
  Reply.waitedUs = ((Ran ? Ended.Started : Now) - Ended.Received).count();
  Reply.ranUs = Ran ? (Now - Ended.Started).count() : 0;
  auto From = LocalServers.find(Ended.InstanceId);
  addServerLoad(From == LocalServers.end() ? nullptr : &From->second, Reply);
  if (Ended.StartCounted && Reply.outcome == wire::ForwardOutcome::NOT_RUN &&
      From != LocalServers.end())
    From->second.Dependencies.withdrawStart(Ended.Message.route, Now);
  // With a rate limit the sender takes it for the wait of any request.
  if (!Reply.__isset.rateLimit)
    Reply.expectedWaitUs =
        std::max({Reply.expectedWaitUs, Ended.BodyWait.count(),
                  Ended.DependencyWait.count()});
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
  if (Reply.__isset.coldForUs)
    Counters->countColdRequest(Ran ? "sent" : "refused");
  if (Ended.OnDone)
    Ended.OnDone(std::move(Reply));
}

void InboundProxy::cancel(RequestHandle Handle) {
  auto Found = Requests.find(Handle);
  if (Found == Requests.end())
    return;
  Request Ended = std::move(Found->second);
  Requests.erase(Found);
  if (Ended.Body != BodyState::Here)
    Counters->countBodyOffer("cancelled");
  releaseBody(Handle, Ended);
  auto From = LocalServers.find(Ended.InstanceId);
  if (From == LocalServers.end())
    return;
  logInfo("gate_cancelled",
          {{"request", Ended.Message.attemptId}, {"server", Ended.InstanceId}});
  if (!From->second.Queue.withdraw(Handle))
    applyQueueActions(From->second.Queue.finished(Handle, false, Time->now()));
}

void InboundProxy::receiveRequest(const Address &From,
                                  std::string_view Payload) {
  Result<wire::ForwardRequest, FrameError> Message =
      decodeMessage<wire::ForwardRequest>(Payload);
  if (!Message || !isForwardable(Message.value())) {
    logWarning("frame_malformed", {{"peer", From.text()}});
    return;
  }
  if (!isValidOffer(Message.value())) {
    logWarning("frame_malformed", {{"peer", From.text()},
                                   {"request", Message.value().attemptId},
                                   {"body_bytes", Message.value().bodyBytes}});
    wire::ForwardReply Reply =
        makeReply(wire::ForwardOutcome::NOT_RUN, ForwardError::BodyMissing,
                  /*ReachedServer=*/false);
    Reply.id = Message.value().id;
    Peers->sendMessage(From, FrameType::ForwardReply, Reply);
    return;
  }
  if (OnPeerRevision)
    OnPeerRevision(From, configPositionOf(Message.value()));
  std::pair<Address, int64_t> Key(From, Message.value().id);
  if (Message.value().__isset.sentAtUs) {
    int64_t HeldUpUs =
        Delays
            .excess(From, Duration(Message.value().sentAtUs), Time->sinceBoot())
            .count();
    Message.value().remainingUs -= HeldUpUs;
    Message.value().objectiveUs -= HeldUpUs;
  }
  RequestHandle Handle =
      submit(std::move(Message.value()), [this, Key](wire::ForwardReply Reply) {
        FromPeers.erase(Key);
        Peers->sendMessage(Key.first, FrameType::ForwardReply, Reply);
      });
  FromPeers[Key] = Handle;
  Requests.at(Handle).Sender = From;
  if (Requests.at(Handle).Body == BodyState::Offered)
    updateBodies();
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
  RequestHandle Handle = Found->second;
  FromPeers.erase(Found);
  cancel(Handle);
}

void InboundProxy::receiveLimit(const Address &From, std::string_view Payload) {
  Result<wire::ForwardLimit, FrameError> Message =
      decodeMessage<wire::ForwardLimit>(Payload);
  if (!Message) {
    logWarning("frame_malformed", {{"peer", From.text()}});
    return;
  }
  auto Found = FromPeers.find({From, Message.value().id});
  if (Found != FromPeers.end())
    limitAnswer(Found->second,
                answerLimit(Message.value().answerWithinUs, Time->now()));
}

// Cancels the peer's idempotent requests unless it reconnects within
// PeerReconnectGrace: if it has crashed, nobody waits for the responses.
void InboundProxy::peerDisconnected(const Address &Peer,
                                    PeerDisconnect Reason) {
  if (Reason == PeerDisconnect::Retired)
    return;
  Delays.forget(Peer);
  // Nothing that was sent on the stream arrives any more.
  refuseBodies([&Peer](const Request &Each) { return Each.Sender == Peer; },
               ForwardError::ConnectionLost);
  auto First = FromPeers.lower_bound({Peer, INT64_MIN});
  if (First == FromPeers.end() || First->first.first != Peer)
    return;
  DisconnectTimers[Peer] = Timers->after(PeerReconnectGrace, [this, Peer] {
    if (!Peers->isConnected(Peer))
      cancelRequestsOf(Peer);
  });
}

void InboundProxy::cancelRequestsOf(const Address &Peer) {
  std::vector<RequestHandle> ToCancel;
  for (auto Entry = FromPeers.lower_bound({Peer, INT64_MIN});
       Entry != FromPeers.end() && Entry->first.first == Peer; ++Entry) {
    auto Found = Requests.find(Entry->second);
    // Requests that are not idempotent run to their end.
    if (Found != Requests.end() && Found->second.Message.idempotent)
      ToCancel.push_back(Entry->second);
  }
  for (RequestHandle Handle : ToCancel)
    cancel(Handle);
}

} // namespace cyclamenwind
