#include "cyclamenwind/mesh/endpoint_directory.h"
#include "cyclamenwind/wire/gen-cpp/mesh_types.h"

#include <catch2/catch.hpp>

using namespace cyclamenwind;

namespace {

MeshEndpoint server(const std::string &Id, int64_t Born, int64_t Sequence,
                    EndpointState State = EndpointState::Ready,
                    const std::string &Host = "10.0.0.1") {
  MeshEndpoint Value;
  Value.Id = Id;
  Value.Service = "quote";
  Value.Version = "v1";
  Value.FailureDomain = "a";
  Value.DaemonAddress = {Host, 7000};
  Value.Server = {Host, 8000};
  Value.State = State;
  Value.Slots = 9;
  Value.Born = Born;
  Value.Sequence = Sequence;
  return Value;
}

} // namespace

TEST_CASE("later records replace earlier ones in any order of arrival") {
  EndpointDirectory Known;
  CHECK(Known.merge(server("s", 100, 5, EndpointState::Draining)));
  CHECK_FALSE(Known.merge(server("s", 100, 4)));
  CHECK_FALSE(Known.merge(server("s", 100, 5)));
  CHECK(Known.ready("quote").empty());
  CHECK(Known.merge(server("s", 200, 1)));
  CHECK(Known.ready("quote").size() == 1);
}

TEST_CASE("a delayed record of a dead server does not displace its successor "
          "at the same address") {
  EndpointDirectory Known;
  Known.merge(server("old", 100, 5));
  Known.merge(server("new", 200, 1));
  REQUIRE(Known.ready("quote").size() == 1);
  CHECK(Known.ready("quote")[0]->Id == "new");
  CHECK_FALSE(Known.merge(server("old", 100, 9)));
  CHECK(Known.ready("quote")[0]->Id == "new");
}

TEST_CASE("a server that returns under its old id is a new incarnation") {
  EndpointDirectory Known;
  Known.merge(server("s", 100, 50, EndpointState::Gone));
  CHECK(Known.merge(server("s", 300, 1)));
  CHECK(Known.ready("quote").size() == 1);
}

TEST_CASE("gates of servers that left are not counted") {
  EndpointDirectory Known;
  Known.merge(server("a", 100, 1));
  Known.merge(server("b", 100, 1, EndpointState::Gone, "10.0.0.2"));
  CHECK(Known.daemonAddresses().size() == 1);
}

TEST_CASE("records survive both encodings; incomplete ones name no server") {
  MeshEndpoint Value = server("s", 100, 7, EndpointState::Draining);
  std::optional<MeshEndpoint> Read = parseEndpoint(formatEndpoint(Value));
  REQUIRE(Read);
  CHECK_FALSE(Read->supersedes(Value));
  CHECK_FALSE(Value.supersedes(*Read));
  CHECK(Read->DaemonAddress == Value.DaemonAddress);
  REQUIRE(endpointOf(recordOf(Value)));
  CHECK_FALSE(parseEndpoint("{}"));
  CHECK_FALSE(parseEndpoint("not JSON"));
  CHECK_FALSE(parseEndpoint(R"({"id": 3})"));
  Value.Slots = 0;
  CHECK_FALSE(parseEndpoint(formatEndpoint(Value)));
}
