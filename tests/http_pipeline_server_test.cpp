#include "cyclamenwind/http/pipeline_server.h"
#include "testing/raw_tcp.h"

#include <catch2/catch.hpp>

#include <random>

using namespace cyclamenwind;
using namespace cyclamenwind::literals;
using namespace cyclamenwind::testing;

namespace {

class Bench {
public:
  explicit Bench(uint16_t Port) : Listen(loopbackAddress(Port)) {
    PipelineLimits Limits;
    Limits.Parser.MaxHeaderBytes = 4096;
    Limits.Parser.MaxBodyBytes = 10000;
    Limits.HeaderTimeout = 300ms;
    Limits.IdleTimeout = 1s;
    Server = std::make_unique<PipelineServer>(
        TheLoop, Listen, Limits,
        [this](const ExchangePtr &Each) { Received.push_back(Each); });
    REQUIRE(Server->ok());
  }

  // Sends Bytes on a new connection and waits for Count requests.
  std::unique_ptr<RawStream> send(const std::string &Bytes, size_t Count) {
    auto Stream = std::make_unique<RawStream>(TheLoop, Listen);
    Stream->write(Bytes);
    REQUIRE(runUntil(TheLoop, [&] { return Received.size() >= Count; }));
    return Stream;
  }

  // What a connection that sends Bytes gets until the server closes it.
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

TEST_CASE("pipelined requests are all handed over at once and answered in "
          "order") {
  Bench Running(18101);
  auto Stream = Running.send(get("/1") + get("/2") + get("/3"), 3);
  Running.Received[2]->reply({200, {}, "third"});
  Running.Received[0]->reply({200, {}, "first"});
  runFor(Running.TheLoop, 50ms);
  CHECK(Stream->Received.find("first") != std::string::npos);
  CHECK(Stream->Received.find("third") == std::string::npos);
  Running.Received[1]->reply({200, {}, "second"});
  REQUIRE(runUntil(Running.TheLoop, [&] {
    return Stream->Received.find("third") != std::string::npos;
  }));
  CHECK(Stream->Received.find("second") < Stream->Received.find("third"));
}

TEST_CASE("requests whose length is ambiguous are rejected and the connection "
          "is closed") {
  Bench Running(18102);
  const char *Ambiguous[] = {
      "Content-Length: 3\r\nContent-Length: 4\r\n",
      "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n",
      "Transfer-Encoding: gzip, chunked\r\n",
      "Content-Length : 3\r\n",
      "Content-Length: +3\r\n",
      "Content-Length: 3, 3\r\n",
  };
  for (const char *Each : Ambiguous) {
    INFO(Each);
    std::string Answer = Running.exchange(
        std::string("POST / HTTP/1.1\r\nHost: a\r\n") + Each + "\r\nabc");
    CHECK(Answer.starts_with("HTTP/1.1 400"));
  }
  CHECK(Running.Received.empty());
}

TEST_CASE("a chunked body with extensions is read") {
  Bench Running(18103);
  auto Stream = Running.send("POST /x HTTP/1.1\r\nHost: a\r\n"
                             "Transfer-Encoding: chunked\r\n\r\n"
                             "3;ext=1\r\nabc\r\n0\r\n\r\n",
                             1);
  CHECK(Running.Received[0]->request().Body == "abc");
}

TEST_CASE("limits on headers, body and time") {
  Bench Running(18104);
  std::string Long(5000, 'h');
  CHECK(Running.exchange("GET / HTTP/1.1\r\nX: " + Long + "\r\n\r\n")
            .starts_with("HTTP/1.1 431"));
  CHECK(Running
            .exchange("POST / HTTP/1.1\r\nHost: a\r\n"
                      "Content-Length: 99999\r\n\r\n")
            .starts_with("HTTP/1.1 413"));
  CHECK(Running.exchange("GET / HTTP/1.1\r\nHo").starts_with("HTTP/1.1 408"));
}

TEST_CASE("answers before a malformed request are still given") {
  Bench Running(18105);
  auto Stream = Running.send(get("/1") + "garbage\r\n\r\n", 1);
  runFor(Running.TheLoop, 50ms);
  Running.Received[0]->reply({200, {}, "good"});
  REQUIRE(runUntil(Running.TheLoop, [&] { return Stream->Ended; }));
  size_t Good = Stream->Received.find("good");
  size_t Bad = Stream->Received.find("HTTP/1.1 400");
  REQUIRE(Good != std::string::npos);
  REQUIRE(Bad != std::string::npos);
  CHECK(Good < Bad);
}

TEST_CASE("a draining server answers what it has read and closes behind it") {
  Bench Running(18106);
  auto Stream = Running.send(get("/1") + get("/2"), 2);
  Running.Server->drain(/*CloseIdle=*/true);
  Running.Received[0]->reply({200, {}, "one"});
  Running.Received[1]->reply({200, {}, "two"});
  REQUIRE(runUntil(Running.TheLoop, [&] { return Stream->Ended; }));
  CHECK(Stream->Received.find("two") != std::string::npos);
  size_t Close = Stream->Received.find("Connection: close");
  CHECK(Close > Stream->Received.find("one"));
  CHECK(Close < Stream->Received.find("two"));
}

TEST_CASE("pipelining caller: a stopping server takes no further requests, "
          "answers those it has, and closes") {
  Bench Running(18109);
  auto Stream = Running.send(get("/1") + get("/2"), 2);
  Running.Server->drain(/*CloseIdle=*/false);
  Stream->write(get("/3"));
  REQUIRE(
      runUntil(Running.TheLoop, [&] { return Running.Received.size() == 3; }));
  Running.Received[0]->reply({200, {}, "one"});
  runFor(Running.TheLoop, 20ms);
  Running.Server->stopReading();
  Stream->write(get("/4"));
  runFor(Running.TheLoop, 50ms);
  CHECK(Running.Received.size() == 3);
  Running.Received[1]->reply({200, {}, "two"});
  Running.Received[2]->reply({200, {}, "three"});
  REQUIRE(runUntil(Running.TheLoop, [&] { return Stream->Ended; }));
  CHECK(Stream->Received.find("three") != std::string::npos);
  CHECK(Running.Received.size() == 3);
  CHECK(Running.Server->unfinished() == 0);
}

TEST_CASE("a caller that leaves is noticed") {
  Bench Running(18107);
  auto Stream = Running.send(get("/1"), 1);
  bool Gone = false;
  Running.Received[0]->onPeerGone([&] { Gone = true; });
  Stream->close();
  CHECK(runUntil(Running.TheLoop, [&] { return Gone; }));
  Running.Received[0]->reply({200, {}, ""}); // Ignored.
}

TEST_CASE("random bytes stop nothing") {
  Bench Running(18108);
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
    RawStream Stream(Running.TheLoop, Running.Listen);
    Stream.write(Bytes);
    runFor(Running.TheLoop, 2ms);
  }
  Running.Received.clear();
  auto Stream = Running.send(get("/ok"), 1);
  Running.Received[0]->reply({200, {}, "alive"});
  CHECK(runUntil(Running.TheLoop, [&] {
    return Stream->Received.find("alive") != std::string::npos;
  }));
}
