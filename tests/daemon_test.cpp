// A whole daemon on loopback, fed with bad input from outside.

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
  Settings Made;
  Made.Member = {"member-1", "domain-1", "region-1"};
  Made.Addresses = {{Host, 7000}, {Host, 7100}, {Host, 7200}, {Host, 7900}};
  Made.Operators.Token = Token;
  Made.Log.Level = LogLevel::Error;
  return Made;
}

const char DocumentText[] = R"({
  "services": [{"name": "quote", "version": "v1"}],
  "routes": [{"name": "submit", "service": "quote",
              "match": {"method": "POST", "path_prefix": "/quotes"}}]})";

// Platform, daemon and backend server on one loop.
class Bench {
public:
  explicit Bench(const std::string &Host)
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

  void runFor(Duration Span) {
    TimerHandle Timer = TheLoop.after(Span, [this] { TheLoop.stop(); });
    TheLoop.run();
  }

  // Runs the loop until Condition holds; fails the test after five seconds.
  void runUntil(const std::function<bool()> &Condition) {
    TimePoint End = TheLoop.now() + 5s;
    while (!Condition() && TheLoop.now() < End)
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

  HttpResponse accept(const std::string &Text, const std::string &Given) {
    return request(TheSettings.Addresses.Operators,
                   {"POST",
                    "/api/document?author=test",
                    {{"Authorization", "Bearer " + Given}},
                    Text});
  }

  HttpResponse submit() {
    return request(TheSettings.Addresses.Callers,
                   {"POST", "/quotes", {{RequestIdHeader, "r1"}}, "x"});
  }

  // Accepts the document and waits until a call is answered.
  void ready() {
    REQUIRE(accept(DocumentText, Token).Status == 200);
    runUntil([&] { return submit().Status == 200; });
  }

  // Sends raw octets; returns what comes back until the peer closes or Span has
  // passed.
  std::string raw(const Address &To, const std::string &Octets,
                  Duration Span = 100ms) {
    int Socket = ::socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in Where = To.socketAddress();
    REQUIRE(::connect(Socket, reinterpret_cast<sockaddr *>(&Where),
                      sizeof Where) == 0);
    REQUIRE(::send(Socket, Octets.data(), Octets.size(), MSG_NOSIGNAL) ==
            static_cast<ssize_t>(Octets.size()));
    runFor(Span);
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

std::string endOf(const HttpResponse &Response) {
  const std::string *End = findHeader(Response.Headers, "Cyclamenwind-End");
  const std::string *Reason =
      findHeader(Response.Headers, "Cyclamenwind-Reason");
  return (End == nullptr ? "" : *End) + "/" +
         (Reason == nullptr ? "" : *Reason);
}

} // namespace

TEST_CASE("bad documents are refused whole and the one in force stays") {
  Bench Running("127.50.1.1");
  HttpResponse Early = Running.submit();
  CHECK(Early.Status == 503);
  CHECK(endOf(Early) == "refused/not_ready");
  Running.ready();
  CHECK(Running.accept(DocumentText, "wrong").Status == 403);
  CHECK(Running.accept("{", Token).Status == 400);
  HttpResponse Bad = Running.accept(
      R"({"services": [], "routes": [{"name": "r", "service": "x"}]})", Token);
  CHECK(Bad.Status == 400);
  CHECK(Bad.Body.find("/routes/0/service") != std::string::npos);
  CHECK(Bad.Body.find("/routes/0/match") != std::string::npos);
  CHECK(Running.submit().Status == 200);
  ConfigStore &Store = Running.TheDaemon->kernel().find<ConfigStore>("config");
  CHECK(Store.version() == 1);
}

TEST_CASE("an unknown route is refused as not run") {
  Bench Running("127.50.1.2");
  Running.ready();
  HttpResponse Response = Running.request(Running.TheSettings.Addresses.Callers,
                                          {"GET", "/nowhere", {}, ""});
  CHECK(Response.Status == 404);
  CHECK(endOf(Response) == "refused/no_route");
}

TEST_CASE("malformed requests get an error and the daemon goes on") {
  Bench Running("127.50.1.3");
  Running.ready();
  const Address &Callers = Running.TheSettings.Addresses.Callers;
  std::string Both = Running.raw(
      Callers, "POST /quotes HTTP/1.1\r\nHost: x\r\nContent-Length: 5\r\n"
               "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n");
  CHECK(Both.starts_with("HTTP/1.1 400"));
  std::string BadLength = Running.raw(
      Callers,
      "POST /quotes HTTP/1.1\r\nHost: x\r\nContent-Length: abc\r\n\r\n");
  CHECK(BadLength.starts_with("HTTP/1.1 400"));
  std::string Negative = Running.raw(
      Callers,
      "POST /quotes HTTP/1.1\r\nHost: x\r\nContent-Length: -5\r\n\r\n");
  CHECK(Negative.starts_with("HTTP/1.1 400"));
  std::string TooLarge = Running.raw(
      Callers,
      "POST /quotes HTTP/1.1\r\nHost: x\r\nContent-Length: 99999999\r\n\r\n");
  CHECK(TooLarge.starts_with("HTTP/1.1 413"));
  std::string Header(20000, 'h');
  std::string LongHeader =
      Running.raw(Callers, "GET /quotes HTTP/1.1\r\nX: " + Header + "\r\n\r\n");
  CHECK(LongHeader.starts_with("HTTP/1.1 4"));
  Running.raw(Callers, std::string("\0\1\2garbage\r\n\r\n", 14));
  CHECK(Running.submit().Status == 200);
}

TEST_CASE("malformed frames and datagrams are dropped and the daemon goes on") {
  Bench Running("127.50.1.4");
  Running.ready();
  const Address &Peers = Running.TheSettings.Addresses.Peers;
  Running.raw(Peers, std::string("\0\0\0\5\12abcd", 9));
  Running.raw(Peers, std::string("\377\377\377\377\1", 5));
  Running.raw(Peers, std::string(4, '\0'));
  int Socket = ::socket(AF_INET, SOCK_DGRAM, 0);
  sockaddr_in Where = Peers.socketAddress();
  for (int Type = 0; Type < 256; ++Type) {
    char Datagram[] = {static_cast<char>(Type), 'a', '\377', 'b'};
    ::sendto(Socket, Datagram, sizeof Datagram, 0,
             reinterpret_cast<sockaddr *>(&Where), sizeof Where);
  }
  ::close(Socket);
  Running.runFor(50ms);
  CHECK(Running.submit().Status == 200);
}

TEST_CASE("an address in use is reported with its key") {
  Bench Running("127.50.1.5");
  Result<std::unique_ptr<Daemon>, DaemonError> Second = Daemon::create(
      Running.TheLoop, Running.TheSettings, Running.storeClient());
  REQUIRE_FALSE(Second);
  CHECK(Second.error().Key == "addresses.peers");
}

TEST_CASE("a malformed announcement is refused with its path") {
  Bench Running("127.50.1.6");
  HttpResponse Response =
      Running.request(Running.TheSettings.Addresses.Operators,
                      {"PUT", "/announcements", {}, R"({"service": 3})"});
  CHECK(Response.Status == 400);
  CHECK(Response.Body.find("/address") != std::string::npos);
  CHECK(Response.Body.find("/service") != std::string::npos);
}
