#include "cyclamenwind/http/client.h"
#include "testing/raw_tcp.h"

#include <catch2/catch.hpp>

using namespace cyclamenwind;
using namespace cyclamenwind::testing;

namespace {

constexpr char RequestEnd[] = "\r\n\r\n";

size_t countOf(const std::string &Text, const std::string &Part) {
  size_t Count = 0;
  for (size_t At = Text.find(Part); At != std::string::npos;
       At = Text.find(Part, At + 1))
    ++Count;
  return Count;
}

// A client and a server that answers as told, over loopback.
struct Pair {
  explicit Pair(std::function<void(RawStream &)> OnRequest)
      : Server(TheLoop, Listen, [OnRequest](RawStream &Stream) {
          if (Stream.Received.find(RequestEnd) != std::string::npos)
            OnRequest(Stream);
        }) {}

  // Sends one request and waits for its end.
  Result<HttpResponse, HttpClientError> call(const std::string &Method = "POST",
                                             Duration Timeout = 5s) {
    std::optional<Result<HttpResponse, HttpClientError>> Outcome;
    auto Call =
        Client.send(Listen, {Method, "/x", {}, Method == "POST" ? "body" : ""},
                    Timeout, [&](auto Ended) { Outcome = std::move(Ended); });
    REQUIRE(runUntil(TheLoop, [&] { return Outcome.has_value(); }));
    runFor(TheLoop, 30ms);
    return std::move(*Outcome);
  }

  // Requests that reached the server over all connections.
  size_t requestsSeen() const {
    size_t Count = 0;
    for (const auto &Each : Server.Streams)
      Count += countOf(Each->Received, " /x HTTP/1.1\r\n");
    return Count;
  }

  Loop TheLoop;
  Address Listen = loopbackAddress(8101);
  HttpClient Client{TheLoop, {.MaxBodyBytes = 1000}};
  RawListener Server;
};

struct BadAnswerCase {
  std::string Text;
  HttpClientErrorCode Code;
};

} // namespace

TEST_CASE("an answer that is cut, endless or ambiguous is never whole") {
  using Code = HttpClientErrorCode;
  auto Case = GENERATE(values<BadAnswerCase>({
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
  Pair Both([&](RawStream &Stream) {
    Stream.write(Case.Text);
    Stream.close();
  });
  auto Outcome = Both.call();
  INFO(Case.Text);
  REQUIRE_FALSE(Outcome.has_value());
  CHECK(nameOf(Outcome.error().Code) == nameOf(Case.Code));
  CHECK(Outcome.error().Sent);
  CHECK(Both.requestsSeen() == 1);
  CHECK(Both.Client.connections(Both.Listen) == 0);
}

TEST_CASE("nothing is sent again when a connection closes") {
  // At the first byte of the request, at its end, and at the second request.
  int CloseAt = GENERATE(1, 2);
  int Seen = 0;
  Pair Both([&](RawStream &Stream) {
    if (++Seen == CloseAt) {
      Stream.close();
      return;
    }
    Stream.Received += "\r";
    Stream.write("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
    Stream.Received = Stream.Received.substr(0, Stream.Received.size() - 1);
  });
  for (int I = 1; I < CloseAt; ++I)
    REQUIRE(Both.call("GET").has_value());
  auto Outcome = Both.call("GET");
  REQUIRE_FALSE(Outcome.has_value());
  CHECK(Outcome.error().Code == HttpClientErrorCode::ConnectionLost);
  CHECK(Outcome.error().Sent);
  CHECK(Both.requestsSeen() == static_cast<size_t>(CloseAt));
}

TEST_CASE("a kept connection that the server closed or wrote to is not used") {
  bool Unasked = GENERATE(false, true);
  Pair Both([&](RawStream &Stream) {
    Stream.write("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
  });
  REQUIRE(Both.call("GET").has_value());
  CHECK(Both.Client.connections(Both.Listen) == 1);
  if (Unasked)
    Both.Server.Streams[0]->write(
        "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwrong");
  else
    Both.Server.Streams[0]->close();
  runFor(Both.TheLoop, 30ms);
  auto Outcome = Both.call("GET");
  REQUIRE(Outcome.has_value());
  CHECK(Outcome.value().Body == "ok");
  CHECK(Both.Server.Streams.size() == 2);
  CHECK(Both.requestsSeen() == 2);
}

TEST_CASE("surplus bytes after an answer never become the next answer") {
  Pair Both([&](RawStream &Stream) {
    Stream.write("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
                 "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwrong");
    Stream.Received.clear();
  });
  CHECK(Both.call("GET").value().Body == "ok");
  CHECK(Both.call("GET").value().Body == "ok");
  CHECK(Both.Server.Streams.size() == 2);
}

TEST_CASE("whole answers of each form are passed on") {
  std::string Text = GENERATE(
      as<std::string>(), "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok",
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: "
      "chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
      "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: "
      "2\r\n\r\nok",
      "HTTP/1.0 200 OK\r\nContent-Length: 2\r\n\r\nok");
  Pair Both([&](RawStream &Stream) { Stream.write(Text); });
  auto Outcome = Both.call();
  REQUIRE(Outcome.has_value());
  CHECK(Outcome.value().Body == "ok");
}

TEST_CASE("HEAD and 204 have no body") {
  bool Head = GENERATE(true, false);
  Pair Both([&](RawStream &Stream) {
    Stream.write(Head ? "HTTP/1.1 200 OK\r\nContent-Length: 20\r\n\r\n"
                      : "HTTP/1.1 204 No Content\r\n\r\n");
  });
  auto Outcome = Both.call(Head ? "HEAD" : "GET");
  REQUIRE(Outcome.has_value());
  CHECK(Outcome.value().Body.empty());
  CHECK(Both.Client.connections(Both.Listen) == 1);
}

TEST_CASE("no connection means nothing was sent") {
  Loop TheLoop;
  HttpClient Client(TheLoop, {});
  std::optional<HttpClientError> Error;
  auto Call = Client.send(loopbackAddress(8109), {"POST", "/x", {}, "body"}, 5s,
                          [&](auto Ended) { Error = Ended.error(); });
  REQUIRE(runUntil(TheLoop, [&] { return Error.has_value(); }));
  CHECK(Error->Code == HttpClientErrorCode::ConnectFailed);
  CHECK_FALSE(Error->Sent);
}

TEST_CASE("a request given up before its first byte never goes out") {
  Pair Both([&](RawStream &Stream) {
    Stream.write("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
  });
  bool Kept = GENERATE(false, true);
  if (Kept)
    REQUIRE(Both.call().has_value());
  size_t Before = Both.requestsSeen();
  auto Call = Both.Client.send(Both.Listen, {"POST", "/x", {}, "body"}, 5s,
                               [](auto) { FAIL("the call was given up"); });
  CHECK_FALSE(Call->sent());
  Call.reset();
  runFor(Both.TheLoop, 50ms);
  CHECK(Both.requestsSeen() == Before);
}

TEST_CASE("giving up a sent request closes its connection") {
  Pair Both([](RawStream &) {});
  auto Call = Both.Client.send(Both.Listen, {"POST", "/x", {}, "body"}, 5s,
                               [](auto) { FAIL("the call was given up"); });
  REQUIRE(runUntil(Both.TheLoop, [&] { return Both.requestsSeen() == 1; }));
  CHECK(Call->sent());
  Call.reset();
  CHECK(runUntil(Both.TheLoop, [&] { return Both.Server.Streams[0]->Ended; }));
}

TEST_CASE("a connection that nothing acknowledges is found before the "
          "deadline, a slow server is not accused") {
  bool Silent = GENERATE(true, false);
  constexpr char Answer[] = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
  TimerHandle Later;
  int Seen = 0;
  Pair Both([&](RawStream &Stream) {
    Stream.Received.clear();
    if (++Seen == 1)
      Stream.write(Answer);
    else
      Later = Both.TheLoop.after(6s, [&] { Stream.write(Answer); });
  });
  REQUIRE(Both.call("GET").has_value());
  if (Silent)
    Both.Server.Streams[0]->dropArrivals();
  auto Outcome = Both.call("POST", 15s);
  CHECK(Outcome.has_value() == !Silent);
  if (Silent) {
    CHECK(Outcome.error().Code == HttpClientErrorCode::ConnectionLost);
    CHECK(Outcome.error().Sent);
  }
}
