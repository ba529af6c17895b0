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
                             Seen.push_back(Received->request());
                             if (Hold)
                               Held.push_back(Received);
                             else
                               Received->reply({200, {}, "reply"});
                           })
            .value());
  }

  // Sends Text and returns all that comes back until nothing more does.
  std::string exchange(const std::string &Text) {
    Peer = std::make_unique<RawStream>(TheLoop, Listen);
    Peer->write(Text);
    runUntil(TheLoop, [&] { return !Peer->Received.empty() || Peer->Ended; });
    runFor(TheLoop, 50ms);
    return Peer->Received;
  }

  Loop TheLoop;
  Address Listen = loopbackAddress(8102);
  std::vector<HttpRequest> Seen;
  std::vector<ExchangePtr> Held;
  bool Hold = false;
  std::unique_ptr<HttpServer> Server;
  std::unique_ptr<RawStream> Peer;
};

constexpr char HeldRequest[] =
    "POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\n\r\nx";

} // namespace

TEST_CASE("a request of ambiguous length is refused and hides no second one") {
  std::string Hidden = "POST /hidden HTTP/1.1\r\nContent-Length: 0\r\n\r\n";
  std::string Length = "Content-Length: " + std::to_string(Hidden.size());
  std::string Head = GENERATE_COPY(
      "POST /x HTTP/1.1\r\nTransfer-Encoding: chunked\r\n" + Length,
      "POST /x HTTP/1.1\r\nContent-Length: 0\r\n" + Length,
      std::string("POST /x HTTP/1.1\r\nTransfer-Encoding: xchunked"),
      std::string("POST /x HTTP/1.1\r\nTransfer-Encoding: gzip, chunked"),
      std::string("POST /x HTTP/1.1\r\nContent-Length: +0"),
      std::string("POST /x HTTP/1.1\r\nContent-Length: 0x10"),
      "GET /x HTTP/1.1\r\n" + Length, "HEAD /x HTTP/1.1\r\n" + Length,
      std::string("GET /x HTTP/1.1\r\nTransfer-Encoding: chunked"));
  Fixture Case;
  std::string Reply = Case.exchange(Head + "\r\n\r\n" + Hidden);
  INFO(Head);
  INFO(Reply);
  CHECK(Reply.starts_with("HTTP/1.1 4"));
  CHECK(Case.Peer->Ended);
  CHECK(Case.Seen.empty());
}

TEST_CASE("headers and bodies above the limits never reach the handler") {
  std::string Text =
      GENERATE("GET /x HTTP/1.1\r\nA: " + std::string(2000, 'a') + "\r\n\r\n",
               "POST /x HTTP/1.1\r\nContent-Length: 2000\r\n\r\n" +
                   std::string(2000, 'a'),
               "POST /x HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n7d0\r\n" +
                   std::string(2000, 'a') + "\r\n0\r\n\r\n");
  Fixture Case;
  std::string Reply = Case.exchange(Text);
  CHECK(Reply.substr(0, 10) == "HTTP/1.1 4");
  CHECK(Case.Seen.empty());
}

TEST_CASE("a request that is cut never reaches the handler") {
  std::string Text = GENERATE(
      as<std::string>(), "POST /x HTTP/1.1\r\nContent-Le",
      "POST /x HTTP/1.1\r\nContent-Length: 9\r\n\r\nhalf",
      "POST /x HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n");
  Fixture Case;
  RawStream Peer(Case.TheLoop, Case.Listen);
  Peer.write(Text);
  runFor(Case.TheLoop, 50ms);
  Peer.close();
  runFor(Case.TheLoop, 50ms);
  CHECK(Case.Seen.empty());
}

TEST_CASE("the reply to HEAD carries no body") {
  Fixture Case;
  std::string Reply = Case.exchange("HEAD /x HTTP/1.1\r\nHost: a\r\n\r\n"
                                    "GET /x HTTP/1.1\r\nHost: a\r\n\r\n");
  size_t Second = Reply.find("HTTP/1.1 200", 1);
  REQUIRE(Second != std::string::npos);
  CHECK(Reply.find("reply") > Second);
  CHECK(Case.Seen.size() == 2);
}

TEST_CASE("a peer that leaves is reported once, and not after the reply") {
  bool Replied = GENERATE(false, true);
  Fixture Case;
  Case.Hold = true;
  int Gone = 0;
  RawStream Peer(Case.TheLoop, Case.Listen);
  Peer.write(HeldRequest);
  REQUIRE(runUntil(Case.TheLoop, [&] { return !Case.Held.empty(); }));
  Case.Held[0]->onPeerGone([&] {
    ++Gone;
    Case.Held[0]->reply({503, {}, ""});
  });
  if (Replied)
    Case.Held[0]->reply({200, {}, ""});
  Peer.close();
  runFor(Case.TheLoop, 50ms);
  CHECK(Gone == (Replied ? 0 : 1));
  CHECK(Case.Server->unfinished() == 0);
}

TEST_CASE("a response counts as unfinished until it is written") {
  Fixture Case;
  Case.Hold = true;
  RawStream Peer(Case.TheLoop, Case.Listen);
  Peer.write(HeldRequest);
  REQUIRE(runUntil(Case.TheLoop, [&] { return !Case.Held.empty(); }));
  CHECK(Case.Server->unfinished() == 1);
  Peer.stopReading();
  constexpr size_t AboveSocketBuffers = 32 << 20;
  Case.Held[0]->reply({200, {}, std::string(AboveSocketBuffers, 'x')});
  runFor(Case.TheLoop, 50ms);
  CHECK(Case.Server->unfinished() == 1);
  bool Reads = GENERATE(true, false);
  if (Reads)
    Peer.resumeReading();
  else
    Peer.close();
  CHECK(runUntil(Case.TheLoop, [&] { return Case.Server->unfinished() == 0; }));
  CHECK((!Reads || runUntil(Case.TheLoop, [&] {
    return Peer.Received.size() > AboveSocketBuffers;
  })));
}

TEST_CASE("a server may be destroyed before its exchanges") {
  Fixture Case;
  Case.Hold = true;
  RawStream Peer(Case.TheLoop, Case.Listen);
  Peer.write(HeldRequest);
  REQUIRE(runUntil(Case.TheLoop, [&] { return !Case.Held.empty(); }));
  Case.Held[0]->onPeerGone([] { FAIL("the server has gone"); });
  Case.Server.reset();
  Case.Held[0]->reply({200, {}, "late"});
  Case.Held.clear();
  runFor(Case.TheLoop, 20ms);
  CHECK(Peer.Received.empty());
}
