// The membership service with meeting points and seeds, in virtual time.

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

struct Site {
  VirtualTime Time;
  Random Rng{21};
  FakePlatform Shared{Time, Rng};
  FakeNetwork Network{Time, Time, Rng};
  std::vector<Address> Seeds;
  std::vector<Daemon> Daemons = std::vector<Daemon>(DaemonCount);
  int64_t Incarnation = 1;

  ~Site() {
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
    Daemon &Made = Daemons[I];
    Made.Services = std::make_unique<Kernel>(Time, Time, Rng);
    auto Client = std::make_unique<FakePlatformClient>(Shared);
    auto Members = std::make_unique<Membership>(Options, Incarnation++);
    Made.Platform = Client.get();
    Made.Members = Members.get();
    Made.Services->add(std::move(Client));
    Made.Services->add(
        std::make_unique<FakePeers>(Network, Options.Addresses.Peers));
    Made.Services->add(std::make_unique<ServerRegistrations>(3s));
    Made.Services->add(std::move(Members));
    Made.Services->start();
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
    for (const Daemon &Each : Daemons)
      if (Each.Members->memberList().reachable().size() != DaemonCount)
        return false;
    return true;
  }
};

} // namespace

TEST_CASE("daemons meet through a bounded meeting point") {
  Site Subject;
  Subject.startAll();
  Subject.Time.advance(15s);
  CHECK(Subject.converged());
  for (const PlatformObject &Each :
       Subject.Shared.Store.list(SeedListPrefix).Objects)
    CHECK(decodeSeedList(Each.Value).size() <= 8);
  CHECK(Subject.Shared.Store.list(SeedListPrefix).Objects.size() ==
        DomainCount);
  uint64_t Writes = Subject.Shared.Writes;
  uint64_t Reads = Subject.Shared.Reads;
  Subject.Time.advance(600s);
  CHECK(Subject.Shared.Writes == Writes);
  CHECK(Subject.Shared.Reads - Reads <= DaemonCount * 4);
}

TEST_CASE("stale addresses in meeting points are replaced") {
  Site Subject;
  Subject.startAll();
  Subject.Time.advance(15s);
  for (size_t I = 0; I < DaemonCount; ++I)
    Subject.crash(I);
  Subject.startAll(/*Port=*/7101);
  Subject.Time.advance(40s);
  CHECK(Subject.converged());
  Subject.Time.advance(400s);
  for (const PlatformObject &Each :
       Subject.Shared.Store.list(SeedListPrefix).Objects)
    for (const Address &Listed : decodeSeedList(Each.Value))
      CHECK(Listed.Port == 7101);
}

TEST_CASE("with the platform down daemons join through seeds") {
  Site Subject;
  Subject.Seeds = {Site::addressOf(0, 7100), Site::addressOf(1, 7100)};
  Subject.Shared.Outage = true;
  Subject.startAll();
  Subject.Time.advance(40s);
  CHECK(Subject.converged());
}

TEST_CASE("daemons that started apart meet when the platform is back") {
  Site Subject;
  Subject.Shared.Outage = true;
  Subject.startAll();
  Subject.Time.advance(60s);
  CHECK_FALSE(Subject.converged());
  Subject.Shared.Outage = false;
  Subject.Time.advance(60s);
  CHECK(Subject.converged());
}

TEST_CASE("endpoints follow announcements, draining and leaving") {
  Site Subject;
  Subject.startAll();
  Subject.Time.advance(15s);
  auto Known = [&] {
    return Subject.Daemons[7].Members->endpoints("quote").size();
  };
  BackendServer Server = {{"10.0.0.1", 8000}, "quote", "v1", 10, false};
  auto &Local =
      Subject.Daemons[0].Services->find<ServerRegistrations>("announcements");
  Local.announce(Server, Subject.Time.now());
  Subject.Time.advance(1s);
  CHECK(Known() == 1);
  Server.Draining = true;
  Local.announce(Server, Subject.Time.now());
  Subject.Time.advance(1s);
  CHECK(Known() == 0);
  Server.Draining = false;
  Local.announce(Server, Subject.Time.now());
  Subject.Time.advance(1s);
  CHECK(Known() == 1);
  Subject.Daemons[0].Members->leave();
  Subject.Time.advance(1s);
  CHECK(Known() == 0);
  Local.announce(Server, Subject.Time.now());
  Subject.Time.advance(1s);
  CHECK(Known() == 0);
}

TEST_CASE("a revised meeting point drops the unreachable and adds itself") {
  MemberList Known;
  Member Live;
  Live.Id = "live";
  Live.Peer = {"10.0.0.9", 1};
  Known.merge(Live);
  std::vector<Address> Listed = {{"10.0.0.9", 1}, {"10.0.0.8", 1}};
  Address Self = {"10.0.0.7", 1};
  CHECK(*revisedSeedList(Listed, Self, &Known) ==
        std::vector<Address>{{"10.0.0.9", 1}, Self});
  CHECK(revisedSeedList(Listed, Self, nullptr)->size() == 3);
  CHECK(decodeSeedList("nonsense").empty());
  CHECK(decodeSeedList("[1, \"x\", \"10.0.0.9:1\"]").size() == 1);
}
