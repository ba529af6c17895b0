#include "cyclamenwind/mesh/endpoint_directory.h"
#include "cyclamenwind/wire/gen-cpp/mesh_types.h"

#include <catch2/catch.hpp>

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
