#include "cyclamenwind/mesh/endpoint_directory.h"
#include "cyclamenwind/wire/gen-cpp/mesh_types.h"

#include <catch2/catch.hpp>

#include <algorithm>

using namespace cyclamenwind;

namespace {

MeshEndpoint server(const std::string &Id, int64_t StartedAtMs,
                    int64_t Sequence,
                    EndpointState State = EndpointState::Ready,
                    const std::string &Host = "10.0.0.1") {
  MeshEndpoint Endpoint;
  Endpoint.Id = Id;
  Endpoint.Service = "quote";
  Endpoint.Version = "v1";
  Endpoint.FailureDomain = "a";
  Endpoint.DaemonAddress = {Host, 7000};
  Endpoint.ServerAddress = {Host, 8000};
  Endpoint.State = State;
  Endpoint.Slots = 9;
  Endpoint.StartedAtMs = StartedAtMs;
  Endpoint.Sequence = Sequence;
  return Endpoint;
}

} // namespace

TEST_CASE("newer records replace older ones in any order of arrival") {
  EndpointDirectory Directory;
  CHECK(Directory.merge(server("s", 100, 5, EndpointState::Draining)));
  CHECK_FALSE(Directory.merge(server("s", 100, 4)));
  CHECK_FALSE(Directory.merge(server("s", 100, 5)));
  CHECK(Directory.ready("quote").empty());
  CHECK(Directory.merge(server("s", 200, 1)));
  CHECK(Directory.ready("quote").size() == 1);
}

TEST_CASE("a delayed record of a dead server does not displace its successor "
          "at the same address") {
  EndpointDirectory Directory;
  Directory.merge(server("old", 100, 5));
  Directory.merge(server("new", 200, 1));
  REQUIRE(Directory.ready("quote").size() == 1);
  CHECK(Directory.ready("quote")[0]->Id == "new");
  CHECK_FALSE(Directory.merge(server("old", 100, 9)));
  CHECK(Directory.ready("quote")[0]->Id == "new");
}

TEST_CASE("a server that returns under its old id is a new incarnation") {
  EndpointDirectory Directory;
  Directory.merge(server("s", 100, 50, EndpointState::Gone));
  CHECK(Directory.merge(server("s", 300, 1)));
  CHECK(Directory.ready("quote").size() == 1);
}

TEST_CASE("daemons whose servers all left are not listed") {
  EndpointDirectory Directory;
  Directory.merge(server("a", 100, 1));
  Directory.merge(server("b", 100, 1, EndpointState::Gone, "10.0.0.2"));
  CHECK(Directory.daemonAddresses().size() == 1);
}

TEST_CASE("records survive both encodings; incomplete records are rejected") {
  MeshEndpoint Endpoint = server("s", 100, 7, EndpointState::Draining);
  std::optional<MeshEndpoint> Parsed = parseEndpoint(formatEndpoint(Endpoint));
  REQUIRE(Parsed);
  CHECK_FALSE(Parsed->supersedes(Endpoint));
  CHECK_FALSE(Endpoint.supersedes(*Parsed));
  CHECK(Parsed->DaemonAddress == Endpoint.DaemonAddress);
  REQUIRE(fromWire(toWire(Endpoint)));
  CHECK_FALSE(parseEndpoint("{}"));
  CHECK_FALSE(parseEndpoint("not JSON"));
  CHECK_FALSE(parseEndpoint(R"({"id": 3})"));
  Endpoint.Slots = 0;
  CHECK_FALSE(parseEndpoint(formatEndpoint(Endpoint)));
}

// Guards against a departure that is forgotten when a delayed report reaches
// another daemon first.
TEST_CASE("an incarnation that leaves does not return, whatever its numbers") {
  EndpointDirectory Directory;
  Directory.merge(server("s", 100, 5, EndpointState::Draining));
  CHECK_FALSE(Directory.merge(server("s", 100, 8)));
  CHECK_FALSE(Directory.mergeFromOwner(server("s", 100, 9)));
  CHECK(Directory.merge(server("s", 100, 4, EndpointState::Gone)) == false);
  CHECK(Directory.merge(server("s", 100, 5, EndpointState::Gone)));
  CHECK(Directory.merge(server("r", 100, 9, EndpointState::Ready, "10.0.0.2")));
  CHECK(Directory.merge(
      server("r", 100, 2, EndpointState::Draining, "10.0.0.2")));
  CHECK(Directory.ready("quote").empty());
  CHECK(Directory.merge(server("s", 200, 1)));
}

namespace {

MeshEndpoint ofService(MeshEndpoint Endpoint, const std::string &Service) {
  Endpoint.Service = Service;
  return Endpoint;
}

} // namespace

// Guards against a result that depends on what became known first: the server,
// a later record at its address, or the configuration.
TEST_CASE("a record of a service that is not named replaces no server, in any "
          "order") {
  MeshEndpoint Server = server("s", 100, 5);
  MeshEndpoint Foreign = ofService(server("f", 200, 1), "retired");
  std::vector<int> Order = {0, 1, 2};
  do {
    EndpointDirectory Directory;
    for (int Step : Order) {
      if (Step == 0)
        Directory.setServices({"quote"});
      else
        Directory.merge(Step == 1 ? Server : Foreign);
    }
    CHECK(Directory.ready("quote").size() == 1);
    CHECK(Directory.merge(server("s", 100, 6)));
    CHECK(Directory.merge(server("s", 100, 7, EndpointState::Draining)));
    CHECK(Directory.ready("quote").empty());
  } while (std::next_permutation(Order.begin(), Order.end()));
}

// Guards against servers that ended and come back with the removal of the
// server that had taken their address.
TEST_CASE("a replaced server stays replaced when its successor is removed") {
  EndpointDirectory Directory;
  Directory.setServices({"quote", "index"});
  Directory.merge(server("old", 100, 5));
  Directory.merge(ofService(server("new", 200, 1), "index"));
  Directory.remove("new");
  CHECK(Directory.find("old")->State == EndpointState::Gone);
  CHECK_FALSE(Directory.merge(server("old", 100, 6)));
  CHECK(Directory.find("old")->State == EndpointState::Gone);
  // Started again under its id.
  CHECK(Directory.merge(server("old", 300, 1)));
  CHECK(Directory.ready("quote").size() == 1);
}

TEST_CASE("a record that was withdrawn replaces no server when its service is "
          "named later") {
  EndpointDirectory Directory;
  Directory.setServices({"quote"});
  Directory.merge(server("s", 100, 5));
  Directory.merge(ofService(server("f", 200, 1), "retired"));
  Directory.remove("f");
  Directory.setServices({"quote", "retired"});
  CHECK(Directory.ready("quote").size() == 1);
}

TEST_CASE("replacements are reported once, when they begin and when they end") {
  EndpointDirectory Directory;
  Directory.merge(server("s", 100, 5));
  Directory.merge(ofService(server("f", 200, 1), "retired"));
  std::vector<EndpointDirectory::Replacement> Begun =
      Directory.takeReplacements();
  REQUIRE(Begun.size() == 1);
  CHECK(Begun[0].Id == "s");
  CHECK(Begun[0].Successor == "f");
  Directory.setServices({"quote"});
  std::vector<EndpointDirectory::Replacement> Ended =
      Directory.takeReplacements();
  REQUIRE(Ended.size() == 1);
  CHECK(Ended[0].Successor.empty());
  CHECK(Directory.takeReplacements().empty());
}

// Guards against a daemon that spreads what follows from its own, older
// configuration.
TEST_CASE("other daemons get records as they were merged") {
  EndpointDirectory Directory;
  Directory.merge(server("s", 100, 5));
  Directory.merge(ofService(server("f", 200, 1), "retired"));
  REQUIRE(Directory.find("s")->State == EndpointState::Gone);
  for (const MeshEndpoint *Record : Directory.merged())
    CHECK(Record->State == EndpointState::Ready);
}
