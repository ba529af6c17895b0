// Local backend servers that report, deregister, and keep running while their
// daemon restarts.

#include "testing/mesh_world.h"

#include <catch2/catch.hpp>

using namespace cyclamenwind;
using namespace cyclamenwind::literals;
using namespace cyclamenwind::testing;

namespace {

enum class StoreReturns { BeforeStart, AfterStart, Never };

// Requests of callers that reached the server on Host.
int runsOn(MeshWorld &World, const std::string &Host) {
  return World.Servers.Arrivals[Host] - World.Servers.HealthChecksByHost[Host];
}

void leave(MeshWorld &World, size_t Index, bool ByReport, int64_t Sequence) {
  std::string Host = "10.0.0." + std::to_string(Index + 1);
  World.Servers.ByHost[Host].Healthy = false;
  auto Acked = std::make_shared<bool>(false);
  auto Acknowledge = [Acked] { *Acked = true; };
  if (ByReport)
    World.Daemons[Index].Registry->report(World.reportOf(Index, Sequence, true),
                                          Acknowledge);
  else
    World.Daemons[Index].Registry->leave("i-" + std::to_string(Index + 1), 1000,
                                         Acknowledge);
  World.Time.advance(900ms);
  REQUIRE(*Acked);
}

} // namespace

TEST_CASE("no request reaches a server after its leave was acknowledged") {
  MeshWorld World(2);
  World.Servers.ByHost["10.0.0.1"].Work = 300ms;
  World.Servers.ByHost["10.0.0.2"].Work = 300ms;
  std::vector<std::shared_ptr<FakeExchange>> Exchanges;
  for (int I = 0; I < 6; ++I)
    Exchanges.push_back(World.request("/read/1"));
  World.Time.advance(20ms);
  CHECK(World.report(0, 2, /*Draining=*/true));
  int ArrivalsBefore = World.Servers.Arrivals["10.0.0.1"];
  for (int I = 0; I < 20; ++I) {
    Exchanges.push_back(World.request("/read/1", I % 2));
    World.Time.advance(100ms);
  }
  World.Time.advance(2s);
  CHECK(World.Servers.Arrivals["10.0.0.1"] == ArrivalsBefore);
  for (const auto &Exchange : Exchanges)
    CHECK(Exchange->Answer);
}

TEST_CASE("a delayed report does not bring a leaving server back") {
  MeshWorld World(2);
  World.report(0, 5, /*Draining=*/true);
  World.report(0, 4);
  World.report(0, 6);
  World.Time.advance(100ms);
  CHECK(World.Daemons[1].State->directory().ready("quote").size() == 1);
  ServerReport NewIncarnation = World.reportOf(0, 1);
  NewIncarnation.StartedAtMs = 2000;
  World.Daemons[0].Registry->report(NewIncarnation, [] {});
  World.Time.advance(100ms);
  CHECK(World.Daemons[1].State->directory().ready("quote").size() == 2);
}

TEST_CASE(
    "a restarted process that acknowledged the leave of an unknown server "
    "ignores a delayed report of that server") {
  MeshWorld World(1);
  ServerReport DelayedReport = World.reportOf(1, 14);
  bool Acked = false;
  World.Daemons[0].Registry->leave(DelayedReport.Id, 0,
                                   [&Acked] { Acked = true; });
  CHECK(Acked);
  World.Time.advance(2300ms);
  World.Daemons[0].Registry->report(DelayedReport, [] {});
  CHECK(World.Daemons[0].State->directory().find(DelayedReport.Id) == nullptr);
}

TEST_CASE("a restarted process that accepted a delayed report of a server that "
          "left corrects it by a peer's record") {
  MeshWorld World(1);
  MeshWorld::Daemon &Restarted = World.Daemons[0];
  // This process did not receive the leave; a peer sends its record now.
  MeshEndpoint PeerRecord = *Restarted.State->directory().find("i-1");
  PeerRecord.State = EndpointState::Draining;
  PeerRecord.Sequence = 15;
  Restarted.State->merge(PeerRecord);
  int ArrivalsBefore = World.Servers.Arrivals["10.0.0.1"];
  // A daemon that has not received the record sends a request to this one.
  wire::ForwardRequest Message;
  Message.instanceId = "i-1";
  Message.serviceName = "quote";
  Message.method = "GET";
  Message.target = "/read/1";
  Message.remainingUs = 500000;
  Message.objectiveUs = 500000;
  std::string Reason;
  Restarted.Inbound->submit(
      Message,
      [&Reason](const wire::ForwardReply &Reply) { Reason = Reply.reason; });
  World.Time.advance(100ms);
  CHECK(Reason == nameOf(ForwardError::Leaving));
  CHECK(World.Servers.Arrivals["10.0.0.1"] == ArrivalsBefore);
  World.report(0, 14);
  CHECK(Restarted.State->directory().find("i-1")->State ==
        EndpointState::Draining);
}

TEST_CASE("a restarted process that cannot read the platform waits for its "
          "peers' records before it accepts a report") {
  MeshWorld World(0);
  World.EndpointsListed = false;
  World.add("10.0.0.1");
  MeshWorld::Daemon &Restarted = World.Daemons[0];
  World.Time.advance(1500ms);
  CHECK(Restarted.State->directory().ready("quote").empty());
  MeshEndpoint Record;
  Record.Id = "i-1";
  Record.Service = "quote";
  Record.DaemonAddress = {"10.0.0.1", 7000};
  Record.ServerAddress = {"10.0.0.1", 8000};
  Record.Slots = 2;
  Record.StartedAtMs = 1000;
  Record.Sequence = 9;
  Record.State = EndpointState::Gone;
  Restarted.State->merge(Record);
  Restarted.State->setPeerRecordsReceived();
  World.Time.advance(5s);
  CHECK(Restarted.State->directory().ready("quote").empty());
}

TEST_CASE(
    "a restarted process without platform and peers accepts reports after "
    "the wait limit") {
  MeshWorld World(0);
  World.EndpointsListed = false;
  World.add("10.0.0.1");
  World.Time.advance(3500ms);
  CHECK(World.Daemons[0].State->directory().ready("quote").size() == 1);
}

TEST_CASE(
    "all daemons are killed at once: recorded servers are used before they "
    "report again") {
  MeshWorld World(0);
  World.Reporting = false;
  std::vector<MeshEndpoint> Records;
  for (int I = 1; I <= 3; ++I) {
    MeshEndpoint Record;
    Record.Id = "i-" + std::to_string(I);
    Record.Service = "quote";
    Record.Version = "v1";
    Record.FailureDomain = "a";
    Record.DaemonAddress = {"10.0.0." + std::to_string(I), 7000};
    Record.ServerAddress = {"10.0.0." + std::to_string(I), 8000};
    Record.Slots = 2;
    Record.StartedAtMs = 1000;
    Record.Sequence = 1;
    Records.push_back(Record);
  }
  World.StoredRecords = Records;
  World.Servers.ByHost["10.0.0.2"].Healthy = false;
  for (int I = 1; I <= 3; ++I)
    World.add("10.0.0." + std::to_string(I));
  World.Time.advance(50ms);
  CHECK(World.Servers.HealthChecks == 3);
  for (int I = 0; I < 10; ++I) {
    auto Received = World.request("/read/1", size_t(I % 3));
    World.Time.advance(50ms);
    REQUIRE(Received->Answer);
    CHECK(Received->Answer->Status == 200);
  }
  CHECK(World.Servers.Arrivals["10.0.0.2"] == 1); // The health check.
  // A later report of the server still takes effect.
  World.report(0, 20, /*Draining=*/true);
  World.Time.advance(50ms);
  CHECK(World.Daemons[2].State->directory().find("i-1")->State ==
        EndpointState::Draining);
}

TEST_CASE("daemons are restarted in turn: a restarted daemon is used at once") {
  MeshWorld World(2);
  World.report(1, 19);
  World.Daemons[1].Registry->announceStopping();
  World.Time.advance(10ms);
  MeshWorld::Daemon &Peer = World.Daemons[0];
  REQUIRE(Peer.State->directory().find("i-2")->State ==
          EndpointState::Unreachable);
  // The restarted process has the record as it was first stored.
  MeshEndpoint Stored = *Peer.State->directory().find("i-2");
  Stored.Sequence = 1;
  Stored.State = EndpointState::Ready;
  CHECK_FALSE(Peer.State->merge(Stored));
  CHECK(Peer.State->mergeFromOwner(Stored));
  CHECK(Peer.State->directory().ready("quote").size() == 2);
  // A delayed record from another daemon does not make the server unreachable.
  Stored.Sequence = 19;
  Stored.State = EndpointState::Unreachable;
  CHECK_FALSE(Peer.State->merge(Stored));
  Stored.Sequence = 20;
  Stored.State = EndpointState::Draining;
  CHECK(Peer.State->merge(Stored));
}

TEST_CASE("many releases: entries of servers that left are removed") {
  MeshWorld World(1);
  MeshWorld::Daemon &Only = World.Daemons[0];
  for (int I = 10; I < 60; ++I) {
    ServerReport Next = World.reportOf(0, 1);
    Next.Id = "i-" + std::to_string(I);
    Next.StartedAtMs = 1000 * I;
    Only.Registry->report(Next, [] {});
    World.Time.advance(1s);
    auto Received = World.request("/read/1");
    World.Time.advance(1s);
    REQUIRE(Received->Answer);
    CHECK(Received->Answer->Status == 200);
    Only.Registry->leave(Next.Id, Next.StartedAtMs, [] {});
  }
  CHECK(Only.Inbound->servers() <= 2);
}

TEST_CASE("a leaving server's report is acknowledged in time although the "
          "platform does not answer") {
  MeshWorld World(1);
  World.StoreAnswers = false;
  auto Acked = std::make_shared<bool>(false);
  World.Daemons[0].Registry->report(World.reportOf(0, 2, true),
                                    [Acked] { *Acked = true; });
  CHECK_FALSE(*Acked);
  World.Time.advance(900ms);
  CHECK(*Acked);
}

// Guards against DRAIN after a restart: a departure was acknowledged in an
// outage of the platform, so its record was not written, and the next process
// took a delayed report for new.
TEST_CASE(
    "a departure that was acknowledged in an outage of the platform binds "
    "the next process") {
  bool ByReport = GENERATE(false, true);
  bool PeersTell = GENERATE(false, true);
  StoreReturns Returns = GENERATE(
      StoreReturns::BeforeStart, StoreReturns::AfterStart, StoreReturns::Never);
  Duration Delay = GENERATE(Duration(10ms), 900ms, 3s, 8s);
  MeshWorld World(2);
  World.report(0, 2);
  MeshEndpoint Stored = *World.Daemons[0].State->directory().find("i-1");
  World.StoreAnswers = false;
  leave(World, 0, ByReport, 9);
  World.kill(0);
  World.Time.advance(500ms);
  World.PeersTell = PeersTell;
  World.EndpointsListed = Returns == StoreReturns::BeforeStart;
  World.StoreAnswers = World.EndpointsListed;
  if (World.EndpointsListed)
    World.StoredRecords = {Stored};
  int Before = runsOn(World, "10.0.0.1");
  World.restart(0);
  MeshWorld::Daemon &Restarted = World.Daemons[0];
  TimePoint StartedAt = World.Time.now();
  bool Reported = false;
  while (World.Time.now() - StartedAt < 14s) {
    Duration Since = World.Time.now() - StartedAt;
    if (Returns == StoreReturns::AfterStart && Since >= 2s &&
        !Restarted.State->endpointsListed()) {
      World.StoreAnswers = true;
      Restarted.State->merge(Stored);
      Restarted.State->setEndpointsListed();
    }
    if (!Reported && Since >= Delay) {
      Reported = true;
      World.report(0, 8); // Sent before the departure.
    }
    World.request("/read/1", 0);
    World.request("/read/1", 1);
    World.Time.advance(50ms);
  }
  CHECK(runsOn(World, "10.0.0.1") == Before);
  CHECK(runsOn(World, "10.0.0.2") > 0);
  if (PeersTell && Returns == StoreReturns::BeforeStart) {
    // What only peers knew is written to the platform.
    std::optional<MeshEndpoint> Written = parseEndpoint(World.Published["i-1"]);
    REQUIRE(Written);
    CHECK(Written->leaves());
  }
}

TEST_CASE("a server that keeps running while its daemon restarts is used after "
          "one health check, also if only its report names it") {
  bool Recorded = GENERATE(false, true);
  MeshWorld World(2);
  MeshEndpoint Stored = *World.Daemons[0].State->directory().find("i-1");
  World.kill(0);
  World.PeersTell = false;
  if (Recorded)
    World.StoredRecords = {Stored};
  World.restart(0);
  World.report(0, 2);
  World.Time.advance(50ms);
  CHECK(World.Daemons[0].State->directory().ready("quote").size() == 1);
  CHECK(World.Servers.HealthChecks == 1);
  World.report(0, 3);
  World.Time.advance(2s);
  CHECK(World.Servers.HealthChecks == 1);
}

TEST_CASE("a server whose health checks fail is used when it reports longer "
          "after the restart than a report can be delayed") {
  MeshWorld World(1);
  World.kill(0);
  World.Servers.ByHost["10.0.0.1"].Healthy = false;
  World.restart(0);
  int64_t Sequence = 2;
  for (TimePoint End = World.Time.now() + 9s; World.Time.now() < End;) {
    World.report(0, ++Sequence);
    World.Time.advance(1500ms);
    CHECK(World.Daemons[0].State->directory().ready("quote").empty());
  }
  World.report(0, ++Sequence);
  World.Time.advance(1500ms);
  World.report(0, ++Sequence);
  CHECK(World.Daemons[0].State->directory().ready("quote").size() == 1);
}

TEST_CASE(
    "a deregistration that arrives before the records are read holds when "
    "they are") {
  MeshWorld World(1);
  MeshEndpoint Stored = *World.Daemons[0].State->directory().find("i-1");
  World.kill(0);
  World.EndpointsListed = false;
  World.PeersTell = false;
  World.restart(0);
  bool Acked = false;
  World.Daemons[0].Registry->leave("i-1", 1000, [&Acked] { Acked = true; });
  CHECK(Acked);
  World.Time.advance(12s);
  World.Daemons[0].State->merge(Stored);
  World.Daemons[0].State->setEndpointsListed();
  World.Time.advance(1s);
  CHECK(World.Daemons[0].State->directory().ready("quote").empty());
  std::optional<MeshEndpoint> Written = parseEndpoint(World.Published["i-1"]);
  REQUIRE(Written);
  CHECK(Written->State == EndpointState::Gone);
}

TEST_CASE(
    "a process that alone knows of a departure says so until it is stored "
    "or a peer was told") {
  bool HasPeer = GENERATE(false, true);
  MeshWorld World(HasPeer ? 2 : 1);
  CHECK_FALSE(World.Daemons[0].Registry->holdsOnlyCopy());
  World.StoreAnswers = false;
  leave(World, 0, /*ByReport=*/false, 0);
  CHECK(World.Daemons[0].Registry->holdsOnlyCopy() == !HasPeer);
}

// Guards against an acknowledgement of a repeated departure whose record is
// still being written.
TEST_CASE("a repeated departure is acknowledged no sooner than the first") {
  MeshWorld World(1);
  World.StoreAnswers = false;
  for (int I = 0; I < 2; ++I) {
    auto Acked = std::make_shared<bool>(false);
    World.Daemons[0].Registry->leave("i-1", 1000, [Acked] { *Acked = true; });
    World.Time.advance(500ms);
    CHECK_FALSE(*Acked);
    World.Time.advance(200ms);
    CHECK(*Acked);
  }
}

// Guards against DRAIN: the departure of a server was acknowledged and ignored
// after a report of another writer with a higher number.
TEST_CASE("a departure counts whatever number another writer has used") {
  bool ByReport = GENERATE(false, true);
  MeshWorld World(2);
  ServerReport Foreign = World.reportOf(0, 1000);
  Foreign.Slots = 8;
  World.Daemons[0].Registry->report(Foreign, [] {});
  World.report(0, 4);
  leave(World, 0, ByReport, 5);
  int Before = runsOn(World, "10.0.0.1");
  for (int I = 0; I < 40; ++I) {
    World.request("/read/1", size_t(I % 2));
    if (I == 20)
      World.report(0, 1001); // The other writer again.
    World.Time.advance(50ms);
  }
  CHECK(runsOn(World, "10.0.0.1") == Before);
  CHECK(World.Daemons[1].State->directory().ready("quote").size() == 1);
}

// Open connections between hosts go silent for good before servers leave; see
// deploy/days/severed.toml.
TEST_CASE("a departure holds while announcements are lost on silent streams") {
  auto Seed = GENERATE(range(1, 11));
  MeshWorld World(4);
  Random Rng(static_cast<uint64_t>(Seed));
  for (int I = 2; I <= 4; ++I)
    for (int J = 1; J < I; ++J)
      if (Rng.fraction() < 0.7)
        World.Network.silence({"10.0.0." + std::to_string(I), 7000},
                              {"10.0.0." + std::to_string(J), 7000});
  World.Time.advance(Duration(1ms) * int(Rng.below(1500)));
  leave(World, 0, /*ByReport=*/Rng.below(2) == 0, 5);
  int Before = runsOn(World, "10.0.0.1");
  std::vector<std::shared_ptr<FakeExchange>> Received;
  for (int I = 0; I < 60; ++I) {
    if (I == 12)
      World.Network.closeSilentStreams();
    Received.push_back(World.request("/read/1", size_t(I % 4)));
    World.Time.advance(50ms);
  }
  World.Time.advance(2s);
  CHECK(runsOn(World, "10.0.0.1") == Before);
  for (const auto &Each : Received)
    REQUIRE(Each->Answer);
  for (size_t I = 40; I < Received.size(); ++I)
    CHECK(Received[I]->Answer->Status == 200);
}
