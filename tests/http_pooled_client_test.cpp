#include "cyclamenwind/http/pooled_client.h"
#include "testing/raw_tcp.h"

#include <catch2/catch.hpp>

using namespace cyclamenwind;
using namespace cyclamenwind::literals;
using namespace cyclamenwind::testing;

namespace {

using Outcome = Result<HttpResponse, HttpClientError>;

// A client and a server that answers each request with the next of Answers.
class Bench {
public:
  explicit Bench(uint16_t Port) : Listen(loopbackAddress(Port)) {
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
           Next < Answers.size()) {
      Stream.Received.erase(0, Stream.Received.find("\r\n\r\n") + 4);
      std::string Answer = Answers[Next++];
      bool Close = Answer.ends_with("<close>");
      if (Close)
        Answer.resize(Answer.size() - 7);
      Stream.write(Answer);
      if (Close)
        TheLoop.defer([&Stream] { Stream.close(); });
    }
  }

  Outcome request(const std::string &Id, Duration Timeout = 2s) {
    std::optional<Outcome> Ended;
    auto Call = Client->send(Listen, {"GET", "/", {{"Id", Id}}, ""}, Timeout,
                             [&](Outcome Result) { Ended = Result; });
    REQUIRE(runUntil(TheLoop, [&] { return Ended.has_value(); }));
    return *Ended;
  }

  Loop TheLoop;
  Address Listen;
  std::vector<std::string> Answers;
  size_t Next = 0;
  std::unique_ptr<PooledClient> Client;
  std::unique_ptr<RawListener> Server;
};

std::string answer(const std::string &Id, const std::string &Body) {
  return "HTTP/1.1 200 OK\r\nId: " + Id +
         "\r\nContent-Length: " + std::to_string(Body.size()) + "\r\n\r\n" +
         Body;
}

} // namespace

TEST_CASE("connections are used again") {
  Bench Running(18201);
  Running.Answers = {answer("1", "a"), answer("2", "b")};
  CHECK(Running.request("1").value().Body == "a");
  CHECK(Running.request("2").value().Body == "b");
  CHECK(Running.Client->opened() == 1);
}

TEST_CASE("a late answer to an earlier request is skipped") {
  Bench Running(18202);
  Running.Answers = {answer("0", "stale") + answer("1", "mine")};
  CHECK(Running.request("1").value().Body == "mine");
}

TEST_CASE("surplus bytes end the connection and belong to no request") {
  Bench Running(18203);
  Running.Answers = {answer("1", "a") + answer("1", "surplus"),
                     answer("2", "b")};
  CHECK(Running.request("1").value().Body == "a");
  CHECK(Running.request("2").value().Body == "b");
  CHECK(Running.Client->opened() == 2);
}

TEST_CASE("a truncated answer is no answer") {
  Bench Running(18204);
  Running.Answers = {
      "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 9\r\n\r\nhalf<close>"};
  Outcome Ended = Running.request("1");
  REQUIRE_FALSE(Ended);
  CHECK(Ended.error().Code == HttpClientErrorCode::ConnectionLost);
  CHECK(Ended.error().Sent);
}

TEST_CASE("an answer without a length is whole once the server closes") {
  Bench Running(18205);
  Running.Answers = {"HTTP/1.1 200 OK\r\nId: 1\r\n\r\nall of it<close>"};
  CHECK(Running.request("1").value().Body == "all of it");
}

TEST_CASE("interim answers are passed over; garbage is an error") {
  Bench Running(18206);
  Running.Answers = {"HTTP/1.1 103 Early Hints\r\n\r\n" + answer("1", "a"),
                     "no answer at all\r\n\r\n"};
  CHECK(Running.request("1").value().Body == "a");
  Outcome Ended = Running.request("2");
  REQUIRE_FALSE(Ended);
  CHECK(Ended.error().Code == HttpClientErrorCode::BadResponse);
}

TEST_CASE("nothing was sent where no connection stands") {
  Bench Running(18207);
  Running.Server.reset();
  Outcome Ended = Running.request("1");
  REQUIRE_FALSE(Ended);
  CHECK(Ended.error().Code == HttpClientErrorCode::ConnectFailed);
  CHECK_FALSE(Ended.error().Sent);
}

TEST_CASE("a request that times out was sent; its connection is not used "
          "again") {
  Bench Running(18208);
  Outcome Ended = Running.request("1", 100ms);
  REQUIRE_FALSE(Ended);
  CHECK(Ended.error().Code == HttpClientErrorCode::TimedOut);
  CHECK(Ended.error().Sent);
  Running.Answers = {answer("2", "b")};
  CHECK(Running.request("2").value().Body == "b");
  CHECK(Running.Client->opened() == 2);
}
