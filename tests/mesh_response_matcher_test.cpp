// The matcher of a mesh daemon on loopback connections to a faulty server.

#include "cyclamenwind/mesh/response_matcher.h"
#include "platform/wire.h"
#include "testing/raw_tcp.h"

#include <catch2/catch.hpp>

using namespace cyclamenwind;
using namespace cyclamenwind::literals;
using namespace cyclamenwind::testing;

namespace {

std::string refusal(const std::string &Id) {
  return "HTTP/1.1 503 Service Unavailable\r\nCyclamenwind-Not-Executed: "
         "1\r\n" +
         (Id.empty() ? "" : "Cyclamenwind-Attempt-Id: " + Id + "\r\n") +
         "Content-Length: 0\r\n\r\n";
}

std::string answer(const std::string &Id) {
  return "HTTP/1.1 200 OK\r\nCyclamenwind-Response-Signature: s\r\n"
         "Cyclamenwind-Attempt-Id: " +
         Id + "\r\nContent-Length: 2\r\n\r\n" + Id;
}

struct Fixture {
  Fixture() : Server(TheLoop, loopbackAddress(18301), [](RawStream &) {}) {
    PooledClientOptions Options;
    Options.Matches = responseMatcher(Codec);
    Client = std::make_unique<PooledClient>(TheLoop, Options);
  }

  void send(const std::string &Id) {
    Ended.reset();
    Call = Client->send(
        loopbackAddress(18301),
        {"POST", "/submit/1", {{"Cyclamenwind-Attempt-Id", Id}}, "x"}, 2s,
        [this](Result<HttpResponse, HttpClientError> Outcome) {
          Ended = std::move(Outcome);
        });
    REQUIRE(runUntil(TheLoop, [&] {
      return !Server.Streams.empty() &&
             Server.Streams[0]->Received.find(Id) != std::string::npos;
    }));
  }

  bool waitForEnd() {
    return runUntil(TheLoop, [&] { return Ended.has_value(); });
  }

  Loop TheLoop;
  platform::PlatformHeaderCodec Codec;
  RawListener Server;
  std::unique_ptr<PooledClient> Client;
  std::unique_ptr<HttpCall> Call;
  std::optional<Result<HttpResponse, HttpClientError>> Ended;
};

} // namespace

// Guards against "not run" for a request that the server runs, and so against a
// second run of a request that must not be repeated.
TEST_CASE(
    "an earlier refusal that is written once more on a kept connection is "
    "not the response to the next request, wherever it is split") {
  std::string Copy = GENERATE(refusal("a1"), refusal(""));
  std::string FirstResponse = GENERATE(refusal("a1"), answer("a1"));
  for (size_t Split = 0; Split < Copy.size(); Split += 9) {
    Fixture Setup;
    Setup.send("a1");
    Setup.Server.Streams[0]->write(FirstResponse);
    REQUIRE(Setup.waitForEnd());
    Setup.send("a2");
    REQUIRE(Setup.Client->opened() == 1);
    Setup.Server.Streams[0]->write(Copy.substr(0, Split));
    runFor(Setup.TheLoop, 2ms);
    Setup.Server.Streams[0]->write(Copy.substr(Split));
    runFor(Setup.TheLoop, 5ms);
    CHECK_FALSE(Setup.Ended.has_value()); // The server still runs it.
    Setup.Server.Streams[0]->write(answer("a2"));
    REQUIRE(Setup.waitForEnd());
    REQUIRE(Setup.Ended->has_value());
    CHECK(Setup.Ended->value().Body == "a2");
  }
}

TEST_CASE("a refusal without an id is accepted as the first response on a "
          "connection") {
  Fixture Setup;
  Setup.send("a1");
  Setup.Server.Streams[0]->write(refusal(""));
  REQUIRE(Setup.waitForEnd());
  REQUIRE(Setup.Ended->has_value());
  CHECK(Setup.Ended->value().Status == 503);
}
