#include "cyclamenwind/http/server.h"
#include "testing/raw_tcp.h"

#include <catch2/catch.hpp>

using namespace cyclamenwind;
using namespace cyclamenwind::testing;

namespace {

struct Fixture {
  Fixture() {
    Server = std::move(
        HttpServer::listen(TheLoop, Listen,
                           {.MaxHeaderBytes = 1000, .MaxBodyBytes = 1000},
                           [this](ExchangePtr Received) {
                             Requests.push_back(Received->request());
                             if (HoldRequests)
                               HeldExchanges.push_back(Received);
                             else
                               Received->reply({200, {}, "reply"});
                           })
            .value());
  }

  // Sends Text on a new connection and returns what the server sends within
  // 50 ms of its first bytes or its close.
  std::string exchange(const std::string &Text) {
    Peer = std::make_unique<RawStream>(TheLoop, Listen);
    Peer->write(Text);
    runUntil(TheLoop, [&] { return !Peer->Received.empty() || Peer->Ended; });
    runFor(TheLoop, 50ms);
    return Peer->Received;
  }

  Loop TheLoop;
  Address Listen = loopbackAddress(8102);
  std::vector<HttpRequest> Requests;
  std::vector<ExchangePtr> HeldExchanges;
  bool HoldRequests = false;
  std::unique_ptr<HttpServer> Server;
  std::unique_ptr<RawStream> Peer;
};

constexpr char HeldRequest[] =
    "POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\n\r\nx";

} // namespace

TEST_CASE(
    "a request of ambiguous length is rejected and smuggles no second one") {
  std::string Smuggled = "POST /hidden HTTP/1.1\r\nContent-Length: 0\r\n\r\n";
  std::string Length = "Content-Length: " + std::to_string(Smuggled.size());
  std::string Head = GENERATE_COPY(
      "POST /x HTTP/1.1\r\nTransfer-Encoding: chunked\r\n" + Length,
      "POST /x HTTP/1.1\r\nContent-Length: 0\r\n" + Length,
      std::string("POST /x HTTP/1.1\r\nTransfer-Encoding: xchunked"),
      std::string("POST /x HTTP/1.1\r\nTransfer-Encoding: gzip, chunked"),
      std::string("POST /x HTTP/1.1\r\nContent-Length: +0"),
      std::string("POST /x HTTP/1.1\r\nContent-Length: 0x10"),
      "GET /x HTTP/1.1\r\n" + Length, "HEAD /x HTTP/1.1\r\n" + Length,
      std::string("GET /x HTTP/1.1\r\nTransfer-Encoding: chunked"));
  Fixture Setup;
  std::string Reply = Setup.exchange(Head + "\r\n\r\n" + Smuggled);
  INFO(Head);
  INFO(Reply);
  CHECK(Reply.starts_with("HTTP/1.1 4"));
  CHECK(Setup.Peer->Ended);
  CHECK(Setup.Requests.empty());
}

TEST_CASE("headers and bodies above the limits never reach the handler") {
  std::string Text =
      GENERATE("GET /x HTTP/1.1\r\nA: " + std::string(2000, 'a') + "\r\n\r\n",
               "POST /x HTTP/1.1\r\nContent-Length: 2000\r\n\r\n" +
                   std::string(2000, 'a'),
               "POST /x HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n7d0\r\n" +
                   std::string(2000, 'a') + "\r\n0\r\n\r\n");
  Fixture Setup;
  std::string Reply = Setup.exchange(Text);
  CHECK(Reply.substr(0, 10) == "HTTP/1.1 4");
  CHECK(Setup.Requests.empty());
}

TEST_CASE("a truncated request never reaches the handler") {
  std::string Text = GENERATE(
      as<std::string>(), "POST /x HTTP/1.1\r\nContent-Le",
      "POST /x HTTP/1.1\r\nContent-Length: 9\r\n\r\nhalf",
      "POST /x HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n");
  Fixture Setup;
  RawStream Peer(Setup.TheLoop, Setup.Listen);
  Peer.write(Text);
  runFor(Setup.TheLoop, 50ms);
  Peer.close();
  runFor(Setup.TheLoop, 50ms);
  CHECK(Setup.Requests.empty());
}

TEST_CASE("the response to HEAD has no body") {
  Fixture Setup;
  std::string Reply = Setup.exchange("HEAD /x HTTP/1.1\r\nHost: a\r\n\r\n"
                                     "GET /x HTTP/1.1\r\nHost: a\r\n\r\n");
  size_t Second = Reply.find("HTTP/1.1 200", 1);
  REQUIRE(Second != std::string::npos);
  CHECK(Reply.find("reply") > Second);
  CHECK(Setup.Requests.size() == 2);
}

TEST_CASE("a peer that disconnects is reported once, and not after the reply") {
  bool Replied = GENERATE(false, true);
  Fixture Setup;
  Setup.HoldRequests = true;
  int Disconnects = 0;
  RawStream Peer(Setup.TheLoop, Setup.Listen);
  Peer.write(HeldRequest);
  REQUIRE(
      runUntil(Setup.TheLoop, [&] { return !Setup.HeldExchanges.empty(); }));
  Setup.HeldExchanges[0]->onPeerGone([&] {
    ++Disconnects;
    Setup.HeldExchanges[0]->reply({503, {}, ""});
  });
  if (Replied)
    Setup.HeldExchanges[0]->reply({200, {}, ""});
  Peer.close();
  runFor(Setup.TheLoop, 50ms);
  CHECK(Disconnects == (Replied ? 0 : 1));
  CHECK(Setup.Server->unfinished() == 0);
}

TEST_CASE("a response counts as unfinished until it is written") {
  Fixture Setup;
  Setup.HoldRequests = true;
  RawStream Peer(Setup.TheLoop, Setup.Listen);
  Peer.write(HeldRequest);
  REQUIRE(
      runUntil(Setup.TheLoop, [&] { return !Setup.HeldExchanges.empty(); }));
  CHECK(Setup.Server->unfinished() == 1);
  Peer.stopReading();
  constexpr size_t AboveSocketBuffers = 32 << 20;
  Setup.HeldExchanges[0]->reply(
      {200, {}, std::string(AboveSocketBuffers, 'x')});
  runFor(Setup.TheLoop, 50ms);
  CHECK(Setup.Server->unfinished() == 1);
  bool PeerReads = GENERATE(true, false);
  if (PeerReads)
    Peer.resumeReading();
  else
    Peer.close();
  CHECK(
      runUntil(Setup.TheLoop, [&] { return Setup.Server->unfinished() == 0; }));
  CHECK((!PeerReads || runUntil(Setup.TheLoop, [&] {
    return Peer.Received.size() > AboveSocketBuffers;
  })));
}

TEST_CASE("a server may be destroyed before its exchanges") {
  Fixture Setup;
  Setup.HoldRequests = true;
  RawStream Peer(Setup.TheLoop, Setup.Listen);
  Peer.write(HeldRequest);
  REQUIRE(
      runUntil(Setup.TheLoop, [&] { return !Setup.HeldExchanges.empty(); }));
  Setup.HeldExchanges[0]->onPeerGone(
      [] { FAIL("called after the server was destroyed"); });
  Setup.Server.reset();
  Setup.HeldExchanges[0]->reply({200, {}, "late"});
  Setup.HeldExchanges.clear();
  runFor(Setup.TheLoop, 20ms);
  CHECK(Peer.Received.empty());
}
