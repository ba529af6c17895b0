// What the mesh keeps on the platform, against the fake platform in virtual
// time.

#include "cyclamenwind/mesh/config_relay.h"
#include "cyclamenwind/mesh/peer_sync.h"
#include "cyclamenwind/mesh/store_sync.h"
#include "platform/wire.h"
#include "testing/fake_peers.h"
#include "testing/fake_platform.h"
#include "testing/virtual_time.h"

#include <catch2/catch.hpp>

using namespace cyclamenwind;
using namespace cyclamenwind::literals;
using namespace cyclamenwind::testing;

namespace {

std::string configText(int Version) {
  return R"({"version": )" + std::to_string(Version) +
         R"(, "routes": [], "services": [], "limits": {"maxHeaderBytes": 1000,
            "maxBodyBytes": 1000, "headerTimeoutMs": 1000,
            "idleTimeoutMs": 1000}})";
}

MeshEndpoint server(const std::string &Id, int64_t Sequence,
                    EndpointState State = EndpointState::Ready,
                    int64_t Born = 100) {
  MeshEndpoint Value;
  Value.Id = Id;
  Value.Service = "quote";
  Value.Version = "v1";
  Value.FailureDomain = "a";
  Value.DaemonAddress = {"10.0.0.1", 7000};
  Value.Server = {"10.0.0.1", 8000};
  Value.State = State;
  Value.Slots = 9;
  Value.Born = Born;
  Value.Sequence = Sequence;
  return Value;
}

// One daemon's state, kept up to date.
struct Daemon {
  Daemon(VirtualTime &Time, FakePlatform &Platform, FakeNetwork &Network,
         const std::string &Host)
      : Rng(Host.back()), Services(Time, Time, Rng) {
    auto Client = std::make_unique<FakePlatformClient>(Platform);
    this->Client = Client.get();
    Services.add(std::move(Client));
    Services.add(std::make_unique<FakePeers>(Network, Address{Host, 7000}));
    Services.add(std::make_unique<MeshState>());
    Services.add(std::make_unique<StoreSync>(*this->Client, Codec, "a"));
    Services.add(std::make_unique<PeerSync>(Codec));
    Services.add(std::make_unique<ConfigRelay>(Codec));
    Services.start();
    State = &Services.find<MeshState>("mesh_state");
    Store = &Services.find<StoreSync>("store_sync");
  }
  ~Daemon() { Services.stop(); }

  platform::Objects Codec;
  Random Rng;
  Kernel Services;
  FakePlatformClient *Client;
  MeshState *State;
  StoreSync *Store;
};

class Bench {
public:
  Bench() : Rng(3), Platform(Time, Rng), Network(Time, Time, Rng) {}

  std::unique_ptr<Daemon> daemon(const std::string &Host) {
    return std::make_unique<Daemon>(Time, Platform, Network, Host);
  }

  // Daemons of one failure domain, started in turn, each with a server.
  std::vector<std::unique_ptr<Daemon>> fleet(int Count) {
    std::vector<std::unique_ptr<Daemon>> Daemons;
    for (int I = 1; I <= Count; ++I) {
      std::string Host = "10.0.0." + std::to_string(I);
      Daemons.push_back(daemon(Host));
      MeshEndpoint Own = server("i-" + std::to_string(I), 1);
      Own.DaemonAddress.Host = Own.Server.Host = Host;
      Daemons.back()->Store->publish(Own, [](bool) {});
      Time.advance(100ms);
    }
    return Daemons;
  }

  // Writes as the operator does.
  void operatorWrites(const std::string &Key, const std::string &Value) {
    Result<PlatformObject, PlatformError> Old = Platform.Store.read(Key);
    REQUIRE(Platform.Store.write(Key, Value, Old ? Old.value().Version : 0));
    Platform.wake();
  }

  VirtualTime Time;
  Random Rng;
  FakePlatform Platform;
  FakeNetwork Network;
};

} // namespace

TEST_CASE("a configuration is in force soon after it was accepted") {
  Bench Running;
  auto One = Running.daemon("10.0.0.1");
  Running.Time.advance(100ms);
  CHECK(One->State->routes() == nullptr);
  for (int Version = 1; Version < 12; ++Version) {
    Running.operatorWrites("config/main", configText(Version));
    Running.Time.advance(240ms);
  }
  Running.Time.advance(800ms);
  REQUIRE(One->State->routes());
  CHECK(One->State->routes()->config().Version == 11);
}

TEST_CASE("many hosts: a few wait for changes, all have them in force in two "
          "seconds") {
  Bench Running;
  auto Daemons = Running.fleet(9);
  Running.Time.advance(70s);
  // Late watches show nothing in the next seconds.
  Running.Platform.StaleShowsChanges = false;
  for (int Version = 1; Version < 9; ++Version) {
    Running.operatorWrites("config/main", configText(Version));
    Running.Time.advance(300ms);
  }
  Running.Time.advance(2s - 300ms);
  for (const auto &Each : Daemons) {
    REQUIRE(Each->State->routes());
    CHECK(Each->State->routes()->config().Version == 8);
    CHECK(Each->State->directory().ready("quote").size() == 9);
  }
}

TEST_CASE("configuration storm: only relays ask the platform, and all have the "
          "last one in two seconds though a relay is killed") {
  Bench Running;
  auto Daemons = Running.fleet(9);
  Running.operatorWrites("config/main", configText(1));
  Running.Time.advance(8s);
  Running.operatorWrites("config/main", configText(2));
  Running.Time.advance(2s);
  uint64_t Before = Running.Platform.WatchCalls + Running.Platform.Reads;
  int Version = 2;
  while (Version < 30) {
    Running.operatorWrites("config/main", configText(++Version));
    Running.Time.advance(250ms);
  }
  // Two relays ask at most once in 0.7 s each; a few listings come on top.
  CHECK(Running.Platform.WatchCalls + Running.Platform.Reads - Before <= 32);
  Running.Time.advance(2s - 250ms);
  for (const auto &Each : Daemons)
    CHECK(Each->State->routes()->config().Version == Version);
  Daemons.erase(Daemons.begin());
  Running.operatorWrites("config/main", configText(++Version));
  Running.Time.advance(2s);
  for (const auto &Each : Daemons)
    CHECK(Each->State->routes()->config().Version == Version);
}

TEST_CASE("both relays are cut off from the platform: the others ask it "
          "themselves once they hear of no relay") {
  Bench Running;
  auto Daemons = Running.fleet(5);
  Running.operatorWrites("config/main", configText(1));
  Running.Time.advance(8s);
  Running.operatorWrites("config/main", configText(2));
  Running.Time.advance(4s);
  for (int I = 1; I <= 2; ++I)
    Daemons[size_t(I - 1)]->Client->CutOff = true;
  Running.Time.advance(8s);
  Running.operatorWrites("config/main", configText(3));
  Running.Time.advance(2s);
  for (size_t I = 2; I < 5; ++I)
    CHECK(Daemons[I]->State->routes()->config().Version == 3);
}

TEST_CASE(
    "a daemon that was turned away for a while follows the platform again "
    "though relays keep its configuration up to date") {
  Bench Running;
  auto Daemons = Running.fleet(5);
  Running.operatorWrites("config/main", configText(1));
  Running.Time.advance(3s);
  Daemon &Last = *Daemons.back();
  Last.Client->CutOff = true;
  Running.operatorWrites("config/main", configText(2));
  Running.Time.advance(6s);
  CHECK_FALSE(Last.Store->reachable());
  CHECK(Last.State->routes()->config().Version == 2); // By a relay.
  Last.Client->CutOff = false;
  Running.Time.advance(3s);
  CHECK(Last.Store->reachable());
}

TEST_CASE("many hosts start at once: all know all servers within two seconds") {
  Bench Running;
  std::vector<std::unique_ptr<Daemon>> Daemons;
  for (int I = 1; I <= 9; ++I)
    Daemons.push_back(Running.daemon("10.0.0." + std::to_string(I)));
  Running.Time.advance(50ms);
  for (int I = 1; I <= 9; ++I) {
    MeshEndpoint Own = server("i-" + std::to_string(I), 1);
    Own.DaemonAddress.Host = Own.Server.Host = "10.0.0." + std::to_string(I);
    Daemons[size_t(I - 1)]->State->merge(Own);
    Daemons[size_t(I - 1)]->Store->publish(Own, [](bool) {});
    Running.Time.advance(20ms);
  }
  Running.Time.advance(2s);
  for (const auto &Each : Daemons)
    CHECK(Each->State->directory().ready("quote").size() == 9);
}

TEST_CASE("a rollout that only relays see reaches all daemons") {
  Bench Running;
  auto Daemons = Running.fleet(5);
  Running.Time.advance(20s);
  Running.operatorWrites(
      "rollouts/quote",
      R"({"service": "quote", "targetVersion": "v2", "durationS": 16})");
  Running.Time.advance(1s);
  for (const auto &Each : Daemons)
    CHECK(Each->State->rollouts().find("quote") != nullptr);
}

TEST_CASE("an unreadable configuration leaves the one in force") {
  Bench Running;
  auto One = Running.daemon("10.0.0.1");
  Running.operatorWrites("config/main", configText(1));
  Running.Time.advance(1s);
  Running.operatorWrites("config/main", R"({"version": "two"})");
  Running.operatorWrites("config/other", configText(9));
  Running.Time.advance(2s);
  CHECK(One->State->routes()->config().Version == 1);
}

TEST_CASE("changes are found after an outage and after lost history") {
  Bench Running;
  auto One = Running.daemon("10.0.0.1");
  Running.operatorWrites("config/main", configText(1));
  Running.Time.advance(1s);
  One->Client->CutOff = true;
  Running.Time.advance(40s);
  Running.operatorWrites("config/main", configText(2));
  Running.Platform.Store.compact();
  One->Client->CutOff = false;
  Running.Time.advance(2s);
  CHECK(One->State->routes()->config().Version == 2);
}

TEST_CASE("a silent outage swallows waiting calls: changes after it are in "
          "force in time") {
  Bench Running;
  auto Daemons = Running.fleet(9);
  Running.operatorWrites("config/main", configText(1));
  Running.Time.advance(35s); // All have begun a new wait.
  Running.Platform.setSilent(true);
  Running.Time.advance(8s);
  Running.operatorWrites("config/main", configText(2));
  Running.Platform.setSilent(false);
  // Machines are bound again three seconds after an impairment.
  Running.Time.advance(3s);
  for (const auto &Each : Daemons)
    CHECK(Each->State->routes()->config().Version == 2);
  Running.operatorWrites("config/main", configText(3));
  // No requests pass between these daemons, so nobody hears of it otherwise.
  Running.Time.advance(2s);
  for (const auto &Each : Daemons)
    CHECK(Each->State->routes()->config().Version == 3);
}

TEST_CASE("a wait on a connection that fell silent ends with the first sign "
          "that others are ahead") {
  Bench Running;
  auto One = Running.daemon("10.0.0.1");
  auto Two = Running.daemon("10.0.0.2");
  for (auto *Each : {One.get(), Two.get()}) {
    Each->State->merge(server("i-1", 1));
    MeshEndpoint Second = server("i-2", 1);
    Second.DaemonAddress.Host = Second.Server.Host = "10.0.0.2";
    Each->State->merge(Second);
  }
  Running.operatorWrites("config/main", configText(1));
  Running.Time.advance(3s);
  // All waits are lost, but calls are answered.
  Running.Platform.setSilent(true);
  Running.Platform.setSilent(false);
  Running.operatorWrites("config/main", configText(2));
  One->State->reportPeerRevision({"10.0.0.2", 7000}, 1000);
  Running.Time.advance(1s);
  CHECK(One->State->routes()->config().Version == 2);
  Running.operatorWrites("config/main", configText(3));
  Running.Time.advance(1s);
  CHECK(One->State->routes()->config().Version == 3);
}

TEST_CASE("a daemon that the platform turns away learns from a peer") {
  Bench Running;
  auto One = Running.daemon("10.0.0.1");
  auto Two = Running.daemon("10.0.0.2");
  Two->Client->CutOff = true;
  Running.operatorWrites("config/main", configText(1));
  One->Store->publish(server("i-1", 1), [](bool) {});
  One->State->merge(server("i-1", 1));
  Running.Time.advance(3s);
  REQUIRE(Two->State->routes());
  CHECK(Two->State->routes()->config().Version == 1);
  CHECK(Two->State->directory().ready("quote").size() == 1);
}

TEST_CASE("a daemon that starts while the platform is silent asks the first "
          "peer that is linked") {
  Bench Running;
  auto One = Running.daemon("10.0.0.1");
  Running.operatorWrites("config/main", configText(1));
  Running.Time.advance(1s);
  Running.Platform.setSilent(true);
  auto Two = Running.daemon("10.0.0.2");
  Running.Time.advance(250ms);
  REQUIRE(Two->State->routes());
  CHECK(Two->State->routes()->config().Version == 1);
}

TEST_CASE("records are stored once and found by new daemons") {
  Bench Running;
  auto One = Running.daemon("10.0.0.1");
  Running.Time.advance(100ms);
  bool Stored = false;
  One->Store->publish(server("i-1", 1), [&](bool OnDone) { Stored = OnDone; });
  Running.Time.advance(100ms);
  CHECK(Stored);
  auto Two = Running.daemon("10.0.0.2");
  Running.Time.advance(100ms);
  CHECK(Two->State->directory().ready("quote").size() == 1);
  // A new process beside the same server has nothing to write.
  One = Running.daemon("10.0.0.1");
  Running.Time.advance(100ms);
  uint64_t Writes = Running.Platform.Writes;
  One->Store->publish(server("i-1", 7), [](bool) {});
  Running.Time.advance(1s);
  CHECK(Running.Platform.Writes == Writes);
}

TEST_CASE("a record whose answer was lost is stored all the same") {
  Bench Running;
  auto One = Running.daemon("10.0.0.1");
  Running.Time.advance(100ms);
  Running.Platform.LoseAnswers = 1;
  bool Stored = false;
  One->Store->publish(server("i-1", 2, EndpointState::Draining),
                      [&](bool OnDone) { Stored = OnDone; });
  Running.Time.advance(2s);
  CHECK(Stored);
}

TEST_CASE("a live server's record that was removed is back in two seconds") {
  Bench Running;
  auto One = Running.daemon("10.0.0.1");
  One->Store->publish(server("i-1", 1), [](bool) {});
  Running.Time.advance(1s);
  Result<PlatformObject, PlatformError> Object =
      Running.Platform.Store.read("endpoints/i-1");
  REQUIRE(Object);
  REQUIRE(
      Running.Platform.Store.remove("endpoints/i-1", Object.value().Version));
  Running.Platform.wake();
  Running.Time.advance(2s);
  CHECK(Running.Platform.Store.read("endpoints/i-1"));
}

TEST_CASE("the record of a server that left is kept for a while, then "
          "removed") {
  Bench Running;
  auto One = Running.daemon("10.0.0.1");
  One->Store->publish(server("i-1", 1), [](bool) {});
  Running.Time.advance(1s);
  One->Store->publish(server("i-1", 2, EndpointState::Gone), [](bool) {});
  Running.Time.advance(10s);
  CHECK(Running.Platform.Store.read("endpoints/i-1"));
  Running.Time.advance(15s);
  CHECK_FALSE(Running.Platform.Store.read("endpoints/i-1"));
}

TEST_CASE("records of other writers name no server and stop nothing") {
  Bench Running;
  auto One = Running.daemon("10.0.0.1");
  Running.operatorWrites("endpoints/i-9", R"({"id": 3})");
  Running.operatorWrites("endpoints/i-8", "no JSON");
  Running.operatorWrites("endpoints/i-7", formatEndpoint(server("i-6", 1)));
  Running.operatorWrites("rollouts/quote", R"({"service": []})");
  Running.Time.advance(1s);
  CHECK(One->State->directory().all().empty());
  Running.operatorWrites("endpoints/i-1", formatEndpoint(server("i-1", 1)));
  Running.Time.advance(2s);
  CHECK(One->State->directory().all().size() == 1);
}

TEST_CASE("two daemons decide on a rollout at once: one status stands") {
  Bench Running;
  auto One = Running.daemon("10.0.0.1");
  auto Two = Running.daemon("10.0.0.2");
  Running.operatorWrites(
      "rollouts/quote",
      R"({"service": "quote", "targetVersion": "v2", "durationS": 16})");
  Running.Time.advance(1s);
  One->Store->writeRollout("quote", {RolloutState::RolledBack, "v2", 0, 1s});
  Two->Store->writeRollout("quote", {RolloutState::Running, "v2", 0.5, 1s});
  Running.Time.advance(2s);
  const Rollout *First = One->State->rollouts().find("quote");
  const Rollout *Second = Two->State->rollouts().find("quote");
  REQUIRE(First->Recorded);
  REQUIRE(Second->Recorded);
  CHECK(First->Recorded->State == Second->Recorded->State);
  CHECK(First->Revision == Second->Revision);
}

TEST_CASE("a host that died without a word is removed from the platform") {
  Bench Running;
  auto One = Running.daemon("10.0.0.1");
  auto Two = Running.daemon("10.0.0.2");
  MeshEndpoint Dead = server("i-3", 1);
  Dead.DaemonAddress = {"10.0.0.3", 7000};
  Dead.Server = {"10.0.0.3", 8000};
  Running.operatorWrites("endpoints/i-3", formatEndpoint(Dead));
  One->Store->publish(server("i-1", 1), [](bool) {});
  Running.Time.advance(10s);
  CHECK(Running.Platform.Store.read("endpoints/i-3"));
  Running.Time.advance(40s);
  CHECK_FALSE(Running.Platform.Store.read("endpoints/i-3"));
  CHECK(Running.Platform.Store.read("endpoints/i-1"));
}
