#include "testing/traffic_world.h"

#include "cyclamenwind/base/names.h"

namespace cyclamenwind::testing {
namespace {

constexpr Duration HopTime = 1ms;
// Time past the deadline within which a caller must have the outcome.
constexpr Duration OutcomeTolerance = 100ms;
constexpr Duration RegistrationLifetime = 3s;
constexpr Duration LeaveNoticeTime = 1500ms;
constexpr char RequestIdHeader[] = "X-Request-Id";

constexpr std::array<EnumName<CallStep>, 6> StepNames = {{
    {CallStep::BeforeConnect, "before_connect"},
    {CallStep::Queued, "queued"},
    {CallStep::FirstByteOut, "first_byte_out"},
    {CallStep::BodyHalfOut, "body_half_out"},
    {CallStep::Waiting, "waiting"},
    {CallStep::AnswerHalfIn, "answer_half_in"},
}};

std::string answerBody(const std::string &Id) {
  return "answer to " + Id + " and its end";
}

std::string envelopeText(const TrafficOptions &Options) {
  Envelope Value;
  Value.Version = 1;
  Value.OperationId = "op";
  Value.Body.Services = {{"quote", "v1"}};
  RouteSpec NonIdempotentRoute;
  NonIdempotentRoute.Name = "once";
  NonIdempotentRoute.Service = "quote";
  NonIdempotentRoute.PathPrefix = "/once";
  NonIdempotentRoute.Deadline = Options.Deadline;
  RouteSpec IdempotentRoute = NonIdempotentRoute;
  IdempotentRoute.Name = "again";
  IdempotentRoute.PathPrefix = "/again";
  IdempotentRoute.Idempotent = true;
  RouteSpec ClaimRoute = NonIdempotentRoute;
  ClaimRoute.Name = "claimed";
  ClaimRoute.PathPrefix = "/claimed";
  ClaimRoute.Resubmission = ResubmissionRule::Claim;
  Value.Body.Routes = {NonIdempotentRoute, IdempotentRoute, ClaimRoute};
  return formatEnvelope(Value);
}

} // namespace

std::string_view nameOf(CallStep Step) { return nameIn(StepNames, Step); }

// A request to a fake server. Each step takes HopTime, running the request
// Options.Work.
class FakeBackendCall final : public HttpCall {
public:
  FakeBackendCall(TrafficWorld &World, int Server, const HttpRequest &Request,
                  Duration Timeout, HttpCallback OnDone)
      : World(World), Server(Server), OnDone(std::move(OnDone)),
        CallNumber(World.NextCallNumber++) {
    if (const std::string *RequestId =
            findHeader(Request.Headers, RequestIdHeader))
      Id = *RequestId;
    World.OpenCalls[CallNumber] = this;
    DeadlineTimer = World.Time.after(
        Timeout, [this] { fail(HttpClientErrorCode::TimedOut, FirstByteOut); });
    StepTimer = World.Time.after(HopTime, [this] { connect(); });
  }
  ~FakeBackendCall() override { World.OpenCalls.erase(CallNumber); }
  FakeBackendCall(const FakeBackendCall &) = delete;
  FakeBackendCall &operator=(const FakeBackendCall &) = delete;

  bool sent() const override { return FirstByteOut; }

  // The server has closed the connection.
  void broken() {
    if (World.Options.Mutant == TrafficMutant::SendsTwice && FirstByteOut &&
        !SentTwice) {
      SentTwice = true;
      StepTimer = World.Time.after(HopTime, [this] { connect(); });
      return;
    }
    bool ReportedAsSent =
        FirstByteOut && World.Options.Mutant != TrafficMutant::DeniesFirstByte;
    fail(FirstByteOut ? HttpClientErrorCode::ConnectionLost
                      : HttpClientErrorCode::ConnectFailed,
         ReportedAsSent);
  }

  int server() const { return Server; }

private:
  FakeServer &target() { return World.Servers[static_cast<size_t>(Server)]; }

  // Calls Next after Delay, postponed while the server is paused or stalled.
  void later(Duration Delay, void (FakeBackendCall::*Next)()) {
    StepTimer = World.Time.after(Delay, [this, Next] {
      if (target().Paused || target().Stalled)
        later(HopTime, Next);
      else
        (this->*Next)();
    });
  }

  void connect() {
    World.stepReached(CallStep::BeforeConnect, Server);
    if (!target().Up) {
      broken();
      return;
    }
    FirstByteOut = true;
    ++World.ServerRecords[Id].ReceivedAttempts;
    if (target().DrainBegun)
      ++World.ReceivedAfterDrain;
    later(HopTime, &FakeBackendCall::bodyHalf);
    World.stepReached(CallStep::FirstByteOut, Server);
  }

  void bodyHalf() {
    later(HopTime, &FakeBackendCall::arrived);
    World.stepReached(CallStep::BodyHalfOut, Server);
  }

  void arrived() {
    if (target().ShedsLoad) {
      finish(HttpResponse{503, {{RequestIdHeader, Id}}, "no slot"});
      return;
    }
    ++World.ServerRecords[Id].Runs;
    Duration Work =
        target().AnswersLate ? 2 * World.Options.Deadline : World.Options.Work;
    later(Work, &FakeBackendCall::answerHalf);
    World.stepReached(CallStep::Waiting, Server);
  }

  void answerHalf() {
    later(HopTime, &FakeBackendCall::answerWhole);
    uint64_t ThisCall = CallNumber;
    TrafficWorld &TheWorld = World;
    TheWorld.stepReached(CallStep::AnswerHalfIn, Server);
    if (TheWorld.OpenCalls.count(ThisCall) == 0 || !target().CutsAnswers)
      return;
    if (World.Options.Mutant == TrafficMutant::PassesCutAnswer) {
      std::string Body = answerBody(Id);
      finish(HttpResponse{200, {}, Body.substr(0, Body.size() / 2)});
      return;
    }
    broken();
  }

  void answerWhole() {
    finish(HttpResponse{200, {{RequestIdHeader, Id}}, answerBody(Id)});
  }

  void fail(HttpClientErrorCode Code, bool Sent) {
    finish(HttpClientError{Code, Sent});
  }

  void finish(Result<HttpResponse, HttpClientError> Outcome) {
    TimerHandle EndedStepTimer = std::move(StepTimer);
    TimerHandle EndedDeadlineTimer = std::move(DeadlineTimer);
    World.OpenCalls.erase(CallNumber);
    HttpCallback Callback = std::move(OnDone);
    Callback(std::move(Outcome));
  }

  TrafficWorld &World;
  int Server;
  HttpCallback OnDone;
  uint64_t CallNumber;
  std::string Id;
  bool FirstByteOut = false;
  bool SentTwice = false;
  TimerHandle StepTimer;
  TimerHandle DeadlineTimer;
};

class FakeBackends final : public HttpSender {
public:
  explicit FakeBackends(TrafficWorld &World) : World(World) {}

  std::unique_ptr<HttpCall> send(const Address &To, const HttpRequest &Request,
                                 Duration Timeout,
                                 HttpCallback OnDone) override {
    int Server = 0;
    while (World.Servers[static_cast<size_t>(Server)].Listen != To)
      ++Server;
    return std::make_unique<FakeBackendCall>(World, Server, Request, Timeout,
                                             std::move(OnDone));
  }

private:
  TrafficWorld &World;
};

// Lists the endpoints in ListedEndpoints, which may be outdated.
class TrafficWorld::FakeMembers final : public Service, public MembershipView {
public:
  explicit FakeMembers(TrafficWorld &World) : World(World) {}

  std::string_view name() const override { return "membership"; }
  void start(Kernel &) override {}
  const std::vector<Endpoint> &endpoints(const std::string &) const override {
    return World.ListedEndpoints;
  }
  const MemberList &memberList() const override { return NoMembers; }
  const Member &self() const override { return Self; }

private:
  TrafficWorld &World;
  MemberList NoMembers;
  Member Self;
};

struct TrafficWorld::Daemon {
  Daemon(TrafficWorld &World, int Index)
      : TheKernel(World.Time, World.Time, World.Rng),
        Self{"10.0.0." + std::to_string(1 + Index), 7100} {
    Settings TheSettings;
    TheSettings.Addresses.Peers = Self;
    TheSettings.Member.FailureDomain = "domain-" + std::to_string(Index);
    TheKernel.add(std::make_unique<FakePlatformClient>(World.Platform));
    TheKernel.add(std::make_unique<FakePeers>(World.Network, Self));
    TheKernel.add(std::make_unique<Metrics>());
    auto Store = std::make_unique<ConfigStore>();
    Store->apply(envelopeText(World.Options));
    TheKernel.add(std::move(Store));
    TheKernel.add(std::make_unique<ServerRegistrations>(RegistrationLifetime));
    TheKernel.add(std::make_unique<FakeMembers>(World));
    TheKernel.add(std::make_unique<AcceptedVersions>());
    TheKernel.add(std::make_unique<InboundCalls>(
        std::make_unique<FakeBackends>(World), TheSettings.Traffic));
    TheKernel.add(std::make_unique<OutboundCalls>(TheSettings));
    TheKernel.start();
  }
  ~Daemon() { TheKernel.stop(); }

  OutboundCalls &outboundCalls() {
    return TheKernel.find<OutboundCalls>("caller_side");
  }
  InboundCalls &inboundCalls() {
    return TheKernel.find<InboundCalls>("server_side");
  }
  ServerRegistrations &registrations() {
    return TheKernel.find<ServerRegistrations>("announcements");
  }

  Kernel TheKernel;
  Address Self;
};

class TrafficWorld::FakeCaller final : public Exchange {
public:
  FakeCaller(TrafficWorld &World, size_t CallIndex, HttpRequest CallerRequest)
      : World(World), CallIndex(CallIndex),
        CallerRequest(std::move(CallerRequest)) {}

  const HttpRequest &request() const override { return CallerRequest; }
  HttpRequest takeRequest() override { return std::move(CallerRequest); }
  void reply(const HttpResponse &Response) override {
    CallerRecord &Record = World.Callers[CallIndex];
    ++Record.Replies;
    Record.Ended = World.Time.now();
    Record.Response = Response;
  }
  void abandon() override {}
  void onPeerGone(std::function<void()>) override {}

private:
  TrafficWorld &World;
  size_t CallIndex;
  HttpRequest CallerRequest;
};

TrafficWorld::TrafficWorld(const TrafficOptions &Options)
    : Rng(Options.Seed), Network(Time, Time, Rng), Platform(Time, Rng),
      Options(Options) {
  Network.OnStream = [this](const Address &From, const Address &To,
                            FrameType Type, const std::string &Payload) {
    if (Type == FrameType::CallReply)
      Replies.emplace_back(From, To, Payload);
  };
  Daemons.resize(static_cast<size_t>(Options.Daemons));
  for (int I = 0; I < Options.Daemons; ++I) {
    Servers.push_back({.Listen = {"10.0.0." + std::to_string(1 + I), 8000}});
    startDaemon(I);
  }
  Time.settle();
}

TrafficWorld::~TrafficWorld() {
  StepAction = nullptr;
  Daemons.clear();
}

size_t TrafficWorld::call(bool Idempotent, const std::string &Key,
                          int DaemonIndex) {
  size_t CallIndex = Callers.size();
  CallerRecord Record;
  Record.Id = "request-" + std::to_string(CallIndex);
  Record.Key = Key;
  Record.Idempotent = Idempotent;
  Record.DaemonIndex = DaemonIndex;
  Record.Started = Time.now();
  Callers.push_back(Record);
  HttpRequest Request = {"POST",
                         Idempotent    ? "/again"
                         : Key.empty() ? "/once"
                                       : "/claimed",
                         {{RequestIdHeader, Record.Id}},
                         "body"};
  if (!Key.empty())
    Request.Headers.push_back({IdempotencyKeyHeader, Key});
  auto Caller = std::make_shared<FakeCaller>(*this, CallIndex, Request);
  auto &Receiver = Daemons[static_cast<size_t>(DaemonIndex)];
  if (Receiver)
    Receiver->outboundCalls().accept(Caller);
  else
    Callers[CallIndex].DaemonDied = true;
  return CallIndex;
}

void TrafficWorld::onStep(CallStep Step, std::function<void(int)> Action) {
  ActionStep = Step;
  StepAction = std::move(Action);
  if (Step != CallStep::Queued)
    return;
  QueuePollTimer = Time.every(HopTime, [this] {
    for (int I = 0; I < this->Options.Daemons; ++I)
      if (activeCalls(I) > this->Options.Slots)
        stepReached(CallStep::Queued, I);
  });
}

// Defers the action until the current step has ended, as for a fault from
// outside.
void TrafficWorld::stepReached(CallStep Step, int Server) {
  if (ActionStep != Step || !StepAction)
    return;
  Time.defer([Action = std::move(StepAction), Server] { Action(Server); });
  StepAction = nullptr;
}

int TrafficWorld::activeCalls(int Index) const {
  const auto &DaemonEntry = Daemons[static_cast<size_t>(Index)];
  return DaemonEntry ? static_cast<int>(DaemonEntry->inboundCalls().active())
                     : 0;
}

void TrafficWorld::registerServer(int Index) {
  const FakeServer &Server = Servers[static_cast<size_t>(Index)];
  auto &LocalDaemon = Daemons[static_cast<size_t>(Index)];
  if (!LocalDaemon || !Server.Up)
    return;
  bool Draining = Server.DrainBegun.has_value() &&
                  Options.Mutant != TrafficMutant::IgnoresDrain;
  LocalDaemon->registrations().announce(
      {Server.Listen, "quote", "v1", Options.Slots, Draining}, Time.now());
}

void TrafficWorld::killServer(int Index) {
  Servers[static_cast<size_t>(Index)].Up = false;
  std::vector<uint64_t> Broken;
  for (const auto &[CallNumber, Call] : OpenCalls)
    if (Call->server() == Index)
      Broken.push_back(CallNumber);
  for (uint64_t CallNumber : Broken)
    if (OpenCalls.count(CallNumber) != 0)
      OpenCalls.at(CallNumber)->broken();
}

void TrafficWorld::startServer(int Index) {
  FakeServer &Server = Servers[static_cast<size_t>(Index)];
  Server = {.Listen = Server.Listen};
  registerServer(Index);
}

void TrafficWorld::drainServer(int Index) {
  FakeServer &Server = Servers[static_cast<size_t>(Index)];
  if (!Server.DrainBegun)
    Server.DrainBegun = Time.now();
  registerServer(Index);
  // The other daemons stop listing it after RegistrationLifetime at the latest.
  Timers.push_back(Time.after(RegistrationLifetime, [this, Index] {
    std::erase_if(ListedEndpoints, [&](const Endpoint &Listing) {
      return Listing.MemberId == std::to_string(Index);
    });
  }));
}

void TrafficWorld::withdrawLocally(int Index) {
  if (auto &LocalDaemon = Daemons[static_cast<size_t>(Index)])
    LocalDaemon->registrations().withdraw(
        Servers[static_cast<size_t>(Index)].Listen);
}

void TrafficWorld::killDaemon(int Index) {
  for (CallerRecord &Caller : Callers)
    if (Caller.DaemonIndex == Index && !Caller.Ended)
      Caller.DaemonDied = true;
  Daemons[static_cast<size_t>(Index)].reset();
}

void TrafficWorld::startDaemon(int Index) {
  Daemons[static_cast<size_t>(Index)] = std::make_unique<Daemon>(*this, Index);
  std::string Id = std::to_string(Index);
  std::erase_if(ListedEndpoints, [&](const Endpoint &Listing) {
    return Listing.MemberId == Id;
  });
  Endpoint Added;
  Added.MemberId = Id;
  Added.Peer = Daemons[static_cast<size_t>(Index)]->Self;
  Added.FailureDomain = "domain-" + Id;
  Added.Version = "v1";
  Added.Slots = Options.Slots;
  ListedEndpoints.push_back(Added);
  registerServer(Index);
}

void TrafficWorld::drainDaemon(int Index) {
  auto &Stopping = Daemons[static_cast<size_t>(Index)];
  Stopping->outboundCalls().refuseNew();
  std::erase_if(ListedEndpoints, [&](const Endpoint &Listing) {
    return Listing.MemberId == std::to_string(Index);
  });
  Timers.push_back(Time.after(LeaveNoticeTime, [this, Index] {
    Daemons[static_cast<size_t>(Index)]->inboundCalls().refuseNew();
  }));
  Timers.push_back(Time.every(20ms, [this, Index, Started = Time.now()] {
    auto &DaemonEntry = Daemons[static_cast<size_t>(Index)];
    if (DaemonEntry && Time.now() - Started > LeaveNoticeTime &&
        DaemonEntry->inboundCalls().active() +
                DaemonEntry->outboundCalls().active() ==
            0)
      DaemonEntry.reset();
  }));
}

void TrafficWorld::replayReplies() {
  std::vector<std::tuple<Address, Address, std::string>> Copies = Replies;
  for (const auto &[From, To, Payload] : Copies) {
    Network.inject(From, To, FrameType::CallReply, Payload);
    for (const auto &[Other, OtherTo, OtherPayload] : Copies)
      if (Other != From)
        Network.inject(Other, To, FrameType::CallReply, Payload);
  }
}

std::vector<std::string> TrafficWorld::violations(bool PlannedOnly) const {
  std::vector<std::string> Violations;
  for (const CallerRecord &Caller : Callers)
    checkCaller(Caller, PlannedOnly, Violations);
  if (ReceivedAfterDrain > 0)
    Violations.push_back("8: attempt sent to a draining server");
  return Violations;
}

int TrafficWorld::receivedWithKey(const std::string &Key) const {
  int Total = 0;
  for (const CallerRecord &Caller : Callers) {
    auto Record = ServerRecords.find(Caller.Id);
    if (Caller.Key == Key && Record != ServerRecords.end())
      Total += Record->second.ReceivedAttempts;
  }
  return Total;
}

// A replayed answer may belong to an earlier request with the same key.
bool TrafficWorld::isAnswerTo(const CallerRecord &Caller, bool Replayed) const {
  if (!Replayed)
    return Caller.Response.Body == answerBody(Caller.Id);
  return std::any_of(Callers.begin(), Callers.end(),
                     [&](const CallerRecord &Other) {
                       return Other.Key == Caller.Key &&
                              Caller.Response.Body == answerBody(Other.Id);
                     });
}

void TrafficWorld::checkCaller(const CallerRecord &Caller, bool PlannedOnly,
                               std::vector<std::string> &Violations) const {
  auto Record = ServerRecords.find(Caller.Id);
  ServerRecord Attempts =
      Record == ServerRecords.end() ? ServerRecord() : Record->second;
  int Received = Attempts.ReceivedAttempts;
  if (!Caller.Key.empty())
    Received = receivedWithKey(Caller.Key);
  if (!Caller.Idempotent && Received > 1)
    Violations.push_back("7: sent " + std::to_string(Received) +
                         " times: " + Caller.Id);
  if (Caller.DaemonDied && Caller.Replies == 0)
    return;
  if (Caller.Replies != 1) {
    Violations.push_back("5: " + std::to_string(Caller.Replies) +
                         " replies to " + Caller.Id);
    return;
  }
  if (*Caller.Ended - Caller.Started > Options.Deadline + OutcomeTolerance)
    Violations.push_back("5: no outcome within the deadline: " + Caller.Id);
  const std::string *Outcome =
      findHeader(Caller.Response.Headers, OutcomeHeader);
  if (Outcome == nullptr) {
    Violations.push_back("6: response without an outcome: " + Caller.Id);
    return;
  }
  bool Replayed =
      findHeader(Caller.Response.Headers, ReplayedHeader) != nullptr;
  if (*Outcome == "answered" && Caller.Response.Status == 200 &&
      !isAnswerTo(Caller, Replayed))
    Violations.push_back("5: answer truncated or of another request: " +
                         Caller.Id);
  if (*Outcome == "answered" && Attempts.ReceivedAttempts == 0 && !Replayed)
    Violations.push_back("5: answered, but no server received it: " +
                         Caller.Id);
  if (*Outcome == "refused" && Attempts.ReceivedAttempts > 0)
    Violations.push_back("6: refused, but a server received bytes: " +
                         Caller.Id);
  if (*Outcome == "unknown" && PlannedOnly)
    Violations.push_back("9: outcome unknown after a planned stop: " +
                         Caller.Id);
}

} // namespace cyclamenwind::testing
