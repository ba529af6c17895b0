// Forwarder, gate and registry of several daemons in virtual time, over the
// fake network, with backend servers that are functions.

#include "cyclamenwind/mesh/forwarder.h"
#include "cyclamenwind/mesh/registry.h"
#include "platform/wire.h"
#include "testing/fake_peers.h"
#include "testing/virtual_time.h"

#include <catch2/catch.hpp>

#include <deque>

using namespace cyclamenwind;
using namespace cyclamenwind::literals;
using namespace cyclamenwind::testing;

namespace {

// What a server does with a request.
struct Behaviour {
  Duration Work = 20ms;
  int Status = 200;
  bool Shed = false;
  bool Signed = true;
  bool LoseAnswer = false;
  bool RefuseConnections = false;
  bool Healthy = true;
};

// Plays all backend servers; each daemon has one, at its host's port 8000.
class FakeServers {
public:
  explicit FakeServers(VirtualTime &Time) : Time(Time) {}

  std::map<std::string, Behaviour> ByHost;
  std::map<std::string, int> Runs;     // By attempt id.
  std::map<std::string, int> Arrivals; // By host.
  std::map<std::string, int> Cut;      // Runs that were broken off, by host.
  std::vector<HttpRequest> Seen;
  int HealthChecks = 0;

  VirtualTime &Time;
};

class FakeCall final : public HttpCall {
public:
  FakeCall(FakeServers &Servers, std::string Host)
      : Servers(Servers), Host(std::move(Host)) {}
  ~FakeCall() override {
    if (!Ended)
      ++Servers.Cut[Host];
  }
  bool sent() const override { return true; }

  FakeServers &Servers;
  std::string Host;
  TimerHandle Timer;
  bool Ended = false;
};

class FakeSender final : public HttpSender {
public:
  explicit FakeSender(FakeServers &Servers) : Servers(Servers) {}

  std::unique_ptr<HttpCall> send(const Address &To, const HttpRequest &Request,
                                 Duration Timeout, HttpDone Done) override {
    const Behaviour &Acts = Servers.ByHost[To.Host];
    auto Call = std::make_unique<FakeCall>(Servers, To.Host);
    FakeCall *Raw = Call.get();
    ++Servers.Arrivals[To.Host];
    Servers.Seen.push_back(Request);
    HttpResponse Response{Acts.Status, {}, "body of " + To.Host};
    if (Request.Target == "/health") {
      ++Servers.HealthChecks;
      Response.Status = Acts.Healthy ? 200 : 503;
      Response.Headers.push_back(
          {"Cyclamenwind-Instance-Id",
           "i-" + To.Host.substr(To.Host.rfind('.') + 1)});
    } else if (Acts.Shed) {
      Response.Status = 503;
      Response.Headers.push_back({"Cyclamenwind-Not-Executed", "1"});
    } else if (!Acts.RefuseConnections) {
      ++Servers.Runs[*findHeader(Request.Headers, "Cyclamenwind-Attempt-Id")];
      if (Acts.Signed)
        Response.Headers.push_back({"Cyclamenwind-Response-Signature", "sig"});
    }
    Result<HttpResponse, HttpClientError> Outcome = Response;
    if (Acts.RefuseConnections)
      Outcome = HttpClientError{HttpClientErrorCode::ConnectFailed, false};
    else if (Acts.LoseAnswer)
      Outcome = HttpClientError{HttpClientErrorCode::ConnectionLost, true};
    Duration Work = Acts.Shed || Acts.RefuseConnections ? 1ms : Acts.Work;
    if (Work > Timeout) {
      Work = Timeout;
      Outcome = HttpClientError{HttpClientErrorCode::TimedOut, true};
    }
    Raw->Timer = Servers.Time.after(Work, [Raw, Outcome, Done] {
      Raw->Ended = true;
      Done(Outcome);
    });
    return Call;
  }

  FakeServers &Servers;
};

class FakeExchange final : public Exchange {
public:
  explicit FakeExchange(HttpRequest Request) : Request(std::move(Request)) {}
  const HttpRequest &request() const override { return Request; }
  HttpRequest takeRequest() override { return Request; }
  void reply(const HttpResponse &Response) override { Answer = Response; }
  void abandon() override {}
  void onPeerGone(std::function<void()> Action) override { Gone = Action; }

  HttpRequest Request;
  std::optional<HttpResponse> Answer;
  std::function<void()> Gone;
};

class FakePublisher final : public Service, public EndpointPublisher {
public:
  explicit FakePublisher(bool &Answers) : Answers(Answers) {}
  std::string_view name() const override { return "store_sync"; }
  void start(Kernel &) override {}
  void publish(const MeshEndpoint &, std::function<void(bool)> Done) override {
    if (Answers)
      Done(true);
  }
  bool &Answers;
};

MeshConfig config(uint64_t Revision = 1) {
  MeshConfig Value;
  Value.Revision = Revision;
  MeshRoute Read{"read", "shop.example", "/read/", true, 1s, 400ms, 2, 1, {}};
  Read.Targets.push_back({"quote", 1});
  MeshRoute Submit = Read;
  Submit.Name = "submit";
  Submit.PathPrefix = "/submit/";
  Submit.Idempotent = false;
  Value.Routes = {Read, Submit};
  Value.Services = {{"quote", "/health", 100}};
  return Value;
}

class Mesh {
public:
  explicit Mesh(int Count)
      : Dice(11), Network(Time, Time, Dice), Servers(Time) {
    for (int I = 0; I < Count; ++I)
      add("10.0.0." + std::to_string(I + 1));
    Time.advance(50ms);
  }

  struct Daemon {
    std::unique_ptr<Random> Dice;
    std::unique_ptr<Kernel> Services;
    Forwarder *Forward;
    Gate *TheGate;
    Registry *Reports;
    MeshState *State;
    FakePeers *Peers;
  };

  void add(const std::string &Host) {
    Daemon &Added = Daemons.emplace_back();
    Added.Dice = std::make_unique<Random>(Daemons.size());
    Added.Services = std::make_unique<Kernel>(Time, Time, *Added.Dice);
    auto Keep = [&Added](auto Owned) {
      auto *Raw = Owned.get();
      Added.Services->add(std::move(Owned));
      return Raw;
    };
    Added.Peers =
        Keep(std::make_unique<FakePeers>(Network, Address{Host, 7000}));
    Keep(std::make_unique<Metrics>());
    Added.State = Keep(std::make_unique<MeshState>());
    Added.TheGate = Keep(
        std::make_unique<Gate>(std::make_unique<FakeSender>(Servers), Format));
    Added.Forward = Keep(std::make_unique<Forwarder>(
        ForwarderOptions{"a", "quote", {0.2, 56, 10s}}, Format));
    Keep(std::make_unique<FakePublisher>(StoreAnswers));
    Added.Reports =
        Keep(std::make_unique<Registry>(RegistryOptions{{Host, 7000}, 1500ms}));
    Added.Services->start();
    for (const MeshEndpoint &Each : Recorded)
      Added.State->merge(Each);
    if (Listed)
      Added.State->setListed();
    Added.State->apply(config(), "");
    Added.Peers->handle(
        FrameType::EndpointAnnounce,
        [State = Added.State](const Address &From, std::string_view Payload) {
          auto Message = decodeMessage<wire::EndpointAnnounce>(Payload);
          for (const wire::EndpointRecord &Each : Message.value().endpoints) {
            MeshEndpoint Record = *endpointOf(Each);
            if (Record.Gate == From)
              State->mergeFromGate(Record);
            else
              State->merge(Record);
          }
        });
    // Each daemon learns of the servers that were there before it.
    for (Daemon &Other : Daemons)
      for (const auto &[Id, Each] : Other.State->directory().all())
        Added.State->merge(Each);
    if (Reporting)
      report(Daemons.size() - 1, 1);
  }

  ServerReport reportOf(size_t Index, int64_t Sequence, bool Draining = false) {
    std::string Host = "10.0.0." + std::to_string(Index + 1);
    return {"i-" + std::to_string(Index + 1),
            "quote",
            {Host, 8000},
            "a",
            "v1",
            2,
            Draining,
            {},
            Sequence,
            1000};
  }

  // Whether the report was acknowledged at once.
  bool report(size_t Index, int64_t Sequence, bool Draining = false) {
    auto Acked = std::make_shared<bool>(false);
    Daemons[Index].Reports->report(reportOf(Index, Sequence, Draining),
                                   [Acked] { *Acked = true; });
    return *Acked;
  }

  std::shared_ptr<FakeExchange> request(const std::string &Path,
                                        size_t From = 0) {
    std::string Id = "attempt-" + std::to_string(++Sent);
    auto Received = std::make_shared<FakeExchange>(
        HttpRequest{"GET",
                    Path,
                    {{"Host", "shop.example"},
                     {"Cyclamenwind-Attempt-Id", Id},
                     {"Cyclamenwind-Deadline-Ms", "1500"},
                     {"Cyclamenwind-Caller-Service", "forged"}},
                    ""});
    Daemons[From].Forward->accept(Received);
    return Received;
  }

  int mostRuns() const {
    int Most = 0;
    for (const auto &[Id, Count] : Servers.Runs)
      Most = std::max(Most, Count);
    return Most;
  }

  VirtualTime Time;
  Random Dice;
  FakeNetwork Network;
  FakeServers Servers;
  platform::Headers Format;
  bool StoreAnswers = true;
  std::vector<MeshEndpoint> Recorded; // On the platform, when a daemon starts.
  bool Reporting = true; // A server reports when its daemon starts.
  bool Listed = true;    // Daemons have read the platform's records.
  std::deque<Daemon> Daemons;
  int Sent = 0;
};

} // namespace

TEST_CASE("a request reaches a server with the mesh's own headers") {
  Mesh Running(2);
  auto Received = Running.request("/read/1");
  Running.Time.advance(200ms);
  REQUIRE(Received->Answer);
  CHECK(Received->Answer->Status == 200);
  REQUIRE(Running.Servers.Seen.size() == 1);
  const HttpHeaders &Headers = Running.Servers.Seen[0].Headers;
  CHECK(countHeaders(Headers, "Cyclamenwind-Caller-Service") == 1);
  CHECK(*findHeader(Headers, "Cyclamenwind-Caller-Service") == "quote");
  CHECK(findHeader(Headers, "Cyclamenwind-Target-Instance") != nullptr);
  int Remaining = std::stoi(*findHeader(Headers, "Cyclamenwind-Deadline-Ms"));
  CHECK(Remaining <= 1000); // The route's timeout, not the caller's deadline.
}

TEST_CASE("unknown routes get 404, and 503 before a configuration is known") {
  Mesh Running(1);
  auto Unknown = Running.request("/nowhere/1");
  CHECK(Unknown->Answer->Status == 404);
  Mesh Fresh(0);
  Random Dice(1);
  Kernel Services(Fresh.Time, Fresh.Time, Dice);
  Services.add(
      std::make_unique<FakePeers>(Fresh.Network, Address{"10.0.0.9", 7000}));
  Services.add(std::make_unique<Metrics>());
  Services.add(std::make_unique<MeshState>());
  Services.add(std::make_unique<Gate>(
      std::make_unique<FakeSender>(Fresh.Servers), Fresh.Format));
  Services.add(std::make_unique<Forwarder>(ForwarderOptions{"a", "quote", {}},
                                           Fresh.Format));
  Services.start();
  auto Early = std::make_shared<FakeExchange>(
      HttpRequest{"GET", "/read/1", {{"Host", "shop.example"}}, ""});
  Services.find<Forwarder>("forwarder").accept(Early);
  REQUIRE(Early->Answer);
  CHECK(Early->Answer->Status == 503);
  CHECK(findHeader(Early->Answer->Headers, "Retry-After") != nullptr);
  Services.stop();
}

TEST_CASE("a server that sheds has not run the request: any kind goes "
          "elsewhere") {
  Mesh Running(2);
  Running.Servers.ByHost["10.0.0.1"].Shed = true;
  for (int I = 0; I < 3; ++I) {
    auto Received = Running.request("/submit/1");
    Running.Time.advance(500ms);
    REQUIRE(Received->Answer);
    CHECK(Received->Answer->Status == 200);
  }
  CHECK(Running.mostRuns() == 1);
}

TEST_CASE("lost answer: a request that is not idempotent runs once and gets no "
          "promise") {
  Mesh Running(2);
  Running.Servers.ByHost["10.0.0.1"].LoseAnswer = true;
  Running.Servers.ByHost["10.0.0.2"].LoseAnswer = true;
  auto Received = Running.request("/submit/1");
  Running.Time.advance(2s);
  REQUIRE(Received->Answer);
  CHECK(Received->Answer->Status == 502);
  CHECK(Running.mostRuns() == 1);
}

TEST_CASE("lost answer: an idempotent request is run again elsewhere") {
  Mesh Running(2);
  Running.Servers.ByHost["10.0.0.1"].LoseAnswer = true;
  auto First = Running.request("/read/1");
  auto Second = Running.request("/read/2", 1);
  Running.Time.advance(1s);
  CHECK(First->Answer->Status == 200);
  CHECK(Second->Answer->Status == 200);
}

TEST_CASE("an unsigned or encoded success is not passed on") {
  Mesh Running(1);
  Running.Servers.ByHost["10.0.0.1"].Signed = false;
  auto Received = Running.request("/read/1");
  Running.Time.advance(2s);
  REQUIRE(Received->Answer);
  CHECK(Received->Answer->Status == 502);
}

TEST_CASE("a server's own failure is passed on as it is") {
  Mesh Running(1);
  Running.Servers.ByHost["10.0.0.1"].Status = 500;
  auto Received = Running.request("/submit/1");
  Running.Time.advance(1s);
  REQUIRE(Received->Answer);
  CHECK(Received->Answer->Status == 500);
  CHECK(findHeader(Received->Answer->Headers,
                   "Cyclamenwind-Response-Signature") != nullptr);
}

TEST_CASE("a server's failure is passed on though a repeat found no server") {
  Mesh Running(2);
  for (const char *Host : {"10.0.0.1", "10.0.0.2"})
    Running.Servers.ByHost[Host].Status = 500;
  auto Received = Running.request("/read/1");
  Running.Time.advance(5ms);
  for (const char *Host : {"10.0.0.1", "10.0.0.2"})
    Running.Servers.ByHost[Host].RefuseConnections = true;
  Running.Time.advance(900ms);
  REQUIRE(Received->Answer);
  CHECK(Received->Answer->Status == 500);
}

TEST_CASE("nothing reaches a server after its leaving was acknowledged") {
  Mesh Running(2);
  Running.Servers.ByHost["10.0.0.1"].Work = 300ms;
  Running.Servers.ByHost["10.0.0.2"].Work = 300ms;
  std::vector<std::shared_ptr<FakeExchange>> Waiting;
  for (int I = 0; I < 6; ++I)
    Waiting.push_back(Running.request("/read/1"));
  Running.Time.advance(20ms);
  CHECK(Running.report(0, 2, /*Draining=*/true));
  int Before = Running.Servers.Arrivals["10.0.0.1"];
  for (int I = 0; I < 20; ++I) {
    Waiting.push_back(Running.request("/read/1", I % 2));
    Running.Time.advance(100ms);
  }
  Running.Time.advance(2s);
  CHECK(Running.Servers.Arrivals["10.0.0.1"] == Before);
  for (const auto &Each : Waiting)
    CHECK(Each->Answer);
}

TEST_CASE("a delayed report does not bring a leaving server back") {
  Mesh Running(2);
  Running.report(0, 5, /*Draining=*/true);
  Running.report(0, 4);
  Running.report(0, 6);
  Running.Time.advance(100ms);
  CHECK(Running.Daemons[1].State->directory().ready("quote").size() == 1);
  ServerReport Again = Running.reportOf(0, 1);
  Again.Born = 2000;
  Running.Daemons[0].Reports->report(Again, [] {});
  Running.Time.advance(100ms);
  CHECK(Running.Daemons[1].State->directory().ready("quote").size() == 2);
}

TEST_CASE("a new process that acknowledged the leaving of a server it does not "
          "know takes no delayed report of it") {
  Mesh Running(1);
  ServerReport Late = Running.reportOf(1, 14);
  bool Acked = false;
  Running.Daemons[0].Reports->leave(Late.Id, 0, [&Acked] { Acked = true; });
  CHECK(Acked);
  Running.Time.advance(2300ms);
  Running.Daemons[0].Reports->report(Late, [] {});
  CHECK(Running.Daemons[0].State->directory().find(Late.Id) == nullptr);
}

TEST_CASE("a new process takes a delayed report of a server that left only "
          "until a peer knows better") {
  Mesh Running(1);
  Mesh::Daemon &New = Running.Daemons[0];
  // This process did not see the leaving; peers did, and tell it now.
  MeshEndpoint Left = *New.State->directory().find("i-1");
  Left.State = EndpointState::Draining;
  Left.Sequence = 15;
  New.State->merge(Left);
  int Before = Running.Servers.Arrivals["10.0.0.1"];
  // Another daemon that has not heard of it sends a request to this gate.
  wire::ForwardRequest Message;
  Message.instanceId = "i-1";
  Message.serviceName = "quote";
  Message.method = "GET";
  Message.target = "/read/1";
  Message.remainingUs = 500000;
  Message.objectiveUs = 500000;
  std::string Reason;
  New.TheGate->submit(Message, [&Reason](const wire::ForwardReply &Reply) {
    Reason = Reply.reason;
  });
  Running.Time.advance(100ms);
  CHECK(Reason == nameOf(GateReason::Leaving));
  CHECK(Running.Servers.Arrivals["10.0.0.1"] == Before);
  Running.report(0, 14);
  CHECK(New.State->directory().find("i-1")->State == EndpointState::Draining);
}

TEST_CASE("a new process that cannot read the platform waits for its peers' "
          "records before it takes a report") {
  Mesh Running(0);
  Running.Listed = false;
  Running.add("10.0.0.1");
  Mesh::Daemon &New = Running.Daemons[0];
  Running.Time.advance(1500ms);
  CHECK(New.State->directory().ready("quote").empty());
  MeshEndpoint Known;
  Known.Id = "i-1";
  Known.Service = "quote";
  Known.Gate = {"10.0.0.1", 7000};
  Known.Server = {"10.0.0.1", 8000};
  Known.Slots = 2;
  Known.Born = 1000;
  Known.Sequence = 9;
  Known.State = EndpointState::Gone;
  New.State->merge(Known);
  New.State->setToldByPeer();
  Running.Time.advance(5s);
  CHECK(New.State->directory().ready("quote").empty());
}

TEST_CASE("a new process without platform and peers takes reports in the end") {
  Mesh Running(0);
  Running.Listed = false;
  Running.add("10.0.0.1");
  Running.Time.advance(3500ms);
  CHECK(Running.Daemons[0].State->directory().ready("quote").size() == 1);
}

TEST_CASE("all daemons are killed at once: servers are taken over before they "
          "report again") {
  Mesh Running(0);
  Running.Reporting = false;
  std::vector<MeshEndpoint> Records;
  for (int I = 1; I <= 3; ++I) {
    MeshEndpoint Record;
    Record.Id = "i-" + std::to_string(I);
    Record.Service = "quote";
    Record.Version = "v1";
    Record.FailureDomain = "a";
    Record.Gate = {"10.0.0." + std::to_string(I), 7000};
    Record.Server = {"10.0.0." + std::to_string(I), 8000};
    Record.Slots = 2;
    Record.Born = 1000;
    Record.Sequence = 1;
    Records.push_back(Record);
  }
  Running.Recorded = Records;
  Running.Servers.ByHost["10.0.0.2"].Healthy = false;
  for (int I = 1; I <= 3; ++I)
    Running.add("10.0.0." + std::to_string(I));
  Running.Time.advance(50ms);
  CHECK(Running.Servers.HealthChecks == 3);
  for (int I = 0; I < 10; ++I) {
    auto Received = Running.request("/read/1", size_t(I % 3));
    Running.Time.advance(50ms);
    REQUIRE(Received->Answer);
    CHECK(Received->Answer->Status == 200);
  }
  CHECK(Running.Servers.Arrivals["10.0.0.2"] == 1); // The health check.
  // The server's own word still counts.
  Running.report(0, 20, /*Draining=*/true);
  Running.Time.advance(50ms);
  CHECK(Running.Daemons[2].State->directory().find("i-1")->State ==
        EndpointState::Draining);
}

TEST_CASE("planned stops in turn: a daemon that is back is used at once") {
  Mesh Running(2);
  Running.report(1, 19);
  Running.Daemons[1].Reports->announceStopping();
  Running.Time.advance(10ms);
  Mesh::Daemon &Peer = Running.Daemons[0];
  REQUIRE(Peer.State->directory().find("i-2")->State ==
          EndpointState::Unreachable);
  // The new process knows the record as it was first stored.
  MeshEndpoint Stored = *Peer.State->directory().find("i-2");
  Stored.Sequence = 1;
  Stored.State = EndpointState::Ready;
  CHECK_FALSE(Peer.State->merge(Stored));
  CHECK(Peer.State->mergeFromGate(Stored));
  CHECK(Peer.State->directory().ready("quote").size() == 2);
  // Others may still tell that it is away.
  Stored.Sequence = 19;
  Stored.State = EndpointState::Unreachable;
  CHECK_FALSE(Peer.State->merge(Stored));
  Stored.Sequence = 20;
  Stored.State = EndpointState::Draining;
  CHECK(Peer.State->merge(Stored));
}

TEST_CASE("planned stops overlap: a service whose daemons all stop is served "
          "while they still take requests") {
  Mesh Running(2);
  Running.report(0, 5);
  Running.report(1, 5);
  Running.Daemons[0].Reports->announceStopping();
  Running.Daemons[1].Reports->announceStopping();
  Running.Time.advance(10ms);
  REQUIRE(Running.Daemons[0].State->directory().ready("quote").empty());
  auto Received = Running.request("/read/1");
  Running.Time.advance(100ms);
  REQUIRE(Received->Answer);
  CHECK(Received->Answer->Status == 200);
  for (Mesh::Daemon &Each : Running.Daemons)
    Each.TheGate->refuseNew();
  Received = Running.request("/read/2");
  Running.Time.advance(100ms);
  REQUIRE(Received->Answer);
  CHECK(Received->Answer->Status == 503);
}

TEST_CASE("a month of releases: servers that left are forgotten") {
  Mesh Running(1);
  Mesh::Daemon &Only = Running.Daemons[0];
  for (int I = 10; I < 60; ++I) {
    ServerReport Next = Running.reportOf(0, 1);
    Next.Id = "i-" + std::to_string(I);
    Next.Born = 1000 * I;
    Only.Reports->report(Next, [] {});
    Running.Time.advance(1s);
    auto Received = Running.request("/read/1");
    Running.Time.advance(1s);
    REQUIRE(Received->Answer);
    CHECK(Received->Answer->Status == 200);
    Only.Reports->leave(Next.Id, Next.Born, [] {});
  }
  CHECK(Only.TheGate->servers() <= 2);
}

TEST_CASE("a leaving server is acknowledged in time though the platform does "
          "not answer") {
  Mesh Running(1);
  Running.StoreAnswers = false;
  auto Acked = std::make_shared<bool>(false);
  Running.Daemons[0].Reports->report(Running.reportOf(0, 2, true),
                                     [Acked] { *Acked = true; });
  CHECK_FALSE(*Acked);
  Running.Time.advance(900ms);
  CHECK(*Acked);
}

TEST_CASE("a caller that leaves takes its request off the server") {
  Mesh Running(2);
  Running.Servers.ByHost["10.0.0.1"].Work = 900ms;
  Running.Servers.ByHost["10.0.0.2"].Work = 900ms;
  auto Received = Running.request("/read/1");
  Running.Time.advance(50ms);
  Received->Gone();
  Running.Time.advance(50ms);
  CHECK(Running.Servers.Cut["10.0.0.1"] + Running.Servers.Cut["10.0.0.2"] == 1);
  CHECK(Running.Daemons[0].Forward->active() == 0);
  CHECK(Running.Daemons[1].TheGate->active() == 0);
}

TEST_CASE("the answer comes at the route's timeout though the server works "
          "on") {
  Mesh Running(1);
  Running.Servers.ByHost["10.0.0.1"].Work = 5s;
  auto Received = Running.request("/read/1");
  Running.Time.advance(1050ms);
  REQUIRE(Received->Answer);
  CHECK(Received->Answer->Status == 504);
}

TEST_CASE("silent gate: an idempotent request goes elsewhere, another waits") {
  Mesh Running(3);
  Running.Network.pause({"10.0.0.2", 7000}, true);
  Running.Network.pause({"10.0.0.3", 7000}, true);
  std::vector<std::shared_ptr<FakeExchange>> Reads;
  std::vector<std::shared_ptr<FakeExchange>> Submits;
  for (int I = 0; I < 6; ++I) {
    Reads.push_back(Running.request("/read/1"));
    Submits.push_back(Running.request("/submit/1"));
  }
  Running.Time.advance(2s);
  int Answered = 0;
  for (const auto &Each : Reads)
    Answered += Each->Answer && Each->Answer->Status == 200;
  CHECK(Answered >= 4);
  for (const auto &Each : Submits)
    REQUIRE(Each->Answer);
  Running.Network.pause({"10.0.0.2", 7000}, false);
  Running.Network.pause({"10.0.0.3", 7000}, false);
  Running.Time.advance(2s);
  // Requests that were said not to have run never run later.
  for (const auto &Each : Submits)
    if (Each->Answer->Status == 503)
      CHECK(Running.Servers.Runs[*findHeader(Each->Request.Headers,
                                             "Cyclamenwind-Attempt-Id")] == 0);
}

TEST_CASE("hosts gone for good: requests go to those that can be reached") {
  Mesh Running(3);
  Running.Daemons[0].Peers->Unanswering = {{"10.0.0.2", 7000}};
  for (int I = 0; I < 30; ++I) {
    auto Received = Running.request("/submit/1");
    Running.Time.advance(100ms);
    REQUIRE(Received->Answer);
    CHECK(Received->Answer->Status == 200);
  }
}

TEST_CASE("no host can be reached: refused soon, as not run") {
  Mesh Running(2);
  Running.report(0, 2, /*Draining=*/true);
  Running.Daemons[0].Peers->Unanswering = {{"10.0.0.2", 7000}};
  auto Received = Running.request("/submit/1");
  Running.Time.advance(500ms);
  REQUIRE(Received->Answer);
  CHECK(Received->Answer->Status == 503);
}

TEST_CASE("overload: what cannot be served is refused at once with a time to "
          "come back") {
  Mesh Running(2);
  Running.Servers.ByHost["10.0.0.1"].Work = 200ms;
  Running.Servers.ByHost["10.0.0.2"].Work = 200ms;
  // Learn how long a request takes.
  for (int I = 0; I < 10; ++I) {
    Running.request("/read/1", I % 2);
    Running.Time.advance(250ms);
  }
  std::vector<std::shared_ptr<FakeExchange>> Burst;
  for (int I = 0; I < 40; ++I)
    Burst.push_back(Running.request("/read/1", I % 2));
  Running.Time.advance(50ms);
  int Refused = 0;
  for (const auto &Each : Burst)
    if (Each->Answer) {
      ++Refused;
      CHECK(Each->Answer->Status == 503);
      const std::string *After =
          findHeader(Each->Answer->Headers, "Retry-After");
      REQUIRE(After != nullptr);
      CHECK(std::stod(*After) > 0);
      CHECK(std::stod(*After) <= 0.5);
    }
  CHECK(Refused >= 28);
  Running.Time.advance(2s);
  int InTime = 0;
  for (const auto &Each : Burst)
    InTime += Each->Answer->Status == 200;
  CHECK(InTime >= 4);
}

TEST_CASE("a server that accepts no connections: refusals are true and others "
          "serve") {
  Mesh Running(2);
  Running.Servers.ByHost["10.0.0.1"].RefuseConnections = true;
  for (int I = 0; I < 4; ++I) {
    auto Received = Running.request("/submit/1");
    Running.Time.advance(300ms);
    REQUIRE(Received->Answer);
    CHECK(Received->Answer->Status == 200);
  }
}

TEST_CASE("a daemon never goes back to an older configuration") {
  Mesh Running(1);
  MeshState &State = *Running.Daemons[0].State;
  MeshConfig Newer = config(5);
  Newer.Routes.pop_back();
  CHECK(State.apply(Newer, ""));
  CHECK_FALSE(State.apply(config(4), ""));
  CHECK(Running.request("/submit/1")->Answer->Status == 404);
}
