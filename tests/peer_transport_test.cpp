#include "cyclamenwind/peer/tcp_transport.h"
#include "testing/raw_tcp.h"

#include <catch2/catch.hpp>

using namespace cyclamenwind;
using namespace cyclamenwind::testing;

namespace {

// One daemon's transport on loopback, with a record of what it reports.
struct Peer {
  Peer(Loop &TheLoop, uint16_t Port, uint64_t Seed = 1)
      : Rng(Seed), Host(TheLoop, TheLoop, Rng), At(loopbackAddress(Port)) {
    auto Made = TcpTransport::listen(TheLoop, At);
    Transport = Made.value().get();
    Transport->handle(FrameType::CallRequest,
                      [this](const Address &, std::string_view Payload) {
                        Received.emplace_back(Payload);
                      });
    Transport->onPeerDisconnect(
        [this](const Address &, PeerDisconnect End) { Ends.push_back(End); });
    Host.add(std::move(Made.value()));
    Host.start();
  }
  ~Peer() { Host.stop(); }

  void send(const Peer &To, const std::string &Text) {
    Transport->send(To.At, FrameType::CallRequest, Text);
  }

  Random Rng;
  Kernel Host;
  Address At;
  TcpTransport *Transport;
  std::vector<std::string> Received;
  std::vector<PeerDisconnect> Ends;
};

} // namespace

TEST_CASE("two streams opened at once become one and nothing is lost") {
  Loop TheLoop;
  Peer A(TheLoop, 8201);
  Peer B(TheLoop, 8202);
  std::vector<std::string> Sent;
  for (int I = 0; I < 50; ++I) {
    Sent.push_back(std::to_string(I));
    A.send(B, Sent.back());
    B.send(A, Sent.back());
  }
  REQUIRE(runUntil(TheLoop, [&] {
    return A.Transport->links() == 1 && B.Transport->links() == 1 &&
           !A.Ends.empty();
  }));
  CHECK(A.Received == Sent);
  CHECK(B.Received == Sent);
  CHECK(A.Ends == std::vector<PeerDisconnect>{PeerDisconnect::Retired});
  CHECK(B.Ends == std::vector<PeerDisconnect>{PeerDisconnect::Retired});
  A.send(B, "more");
  B.send(A, "more");
  REQUIRE(runUntil(TheLoop, [&] {
    return A.Received.back() == "more" && B.Received.back() == "more";
  }));
  CHECK(A.Transport->links() == 1);
}

TEST_CASE("a peer that stops reading and answering is found within 3 s") {
  Loop TheLoop;
  Peer A(TheLoop, 8201);
  Peer Lively(TheLoop, 8203);
  RawListener Silent(TheLoop, loopbackAddress(8202), [](RawStream &) {});
  TimePoint Begun = TheLoop.now();
  A.Transport->send(loopbackAddress(8202), FrameType::CallRequest, "x");
  A.send(Lively, "x");
  REQUIRE(runUntil(TheLoop, [&] { return !A.Ends.empty(); }));
  CHECK(TheLoop.now() - Begun > 1s);
  CHECK(A.Ends == std::vector<PeerDisconnect>{PeerDisconnect::Lost});
  CHECK(A.Transport->isConnected(Lively.At));
}

TEST_CASE("no connection is told apart from a lost one") {
  Loop TheLoop;
  Peer A(TheLoop, 8201);
  A.Transport->send(loopbackAddress(8299), FrameType::CallRequest, "x");
  REQUIRE(runUntil(TheLoop, [&] { return !A.Ends.empty(); }));
  CHECK(A.Ends == std::vector<PeerDisconnect>{PeerDisconnect::NeverConnected});
}

TEST_CASE("a restarted peer ends the streams to its earlier process") {
  Loop TheLoop;
  Peer A(TheLoop, 8201);
  auto First = std::make_unique<Peer>(TheLoop, 8202, 2);
  A.send(*First, "x");
  REQUIRE(runUntil(TheLoop, [&] { return !First->Received.empty(); }));
  First.reset();
  Peer Second(TheLoop, 8202, 3);
  Second.send(A, "y");
  REQUIRE(runUntil(TheLoop, [&] { return !A.Received.empty(); }));
  REQUIRE(runUntil(TheLoop, [&] { return !A.Ends.empty(); }));
  CHECK(A.Ends == std::vector<PeerDisconnect>{PeerDisconnect::Lost});
  A.send(Second, "z");
  CHECK(runUntil(TheLoop, [&] { return Second.Received.size() == 1; }));
}

TEST_CASE("leaving closes streams by agreement, also while frames cross") {
  Loop TheLoop;
  Peer A(TheLoop, 8201);
  Peer B(TheLoop, 8202);
  A.send(B, "first");
  REQUIRE(runUntil(TheLoop, [&] { return B.Received.size() == 1; }));
  B.Transport->leave();
  A.send(B, "crossing");
  REQUIRE(runUntil(TheLoop, [&] { return B.Transport->links() == 0; }));
  CHECK(B.Received.size() == 2);
  REQUIRE(runUntil(TheLoop, [&] { return !A.Ends.empty(); }));
  CHECK(A.Ends == std::vector<PeerDisconnect>{PeerDisconnect::Retired});
  A.send(B, "late");
  REQUIRE(runUntil(TheLoop, [&] { return A.Ends.size() == 2; }));
  CHECK(A.Ends[1] == PeerDisconnect::NeverConnected);
}

TEST_CASE("frames of no length or too great a length end the stream") {
  Loop TheLoop;
  Peer A(TheLoop, 8201);
  std::string Bytes =
      GENERATE(std::string(4, '\0'), std::string(4, '\xff'),
               std::string("\0\0\0\1\2", 5), std::string("\0\0\0\2\1x", 6));
  RawStream Bad(TheLoop, A.At);
  Bad.write(Bytes);
  CHECK(runUntil(TheLoop, [&] { return Bad.Ended; }));
  CHECK(A.Ends.empty());
}
