// Backend servers that report, leave, and outlive the daemons beside them.

#include "testing/mesh_world.h"

#include <catch2/catch.hpp>

using namespace cyclamenwind;
using namespace cyclamenwind::literals;
using namespace cyclamenwind::testing;

TEST_CASE("nothing reaches a server after its leaving was acknowledged") {
  MeshWorld Running(2);
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
  MeshWorld Running(2);
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
  MeshWorld Running(1);
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
  MeshWorld Running(1);
  MeshWorld::Daemon &New = Running.Daemons[0];
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
  New.Inbound->submit(Message, [&Reason](const wire::ForwardReply &Reply) {
    Reason = Reply.reason;
  });
  Running.Time.advance(100ms);
  CHECK(Reason == nameOf(ForwardError::Leaving));
  CHECK(Running.Servers.Arrivals["10.0.0.1"] == Before);
  Running.report(0, 14);
  CHECK(New.State->directory().find("i-1")->State == EndpointState::Draining);
}

TEST_CASE("a new process that cannot read the platform waits for its peers' "
          "records before it takes a report") {
  MeshWorld Running(0);
  Running.Listed = false;
  Running.add("10.0.0.1");
  MeshWorld::Daemon &New = Running.Daemons[0];
  Running.Time.advance(1500ms);
  CHECK(New.State->directory().ready("quote").empty());
  MeshEndpoint Known;
  Known.Id = "i-1";
  Known.Service = "quote";
  Known.DaemonAddress = {"10.0.0.1", 7000};
  Known.Server = {"10.0.0.1", 8000};
  Known.Slots = 2;
  Known.Born = 1000;
  Known.Sequence = 9;
  Known.State = EndpointState::Gone;
  New.State->merge(Known);
  New.State->setPeerRecordsRead();
  Running.Time.advance(5s);
  CHECK(New.State->directory().ready("quote").empty());
}

TEST_CASE("a new process without platform and peers takes reports in the end") {
  MeshWorld Running(0);
  Running.Listed = false;
  Running.add("10.0.0.1");
  Running.Time.advance(3500ms);
  CHECK(Running.Daemons[0].State->directory().ready("quote").size() == 1);
}

TEST_CASE("all daemons are killed at once: servers are taken over before they "
          "report again") {
  MeshWorld Running(0);
  Running.Reporting = false;
  std::vector<MeshEndpoint> Records;
  for (int I = 1; I <= 3; ++I) {
    MeshEndpoint Record;
    Record.Id = "i-" + std::to_string(I);
    Record.Service = "quote";
    Record.Version = "v1";
    Record.FailureDomain = "a";
    Record.DaemonAddress = {"10.0.0." + std::to_string(I), 7000};
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
  MeshWorld Running(2);
  Running.report(1, 19);
  Running.Daemons[1].Reports->announceStopping();
  Running.Time.advance(10ms);
  MeshWorld::Daemon &Peer = Running.Daemons[0];
  REQUIRE(Peer.State->directory().find("i-2")->State ==
          EndpointState::Unreachable);
  // The new process knows the record as it was first stored.
  MeshEndpoint Stored = *Peer.State->directory().find("i-2");
  Stored.Sequence = 1;
  Stored.State = EndpointState::Ready;
  CHECK_FALSE(Peer.State->merge(Stored));
  CHECK(Peer.State->mergeFromOwner(Stored));
  CHECK(Peer.State->directory().ready("quote").size() == 2);
  // Others may still tell that it is away.
  Stored.Sequence = 19;
  Stored.State = EndpointState::Unreachable;
  CHECK_FALSE(Peer.State->merge(Stored));
  Stored.Sequence = 20;
  Stored.State = EndpointState::Draining;
  CHECK(Peer.State->merge(Stored));
}

TEST_CASE("a month of releases: servers that left are forgotten") {
  MeshWorld Running(1);
  MeshWorld::Daemon &Only = Running.Daemons[0];
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
  CHECK(Only.Inbound->servers() <= 2);
}

TEST_CASE("a leaving server is acknowledged in time though the platform does "
          "not answer") {
  MeshWorld Running(1);
  Running.StoreAnswers = false;
  auto Acked = std::make_shared<bool>(false);
  Running.Daemons[0].Reports->report(Running.reportOf(0, 2, true),
                                     [Acked] { *Acked = true; });
  CHECK_FALSE(*Acked);
  Running.Time.advance(900ms);
  CHECK(*Acked);
}
