// The Membership service with seed lists and configured seeds, in virtual time.

#include "cyclamenwind/config/keys.h"
#include "cyclamenwind/membership/membership.h"
#include "cyclamenwind/membership/seed_list.h"
#include "testing/fake_peers.h"
#include "testing/fake_platform.h"
#include "testing/virtual_time.h"

#include <catch2/catch.hpp>

using namespace cyclamenwind;
using namespace cyclamenwind::testing;

namespace {

constexpr size_t DaemonCount = 12;
constexpr size_t DomainCount = 2;

struct Daemon {
  std::unique_ptr<Kernel> Services;
  FakePlatformClient *Platform = nullptr;
  Membership *Members = nullptr;
};

struct TestFleet {
  VirtualTime Time;
  Random Rng{21};
  FakePlatform SharedPlatform{Time, Rng};
  FakeNetwork Network{Time, Time, Rng};
  std::vector<Address> Seeds;
  std::vector<Daemon> Daemons = std::vector<Daemon>(DaemonCount);
  int64_t Incarnation = 1;

  ~TestFleet() {
    for (size_t I = 0; I < DaemonCount; ++I)
      crash(I);
  }

  static Address addressOf(size_t I, uint16_t Port) {
    return {"10.0.0." + std::to_string(I + 1), Port};
  }

  void start(size_t I, uint16_t Port = 7100) {
    Settings Options;
    Options.Member.Id = "m" + std::to_string(I);
    Options.Member.FailureDomain = "d" + std::to_string(I % DomainCount);
    Options.Addresses.Peers = addressOf(I, Port);
    Options.Membership.Seeds = Seeds;
    Daemon &TheDaemon = Daemons[I];
    TheDaemon.Services = std::make_unique<Kernel>(Time, Time, Rng);
    auto Client = std::make_unique<FakePlatformClient>(SharedPlatform);
    auto Members = std::make_unique<Membership>(Options, Incarnation++);
    TheDaemon.Platform = Client.get();
    TheDaemon.Members = Members.get();
    TheDaemon.Services->add(std::move(Client));
    TheDaemon.Services->add(
        std::make_unique<FakePeers>(Network, Options.Addresses.Peers));
    TheDaemon.Services->add(std::make_unique<ServerRegistrations>(3s));
    TheDaemon.Services->add(std::move(Members));
    TheDaemon.Services->start();
  }

  void startAll(uint16_t Port = 7100) {
    for (size_t I = 0; I < DaemonCount; ++I)
      start(I, Port);
  }

  void crash(size_t I) {
    if (Daemons[I].Services)
      Daemons[I].Services->stop();
    Daemons[I] = {};
  }

  bool converged() const {
    for (const Daemon &TheDaemon : Daemons)
      if (TheDaemon.Members->memberList().reachable().size() != DaemonCount)
        return false;
    return true;
  }
};

} // namespace

TEST_CASE("daemons join through a bounded seed list") {
  TestFleet Fleet;
  Fleet.startAll();
  Fleet.Time.advance(15s);
  CHECK(Fleet.converged());
  for (const PlatformObject &Object :
       Fleet.SharedPlatform.Store.list(SeedListPrefix).Objects)
    CHECK(decodeSeedList(Object.Value).size() <= 8);
  CHECK(Fleet.SharedPlatform.Store.list(SeedListPrefix).Objects.size() ==
        DomainCount);
  uint64_t Writes = Fleet.SharedPlatform.Writes;
  uint64_t Reads = Fleet.SharedPlatform.Reads;
  Fleet.Time.advance(600s);
  CHECK(Fleet.SharedPlatform.Writes == Writes);
  CHECK(Fleet.SharedPlatform.Reads - Reads <= DaemonCount * 4);
}

TEST_CASE("stale addresses in seed lists are replaced") {
  TestFleet Fleet;
  Fleet.startAll();
  Fleet.Time.advance(15s);
  for (size_t I = 0; I < DaemonCount; ++I)
    Fleet.crash(I);
  Fleet.startAll(/*Port=*/7101);
  Fleet.Time.advance(40s);
  CHECK(Fleet.converged());
  Fleet.Time.advance(400s);
  for (const PlatformObject &Object :
       Fleet.SharedPlatform.Store.list(SeedListPrefix).Objects)
    for (const Address &Listed : decodeSeedList(Object.Value))
      CHECK(Listed.Port == 7101);
}

TEST_CASE("daemons join through configured seeds while the platform is down") {
  TestFleet Fleet;
  Fleet.Seeds = {TestFleet::addressOf(0, 7100), TestFleet::addressOf(1, 7100)};
  Fleet.SharedPlatform.Outage = true;
  Fleet.startAll();
  Fleet.Time.advance(40s);
  CHECK(Fleet.converged());
}

TEST_CASE("daemons started during an outage join when the platform is back") {
  TestFleet Fleet;
  Fleet.SharedPlatform.Outage = true;
  Fleet.startAll();
  Fleet.Time.advance(60s);
  CHECK_FALSE(Fleet.converged());
  Fleet.SharedPlatform.Outage = false;
  Fleet.Time.advance(60s);
  CHECK(Fleet.converged());
}

TEST_CASE("endpoints follow registration, draining and leaving") {
  TestFleet Fleet;
  Fleet.startAll();
  Fleet.Time.advance(15s);
  auto EndpointCount = [&] {
    return Fleet.Daemons[7].Members->endpoints("quote").size();
  };
  BackendServer Server = {{"10.0.0.1", 8000}, "quote", "v1", 10, false};
  auto &Registrations =
      Fleet.Daemons[0].Services->find<ServerRegistrations>("announcements");
  Registrations.announce(Server, Fleet.Time.now());
  Fleet.Time.advance(1s);
  CHECK(EndpointCount() == 1);
  Server.Draining = true;
  Registrations.announce(Server, Fleet.Time.now());
  Fleet.Time.advance(1s);
  CHECK(EndpointCount() == 0);
  Server.Draining = false;
  Registrations.announce(Server, Fleet.Time.now());
  Fleet.Time.advance(1s);
  CHECK(EndpointCount() == 1);
  Fleet.Daemons[0].Members->leave();
  Fleet.Time.advance(1s);
  CHECK(EndpointCount() == 0);
  Registrations.announce(Server, Fleet.Time.now());
  Fleet.Time.advance(1s);
  CHECK(EndpointCount() == 0);
}

TEST_CASE("a revised seed list drops unreachable members and adds the daemon") {
  MemberList KnownMembers;
  Member Reachable;
  Reachable.Id = "live";
  Reachable.Peer = {"10.0.0.9", 1};
  KnownMembers.merge(Reachable);
  std::vector<Address> Listed = {{"10.0.0.9", 1}, {"10.0.0.8", 1}};
  Address Self = {"10.0.0.7", 1};
  CHECK(*revisedSeedList(Listed, Self, &KnownMembers) ==
        std::vector<Address>{{"10.0.0.9", 1}, Self});
  CHECK(revisedSeedList(Listed, Self, nullptr)->size() == 3);
  CHECK(decodeSeedList("nonsense").empty());
  CHECK(decodeSeedList("[1, \"x\", \"10.0.0.9:1\"]").size() == 1);
}
