// Sends invalid input to a complete daemon on loopback addresses.

#include "cyclamenwind/config/store.h"
#include "cyclamenwind/daemon/daemon.h"
#include "cyclamenwind/http/client.h"
#include "platform/store_client.h"
#include "testing/backend_standin.h"
#include "testing/platform_server.h"

#include <catch2/catch.hpp>

#include <sys/socket.h>
#include <unistd.h>

using namespace cyclamenwind;
using namespace cyclamenwind::testing;

namespace {

const std::string Token = "secret";

Settings settingsOf(const std::string &Host) {
  Settings TheSettings;
  TheSettings.Member = {"member-1", "domain-1", "region-1"};
  TheSettings.Addresses = {
      {Host, 7000}, {Host, 7100}, {Host, 7200}, {Host, 7900}};
  TheSettings.Operators.Token = Token;
  TheSettings.Log.Level = LogLevel::Error;
  return TheSettings;
}

const char DocumentText[] = R"({
  "services": [{"name": "quote", "version": "v1"}],
  "routes": [{"name": "submit", "service": "quote",
              "match": {"method": "POST", "path_prefix": "/quotes"}}]})";

// Platform, daemon and backend server on one loop.
class DaemonFixture {
public:
  explicit DaemonFixture(const std::string &Host)
      : TheSettings(settingsOf(Host)),
        Platform(TheLoop, TheSettings.Addresses.Platform), Client(TheLoop, {}) {
    startLog(LogLevel::Error, "test");
    TheDaemon =
        std::move(Daemon::create(TheLoop, TheSettings, storeClient()).value());
    TheDaemon->start();
    BackendOptions Options;
    Options.Listen = {Host, 8000};
    Options.Daemon = TheSettings.Addresses.Operators;
    Options.Service = "quote";
    Options.Version = "v1";
    Options.Behaviour.Work = 0ms;
    Server = std::make_unique<BackendStandin>(TheLoop, Options);
  }

  std::unique_ptr<PlatformClient> storeClient() {
    return platform::makeStoreClient(TheLoop, TheSettings.Addresses.Platform,
                                     TheSettings.Platform.Timeout);
  }

  void runFor(Duration Period) {
    TimerHandle Timer = TheLoop.after(Period, [this] { TheLoop.stop(); });
    TheLoop.run();
  }

  // Runs the loop until Condition holds; fails the test after five seconds.
  void runUntil(const std::function<bool()> &Condition) {
    TimePoint TimeLimit = TheLoop.now() + 5s;
    while (!Condition() && TheLoop.now() < TimeLimit)
      runFor(5ms);
    REQUIRE(Condition());
  }

  HttpResponse request(const Address &To, const HttpRequest &Request) {
    std::optional<HttpResponse> Response;
    std::unique_ptr<HttpCall> Call = Client.send(
        To, Request, 5s, [&](Result<HttpResponse, HttpClientError> Outcome) {
          Response = Outcome ? Outcome.value() : HttpResponse{};
        });
    runUntil([&] { return Response.has_value(); });
    return *Response;
  }

  HttpResponse accept(const std::string &Text, const std::string &BearerToken) {
    return request(TheSettings.Addresses.Operators,
                   {"POST",
                    "/api/document?author=test",
                    {{"Authorization", "Bearer " + BearerToken}},
                    Text});
  }

  HttpResponse submit() {
    return request(TheSettings.Addresses.Callers,
                   {"POST", "/quotes", {{RequestIdHeader, "r1"}}, "x"});
  }

  // Posts the document and waits until a call is answered with status 200.
  void waitUntilReady() {
    REQUIRE(accept(DocumentText, Token).Status == 200);
    runUntil([&] { return submit().Status == 200; });
  }

  // Sends raw bytes; returns what is received until Period has passed.
  std::string sendRaw(const Address &To, const std::string &Data,
                      Duration Period = 100ms) {
    int Socket = ::socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in SocketAddress = To.socketAddress();
    REQUIRE(::connect(Socket, reinterpret_cast<sockaddr *>(&SocketAddress),
                      sizeof SocketAddress) == 0);
    REQUIRE(::send(Socket, Data.data(), Data.size(), MSG_NOSIGNAL) ==
            static_cast<ssize_t>(Data.size()));
    runFor(Period);
    char Buffer[4096];
    ssize_t Bytes = ::recv(Socket, Buffer, sizeof Buffer, MSG_DONTWAIT);
    ::close(Socket);
    runFor(10ms);
    return Bytes > 0 ? std::string(Buffer, static_cast<size_t>(Bytes)) : "";
  }

  Loop TheLoop;
  Settings TheSettings;
  PlatformServer Platform;
  HttpClient Client;
  std::unique_ptr<Daemon> TheDaemon;
  std::unique_ptr<BackendStandin> Server;
};

std::string outcomeOf(const HttpResponse &Response) {
  const std::string *Outcome = findHeader(Response.Headers, "Cyclamenwind-End");
  const std::string *Reason =
      findHeader(Response.Headers, "Cyclamenwind-Reason");
  return (Outcome == nullptr ? "" : *Outcome) + "/" +
         (Reason == nullptr ? "" : *Reason);
}

} // namespace

TEST_CASE("an invalid document is rejected and the active one is kept") {
  DaemonFixture Fixture("127.50.1.1");
  HttpResponse BeforeDocument = Fixture.submit();
  CHECK(BeforeDocument.Status == 503);
  CHECK(outcomeOf(BeforeDocument) == "refused/not_ready");
  Fixture.waitUntilReady();
  CHECK(Fixture.accept(DocumentText, "wrong").Status == 403);
  CHECK(Fixture.accept("{", Token).Status == 400);
  HttpResponse Bad = Fixture.accept(
      R"({"services": [], "routes": [{"name": "r", "service": "x"}]})", Token);
  CHECK(Bad.Status == 400);
  CHECK(Bad.Body.find("/routes/0/service") != std::string::npos);
  CHECK(Bad.Body.find("/routes/0/match") != std::string::npos);
  CHECK(Fixture.submit().Status == 200);
  ConfigStore &Store = Fixture.TheDaemon->kernel().find<ConfigStore>("config");
  CHECK(Store.version() == 1);
}

TEST_CASE("a request without a matching route is rejected before execution") {
  DaemonFixture Fixture("127.50.1.2");
  Fixture.waitUntilReady();
  HttpResponse Response = Fixture.request(Fixture.TheSettings.Addresses.Callers,
                                          {"GET", "/nowhere", {}, ""});
  CHECK(Response.Status == 404);
  CHECK(outcomeOf(Response) == "refused/no_route");
}

TEST_CASE("malformed requests get an error and the daemon keeps serving") {
  DaemonFixture Fixture("127.50.1.3");
  Fixture.waitUntilReady();
  const Address &Callers = Fixture.TheSettings.Addresses.Callers;
  std::string TwoLengths = Fixture.sendRaw(
      Callers, "POST /quotes HTTP/1.1\r\nHost: x\r\nContent-Length: 5\r\n"
               "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n");
  CHECK(TwoLengths.starts_with("HTTP/1.1 400"));
  std::string BadLength = Fixture.sendRaw(
      Callers,
      "POST /quotes HTTP/1.1\r\nHost: x\r\nContent-Length: abc\r\n\r\n");
  CHECK(BadLength.starts_with("HTTP/1.1 400"));
  std::string Negative = Fixture.sendRaw(
      Callers,
      "POST /quotes HTTP/1.1\r\nHost: x\r\nContent-Length: -5\r\n\r\n");
  CHECK(Negative.starts_with("HTTP/1.1 400"));
  std::string TooLarge = Fixture.sendRaw(
      Callers,
      "POST /quotes HTTP/1.1\r\nHost: x\r\nContent-Length: 99999999\r\n\r\n");
  CHECK(TooLarge.starts_with("HTTP/1.1 413"));
  std::string Header(20000, 'h');
  std::string LongHeader = Fixture.sendRaw(
      Callers, "GET /quotes HTTP/1.1\r\nX: " + Header + "\r\n\r\n");
  CHECK(LongHeader.starts_with("HTTP/1.1 4"));
  Fixture.sendRaw(Callers, std::string("\0\1\2garbage\r\n\r\n", 14));
  CHECK(Fixture.submit().Status == 200);
}

TEST_CASE("malformed frames and datagrams are dropped and the daemon keeps "
          "serving") {
  DaemonFixture Fixture("127.50.1.4");
  Fixture.waitUntilReady();
  const Address &Peers = Fixture.TheSettings.Addresses.Peers;
  Fixture.sendRaw(Peers, std::string("\0\0\0\5\12abcd", 9));
  Fixture.sendRaw(Peers, std::string("\377\377\377\377\1", 5));
  Fixture.sendRaw(Peers, std::string(4, '\0'));
  int Socket = ::socket(AF_INET, SOCK_DGRAM, 0);
  sockaddr_in SocketAddress = Peers.socketAddress();
  for (int Type = 0; Type < 256; ++Type) {
    char Datagram[] = {static_cast<char>(Type), 'a', '\377', 'b'};
    ::sendto(Socket, Datagram, sizeof Datagram, 0,
             reinterpret_cast<sockaddr *>(&SocketAddress),
             sizeof SocketAddress);
  }
  ::close(Socket);
  Fixture.runFor(50ms);
  CHECK(Fixture.submit().Status == 200);
}

TEST_CASE("an address in use is reported with its key") {
  DaemonFixture Fixture("127.50.1.5");
  Result<std::unique_ptr<Daemon>, DaemonError> Second = Daemon::create(
      Fixture.TheLoop, Fixture.TheSettings, Fixture.storeClient());
  REQUIRE_FALSE(Second);
  CHECK(Second.error().Key == "addresses.peers");
}

TEST_CASE("a malformed registration is rejected with the paths of its errors") {
  DaemonFixture Fixture("127.50.1.6");
  HttpResponse Response =
      Fixture.request(Fixture.TheSettings.Addresses.Operators,
                      {"PUT", "/announcements", {}, R"({"service": 3})"});
  CHECK(Response.Status == 400);
  CHECK(Response.Body.find("/address") != std::string::npos);
  CHECK(Response.Body.find("/service") != std::string::npos);
}
