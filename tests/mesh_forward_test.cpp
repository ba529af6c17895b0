// Requests through several daemons in virtual time.

#include "testing/mesh_world.h"

#include <catch2/catch.hpp>

using namespace cyclamenwind;
using namespace cyclamenwind::literals;
using namespace cyclamenwind::testing;

TEST_CASE("a request reaches a server with the mesh's own headers") {
  MeshWorld Running(2);
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
  MeshWorld Running(1);
  auto Unknown = Running.request("/nowhere/1");
  CHECK(Unknown->Answer->Status == 404);
  MeshWorld Fresh(0);
  Random Rng(1);
  Kernel Services(Fresh.Time, Fresh.Time, Rng);
  Services.add(
      std::make_unique<FakePeers>(Fresh.Network, Address{"10.0.0.9", 7000}));
  Services.add(std::make_unique<Metrics>());
  Services.add(std::make_unique<MeshState>());
  Services.add(std::make_unique<InboundProxy>(
      std::make_unique<FakeSender>(Fresh.Servers), Fresh.Format));
  Services.add(std::make_unique<OutboundProxy>(
      OutboundProxyOptions{"a", "quote", {}}, Fresh.Format));
  Services.start();
  auto Early = std::make_shared<FakeExchange>(
      HttpRequest{"GET", "/read/1", {{"Host", "shop.example"}}, ""});
  Services.find<OutboundProxy>("forwarder").accept(Early);
  REQUIRE(Early->Answer);
  CHECK(Early->Answer->Status == 503);
  CHECK(findHeader(Early->Answer->Headers, "Retry-After") != nullptr);
  Services.stop();
}

TEST_CASE("a server that sheds has not run the request: any kind goes "
          "elsewhere") {
  MeshWorld Running(2);
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
  MeshWorld Running(2);
  Running.Servers.ByHost["10.0.0.1"].LoseAnswer = true;
  Running.Servers.ByHost["10.0.0.2"].LoseAnswer = true;
  auto Received = Running.request("/submit/1");
  Running.Time.advance(2s);
  REQUIRE(Received->Answer);
  CHECK(Received->Answer->Status == 502);
  CHECK(Running.mostRuns() == 1);
}

TEST_CASE("lost answer: an idempotent request is run again elsewhere") {
  MeshWorld Running(2);
  Running.Servers.ByHost["10.0.0.1"].LoseAnswer = true;
  auto First = Running.request("/read/1");
  auto Second = Running.request("/read/2", 1);
  Running.Time.advance(1s);
  CHECK(First->Answer->Status == 200);
  CHECK(Second->Answer->Status == 200);
}

TEST_CASE("an unsigned or encoded success is not passed on") {
  MeshWorld Running(1);
  Running.Servers.ByHost["10.0.0.1"].Signed = false;
  auto Received = Running.request("/read/1");
  Running.Time.advance(2s);
  REQUIRE(Received->Answer);
  CHECK(Received->Answer->Status == 502);
}

TEST_CASE("a server's own failure is passed on as it is") {
  MeshWorld Running(1);
  Running.Servers.ByHost["10.0.0.1"].Status = 500;
  auto Received = Running.request("/submit/1");
  Running.Time.advance(1s);
  REQUIRE(Received->Answer);
  CHECK(Received->Answer->Status == 500);
  CHECK(findHeader(Received->Answer->Headers,
                   "Cyclamenwind-Response-Signature") != nullptr);
}

TEST_CASE("a server's failure is passed on though a repeat found no server") {
  MeshWorld Running(2);
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

TEST_CASE("planned stops overlap: a service whose daemons all stop is served "
          "while they still take requests") {
  MeshWorld Running(2);
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
  for (MeshWorld::Daemon &Each : Running.Daemons)
    Each.Inbound->refuseNew();
  Received = Running.request("/read/2");
  Running.Time.advance(100ms);
  REQUIRE(Received->Answer);
  CHECK(Received->Answer->Status == 503);
}

TEST_CASE("a caller that leaves takes its request off the server") {
  MeshWorld Running(2);
  Running.Servers.ByHost["10.0.0.1"].Work = 900ms;
  Running.Servers.ByHost["10.0.0.2"].Work = 900ms;
  auto Received = Running.request("/read/1");
  Running.Time.advance(50ms);
  Received->Gone();
  Running.Time.advance(50ms);
  CHECK(Running.Servers.Cut["10.0.0.1"] + Running.Servers.Cut["10.0.0.2"] == 1);
  CHECK(Running.Daemons[0].Forward->active() == 0);
  CHECK(Running.Daemons[1].Inbound->active() == 0);
}

TEST_CASE("the answer comes at the route's timeout though the server works "
          "on") {
  MeshWorld Running(1);
  Running.Servers.ByHost["10.0.0.1"].Work = 5s;
  auto Received = Running.request("/read/1");
  Running.Time.advance(1050ms);
  REQUIRE(Received->Answer);
  CHECK(Received->Answer->Status == 504);
}

TEST_CASE("silent gate: an idempotent request goes elsewhere, another waits") {
  MeshWorld Running(3);
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
  MeshWorld Running(3);
  Running.Daemons[0].Peers->Unanswering = {{"10.0.0.2", 7000}};
  for (int I = 0; I < 30; ++I) {
    auto Received = Running.request("/submit/1");
    Running.Time.advance(100ms);
    REQUIRE(Received->Answer);
    CHECK(Received->Answer->Status == 200);
  }
}

TEST_CASE("no host can be reached: refused soon, as not run") {
  MeshWorld Running(2);
  Running.report(0, 2, /*Draining=*/true);
  Running.Daemons[0].Peers->Unanswering = {{"10.0.0.2", 7000}};
  auto Received = Running.request("/submit/1");
  Running.Time.advance(500ms);
  REQUIRE(Received->Answer);
  CHECK(Received->Answer->Status == 503);
}

TEST_CASE("overload: what cannot be served is refused at once with a time to "
          "come back") {
  MeshWorld Running(2);
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
  MeshWorld Running(2);
  Running.Servers.ByHost["10.0.0.1"].RefuseConnections = true;
  for (int I = 0; I < 4; ++I) {
    auto Received = Running.request("/submit/1");
    Running.Time.advance(300ms);
    REQUIRE(Received->Answer);
    CHECK(Received->Answer->Status == 200);
  }
}

TEST_CASE("a daemon never goes back to an older configuration") {
  MeshWorld Running(1);
  MeshState &State = *Running.Daemons[0].State;
  MeshConfig Newer = meshConfig(5);
  Newer.Routes.pop_back();
  CHECK(State.apply(Newer, ""));
  CHECK_FALSE(State.apply(meshConfig(4), ""));
  CHECK(Running.request("/submit/1")->Answer->Status == 404);
}
