#include "testing/fake_peers.h"
#include "testing/fake_platform.h"
#include "testing/virtual_time.h"

#include <catch2/catch.hpp>

using namespace cyclamenwind;
using namespace cyclamenwind::testing;

TEST_CASE("virtual time runs timers in order of their due time") {
  VirtualTime Time;
  std::vector<int> Order;
  TimerHandle Late = Time.after(20ms, [&] { Order.push_back(2); });
  TimerHandle Early = Time.after(10ms, [&] { Order.push_back(1); });
  TimerHandle Cancelled = Time.after(15ms, [&] { Order.push_back(9); });
  Cancelled.reset();
  Time.advance(30ms);
  CHECK(Order == std::vector<int>{1, 2});
}

TEST_CASE("the fake platform checks versions on writes and answers watches") {
  VirtualTime Time;
  Random Rng(1);
  FakePlatform Platform(Time, Rng);
  FakePlatformClient Client(Platform);
  size_t ChangeCount = 0;
  Client.watch("a/", 0, 1s, [&](Result<WatchBatch, PlatformError> Batch) {
    ChangeCount = Batch.value().Changes.size();
  });
  std::optional<PlatformError> SecondError;
  Client.write("a/1", "x", 0, [](auto) {});
  Client.write("a/1", "y", 0, [&](Result<uint64_t, PlatformError> Written) {
    SecondError = Written.error();
  });
  Time.advance(100ms);
  CHECK(ChangeCount == 1);
  CHECK(SecondError == PlatformError::Conflict);
  CHECK(Platform.Store.read("a/1").value().Value == "x");
}

TEST_CASE("a write takes effect although its response is lost") {
  VirtualTime Time;
  Random Rng(1);
  FakePlatform Platform(Time, Rng);
  FakePlatformClient Client(Platform);
  Platform.LoseAnswers = 1;
  std::optional<PlatformError> Error;
  Client.write("a", "x", 0, [&](Result<uint64_t, PlatformError> Written) {
    Error = Written.error();
  });
  Time.advance(100ms);
  CHECK(Error == PlatformError::NoAnswer);
  CHECK(Platform.Store.read("a").value().Value == "x");
}

TEST_CASE("a partition between fake peers closes the stream") {
  VirtualTime Time;
  Random Rng(1);
  FakeNetwork Network(Time, Time, Rng);
  Address A = {"127.0.0.1", 1};
  Address B = {"127.0.0.1", 2};
  FakePeers PeersA(Network, A);
  FakePeers PeersB(Network, B);
  int Received = 0;
  int Disconnects = 0;
  PeersB.handle(FrameType::Gossip,
                [&](const Address &, std::string_view) { ++Received; });
  PeersA.onPeerDisconnect(
      [&](const Address &, PeerDisconnect) { ++Disconnects; });
  PeersA.send(B, FrameType::Gossip, "x");
  Time.advance(10ms);
  CHECK(Received == 1);
  Network.cut(A, B, true);
  PeersA.send(B, FrameType::Gossip, "x");
  Time.advance(10ms);
  CHECK(Received == 1);
  CHECK(Disconnects == 2);
}
