#include "testing/traffic_world.h"

#include "cyclamenwind/base/names.h"

namespace cyclamenwind::testing {
namespace {

constexpr Duration HopTime = 1ms;
// What a caller waits beyond the deadline for the daemon's word.
constexpr Duration EndTolerance = 100ms;
constexpr Duration AnnouncementLifetime = 3s;
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
  RouteSpec Once;
  Once.Name = "once";
  Once.Service = "quote";
  Once.PathPrefix = "/once";
  Once.Deadline = Options.Deadline;
  RouteSpec Again = Once;
  Again.Name = "again";
  Again.PathPrefix = "/again";
  Again.Idempotent = true;
  RouteSpec Claimed = Once;
  Claimed.Name = "claimed";
  Claimed.PathPrefix = "/claimed";
  Claimed.Resubmission = ResubmissionRule::Claim;
  Value.Body.Routes = {Once, Again, Claimed};
  return formatEnvelope(Value);
}

} // namespace

std::string_view nameOf(CallStep Step) { return nameIn(StepNames, Step); }

// A request on its way to a fake server, one hop at a time.
class FakeBackendCall final : public HttpCall {
public:
  FakeBackendCall(TrafficWorld &World, int Server, const HttpRequest &Request,
                  Duration Timeout, HttpCallback OnDone)
      : World(World), Server(Server), OnDone(std::move(OnDone)),
        Number(World.NextCall++) {
    if (const std::string *Given = findHeader(Request.Headers, RequestIdHeader))
      Id = *Given;
    World.Open[Number] = this;
    Deadline = World.Time.after(
        Timeout, [this] { fail(HttpClientErrorCode::TimedOut, FirstByteOut); });
    Step = World.Time.after(HopTime, [this] { connect(); });
  }
  ~FakeBackendCall() override { World.Open.erase(Number); }
  FakeBackendCall(const FakeBackendCall &) = delete;
  FakeBackendCall &operator=(const FakeBackendCall &) = delete;

  bool sent() const override { return FirstByteOut; }

  // The server's end of the connection has closed.
  void broken() {
    if (World.Options.Mutant == TrafficMutant::SendsTwice && FirstByteOut &&
        !SentTwice) {
      SentTwice = true;
      Step = World.Time.after(HopTime, [this] { connect(); });
      return;
    }
    bool Told =
        FirstByteOut && World.Options.Mutant != TrafficMutant::DeniesFirstByte;
    fail(FirstByteOut ? HttpClientErrorCode::ConnectionLost
                      : HttpClientErrorCode::ConnectFailed,
         Told);
  }

  int server() const { return Server; }

private:
  FakeServer &target() { return World.Servers[static_cast<size_t>(Server)]; }

  // Goes on with Next after Delay, or waits while the server stands still.
  void later(Duration Delay, void (FakeBackendCall::*Next)()) {
    Step = World.Time.after(Delay, [this, Next] {
      if (target().Paused || target().Silent)
        later(HopTime, Next);
      else
        (this->*Next)();
    });
  }

  void connect() {
    World.reached(CallStep::BeforeConnect, Server);
    if (!target().Up) {
      broken();
      return;
    }
    FirstByteOut = true;
    ++World.Seen[Id].Touched;
    if (target().DrainBegun)
      ++World.TouchedAfterDrain;
    later(HopTime, &FakeBackendCall::bodyHalf);
    World.reached(CallStep::FirstByteOut, Server);
  }

  void bodyHalf() {
    later(HopTime, &FakeBackendCall::arrived);
    World.reached(CallStep::BodyHalfOut, Server);
  }

  void arrived() {
    if (target().Sheds) {
      finish(HttpResponse{503, {{RequestIdHeader, Id}}, "no slot"});
      return;
    }
    ++World.Seen[Id].Runs;
    Duration Work =
        target().Slow ? 2 * World.Options.Deadline : World.Options.Work;
    later(Work, &FakeBackendCall::answerHalf);
    World.reached(CallStep::Waiting, Server);
  }

  void answerHalf() {
    later(HopTime, &FakeBackendCall::answerWhole);
    uint64_t Self = Number;
    TrafficWorld &Where = World;
    Where.reached(CallStep::AnswerHalfIn, Server);
    if (Where.Open.count(Self) == 0 || !target().Cuts)
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
    TimerHandle OldStep = std::move(Step);
    TimerHandle OldDeadline = std::move(Deadline);
    World.Open.erase(Number);
    HttpCallback Callback = std::move(OnDone);
    Callback(std::move(Outcome));
  }

  TrafficWorld &World;
  int Server;
  HttpCallback OnDone;
  uint64_t Number;
  std::string Id;
  bool FirstByteOut = false;
  bool SentTwice = false;
  TimerHandle Step;
  TimerHandle Deadline;
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

// Lists the endpoints as the world says, however stale.
class TrafficWorld::FakeMembers final : public Service, public MembershipView {
public:
  explicit FakeMembers(TrafficWorld &World) : World(World) {}

  std::string_view name() const override { return "membership"; }
  void start(Kernel &) override {}
  const std::vector<Endpoint> &endpoints(const std::string &) const override {
    return World.Listed;
  }
  const MemberList &memberList() const override { return None; }
  const Member &self() const override { return Self; }

private:
  TrafficWorld &World;
  MemberList None;
  Member Self;
};

struct TrafficWorld::Daemon {
  Daemon(TrafficWorld &World, int Index)
      : Host(World.Time, World.Time, World.Rng),
        Self{"10.0.0." + std::to_string(1 + Index), 7100} {
    Settings TheSettings;
    TheSettings.Addresses.Peers = Self;
    TheSettings.Member.FailureDomain = "domain-" + std::to_string(Index);
    Host.add(std::make_unique<FakePlatformClient>(World.Platform));
    Host.add(std::make_unique<FakePeers>(World.Network, Self));
    Host.add(std::make_unique<Metrics>());
    auto Store = std::make_unique<ConfigStore>();
    Store->apply(envelopeText(World.Options));
    Host.add(std::move(Store));
    Host.add(std::make_unique<ServerRegistrations>(AnnouncementLifetime));
    Host.add(std::make_unique<FakeMembers>(World));
    Host.add(std::make_unique<AcceptedVersions>());
    Host.add(std::make_unique<InboundCalls>(
        std::make_unique<FakeBackends>(World), TheSettings.Traffic));
    Host.add(std::make_unique<OutboundCalls>(TheSettings));
    Host.start();
  }
  ~Daemon() { Host.stop(); }

  OutboundCalls &callerSide() {
    return Host.find<OutboundCalls>("caller_side");
  }
  InboundCalls &serverSide() { return Host.find<InboundCalls>("server_side"); }
  ServerRegistrations &announcements() {
    return Host.find<ServerRegistrations>("announcements");
  }

  Kernel Host;
  Address Self;
};

class TrafficWorld::FakeCaller final : public Exchange {
public:
  FakeCaller(TrafficWorld &World, size_t Number, HttpRequest Asked)
      : World(World), Number(Number), Asked(std::move(Asked)) {}

  const HttpRequest &request() const override { return Asked; }
  HttpRequest takeRequest() override { return std::move(Asked); }
  void reply(const HttpResponse &Response) override {
    CallerRecord &Record = World.Callers[Number];
    ++Record.Replies;
    Record.Ended = World.Time.now();
    Record.Response = Response;
  }
  void abandon() override {}
  void onPeerGone(std::function<void()>) override {}

private:
  TrafficWorld &World;
  size_t Number;
  HttpRequest Asked;
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
                          int Through) {
  size_t Number = Callers.size();
  CallerRecord Record;
  Record.Id = "request-" + std::to_string(Number);
  Record.Key = Key;
  Record.Idempotent = Idempotent;
  Record.Through = Through;
  Record.Begun = Time.now();
  Callers.push_back(Record);
  HttpRequest Request = {"POST",
                         Idempotent    ? "/again"
                         : Key.empty() ? "/once"
                                       : "/claimed",
                         {{RequestIdHeader, Record.Id}},
                         "body"};
  if (!Key.empty())
    Request.Headers.push_back({IdempotencyKeyHeader, Key});
  auto Caller = std::make_shared<FakeCaller>(*this, Number, Request);
  auto &Where = Daemons[static_cast<size_t>(Through)];
  if (Where)
    Where->callerSide().accept(Caller);
  else
    Callers[Number].DaemonDied = true;
  return Number;
}

void TrafficWorld::onStep(CallStep Step, std::function<void(int)> Action) {
  WantedStep = Step;
  StepAction = std::move(Action);
  if (Step != CallStep::Queued)
    return;
  Poll = Time.every(HopTime, [this] {
    for (int I = 0; I < this->Options.Daemons; ++I)
      if (callsUnderWay(I) > this->Options.Slots)
        reached(CallStep::Queued, I);
  });
}

// The action runs after the present step, as a fault from outside would.
void TrafficWorld::reached(CallStep Step, int Server) {
  if (WantedStep != Step || !StepAction)
    return;
  Time.defer([Action = std::move(StepAction), Server] { Action(Server); });
  StepAction = nullptr;
}

int TrafficWorld::callsUnderWay(int Index) const {
  const auto &Where = Daemons[static_cast<size_t>(Index)];
  return Where ? static_cast<int>(Where->serverSide().active()) : 0;
}

void TrafficWorld::announce(int Index) {
  const FakeServer &Server = Servers[static_cast<size_t>(Index)];
  auto &Beside = Daemons[static_cast<size_t>(Index)];
  if (!Beside || !Server.Up)
    return;
  bool Draining = Server.DrainBegun.has_value() &&
                  Options.Mutant != TrafficMutant::IgnoresDrain;
  Beside->announcements().announce(
      {Server.Listen, "quote", "v1", Options.Slots, Draining}, Time.now());
}

void TrafficWorld::killServer(int Index) {
  Servers[static_cast<size_t>(Index)].Up = false;
  std::vector<uint64_t> Broken;
  for (const auto &[Number, Call] : Open)
    if (Call->server() == Index)
      Broken.push_back(Number);
  for (uint64_t Number : Broken)
    if (Open.count(Number) != 0)
      Open.at(Number)->broken();
}

void TrafficWorld::startServer(int Index) {
  FakeServer &Server = Servers[static_cast<size_t>(Index)];
  Server = {.Listen = Server.Listen};
  announce(Index);
}

void TrafficWorld::drainServer(int Index) {
  FakeServer &Server = Servers[static_cast<size_t>(Index)];
  if (!Server.DrainBegun)
    Server.DrainBegun = Time.now();
  announce(Index);
  // The others hear of it within the bound.
  Timers.push_back(Time.after(AnnouncementLifetime, [this, Index] {
    std::erase_if(Listed, [&](const Endpoint &Each) {
      return Each.MemberId == std::to_string(Index);
    });
  }));
}

void TrafficWorld::withdrawUnheard(int Index) {
  if (auto &Beside = Daemons[static_cast<size_t>(Index)])
    Beside->announcements().withdraw(
        Servers[static_cast<size_t>(Index)].Listen);
}

void TrafficWorld::killDaemon(int Index) {
  for (CallerRecord &Each : Callers)
    if (Each.Through == Index && !Each.Ended)
      Each.DaemonDied = true;
  Daemons[static_cast<size_t>(Index)].reset();
}

void TrafficWorld::startDaemon(int Index) {
  Daemons[static_cast<size_t>(Index)] = std::make_unique<Daemon>(*this, Index);
  std::string Id = std::to_string(Index);
  std::erase_if(Listed,
                [&](const Endpoint &Each) { return Each.MemberId == Id; });
  Endpoint Added;
  Added.MemberId = Id;
  Added.Peer = Daemons[static_cast<size_t>(Index)]->Self;
  Added.FailureDomain = "domain-" + Id;
  Added.Version = "v1";
  Added.Slots = Options.Slots;
  Listed.push_back(Added);
  announce(Index);
}

void TrafficWorld::drainDaemon(int Index) {
  auto &Stopping = Daemons[static_cast<size_t>(Index)];
  Stopping->callerSide().refuseNew();
  std::erase_if(Listed, [&](const Endpoint &Each) {
    return Each.MemberId == std::to_string(Index);
  });
  Timers.push_back(Time.after(LeaveNoticeTime, [this, Index] {
    Daemons[static_cast<size_t>(Index)]->serverSide().refuseNew();
  }));
  Timers.push_back(Time.every(20ms, [this, Index, Begun = Time.now()] {
    auto &Where = Daemons[static_cast<size_t>(Index)];
    if (Where && Time.now() - Begun > LeaveNoticeTime &&
        Where->serverSide().active() + Where->callerSide().active() == 0)
      Where.reset();
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

std::vector<std::string> TrafficWorld::violations(bool Planned) const {
  std::vector<std::string> Found;
  for (const CallerRecord &Each : Callers)
    checkCaller(Each, Planned, Found);
  if (TouchedAfterDrain > 0)
    Found.push_back("8: work given to a draining server");
  return Found;
}

int TrafficWorld::touchedWithKey(const std::string &Key) const {
  int Total = 0;
  for (const CallerRecord &Each : Callers) {
    auto Record = Seen.find(Each.Id);
    if (Each.Key == Key && Record != Seen.end())
      Total += Record->second.Touched;
  }
  return Total;
}

// A replayed answer may be that to an earlier request with the same key.
bool TrafficWorld::isAnswerTo(const CallerRecord &Each, bool Replayed) const {
  if (!Replayed)
    return Each.Response.Body == answerBody(Each.Id);
  return std::any_of(Callers.begin(), Callers.end(),
                     [&](const CallerRecord &Other) {
                       return Other.Key == Each.Key &&
                              Each.Response.Body == answerBody(Other.Id);
                     });
}

void TrafficWorld::checkCaller(const CallerRecord &Each, bool Planned,
                               std::vector<std::string> &Found) const {
  auto Record = Seen.find(Each.Id);
  ServerRecord Server = Record == Seen.end() ? ServerRecord() : Record->second;
  int Touched = Server.Touched;
  if (!Each.Key.empty())
    Touched = touchedWithKey(Each.Key);
  if (!Each.Idempotent && Touched > 1)
    Found.push_back("7: sent " + std::to_string(Touched) +
                    " times: " + Each.Id);
  if (Each.DaemonDied && Each.Replies == 0)
    return;
  if (Each.Replies != 1) {
    Found.push_back("5: " + std::to_string(Each.Replies) + " replies to " +
                    Each.Id);
    return;
  }
  if (*Each.Ended - Each.Begun > Options.Deadline + EndTolerance)
    Found.push_back("5: no end in time: " + Each.Id);
  const std::string *End = findHeader(Each.Response.Headers, EndHeader);
  if (End == nullptr) {
    Found.push_back("6: no end told: " + Each.Id);
    return;
  }
  bool Replayed = findHeader(Each.Response.Headers, ReplayedHeader) != nullptr;
  if (*End == "answered" && Each.Response.Status == 200 &&
      !isAnswerTo(Each, Replayed))
    Found.push_back("5: not the whole own answer: " + Each.Id);
  if (*End == "answered" && Server.Touched == 0 && !Replayed)
    Found.push_back("5: an answer from nowhere: " + Each.Id);
  if (*End == "refused" && Server.Touched > 0)
    Found.push_back("6: refused, yet sent: " + Each.Id);
  if (*End == "unknown" && Planned)
    Found.push_back("9: cut by a planned stop: " + Each.Id);
}

} // namespace cyclamenwind::testing
