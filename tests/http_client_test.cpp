#include "cyclamenwind/http/client.h"
#include "testing/raw_tcp.h"

#include <catch2/catch.hpp>

using namespace cyclamenwind;
using namespace cyclamenwind::testing;

namespace {

constexpr char RequestEnd[] = "\r\n\r\n";

size_t countOccurrences(const std::string &Text, const std::string &Part) {
  size_t Count = 0;
  for (size_t At = Text.find(Part); At != std::string::npos;
       At = Text.find(Part, At + 1))
    ++Count;
  return Count;
}

// A client and a raw TCP server over loopback. The server calls OnRequest when
// data arrives and a complete header block has been received.
struct Fixture {
  explicit Fixture(std::function<void(RawStream &)> OnRequest)
      : Server(TheLoop, Listen, [OnRequest](RawStream &Stream) {
          if (Stream.Received.find(RequestEnd) != std::string::npos)
            OnRequest(Stream);
        }) {}

  // Sends one request and waits for its outcome.
  Result<HttpResponse, HttpClientError> call(const std::string &Method = "POST",
                                             Duration Timeout = 5s) {
    std::optional<Result<HttpResponse, HttpClientError>> Outcome;
    auto Call =
        Client.send(Listen, {Method, "/x", {}, Method == "POST" ? "body" : ""},
                    Timeout, [&](auto Result) { Outcome = std::move(Result); });
    REQUIRE(runUntil(TheLoop, [&] { return Outcome.has_value(); }));
    runFor(TheLoop, 30ms);
    return std::move(*Outcome);
  }

  // Number of requests received by the server, over all connections.
  size_t requestsReceived() const {
    size_t Count = 0;
    for (const auto &Stream : Server.Streams)
      Count += countOccurrences(Stream->Received, " /x HTTP/1.1\r\n");
    return Count;
  }

  Loop TheLoop;
  Address Listen = loopbackAddress(8101);
  HttpClient Client{TheLoop, {.MaxBodyBytes = 1000}};
  RawListener Server;
};

struct BadResponseCase {
  std::string Text;
  HttpClientErrorCode Code;
};

} // namespace

TEST_CASE("a truncated response or one of unverifiable length is an error") {
  using Code = HttpClientErrorCode;
  auto Case = GENERATE(values<BadResponseCase>({
      {"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf",
       Code::ConnectionLost},
      {"HTTP/1.1 200 OK\r\nContent-Length: 9\r\nConnection: close\r\n\r\nhalf",
       Code::ConnectionLost},
      {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n9\r\nhalf",
       Code::ConnectionLost},
      {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n",
       Code::ConnectionLost},
      {"HTTP/1.1 200 OK\r\nTransfer-Encoding: "
       "chunked\r\n\r\n4\r\nhalf\r\n0\r\n",
       Code::ConnectionLost},
      {"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nhalf", Code::BadResponse},
      {"HTTP/1.1 200 OK\r\n\r\nhalf", Code::BadResponse},
      {"HTTP/1.0 200 OK\r\n\r\nhalf", Code::BadResponse},
      {"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 4\r\n\r\nhalf",
       Code::BadResponse},
      {"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nTransfer-Encoding: "
       "chunked\r\n\r\n2\r\nxx\r\n0\r\n\r\n",
       Code::BadResponse},
      {"HTTP/1.1 200 OK\r\nContent-Length: -4\r\n\r\nhalf", Code::BadResponse},
      {"HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: "
       "2\r\n\r\nno",
       Code::BadResponse},
      {"HTTP/1.1 200 OK\r\nContent-Len", Code::ConnectionLost},
      {"HT", Code::ConnectionLost},
      {"nonsense\r\n\r\n", Code::BadResponse},
      {"HTTP/1.1 200 OK\r\nContent-Length: 2000\r\n\r\n" +
           std::string(2000, 'x'),
       Code::ResponseTooLarge},
  }));
  Fixture Setup([&](RawStream &Stream) {
    Stream.write(Case.Text);
    Stream.close();
  });
  auto Outcome = Setup.call();
  INFO(Case.Text);
  REQUIRE_FALSE(Outcome.has_value());
  CHECK(nameOf(Outcome.error().Code) == nameOf(Case.Code));
  CHECK(Outcome.error().Sent);
  CHECK(Setup.requestsReceived() == 1);
  CHECK(Setup.Client.connections(Setup.Listen) == 0);
}

TEST_CASE("no request is sent again when a connection closes") {
  // The request at which the server closes the connection.
  int CloseAt = GENERATE(1, 2);
  int Requests = 0;
  Fixture Setup([&](RawStream &Stream) {
    if (++Requests == CloseAt) {
      Stream.close();
      return;
    }
    Stream.Received += "\r";
    Stream.write("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
    Stream.Received = Stream.Received.substr(0, Stream.Received.size() - 1);
  });
  for (int I = 1; I < CloseAt; ++I)
    REQUIRE(Setup.call("GET").has_value());
  auto Outcome = Setup.call("GET");
  REQUIRE_FALSE(Outcome.has_value());
  CHECK(Outcome.error().Code == HttpClientErrorCode::ConnectionLost);
  CHECK(Outcome.error().Sent);
  CHECK(Setup.requestsReceived() == static_cast<size_t>(CloseAt));
}

TEST_CASE(
    "an idle connection that the server closed or wrote to is not reused") {
  bool ServerWrites = GENERATE(false, true);
  Fixture Setup([&](RawStream &Stream) {
    Stream.write("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
  });
  REQUIRE(Setup.call("GET").has_value());
  CHECK(Setup.Client.connections(Setup.Listen) == 1);
  if (ServerWrites)
    Setup.Server.Streams[0]->write(
        "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwrong");
  else
    Setup.Server.Streams[0]->close();
  runFor(Setup.TheLoop, 30ms);
  auto Outcome = Setup.call("GET");
  REQUIRE(Outcome.has_value());
  CHECK(Outcome.value().Body == "ok");
  CHECK(Setup.Server.Streams.size() == 2);
  CHECK(Setup.requestsReceived() == 2);
}

TEST_CASE("surplus bytes after a response never become the next response") {
  Fixture Setup([&](RawStream &Stream) {
    Stream.write("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
                 "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwrong");
    Stream.Received.clear();
  });
  CHECK(Setup.call("GET").value().Body == "ok");
  CHECK(Setup.call("GET").value().Body == "ok");
  CHECK(Setup.Server.Streams.size() == 2);
}

TEST_CASE("complete responses of each form are delivered") {
  std::string Text = GENERATE(
      as<std::string>(), "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok",
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: "
      "chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
      "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: "
      "2\r\n\r\nok",
      "HTTP/1.0 200 OK\r\nContent-Length: 2\r\n\r\nok");
  Fixture Setup([&](RawStream &Stream) { Stream.write(Text); });
  auto Outcome = Setup.call();
  REQUIRE(Outcome.has_value());
  CHECK(Outcome.value().Body == "ok");
}

TEST_CASE("HEAD and 204 have no body") {
  bool Head = GENERATE(true, false);
  Fixture Setup([&](RawStream &Stream) {
    Stream.write(Head ? "HTTP/1.1 200 OK\r\nContent-Length: 20\r\n\r\n"
                      : "HTTP/1.1 204 No Content\r\n\r\n");
  });
  auto Outcome = Setup.call(Head ? "HEAD" : "GET");
  REQUIRE(Outcome.has_value());
  CHECK(Outcome.value().Body.empty());
  CHECK(Setup.Client.connections(Setup.Listen) == 1);
}

// Guards against a server that sends without end: evhttp keeps what it cannot
// parse yet.
TEST_CASE("a response without end takes bounded memory") {
  const std::string Chunked =
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
  auto [First, Again] = GENERATE_COPY(table<std::string, std::string>({
      {"HTTP/1.1 200 ", "x"},
      {"HTTP/1.1 200 OK\r\nA: ", "x"},
      {"HTTP/1.1 200 OK\r\n", "A: b\r\n"},
      {Chunked, "0"},
      {Chunked + "1;", "x"},
      {Chunked, "1\r\nx\r\n"},
      {Chunked + "0\r\n", "A: b\r\n"},
      {"HTTP/1.1 200 OK\r\nContent-Length: 99999999\r\n\r\n", "x"},
      {"HTTP/1.1 200 OK\r\n\r\n", "x"},
  }));
  INFO(First << "..." << Again);
  std::string Part;
  while (Part.size() < 16 * 1024)
    Part += Again;
  // More than the buffers of both kernels take.
  constexpr size_t Most = 8 << 20;
  RawStream *Endless = nullptr;
  Fixture Setup([&, First = First](RawStream &Stream) {
    Stream.Received.clear();
    Stream.write(First);
    Endless = &Stream;
  });
  std::optional<Result<HttpResponse, HttpClientError>> Outcome;
  auto Call =
      Setup.Client.send(Setup.Listen, {"GET", "/x", {}, ""}, 5s,
                        [&](auto Ended) { Outcome = std::move(Ended); });
  size_t Sent = 0;
  REQUIRE(runUntil(Setup.TheLoop, [&] {
    if (Endless != nullptr && !Endless->Ended && Sent < Most &&
        Endless->unsentBytes() < Part.size()) {
      Endless->write(Part);
      Sent += Part.size();
    }
    return Outcome.has_value();
  }));
  CHECK_FALSE(*Outcome);
  CHECK(Sent < Most);
}

TEST_CASE("a failed connect reports that nothing was sent") {
  Loop TheLoop;
  HttpClient Client(TheLoop, {});
  std::optional<HttpClientError> Error;
  auto Call = Client.send(loopbackAddress(8109), {"POST", "/x", {}, "body"}, 5s,
                          [&](auto Result) { Error = Result.error(); });
  REQUIRE(runUntil(TheLoop, [&] { return Error.has_value(); }));
  CHECK(Error->Code == HttpClientErrorCode::ConnectFailed);
  CHECK_FALSE(Error->Sent);
}

TEST_CASE("a request cancelled before its first byte is never sent") {
  Fixture Setup([&](RawStream &Stream) {
    Stream.write("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
  });
  bool Reused = GENERATE(false, true);
  if (Reused)
    REQUIRE(Setup.call().has_value());
  size_t RequestsBefore = Setup.requestsReceived();
  auto Call =
      Setup.Client.send(Setup.Listen, {"POST", "/x", {}, "body"}, 5s, [](auto) {
        FAIL("the callback of a cancelled call ran");
      });
  CHECK_FALSE(Call->sent());
  Call.reset();
  runFor(Setup.TheLoop, 50ms);
  CHECK(Setup.requestsReceived() == RequestsBefore);
}

TEST_CASE("cancelling a sent request closes its connection") {
  Fixture Setup([](RawStream &) {});
  auto Call =
      Setup.Client.send(Setup.Listen, {"POST", "/x", {}, "body"}, 5s, [](auto) {
        FAIL("the callback of a cancelled call ran");
      });
  REQUIRE(
      runUntil(Setup.TheLoop, [&] { return Setup.requestsReceived() == 1; }));
  CHECK(Call->sent());
  Call.reset();
  CHECK(
      runUntil(Setup.TheLoop, [&] { return Setup.Server.Streams[0]->Ended; }));
}

TEST_CASE("a connection without acknowledgements fails before the deadline, a "
          "slow server's does not") {
  bool DropSegments = GENERATE(true, false);
  constexpr char Response[] = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
  TimerHandle DelayedResponse;
  int Requests = 0;
  Fixture Setup([&](RawStream &Stream) {
    Stream.Received.clear();
    if (++Requests == 1)
      Stream.write(Response);
    else
      DelayedResponse =
          Setup.TheLoop.after(6s, [&] { Stream.write(Response); });
  });
  REQUIRE(Setup.call("GET").has_value());
  if (DropSegments)
    Setup.Server.Streams[0]->dropArrivals();
  auto Outcome = Setup.call("POST", 15s);
  CHECK(Outcome.has_value() == !DropSegments);
  if (DropSegments) {
    CHECK(Outcome.error().Code == HttpClientErrorCode::ConnectionLost);
    CHECK(Outcome.error().Sent);
  }
}
