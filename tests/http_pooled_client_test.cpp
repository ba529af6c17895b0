#include "cyclamenwind/http/pooled_client.h"
#include "testing/raw_tcp.h"

#include <catch2/catch.hpp>

using namespace cyclamenwind;
using namespace cyclamenwind::literals;
using namespace cyclamenwind::testing;

namespace {

using Outcome = Result<HttpResponse, HttpClientError>;

// A client and a server that answers each request with the next element of
// Responses; a trailing "<close>" makes the server close the connection.
class Fixture {
public:
  explicit Fixture(uint16_t Port) : Listen(loopbackAddress(Port)) {
    PooledClientOptions Options;
    Options.Matches = [](const HttpRequest &Request,
                         const HttpResponse &Response) {
      const std::string *Id = findHeader(Response.Headers, "Id");
      return Id == nullptr || *Id == *findHeader(Request.Headers, "Id");
    };
    Client = std::make_unique<PooledClient>(TheLoop, Options);
    Server = std::make_unique<RawListener>(
        TheLoop, Listen, [this](RawStream &Stream) { serve(Stream); });
  }

  void serve(RawStream &Stream) {
    while (Stream.Received.find("\r\n\r\n") != std::string::npos &&
           NextResponse < Responses.size()) {
      Stream.Received.erase(0, Stream.Received.find("\r\n\r\n") + 4);
      std::string Response = Responses[NextResponse++];
      bool Close = Response.ends_with("<close>");
      if (Close)
        Response.resize(Response.size() - 7);
      Stream.write(Response);
      if (Close)
        TheLoop.defer([&Stream] { Stream.close(); });
    }
  }

  Outcome request(const std::string &Id, Duration Timeout = 2s) {
    std::optional<Outcome> Ended;
    auto Call = Client->send(Listen, {"GET", "/", {{"Id", Id}}, ""}, Timeout,
                             [&](Outcome Final) { Ended = Final; });
    REQUIRE(runUntil(TheLoop, [&] { return Ended.has_value(); }));
    return *Ended;
  }

  Loop TheLoop;
  Address Listen;
  std::vector<std::string> Responses;
  size_t NextResponse = 0;
  std::unique_ptr<PooledClient> Client;
  std::unique_ptr<RawListener> Server;
};

std::string response(const std::string &Id, const std::string &Body) {
  return "HTTP/1.1 200 OK\r\nId: " + Id +
         "\r\nContent-Length: " + std::to_string(Body.size()) + "\r\n\r\n" +
         Body;
}

} // namespace

TEST_CASE("connections are reused") {
  Fixture Setup(18201);
  Setup.Responses = {response("1", "a"), response("2", "b")};
  CHECK(Setup.request("1").value().Body == "a");
  CHECK(Setup.request("2").value().Body == "b");
  CHECK(Setup.Client->opened() == 1);
}

TEST_CASE("a late response to an earlier request is skipped") {
  Fixture Setup(18202);
  Setup.Responses = {response("0", "stale") + response("1", "mine")};
  CHECK(Setup.request("1").value().Body == "mine");
}

TEST_CASE(
    "a connection with surplus bytes is closed, and the bytes are discarded") {
  Fixture Setup(18203);
  Setup.Responses = {response("1", "a") + response("1", "surplus"),
                     response("2", "b")};
  CHECK(Setup.request("1").value().Body == "a");
  CHECK(Setup.request("2").value().Body == "b");
  CHECK(Setup.Client->opened() == 2);
}

TEST_CASE("a truncated response is an error") {
  Fixture Setup(18204);
  Setup.Responses = {
      "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 9\r\n\r\nhalf<close>"};
  Outcome Ended = Setup.request("1");
  REQUIRE_FALSE(Ended);
  CHECK(Ended.error().Code == HttpClientErrorCode::ConnectionLost);
  CHECK(Ended.error().Sent);
}

TEST_CASE("a response without a length is complete when the server closes") {
  Fixture Setup(18205);
  Setup.Responses = {"HTTP/1.1 200 OK\r\nId: 1\r\n\r\nall of it<close>"};
  CHECK(Setup.request("1").value().Body == "all of it");
}

TEST_CASE("interim responses are skipped; garbage is an error") {
  Fixture Setup(18206);
  Setup.Responses = {"HTTP/1.1 103 Early Hints\r\n\r\n" + response("1", "a"),
                     "no answer at all\r\n\r\n"};
  CHECK(Setup.request("1").value().Body == "a");
  Outcome Ended = Setup.request("2");
  REQUIRE_FALSE(Ended);
  CHECK(Ended.error().Code == HttpClientErrorCode::BadResponse);
}

TEST_CASE("a failed connect reports that nothing was sent") {
  Fixture Setup(18207);
  Setup.Server.reset();
  Outcome Ended = Setup.request("1");
  REQUIRE_FALSE(Ended);
  CHECK(Ended.error().Code == HttpClientErrorCode::ConnectFailed);
  CHECK_FALSE(Ended.error().Sent);
}

TEST_CASE("a request that timed out counts as sent; its connection is not "
          "reused") {
  Fixture Setup(18208);
  Outcome Ended = Setup.request("1", 100ms);
  REQUIRE_FALSE(Ended);
  CHECK(Ended.error().Code == HttpClientErrorCode::TimedOut);
  CHECK(Ended.error().Sent);
  Setup.Responses = {response("2", "b")};
  CHECK(Setup.request("2").value().Body == "b");
  CHECK(Setup.Client->opened() == 2);
}
