// StoreSync, PeerSync and ConfigRelay against the fake platform in virtual
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

std::string configText(int Version,
                       const std::vector<std::string> &Services = {}) {
  std::string List;
  for (const std::string &Name : Services)
    List += (List.empty() ? "" : ", ") + ("{\"name\": \"" + Name + "\"") +
            R"(, "healthPath": "/health"})";
  return R"({"version": )" + std::to_string(Version) +
         R"(, "routes": [], "services": [)" + List +
         R"(], "limits": {"maxHeaderBytes": 1000,
            "maxBodyBytes": 1000, "headerTimeoutMs": 1000,
            "idleTimeoutMs": 1000}})";
}

MeshEndpoint server(const std::string &Id, int64_t Sequence,
                    EndpointState State = EndpointState::Ready,
                    int64_t StartedAtMs = 100) {
  MeshEndpoint Endpoint;
  Endpoint.Id = Id;
  Endpoint.Service = "quote";
  Endpoint.Version = "v1";
  Endpoint.FailureDomain = "a";
  Endpoint.DaemonAddress = {"10.0.0.1", 7000};
  Endpoint.ServerAddress = {"10.0.0.1", 8000};
  Endpoint.State = State;
  Endpoint.Slots = 9;
  Endpoint.StartedAtMs = StartedAtMs;
  Endpoint.Sequence = Sequence;
  return Endpoint;
}

// The services of one daemon that keep its state up to date.
struct Daemon {
  Daemon(VirtualTime &Time, FakePlatform &Platform, FakeNetwork &Network,
         const std::string &Host, const std::string &Domain = "a",
         bool FirstStart = false)
      : Rng(Host.back()), Services(Time, Time, Rng) {
    auto Client = std::make_unique<FakePlatformClient>(Platform);
    this->Client = Client.get();
    Services.add(std::move(Client));
    Services.add(std::make_unique<FakePeers>(Network, Address{Host, 7000}));
    Services.add(std::make_unique<MeshState>());
    Services.add(
        std::make_unique<StoreSync>(*this->Client, Codec, Domain, FirstStart));
    Services.add(std::make_unique<PeerSync>(Codec));
    Services.add(std::make_unique<ConfigRelay>(Codec));
    Services.start();
    State = &Services.find<MeshState>("mesh_state");
    Store = &Services.find<StoreSync>("store_sync");
  }
  ~Daemon() { Services.stop(); }

  platform::PlatformObjectCodec Codec;
  Random Rng;
  Kernel Services;
  FakePlatformClient *Client;
  MeshState *State;
  StoreSync *Store;
};

class StoreWorld {
public:
  StoreWorld() : Rng(3), Platform(Time, Rng), Network(Time, Time, Rng) {}

  std::unique_ptr<Daemon> daemon(const std::string &Host) {
    return std::make_unique<Daemon>(Time, Platform, Network, Host);
  }

  // Daemons of one failure domain, started one after another, each with a
  // server.
  std::vector<std::unique_ptr<Daemon>> fleet(int Count) {
    std::vector<std::unique_ptr<Daemon>> Daemons;
    for (int I = 1; I <= Count; ++I) {
      std::string Host = "10.0.0." + std::to_string(I);
      Daemons.push_back(daemon(Host));
      MeshEndpoint Local = server("i-" + std::to_string(I), 1);
      Local.DaemonAddress.Host = Local.ServerAddress.Host = Host;
      Daemons.back()->Store->publish(Local, [](bool) {});
      Time.advance(100ms);
    }
    return Daemons;
  }

  // Daemons of six failure domains that start at once for the first time, each
  // with a server.
  std::vector<std::unique_ptr<Daemon>> firstStart(int Count) {
    std::vector<std::unique_ptr<Daemon>> Daemons;
    for (int I = 0; I < Count; ++I) {
      std::string Domain(1, static_cast<char>('a' + I % 6));
      std::string Host =
          "10." + std::to_string(I % 6) + ".0." + std::to_string(I / 6 + 1);
      Daemons.push_back(std::make_unique<Daemon>(Time, Platform, Network, Host,
                                                 Domain, true));
      MeshEndpoint Local = server("i-" + std::to_string(I), 1);
      Local.FailureDomain = Domain;
      Local.DaemonAddress.Host = Local.ServerAddress.Host = Host;
      Daemons.back()->Store->publish(Local, [](bool) {});
    }
    return Daemons;
  }

  // What the platform charges for: a call that may return stale data costs a
  // tenth of another one.
  double callsCharged() const {
    constexpr double StaleRebate = 0.9;
    return double(Platform.Reads + Platform.Writes + Platform.WatchCalls +
                  Platform.StaleWatches + Platform.RefusedCalls) -
           StaleRebate * double(Platform.StaleCalls);
  }

  // Writes Value as an operator does.
  void operatorWrites(const std::string &Key, const std::string &Value) {
    Result<PlatformObject, PlatformError> Current = Platform.Store.read(Key);
    REQUIRE(Platform.Store.write(Key, Value,
                                 Current ? Current.value().Version : 0));
    Platform.wake();
  }

  VirtualTime Time;
  Random Rng;
  FakePlatform Platform;
  FakeNetwork Network;
};

} // namespace

TEST_CASE("a configuration is applied soon after it was accepted") {
  StoreWorld World;
  auto One = World.daemon("10.0.0.1");
  World.Time.advance(100ms);
  CHECK(One->State->routes() == nullptr);
  for (int Version = 1; Version < 12; ++Version) {
    World.operatorWrites("config/main", configText(Version));
    World.Time.advance(240ms);
  }
  World.Time.advance(800ms);
  REQUIRE(One->State->routes());
  CHECK(One->State->routes()->config().Version == 11);
}

TEST_CASE("many hosts: a few watch the platform, all apply changes within two "
          "seconds") {
  StoreWorld World;
  auto Daemons = World.fleet(9);
  World.Time.advance(70s);
  // Stale watches report no change in the next seconds.
  World.Platform.StaleShowsChanges = false;
  for (int Version = 1; Version < 9; ++Version) {
    World.operatorWrites("config/main", configText(Version));
    World.Time.advance(300ms);
  }
  World.Time.advance(2s - 300ms);
  for (const auto &TheDaemon : Daemons) {
    REQUIRE(TheDaemon->State->routes());
    CHECK(TheDaemon->State->routes()->config().Version == 8);
    CHECK(TheDaemon->State->directory().ready("quote").size() == 9);
  }
}

TEST_CASE("frequent configuration changes: only relays call the platform, and "
          "all daemons apply the last one within two seconds although a relay "
          "is killed") {
  StoreWorld World;
  auto Daemons = World.fleet(9);
  World.operatorWrites("config/main", configText(1));
  World.Time.advance(8s);
  World.operatorWrites("config/main", configText(2));
  World.Time.advance(2s);
  uint64_t CallsBefore = World.Platform.WatchCalls + World.Platform.Reads;
  int Version = 2;
  while (Version < 30) {
    World.operatorWrites("config/main", configText(++Version));
    World.Time.advance(250ms);
  }
  // Each of the two relays calls at most once in 0.7 s; a few listings are
  // added.
  CHECK(World.Platform.WatchCalls + World.Platform.Reads - CallsBefore <= 32);
  World.Time.advance(2s - 250ms);
  for (const auto &TheDaemon : Daemons)
    CHECK(TheDaemon->State->routes()->config().Version == Version);
  Daemons.erase(Daemons.begin());
  World.operatorWrites("config/main", configText(++Version));
  World.Time.advance(2s);
  for (const auto &TheDaemon : Daemons)
    CHECK(TheDaemon->State->routes()->config().Version == Version);
}

TEST_CASE("both relays are cut off from the platform: the other daemons watch "
          "it themselves once no relay announces itself") {
  StoreWorld World;
  auto Daemons = World.fleet(5);
  World.operatorWrites("config/main", configText(1));
  World.Time.advance(8s);
  World.operatorWrites("config/main", configText(2));
  World.Time.advance(4s);
  for (int I = 1; I <= 2; ++I)
    Daemons[size_t(I - 1)]->Client->CutOff = true;
  World.Time.advance(8s);
  World.operatorWrites("config/main", configText(3));
  World.Time.advance(2s);
  for (size_t I = 2; I < 5; ++I)
    CHECK(Daemons[I]->State->routes()->config().Version == 3);
}

TEST_CASE("a daemon that was cut off from the platform watches it again "
          "although relays keep its configuration up to date") {
  StoreWorld World;
  auto Daemons = World.fleet(5);
  World.operatorWrites("config/main", configText(1));
  World.Time.advance(3s);
  Daemon &Last = *Daemons.back();
  Last.Client->CutOff = true;
  World.operatorWrites("config/main", configText(2));
  World.Time.advance(6s);
  CHECK_FALSE(Last.Store->reachable());
  CHECK(Last.State->routes()->config().Version == 2); // From a relay.
  Last.Client->CutOff = false;
  World.Time.advance(3s);
  CHECK(Last.Store->reachable());
}

TEST_CASE("many hosts start at once: all know all servers within two seconds") {
  StoreWorld World;
  std::vector<std::unique_ptr<Daemon>> Daemons;
  for (int I = 1; I <= 9; ++I)
    Daemons.push_back(World.daemon("10.0.0." + std::to_string(I)));
  World.Time.advance(50ms);
  for (int I = 1; I <= 9; ++I) {
    MeshEndpoint Local = server("i-" + std::to_string(I), 1);
    Local.DaemonAddress.Host = Local.ServerAddress.Host =
        "10.0.0." + std::to_string(I);
    Daemons[size_t(I - 1)]->State->merge(Local);
    Daemons[size_t(I - 1)]->Store->publish(Local, [](bool) {});
    World.Time.advance(20ms);
  }
  World.Time.advance(2s);
  for (const auto &TheDaemon : Daemons)
    CHECK(TheDaemon->State->directory().ready("quote").size() == 9);
}

TEST_CASE("a rollout that only relays read reaches all daemons") {
  StoreWorld World;
  auto Daemons = World.fleet(5);
  World.Time.advance(20s);
  World.operatorWrites(
      "rollouts/quote",
      R"({"service": "quote", "targetVersion": "v2", "durationS": 16})");
  World.Time.advance(1s);
  for (const auto &TheDaemon : Daemons)
    CHECK(TheDaemon->State->rollouts().find("quote") != nullptr);
}

TEST_CASE("an unreadable configuration does not replace the applied one") {
  StoreWorld World;
  auto One = World.daemon("10.0.0.1");
  World.operatorWrites("config/main", configText(1));
  World.Time.advance(1s);
  World.operatorWrites("config/main", R"({"version": "two"})");
  World.operatorWrites("config/other", configText(9));
  World.Time.advance(2s);
  CHECK(One->State->routes()->config().Version == 1);
}

TEST_CASE("changes are read after an outage and after a gap in the history") {
  StoreWorld World;
  auto One = World.daemon("10.0.0.1");
  World.operatorWrites("config/main", configText(1));
  World.Time.advance(1s);
  One->Client->CutOff = true;
  World.Time.advance(40s);
  World.operatorWrites("config/main", configText(2));
  World.Platform.Store.compact();
  One->Client->CutOff = false;
  World.Time.advance(2s);
  CHECK(One->State->routes()->config().Version == 2);
}

TEST_CASE(
    "watch calls are lost in an outage without an error: changes after it "
    "are applied in time") {
  StoreWorld World;
  auto Daemons = World.fleet(9);
  World.operatorWrites("config/main", configText(1));
  World.Time.advance(35s); // All have started a new watch call.
  World.Platform.setSilent(true);
  World.Time.advance(8s);
  World.operatorWrites("config/main", configText(2));
  World.Platform.setSilent(false);
  // Time limits apply to a host again three seconds after a fault ends.
  World.Time.advance(3s);
  for (const auto &TheDaemon : Daemons)
    CHECK(TheDaemon->State->routes()->config().Version == 2);
  World.operatorWrites("config/main", configText(3));
  // These daemons forward no requests, so no frame carries the new revision.
  World.Time.advance(2s);
  for (const auto &TheDaemon : Daemons)
    CHECK(TheDaemon->State->routes()->config().Version == 3);
}

// Guards against 404 on a new route: patches written to silent streams were
// lost and the receivers went on relying on the relay.
TEST_CASE(
    "patches are lost on silent streams: all apply the configuration "
    "within two seconds although the streams are closed only after 1.5 s") {
  StoreWorld World;
  auto Daemons = World.fleet(6);
  World.operatorWrites("config/main", configText(1));
  World.Time.advance(8s);
  for (int I = 1; I <= 6; ++I)
    for (int J = 1; J < I; ++J)
      World.Network.silence({"10.0.0." + std::to_string(I), 7000},
                            {"10.0.0." + std::to_string(J), 7000});
  World.operatorWrites("config/main", configText(2));
  World.Time.advance(1500ms);
  World.Network.closeSilentStreams();
  World.Time.advance(500ms);
  for (const auto &TheDaemon : Daemons)
    CHECK(TheDaemon->State->routes()->config().Version == 2);
}

// Guards against a watch that is believed to work while its connection is
// silent: the platform's calls were checked only after three seconds.
TEST_CASE(
    "watches are lost together with streams to peers: changes are applied "
    "within two seconds of the first closed stream") {
  StoreWorld World;
  auto Daemons = World.fleet(6);
  World.operatorWrites("config/main", configText(1));
  World.Time.advance(35s); // All have started a new watch call.
  World.Platform.setSilent(true);
  World.Platform.setSilent(false);
  for (int I = 2; I <= 6; ++I)
    World.Network.silence({"10.0.0.1", 7000},
                          {"10.0.0." + std::to_string(I), 7000});
  World.operatorWrites("config/main", configText(2));
  World.Time.advance(1500ms);
  World.Network.closeSilentStreams();
  World.Time.advance(500ms);
  for (const auto &TheDaemon : Daemons)
    CHECK(TheDaemon->State->routes()->config().Version == 2);
}

TEST_CASE("a watch on an unresponsive connection is re-established when a peer "
          "reports a newer revision") {
  StoreWorld World;
  auto One = World.daemon("10.0.0.1");
  auto Two = World.daemon("10.0.0.2");
  for (auto *TheDaemon : {One.get(), Two.get()}) {
    TheDaemon->State->merge(server("i-1", 1));
    MeshEndpoint Second = server("i-2", 1);
    Second.DaemonAddress.Host = Second.ServerAddress.Host = "10.0.0.2";
    TheDaemon->State->merge(Second);
  }
  World.operatorWrites("config/main", configText(1));
  World.Time.advance(3s);
  // All watch calls are lost, but new calls are answered.
  World.Platform.setSilent(true);
  World.Platform.setSilent(false);
  World.operatorWrites("config/main", configText(2));
  One->State->reportPeerRevision({"10.0.0.2", 7000}, {0, 1000, 0});
  World.Time.advance(1s);
  CHECK(One->State->routes()->config().Version == 2);
  World.operatorWrites("config/main", configText(3));
  World.Time.advance(1s);
  CHECK(One->State->routes()->config().Version == 3);
}

TEST_CASE("a daemon that cannot read the platform gets the state from a peer") {
  StoreWorld World;
  auto One = World.daemon("10.0.0.1");
  auto Two = World.daemon("10.0.0.2");
  Two->Client->CutOff = true;
  World.operatorWrites("config/main", configText(1));
  One->Store->publish(server("i-1", 1), [](bool) {});
  One->State->merge(server("i-1", 1));
  World.Time.advance(3s);
  REQUIRE(Two->State->routes());
  CHECK(Two->State->routes()->config().Version == 1);
  CHECK(Two->State->directory().ready("quote").size() == 1);
}

TEST_CASE("a daemon that starts while the platform is unresponsive requests "
          "the state of the first connected peer") {
  StoreWorld World;
  auto One = World.daemon("10.0.0.1");
  World.operatorWrites("config/main", configText(1));
  World.Time.advance(1s);
  World.Platform.setSilent(true);
  auto Two = World.daemon("10.0.0.2");
  World.Time.advance(250ms);
  REQUIRE(Two->State->routes());
  CHECK(Two->State->routes()->config().Version == 1);
}

TEST_CASE("records are stored once and read by new daemons") {
  StoreWorld World;
  auto One = World.daemon("10.0.0.1");
  World.Time.advance(100ms);
  bool Stored = false;
  One->Store->publish(server("i-1", 1),
                      [&](bool Success) { Stored = Success; });
  World.Time.advance(100ms);
  CHECK(Stored);
  auto Two = World.daemon("10.0.0.2");
  World.Time.advance(100ms);
  CHECK(Two->State->directory().ready("quote").size() == 1);
  // A restarted daemon of the same server has nothing to write.
  One = World.daemon("10.0.0.1");
  World.Time.advance(100ms);
  uint64_t Writes = World.Platform.Writes;
  One->Store->publish(server("i-1", 7), [](bool) {});
  World.Time.advance(1s);
  CHECK(World.Platform.Writes == Writes);
}

TEST_CASE("a publication whose write got no answer still succeeds") {
  StoreWorld World;
  auto One = World.daemon("10.0.0.1");
  World.Time.advance(100ms);
  World.Platform.LoseAnswers = 1;
  bool Stored = false;
  One->Store->publish(server("i-1", 2, EndpointState::Draining),
                      [&](bool Success) { Stored = Success; });
  World.Time.advance(2s);
  CHECK(Stored);
}

TEST_CASE("a live server's record that was removed is written again within two "
          "seconds") {
  StoreWorld World;
  auto One = World.daemon("10.0.0.1");
  One->Store->publish(server("i-1", 1), [](bool) {});
  World.Time.advance(1s);
  Result<PlatformObject, PlatformError> Object =
      World.Platform.Store.read("endpoints/i-1");
  REQUIRE(Object);
  REQUIRE(World.Platform.Store.remove("endpoints/i-1", Object.value().Version));
  World.Platform.wake();
  World.Time.advance(2s);
  CHECK(World.Platform.Store.read("endpoints/i-1"));
}

TEST_CASE("the record of a server that left is removed only after the removal "
          "delay") {
  StoreWorld World;
  auto One = World.daemon("10.0.0.1");
  One->Store->publish(server("i-1", 1), [](bool) {});
  World.Time.advance(1s);
  One->Store->publish(server("i-1", 2, EndpointState::Gone), [](bool) {});
  World.Time.advance(10s);
  CHECK(World.Platform.Store.read("endpoints/i-1"));
  World.Time.advance(15s);
  CHECK_FALSE(World.Platform.Store.read("endpoints/i-1"));
}

TEST_CASE("malformed records are ignored and do not stop the watch") {
  StoreWorld World;
  auto One = World.daemon("10.0.0.1");
  World.operatorWrites("endpoints/i-9", R"({"id": 3})");
  World.operatorWrites("endpoints/i-8", "no JSON");
  World.operatorWrites("endpoints/i-7", formatEndpoint(server("i-6", 1)));
  World.operatorWrites("rollouts/quote", R"({"service": []})");
  World.Time.advance(1s);
  CHECK(One->State->directory().all().empty());
  World.operatorWrites("endpoints/i-1", formatEndpoint(server("i-1", 1)));
  World.Time.advance(2s);
  CHECK(One->State->directory().all().size() == 1);
}

TEST_CASE("two daemons write a rollout status at once: one status is kept") {
  StoreWorld World;
  auto One = World.daemon("10.0.0.1");
  auto Two = World.daemon("10.0.0.2");
  World.operatorWrites(
      "rollouts/quote",
      R"({"service": "quote", "targetVersion": "v2", "durationS": 16})");
  World.Time.advance(1s);
  One->Store->writeRollout("quote", {RolloutState::RolledBack, "v2", 0, 1s});
  Two->Store->writeRollout("quote", {RolloutState::Running, "v2", 0.5, 1s});
  World.Time.advance(2s);
  const Rollout *First = One->State->rollouts().find("quote");
  const Rollout *Second = Two->State->rollouts().find("quote");
  REQUIRE(First->Recorded);
  REQUIRE(Second->Recorded);
  CHECK(First->Recorded->State == Second->Recorded->State);
  CHECK(First->Revision == Second->Revision);
}

TEST_CASE("records of a host that died without deregistering are removed") {
  StoreWorld World;
  auto One = World.daemon("10.0.0.1");
  auto Two = World.daemon("10.0.0.2");
  MeshEndpoint Dead = server("i-3", 1);
  Dead.DaemonAddress = {"10.0.0.3", 7000};
  Dead.ServerAddress = {"10.0.0.3", 8000};
  World.operatorWrites("endpoints/i-3", formatEndpoint(Dead));
  One->Store->publish(server("i-1", 1), [](bool) {});
  World.Time.advance(10s);
  CHECK(World.Platform.Store.read("endpoints/i-3"));
  World.Time.advance(40s);
  CHECK_FALSE(World.Platform.Store.read("endpoints/i-3"));
  CHECK(World.Platform.Store.read("endpoints/i-1"));
}

TEST_CASE("odd entries of another writer name no server, and the others hold") {
  StoreWorld World;
  auto Fleet = World.fleet(3);
  World.Time.advance(3s);
  std::string OtherServer = formatEndpoint(server("i-9", 1));
  for (const std::string &Odd :
       {std::string(100000, '['), std::string("{\"slots\": 1e999}"),
        std::string("\xff\xfe"), std::string(), std::string("17"), OtherServer,
        std::string("{\"id\": \"odd\", \"server\": \"10.0.0.1:65536\"}")}) {
    World.operatorWrites("endpoints/odd", Odd);
    World.operatorWrites("rollouts/odd", Odd);
    World.Time.advance(2s);
  }
  auto Late = World.daemon("10.0.0.9");
  MeshEndpoint New = server("i-4", 1);
  New.DaemonAddress.Host = New.ServerAddress.Host = "10.0.0.9";
  Late->Store->publish(New, [](bool) {});
  World.Time.advance(20s);
  Fleet.push_back(std::move(Late));
  for (const std::unique_ptr<Daemon> &Each : Fleet) {
    for (const char *Id : {"i-1", "i-2", "i-3", "i-4"}) {
      const MeshEndpoint *Known = Each->State->directory().find(Id);
      REQUIRE(Known != nullptr);
      CHECK(Known->State == EndpointState::Ready);
    }
    CHECK(Each->State->directory().find("odd") == nullptr);
    CHECK(Each->State->directory().find("i-9") == nullptr);
  }
}

TEST_CASE("the record of a server that another writer spoiled is written "
          "again") {
  StoreWorld World;
  auto Fleet = World.fleet(2);
  World.Time.advance(3s);
  World.operatorWrites("endpoints/i-1", "{\"slots\": [[]]}");
  World.Time.advance(3s);
  Result<PlatformObject, PlatformError> Stored =
      World.Platform.Store.read("endpoints/i-1");
  REQUIRE(Stored);
  CHECK(parseEndpoint(Stored.value().Value));
  CHECK(Fleet[1]->State->directory().find("i-1") != nullptr);
}

// Guards against a server that is lost because another writer has stored a
// record of a service that is not named under its id.
TEST_CASE("the record of a server that another writer replaced by one of a "
          "service that is not named is written again") {
  bool ConfigFirst = GENERATE(false, true);
  StoreWorld World;
  auto Fleet = World.fleet(2);
  if (ConfigFirst)
    World.operatorWrites("config/main", configText(1, {"quote"}));
  World.Time.advance(3s);
  MeshEndpoint Foreign = server("i-1", 1000, EndpointState::Ready, 5000);
  Foreign.Service = "retired";
  World.operatorWrites("endpoints/i-1", formatEndpoint(Foreign));
  World.Time.advance(3s);
  if (!ConfigFirst) {
    World.operatorWrites("config/main", configText(1, {"quote"}));
    World.Time.advance(3s);
    // The server's next report.
    Fleet[0]->State->mergeFromOwner(server("i-1", 2));
    Fleet[0]->Store->publish(server("i-1", 2), [](bool) {});
  }
  World.Time.advance(3s);
  Result<PlatformObject, PlatformError> Object =
      World.Platform.Store.read("endpoints/i-1");
  REQUIRE(Object);
  CHECK(parseEndpoint(Object.value().Value)->Service == "quote");
  for (const auto &Each : Fleet) {
    REQUIRE(Each->State->directory().find("i-1"));
    CHECK(Each->State->directory().find("i-1")->Service == "quote");
    CHECK(Each->State->directory().ready("quote").size() == 2);
  }
}

TEST_CASE("a withdrawn record is removed from the platform and from all "
          "daemons, but not a departure") {
  StoreWorld World;
  auto Fleet = World.fleet(3);
  World.operatorWrites("config/main", configText(1, {"quote"}));
  MeshEndpoint Foreign = server("i-other", 1, EndpointState::Ready, 5000);
  Foreign.Service = "retired";
  Fleet[0]->Store->publish(Foreign, [](bool) {});
  Fleet[0]->Store->publish(server("i-1", 2, EndpointState::Draining),
                           [](bool) {});
  World.Time.advance(8s);
  for (const auto &Each : Fleet)
    REQUIRE(Each->State->directory().find("i-other"));
  Fleet[0]->Store->withdraw("i-other");
  Fleet[0]->Store->withdraw("i-1");
  World.Time.advance(10s);
  CHECK_FALSE(World.Platform.Store.read("endpoints/i-other"));
  CHECK(World.Platform.Store.read("endpoints/i-1"));
  for (const auto &Each : Fleet) {
    CHECK(Each->State->directory().find("i-other") == nullptr);
    CHECK(Each->State->directory().find("i-1") != nullptr);
  }
}

// Guards against a daemon that does not know the configuration and tells others
// that a server is gone.
TEST_CASE("a daemon without a configuration passes on records as it got them") {
  StoreWorld World;
  World.Platform.Outage = true;
  auto Asked = World.daemon("10.0.0.1");
  auto Asking = World.daemon("10.0.0.2");
  MeshEndpoint Foreign = server("i-other", 1, EndpointState::Ready, 5000);
  Foreign.Service = "retired";
  Asked->State->merge(server("i-1", 1));
  Asked->State->merge(Foreign);
  World.Network.inject({"10.0.0.2", 7000}, {"10.0.0.1", 7000},
                       FrameType::StatePull, encodeMessage(wire::StatePull()));
  World.Time.advance(100ms);
  REQUIRE(Asking->State->directory().find("i-1"));
  MeshConfig Config;
  Config.Revision = 1;
  Config.Services = {{"quote", "/health"}};
  Asking->State->apply(Config, "");
  CHECK(Asking->State->directory().ready("quote").size() == 1);
}

TEST_CASE("configuration changes: calls to the platform do not grow with the "
          "number of hosts") {
  int Hosts = GENERATE(24, 96);
  StoreWorld World;
  auto Fleet = World.firstStart(Hosts);
  World.Time.advance(1s);
  World.operatorWrites("config/main", configText(1));
  World.Time.advance(19s);
  // At its start a host writes its record and makes three listings; in 20 s it
  // makes about ten more. All listings may be stale.
  INFO(Hosts << " hosts: " << World.callsCharged() << " calls at the start");
  CHECK(World.callsCharged() <= 3.0 * Hosts + 40);
  double Before = World.callsCharged();
  int Version = 1;
  while (Version < 21) {
    World.operatorWrites("config/main", configText(++Version));
    World.Time.advance(500ms);
  }
  // Four watchers make a call per 0.7 s at most. Each host lists two kinds at
  // most every 6 s.
  CHECK(World.callsCharged() - Before <= 4 * (10 / 0.7 + 1) + 0.4 * Hosts);
  World.Time.advance(1500ms);
  for (const auto &Each : Fleet) {
    REQUIRE(Each->State->routes());
    CHECK(Each->State->routes()->config().Version == Version);
  }
}

TEST_CASE("outage of the platform: the hosts do not call it all the time, and "
          "follow it again after its return") {
  StoreWorld World;
  auto Fleet = World.firstStart(48);
  World.operatorWrites("config/main", configText(1));
  World.Time.advance(20s);
  double Before = World.callsCharged();
  World.Platform.Outage = true;
  World.Time.advance(8s);
  // In 8 s a host fails two to three listings of each of two kinds; the
  // watchers and those that replace them retry every 0.8 s.
  INFO("calls charged: " << World.callsCharged() - Before);
  CHECK(World.callsCharged() - Before <= 4 * 48);
  World.Platform.Outage = false;
  World.operatorWrites("config/main", configText(2));
  World.Time.advance(3s);
  for (const auto &Each : Fleet)
    CHECK(Each->State->routes()->config().Version == 2);
}

TEST_CASE("all configuration watchers are turned away by the platform: others "
          "take over") {
  StoreWorld World;
  auto Fleet = World.firstStart(36);
  World.operatorWrites("config/main", configText(1));
  World.Time.advance(20s);
  int Watchers = 0;
  for (const auto &Each : Fleet)
    if (Each->Store->isConfigWatcher()) {
      ++Watchers;
      Each->Client->CutOff = true;
    }
  CHECK(Watchers == 4);
  World.Time.advance(6s);
  World.operatorWrites("config/main", configText(2));
  World.Time.advance(2s);
  for (const auto &Each : Fleet)
    CHECK(Each->State->routes()->config().Version == 2);
}

// Guards against 404 on a new route at daemons that the platform serves, while
// it does not answer the daemons that watch the configuration for all others.
TEST_CASE(
    "the platform does not answer most daemons, watchers first: those that "
    "it serves apply a change within two seconds") {
  StoreWorld World;
  auto Fleet = World.firstStart(36);
  World.operatorWrites("config/main", configText(1));
  World.Time.advance(20s);
  size_t FirstServed = GENERATE(4, 20, 34); // In the order of addresses.
  for (size_t I = 0; I < FirstServed; ++I)
    Fleet[I]->Client->setSilent(true);
  World.operatorWrites("config/main", configText(2));
  World.Time.advance(2s);
  for (size_t I = FirstServed; I < Fleet.size(); ++I)
    CHECK(Fleet[I]->State->routes()->config().Version == 2);
  World.operatorWrites("config/main", configText(3));
  World.Time.advance(2s);
  // The others receive the patches of those that are served.
  for (const auto &Each : Fleet)
    CHECK(Each->State->routes()->config().Version == 3);
}

TEST_CASE("all configuration watchers end at once: changes are still applied "
          "within two seconds") {
  StoreWorld World;
  auto Fleet = World.firstStart(36);
  World.operatorWrites("config/main", configText(1));
  World.Time.advance(20s);
  std::erase_if(Fleet, [](const std::unique_ptr<Daemon> &Each) {
    return Each->Store->isConfigWatcher();
  });
  World.operatorWrites("config/main", configText(2));
  World.Time.advance(2s);
  for (const auto &Each : Fleet)
    CHECK(Each->State->routes()->config().Version == 2);
}

// Guards against a departure that counts as stored because an earlier record of
// the server was.
TEST_CASE("a departure counts as stored only when its own record is") {
  StoreWorld World;
  auto One = World.daemon("10.0.0.1");
  World.Time.advance(100ms);
  One->Store->publish(server("i-1", 1), [](bool) {});
  One->Store->publish(server("i-1", 2, EndpointState::Gone), [](bool) {});
  CHECK(One->Store->unwrittenDepartures() == 1);
  World.Time.advance(1ms); // The first write is under way.
  World.Platform.setSilent(true);
  World.Time.advance(2s);
  int Stored = 0;
  One->Store->publish(server("i-1", 2, EndpointState::Gone),
                      [&Stored](bool) { ++Stored; });
  CHECK(Stored == 0);
  CHECK(One->Store->unwrittenDepartures() == 1);
  World.Platform.setSilent(false);
  World.Time.advance(5s);
  CHECK(Stored == 1);
  CHECK(One->Store->unwrittenDepartures() == 0);
  Result<PlatformObject, PlatformError> Read =
      World.Platform.Store.read("endpoints/i-1");
  REQUIRE(Read);
  CHECK(parseEndpoint(Read.value().Value)->State == EndpointState::Gone);
}

// Guards against a departure that peers know of and a restarted daemon does not
// hear of, because it reads an older record from the platform.
TEST_CASE("a restarted daemon asks a few peers for the records of its servers "
          "while the platform answers") {
  StoreWorld World;
  auto Fleet = World.fleet(9);
  World.operatorWrites("config/main", configText(1));
  World.Time.advance(5s);
  MeshEndpoint Departure = server("i-1", 7, EndpointState::Gone);
  for (size_t I = 1; I < Fleet.size(); ++I)
    Fleet[I]->State->merge(Departure);
  Fleet[0].reset();
  World.Time.advance(1s);
  size_t Pulls = 0;
  size_t ReplyBytes = 0;
  World.Network.OnStream = [&](const Address &, const Address &To,
                               FrameType Type, const std::string &Payload) {
    Pulls += Type == FrameType::StatePull ? 1 : 0;
    if (Type == FrameType::StateReply && To.Host == "10.0.0.1")
      ReplyBytes += Payload.size();
  };
  Fleet[0] = World.daemon("10.0.0.1");
  World.Time.advance(1s);
  REQUIRE(Fleet[0]->State->directory().find("i-1"));
  CHECK(Fleet[0]->State->directory().find("i-1")->State == EndpointState::Gone);
  World.Time.advance(15s);
  CHECK(Pulls == 3);
  CHECK(ReplyBytes < 3 * 200);
}

// Open connections between hosts go silent for good at any time before a
// change; see deploy/days/severed.toml.
TEST_CASE("a part of the streams went silent some time ago: all apply the next "
          "configuration within two seconds") {
  auto Seed = GENERATE(range(1, 21));
  StoreWorld World;
  Random Rng(static_cast<uint64_t>(Seed));
  auto Daemons = World.fleet(9);
  World.operatorWrites("config/main", configText(1));
  World.Time.advance(20s);
  double Share = 0.3 + 0.7 * Rng.fraction();
  for (int I = 2; I <= 9; ++I)
    for (int J = 1; J < I; ++J)
      if (Rng.fraction() < Share)
        World.Network.silence({"10.0.0." + std::to_string(I), 7000},
                              {"10.0.0." + std::to_string(J), 7000});
  World.Time.advance(Duration(1ms) * int(Rng.below(5000)));
  World.operatorWrites("config/main", configText(2));
  World.Time.advance(1500ms);
  World.Network.closeSilentStreams();
  World.Time.advance(500ms);
  for (const auto &TheDaemon : Daemons)
    CHECK(TheDaemon->State->routes()->config().Version == 2);
}

TEST_CASE("the record of a departed server that someone else removed is not "
          "unwritten") {
  StoreWorld World;
  auto One = World.daemon("10.0.0.1");
  World.Time.advance(100ms);
  One->Store->publish(server("i-1", 1, EndpointState::Draining), [](bool) {});
  World.Time.advance(100ms);
  CHECK(One->Store->unwrittenDepartures() == 0);
  Result<PlatformObject, PlatformError> Read =
      World.Platform.Store.read("endpoints/i-1");
  REQUIRE(Read);
  REQUIRE(World.Platform.Store.remove("endpoints/i-1", Read.value().Version));
  World.Platform.wake();
  World.Time.advance(3s);
  CHECK(One->Store->unwrittenDepartures() == 0);
}
