#include "cyclamenwind/http/pipeline_server.h"
#include "testing/raw_tcp.h"

#include <catch2/catch.hpp>

#include <random>

using namespace cyclamenwind;
using namespace cyclamenwind::literals;
using namespace cyclamenwind::testing;

namespace {

class Fixture {
public:
  explicit Fixture(uint16_t Port) : Listen(loopbackAddress(Port)) {
    PipelineLimits Limits;
    Limits.Parser.MaxHeaderBytes = 4096;
    Limits.Parser.MaxBodyBytes = 10000;
    Limits.HeaderTimeout = 300ms;
    Limits.IdleTimeout = 1s;
    Server = std::make_unique<PipelineServer>(
        TheLoop, Listen, Limits,
        [this](const ExchangePtr &Exchange) { Received.push_back(Exchange); });
    REQUIRE(Server->ok());
  }

  // Sends Bytes on a new connection and waits for Count requests.
  std::unique_ptr<RawStream> send(const std::string &Bytes, size_t Count) {
    auto Stream = std::make_unique<RawStream>(TheLoop, Listen);
    Stream->write(Bytes);
    REQUIRE(runUntil(TheLoop, [&] { return Received.size() >= Count; }));
    return Stream;
  }

  // Sends Bytes on a new connection and returns what the server sends until it
  // closes the connection.
  std::string exchange(const std::string &Bytes) {
    RawStream Stream(TheLoop, Listen);
    Stream.write(Bytes);
    runUntil(
        TheLoop, [&] { return Stream.Ended; }, 3s);
    CHECK(Stream.Ended);
    return Stream.Received;
  }

  Loop TheLoop;
  Address Listen;
  std::vector<ExchangePtr> Received;
  std::unique_ptr<PipelineServer> Server;
};

std::string get(const std::string &Path) {
  return "GET " + Path + " HTTP/1.1\r\nHost: a\r\n\r\n";
}

} // namespace

TEST_CASE("pipelined requests are handled concurrently and answered in "
          "order") {
  Fixture Setup(18101);
  auto Stream = Setup.send(get("/1") + get("/2") + get("/3"), 3);
  Setup.Received[2]->reply({200, {}, "third"});
  Setup.Received[0]->reply({200, {}, "first"});
  runFor(Setup.TheLoop, 50ms);
  CHECK(Stream->Received.find("first") != std::string::npos);
  CHECK(Stream->Received.find("third") == std::string::npos);
  Setup.Received[1]->reply({200, {}, "second"});
  REQUIRE(runUntil(Setup.TheLoop, [&] {
    return Stream->Received.find("third") != std::string::npos;
  }));
  CHECK(Stream->Received.find("second") < Stream->Received.find("third"));
}

TEST_CASE("requests whose length is ambiguous are rejected and the connection "
          "is closed") {
  Fixture Setup(18102);
  const char *Ambiguous[] = {
      "Content-Length: 3\r\nContent-Length: 4\r\n",
      "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n",
      "Transfer-Encoding: gzip, chunked\r\n",
      "Content-Length : 3\r\n",
      "Content-Length: +3\r\n",
      "Content-Length: 3, 3\r\n",
  };
  for (const char *Header : Ambiguous) {
    INFO(Header);
    std::string Response = Setup.exchange(
        std::string("POST / HTTP/1.1\r\nHost: a\r\n") + Header + "\r\nabc");
    CHECK(Response.starts_with("HTTP/1.1 400"));
  }
  CHECK(Setup.Received.empty());
}

TEST_CASE("a chunked body with extensions is read") {
  Fixture Setup(18103);
  auto Stream = Setup.send("POST /x HTTP/1.1\r\nHost: a\r\n"
                           "Transfer-Encoding: chunked\r\n\r\n"
                           "3;ext=1\r\nabc\r\n0\r\n\r\n",
                           1);
  CHECK(Setup.Received[0]->request().Body == "abc");
}

TEST_CASE("limits on headers, body and time") {
  Fixture Setup(18104);
  std::string LongValue(5000, 'h');
  CHECK(Setup.exchange("GET / HTTP/1.1\r\nX: " + LongValue + "\r\n\r\n")
            .starts_with("HTTP/1.1 431"));
  CHECK(Setup
            .exchange("POST / HTTP/1.1\r\nHost: a\r\n"
                      "Content-Length: 99999\r\n\r\n")
            .starts_with("HTTP/1.1 413"));
  CHECK(Setup.exchange("GET / HTTP/1.1\r\nHo").starts_with("HTTP/1.1 408"));
}

TEST_CASE("requests before a malformed one are still answered") {
  Fixture Setup(18105);
  auto Stream = Setup.send(get("/1") + "garbage\r\n\r\n", 1);
  runFor(Setup.TheLoop, 50ms);
  Setup.Received[0]->reply({200, {}, "good"});
  REQUIRE(runUntil(Setup.TheLoop, [&] { return Stream->Ended; }));
  size_t GoodAt = Stream->Received.find("good");
  size_t BadAt = Stream->Received.find("HTTP/1.1 400");
  REQUIRE(GoodAt != std::string::npos);
  REQUIRE(BadAt != std::string::npos);
  CHECK(GoodAt < BadAt);
}

TEST_CASE("a draining server answers the requests read, then closes") {
  Fixture Setup(18106);
  auto Stream = Setup.send(get("/1") + get("/2"), 2);
  Setup.Server->drain(/*CloseIdle=*/true);
  Setup.Received[0]->reply({200, {}, "one"});
  Setup.Received[1]->reply({200, {}, "two"});
  REQUIRE(runUntil(Setup.TheLoop, [&] { return Stream->Ended; }));
  CHECK(Stream->Received.find("two") != std::string::npos);
  size_t CloseAt = Stream->Received.find("Connection: close");
  CHECK(CloseAt > Stream->Received.find("one"));
  CHECK(CloseAt < Stream->Received.find("two"));
}

TEST_CASE("after stopReading() the server reads no pipelined request, answers "
          "those it has read, and closes") {
  Fixture Setup(18109);
  auto Stream = Setup.send(get("/1") + get("/2"), 2);
  Setup.Server->drain(/*CloseIdle=*/false);
  Stream->write(get("/3"));
  REQUIRE(runUntil(Setup.TheLoop, [&] { return Setup.Received.size() == 3; }));
  Setup.Received[0]->reply({200, {}, "one"});
  runFor(Setup.TheLoop, 20ms);
  Setup.Server->stopReading();
  Stream->write(get("/4"));
  runFor(Setup.TheLoop, 50ms);
  CHECK(Setup.Received.size() == 3);
  Setup.Received[1]->reply({200, {}, "two"});
  Setup.Received[2]->reply({200, {}, "three"});
  REQUIRE(runUntil(Setup.TheLoop, [&] { return Stream->Ended; }));
  CHECK(Stream->Received.find("three") != std::string::npos);
  CHECK(Setup.Received.size() == 3);
  CHECK(Setup.Server->unfinished() == 0);
}

TEST_CASE("a caller that disconnects is reported") {
  Fixture Setup(18107);
  auto Stream = Setup.send(get("/1"), 1);
  bool Disconnected = false;
  Setup.Received[0]->onPeerGone([&] { Disconnected = true; });
  Stream->close();
  CHECK(runUntil(Setup.TheLoop, [&] { return Disconnected; }));
  Setup.Received[0]->reply({200, {}, ""}); // Ignored.
}

TEST_CASE("random bytes do not stop the server") {
  Fixture Setup(18108);
  std::mt19937 Rng(20261204);
  const std::string Pieces[] = {"GET ",
                                "/a",
                                " HTTP/1.1",
                                "\r\n",
                                "Host: ",
                                "a",
                                ": ",
                                "\r\n\r\n",
                                "POST ",
                                "\0\1",
                                "Transfer-Encoding: chunked",
                                "5\r\n",
                                "abc",
                                "Content-Length: 2"};
  for (int Round = 0; Round < 200; ++Round) {
    std::string Bytes;
    for (int I = 0; I < 12; ++I)
      Bytes += Pieces[Rng() % std::size(Pieces)];
    RawStream Stream(Setup.TheLoop, Setup.Listen);
    Stream.write(Bytes);
    runFor(Setup.TheLoop, 2ms);
  }
  Setup.Received.clear();
  auto Stream = Setup.send(get("/ok"), 1);
  Setup.Received[0]->reply({200, {}, "alive"});
  CHECK(runUntil(Setup.TheLoop, [&] {
    return Stream->Received.find("alive") != std::string::npos;
  }));
}
