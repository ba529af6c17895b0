// Records of another writer that name a service which the configuration does
// not: as a liveness report, as an entry of the store and as a record of a
// peer.

#include "testing/mesh_world.h"

#include <catch2/catch.hpp>

using namespace cyclamenwind;
using namespace cyclamenwind::literals;
using namespace cyclamenwind::testing;

namespace {

const std::string ForeignService = "retired";

// A configuration whose routes and services are those of the named services.
MeshConfig configOf(uint64_t Revision, const std::vector<std::string> &Names) {
  MeshConfig Value = meshConfig(Revision);
  Value.Version = static_cast<int64_t>(Revision);
  MeshRoute Route = Value.Routes[0];
  Value.Routes.clear();
  Value.Services.clear();
  for (const std::string &Name : Names) {
    Route.Name = Name;
    Route.PathPrefix = "/" + Name + "/";
    Route.Targets = {{Name, 1}};
    Value.Routes.push_back(Route);
    Value.Services.push_back({Name, "/health"});
  }
  return Value;
}

void applyEverywhere(MeshWorld &World, const MeshConfig &Config) {
  World.Config = Config;
  for (MeshWorld::Daemon &Each : World.Daemons)
    Each.State->apply(Config, "");
}

// A report of another writer to the daemon Index at the address of its server.
ServerReport foreignReport(MeshWorld &World, size_t Index,
                           const std::string &Id = "i-other") {
  ServerReport Report = World.reportOf(Index, 1000);
  Report.Id = Id;
  Report.Service = ForeignService;
  Report.StartedAtMs = 5000;
  return Report;
}

MeshEndpoint foreignRecord(size_t Index, const std::string &Id,
                           EndpointState State) {
  std::string Host = "10.0.0." + std::to_string(Index + 1);
  MeshEndpoint Record;
  Record.Id = Id;
  Record.Service = ForeignService;
  Record.Version = "v1";
  Record.FailureDomain = "a";
  Record.DaemonAddress = {Host, 7000};
  Record.ServerAddress = {Host, 8000};
  Record.Slots = 9;
  Record.StartedAtMs = 5000;
  Record.Sequence = 1000;
  Record.State = State;
  return Record;
}

// Whether a request to each daemon is served, and each server runs some.
bool allServe(MeshWorld &World, const std::string &Service = "quote") {
  std::map<std::string, int> Before = World.Servers.Arrivals;
  bool Served = true;
  for (size_t I = 0; I < 4 * World.Daemons.size(); ++I) {
    auto Received =
        World.request("/" + Service + "/1", I % World.Daemons.size());
    World.Time.advance(100ms);
    Served &= Received->Answer && Received->Answer->Status == 200;
  }
  for (size_t I = 1; I <= World.Daemons.size(); ++I) {
    std::string Host = "10.0.0." + std::to_string(I);
    Served &= World.Servers.Arrivals[Host] > Before[Host];
  }
  return Served;
}

// All servers report once, with the next sequence number.
void reportAll(MeshWorld &World, int64_t &Sequence) {
  ++Sequence;
  for (size_t I = 0; I < World.Daemons.size(); ++I)
    World.report(I, Sequence);
  World.Time.advance(1500ms);
}

} // namespace

// Guards against servers that are lost for good because one report of another
// writer, of a service that is not configured, gives their address.
TEST_CASE("a report of a service that is not named takes no server's address") {
  MeshWorld World(3, configOf(1, {"quote"}));
  REQUIRE(allServe(World));
  for (size_t I = 0; I < World.Daemons.size(); ++I)
    World.Daemons[I].Registry->report(
        foreignReport(World, I, "i-other" + std::to_string(I)), [] {});
  World.Time.advance(100ms);
  CHECK(allServe(World));
  int64_t Sequence = 1;
  for (int Round = 0; Round < 8; ++Round)
    reportAll(World, Sequence);
  CHECK(allServe(World));
  // The servers' own departures still count.
  CHECK(World.report(0, ++Sequence, /*Draining=*/true));
  World.Time.advance(100ms);
  CHECK(World.Daemons[1].State->directory().ready("quote").size() == 2);
}

// Guards against the same by the id of a real server.
TEST_CASE("a report of a service that is not named takes no server's id") {
  bool Draining = GENERATE(false, true);
  MeshWorld World(2, configOf(1, {"quote"}));
  ServerReport Report = foreignReport(World, 0, "i-1");
  Report.Draining = Draining;
  Report.StartedAtMs = GENERATE(1000, 5000);
  World.Daemons[0].Registry->report(Report, [] {});
  World.Time.advance(900ms);
  CHECK(allServe(World));
  int64_t Sequence = 1;
  for (int Round = 0; Round < 8; ++Round)
    reportAll(World, Sequence);
  CHECK(allServe(World));
  std::optional<MeshEndpoint> Stored = parseEndpoint(World.Published["i-1"]);
  REQUIRE(Stored);
  CHECK(Stored->Service == "quote");
}

// Guards against the same by an entry of the store or a record of a peer.
TEST_CASE("a record of a service that is not named takes no server's place") {
  auto State = GENERATE(EndpointState::Ready, EndpointState::Draining,
                        EndpointState::Gone);
  std::string Id = GENERATE("i-other", "i-1");
  bool FromOwner = GENERATE(false, true);
  MeshWorld World(2, configOf(1, {"quote"}));
  for (MeshWorld::Daemon &Each : World.Daemons)
    if (FromOwner)
      Each.State->mergeFromOwner(foreignRecord(0, Id, State));
    else
      Each.State->merge(foreignRecord(0, Id, State));
  CHECK(allServe(World));
  int64_t Sequence = 1;
  reportAll(World, Sequence);
  CHECK(allServe(World));
}

// Guards against records that were accepted before the configuration was known
// and that take a server out of use from then on.
TEST_CASE(
    "a server is in use once the configuration is known, whatever another "
    "writer reported before") {
  std::string Id = GENERATE("i-other", "i-1");
  bool ForeignFirst = GENERATE(false, true);
  MeshWorld World(0);
  World.ConfigKnown = false;
  World.Reporting = false;
  World.add("10.0.0.1");
  World.add("10.0.0.2");
  int64_t Sequence = 1;
  if (!ForeignFirst)
    reportAll(World, Sequence);
  World.Daemons[0].Registry->report(foreignReport(World, 0, Id), [] {});
  World.Time.advance(100ms);
  if (ForeignFirst)
    reportAll(World, Sequence);
  applyEverywhere(World, configOf(1, {"quote"}));
  if (Id == "i-other" && !ForeignFirst)
    CHECK(allServe(World)); // The server has not reported again.
  reportAll(World, Sequence);
  CHECK(allServe(World));
}

// Guards against a fix that drops reports of services which are named later.
TEST_CASE("a server whose service is named later is in use at once") {
  MeshWorld World(2, configOf(1, {"other"}));
  World.Time.advance(1s);
  applyEverywhere(World, configOf(2, {"other", "quote"}));
  CHECK(allServe(World));
}

TEST_CASE("a server whose service is taken out and named again is in use at "
          "once, also if another writer reported its address or its id") {
  std::string Id = GENERATE("i-other", "i-1");
  MeshWorld World(2, configOf(1, {"quote", "other"}));
  int64_t Sequence = 1;
  reportAll(World, Sequence);
  applyEverywhere(World, configOf(2, {"other"}));
  World.Daemons[0].Registry->report(foreignReport(World, 0, Id), [] {});
  for (int Round = 0; Round < 6; ++Round)
    reportAll(World, Sequence);
  applyEverywhere(World, configOf(3, {"other", "quote"}));
  CHECK(allServe(World));
}

// Guards against a server that is lost because its address once was that of a
// record whose service the configuration no longer names.
TEST_CASE("a replacement ends when the service of the successor is taken out") {
  MeshWorld World(2, configOf(1, {"quote", ForeignService}));
  World.Daemons[0].Registry->report(foreignReport(World, 0), [] {});
  World.Time.advance(100ms);
  CHECK(World.Daemons[1].State->directory().ready("quote").size() == 1);
  applyEverywhere(World, configOf(2, {"quote"}));
  int64_t Sequence = 1;
  reportAll(World, Sequence);
  CHECK(allServe(World));
}

TEST_CASE("a new server at the address of one that ended replaces it when its "
          "service is named") {
  MeshWorld World(2, configOf(1, {"quote"}));
  World.Daemons[0].Registry->report(foreignReport(World, 0, "i-new"), [] {});
  World.Time.advance(100ms);
  CHECK(World.Daemons[1].State->directory().ready("quote").size() == 2);
  applyEverywhere(World, configOf(2, {"quote", ForeignService}));
  for (MeshWorld::Daemon &Each : World.Daemons) {
    CHECK(Each.State->directory().ready("quote").size() == 1);
    CHECK(Each.State->directory().ready(ForeignService).size() == 1);
  }
}

// Guards against records of another writer that stay in the store and in memory
// and count as servers as soon as their service is named.
TEST_CASE("a record of a service that is not named is withdrawn when its "
          "reports cease") {
  bool DaemonRestarts = GENERATE(false, true);
  MeshWorld World(2, configOf(1, {"quote"}));
  World.Daemons[0].Registry->report(foreignReport(World, 0), [] {});
  World.Time.advance(100ms);
  REQUIRE(World.Published.count("i-other") == 1);
  if (DaemonRestarts) {
    World.StoredRecords = {*parseEndpoint(World.Published["i-1"]),
                           *parseEndpoint(World.Published["i-other"])};
    World.kill(0);
    World.restart(0);
  }
  int64_t Sequence = 1;
  for (int Round = 0; Round < 6; ++Round)
    reportAll(World, Sequence);
  CHECK(World.Published.count("i-other") == 0);
  CHECK(World.Daemons[0].State->directory().find("i-other") == nullptr);
  CHECK(World.Published.count("i-1") == 1);
  // Its writer may be a server whose reports were held up. A restarted daemon
  // takes the first ten seconds' reports only after a health check.
  reportAll(World, Sequence);
  ServerReport Next = foreignReport(World, 0);
  Next.Sequence += 1;
  World.Daemons[0].Registry->report(Next, [] {});
  CHECK(World.Daemons[0].State->directory().find("i-other") != nullptr);
}
