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

// Guards against callers whose requests are read without end because no limit
// counts what is not kept.
TEST_CASE("a request without end is refused when it exceeds a limit") {
  const std::string Head = "POST /x HTTP/1.1\r\nHost: a\r\n";
  const std::string Chunked = Head + "Transfer-Encoding: chunked\r\n\r\n";
  auto [First, Again, Status] =
      GENERATE_COPY(table<std::string, std::string, std::string>({
          {"", "\r\n", "431"},
          {Head + "A:", " ", "431"},
          {Head + "A: b\r\n", " \r\n", "431"},
          {Chunked, "0", "413"},
          {Chunked + "1;", "x", "413"},
          {Chunked, "1;" + std::string(500, 'e') + "\r\nx\r\n", "413"},
          {Chunked + "ffffff\r\n", "x", "413"},
          {Chunked + "0\r\nA:", " ", "413"},
      }));
  INFO(First << "..." << Again);
  Fixture Setup(18171);
  std::string Bytes = First;
  while (Bytes.size() < 64 * 1024)
    Bytes += Again;
  CHECK(Setup.exchange(Bytes).starts_with("HTTP/1.1 " + Status));
  CHECK(Setup.Received.empty());
}

TEST_CASE("a chunked body whose extensions are as long as it is read") {
  Fixture Setup(18172);
  std::string Chunk =
      "64;e=" + std::string(98, 'e') + "\r\n" + std::string(100, 'x') + "\r\n";
  std::string Body;
  for (int I = 0; I < 100; ++I)
    Body += Chunk;
  auto Stream = Setup.send("POST /x HTTP/1.1\r\nHost: a\r\n"
                           "Transfer-Encoding: chunked\r\n\r\n" +
                               Body + "0\r\n\r\n",
                           1);
  CHECK(Setup.Received[0]->request().Body.size() == 10000);
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

TEST_CASE("bytes after the last request of a connection do not add up") {
  // Guards against a caller that asks for the close and goes on sending.
  Fixture Setup(18120);
  auto Stream =
      Setup.send("GET /1 HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n", 1);
  Stream->write(std::string(8 << 20, 'x'));
  runFor(Setup.TheLoop, 500ms);
  CHECK(Setup.Received.size() == 1);
  Setup.Received[0]->reply({200, {}, "done"});
  REQUIRE(runUntil(Setup.TheLoop, [&] { return Stream->Ended; }));
  CHECK(Stream->Received.find("done") != std::string::npos);
}

namespace {

// A server with a budget of BudgetBytes for requests and responses.
class BudgetFixture : public Fixture {
public:
  static constexpr size_t BodyBytes = 200000;
  static constexpr size_t BudgetBytes = 1000000;

  explicit BudgetFixture(uint16_t Port) : Fixture(Port), Memory(BudgetBytes) {
    Server->chargeTo(Memory);
    set(0);
  }

  void set(size_t MaxConnections) {
    PipelineLimits Limits;
    Limits.Parser.MaxBodyBytes = BodyBytes;
    Limits.IdleTimeout = 10s;
    Limits.MaxConnections = MaxConnections;
    Limits.RefusalHeaders = {{"Retry-After", "1"}};
    Server->setLimits(Limits);
  }

  std::unique_ptr<RawStream> open(const std::string &Bytes) {
    auto Stream = std::make_unique<RawStream>(TheLoop, Listen);
    Stream->write(Bytes);
    return Stream;
  }

  MemoryBudget Memory;
};

std::string post(size_t DeclaredBytes, size_t SentBytes) {
  return "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: " +
         std::to_string(DeclaredBytes) + "\r\n\r\n" +
         std::string(SentBytes, 'x');
}

} // namespace

TEST_CASE("a body waits for memory, is refused after a second, and a small "
          "request is read meanwhile") {
  BudgetFixture Setup(18121);
  MemoryCharge Other(&Setup.Memory, MemoryKind::Forwarded);
  Other.set(500000);
  auto Large = Setup.open(post(Setup.BodyBytes, Setup.BodyBytes));
  runFor(Setup.TheLoop, 300ms);
  CHECK(Setup.Received.empty());
  auto Small = Setup.send(get("/small"), 1);
  CHECK(Setup.Received[0]->request().Target == "/small");
  REQUIRE(runUntil(
      Setup.TheLoop, [&] { return !Large->Received.empty(); }, 5s));
  CHECK(Large->Received.starts_with("HTTP/1.1 503"));
  CHECK(Large->Received.find("Retry-After") != std::string::npos);
  CHECK(Setup.Memory.shed(ShedCause::WaitedTooLong) == 1);
  Other.set(0);
  auto Again = Setup.send(post(Setup.BodyBytes, Setup.BodyBytes), 2);
  CHECK(Setup.Received[1]->request().Body.size() == Setup.BodyBytes);
}

TEST_CASE("a body that waits for memory is read when there is some") {
  BudgetFixture Setup(18122);
  MemoryCharge Other(&Setup.Memory, MemoryKind::Forwarded);
  Other.set(500000);
  auto Large = Setup.open(post(Setup.BodyBytes, Setup.BodyBytes));
  runFor(Setup.TheLoop, 300ms);
  CHECK(Setup.Received.empty());
  Other.set(0);
  REQUIRE(runUntil(
      Setup.TheLoop, [&] { return Setup.Received.size() == 1; }, 5s));
  CHECK(Setup.Received[0]->request().Body.size() == Setup.BodyBytes);
}

TEST_CASE("a body that stopped short makes room for another") {
  BudgetFixture Setup(18123);
  auto Stalled = Setup.open(post(Setup.BodyBytes, Setup.BodyBytes - 1));
  runFor(Setup.TheLoop, 700ms);
  CHECK(Setup.Memory.used(MemoryKind::Bodies) == 2 * Setup.BodyBytes);
  auto Whole = Setup.send(post(Setup.BodyBytes, Setup.BodyBytes), 1);
  CHECK(Setup.Received[0]->request().Body.size() == Setup.BodyBytes);
  CHECK(Setup.Memory.shed(ShedCause::Stalled) == 1);
  REQUIRE(runUntil(Setup.TheLoop, [&] { return Stalled->Ended; }));
  CHECK(Stalled->Received.starts_with("HTTP/1.1 503"));
}

TEST_CASE("a body of which nothing arrives any more gets 408") {
  BudgetFixture Setup(18127);
  PipelineLimits Limits;
  Limits.BodyStallTimeout = 500ms;
  Setup.Server->setLimits(Limits);
  auto Stream = Setup.open(post(1000, 999));
  REQUIRE(runUntil(
      Setup.TheLoop, [&] { return Stream->Ended; }, 5s));
  CHECK(Stream->Received.starts_with("HTTP/1.1 408"));
  CHECK(Setup.Received.empty());
}

TEST_CASE(
    "a caller that leaves while its request waits for memory is noticed") {
  BudgetFixture Setup(18128);
  MemoryCharge Other(&Setup.Memory, MemoryKind::Forwarded);
  Other.set(700000);
  auto Stream = Setup.open(post(Setup.BodyBytes, 0));
  runFor(Setup.TheLoop, 100ms);
  Stream->close();
  runFor(Setup.TheLoop, 200ms);
  CHECK(Setup.Memory.used(MemoryKind::Connections) == 0);
  CHECK(Setup.Memory.shed(ShedCause::WaitedTooLong) == 0);
}

TEST_CASE("heads of many lines are charged for the memory that they take") {
  BudgetFixture Setup(18124);
  std::string Head = "GET / HTTP/1.1\r\nHost: a\r\n";
  for (int Line = 0; Line < 1000; ++Line)
    Head += "a:\r\n";
  auto Stream = Setup.open(Head);
  runFor(Setup.TheLoop, 200ms);
  CHECK(Setup.Memory.used(MemoryKind::Heads) > 1000 * sizeof(HttpHeader));
  Stream->close();
  runFor(Setup.TheLoop, 200ms);
  CHECK(Setup.Memory.used() == 0);
}

TEST_CASE("a response without memory for it is replaced by 502, and charges "
          "end with the response") {
  BudgetFixture Setup(18125);
  auto Stream = Setup.send(get("/1") + get("/2"), 2);
  Setup.Received[0]->reply({200, {}, std::string(Setup.BudgetBytes, 'x')});
  Setup.Received[1]->reply({200, {}, std::string(Setup.BodyBytes, 'y')});
  REQUIRE(runUntil(Setup.TheLoop,
                   [&] { return Stream->Received.size() > Setup.BodyBytes; }));
  CHECK(Stream->Received.starts_with("HTTP/1.1 502"));
  CHECK(Stream->Received.find("HTTP/1.1 200") != std::string::npos);
  CHECK(Setup.Memory.shed(ShedCause::Response) == 1);
  runFor(Setup.TheLoop, 100ms);
  CHECK(Setup.Memory.used(MemoryKind::Responses) == 0);
}

TEST_CASE("at the limit of connections an idle one makes room; if none is "
          "idle, new ones wait") {
  // Guards against running out of descriptors.
  BudgetFixture Setup(18126);
  constexpr size_t MaxConnections = 3;
  Setup.set(MaxConnections);
  auto Busy = Setup.send(get("/1"), 1);
  auto Idle = Setup.open("");
  runFor(Setup.TheLoop, 400ms);
  auto Next = Setup.send(get("/2"), 2);
  REQUIRE(runUntil(
      Setup.TheLoop, [&] { return Idle->Ended; }, 5s));
  auto Last = Setup.send(get("/3"), 3);
  CHECK_FALSE(Busy->Ended);
  CHECK_FALSE(Next->Ended);
  auto Waiting = Setup.open(get("/4"));
  runFor(Setup.TheLoop, 500ms);
  CHECK(Setup.Received.size() == MaxConnections);
  Setup.Received[0]->reply({200, {}, "one"});
  REQUIRE(runUntil(
      Setup.TheLoop, [&] { return Setup.Received.size() == 4; }, 5s));
  CHECK(Busy->Received.find("one") != std::string::npos);
}
