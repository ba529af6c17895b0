#include "testing/config_fleet.h"

#include <catch2/catch.hpp>

using namespace cyclamenwind;
using namespace cyclamenwind::testing;

namespace {

constexpr Duration Target = 3s;

void requireClean(const ConfigFleet &Fleet) {
  INFO(Fleet.traceText());
  REQUIRE(Fleet.Violations.empty());
}

void requireInForce(ConfigFleet &Fleet) {
  std::optional<Duration> Taken = Fleet.settle(Target);
  INFO(Fleet.traceText());
  REQUIRE(Taken);
  requireClean(Fleet);
}

// A fleet with a first version in force.
void begin(ConfigFleet &Fleet) {
  Fleet.run(5s);
  Fleet.accept(0);
  Fleet.run(100ms);
  requireInForce(Fleet);
}

// One random fault or change.
void disturb(ConfigFleet &Fleet) {
  size_t Host = Fleet.Rng.below(Fleet.Hosts.size());
  switch (Fleet.Rng.below(12)) {
  case 0:
    Fleet.crash(Host);
    break;
  case 1:
    Fleet.start(Host);
    break;
  case 2:
    Fleet.pause(Host, true);
    break;
  case 3:
    Fleet.pause(Host, false);
    break;
  case 4:
    Fleet.Platform.Outage = !Fleet.Platform.Outage;
    Fleet.note(Fleet.Platform.Outage ? "outage" : "platform back");
    break;
  case 5:
    Fleet.Platform.LoseAnswers = 1;
    break;
  case 6:
    Fleet.cutOffPlatform(Host, !Fleet.Hosts[Host].CutOff);
    break;
  case 7:
    Fleet.cutOffDomain(Fleet.Rng.below(Fleet.Domains), Fleet.Rng.below(2) == 0);
    break;
  case 8:
    Fleet.Network.Delay = Duration(1ms) * (1 + Fleet.Rng.below(300));
    break;
  case 9:
    Fleet.Platform.Delay = Duration(1ms) * (1 + Fleet.Rng.below(500));
    break;
  default:
    Fleet.accept(Host);
  }
}

} // namespace

TEST_CASE("a change is in force everywhere, with few watchers") {
  ConfigFleet Fleet(1, 40, 4);
  begin(Fleet);
  Fleet.run(10s);
  CHECK(Fleet.relays() == 8);
  CHECK(Fleet.Platform.waiting() == 8);
  for (int I = 0; I < 5; ++I) {
    Fleet.accept(static_cast<size_t>(I) * 7);
    Fleet.run(100ms);
    requireInForce(Fleet);
  }
  CHECK(Fleet.Outcomes["accepted"] == 6);
}

TEST_CASE("steady load on the platform does not grow with the fleet") {
  auto CallsIn = [](size_t Hosts) {
    ConfigFleet Fleet(2, Hosts, 4);
    begin(Fleet);
    Fleet.run(15s);
    auto Calls = [&] {
      return Fleet.Platform.Reads + Fleet.Platform.Writes +
             Fleet.Platform.WatchCalls;
    };
    uint64_t Before = Calls();
    Fleet.run(20s);
    return Calls() - Before;
  };
  CHECK(CallsIn(80) <= CallsIn(16) * 5 / 4);
}

TEST_CASE("killed relays are replaced and changes still arrive in time") {
  ConfigFleet Fleet(3, 24, 3);
  begin(Fleet);
  Fleet.run(10s);
  for (size_t I = 0; I < Fleet.Hosts.size(); ++I)
    if (Fleet.Hosts[I].Process->Spread->isRelay(Fleet.Time.now()))
      Fleet.crash(I);
  Fleet.accept(23);
  Fleet.accept(22);
  Fleet.accept(21);
  Fleet.run(100ms);
  requireInForce(Fleet);
  Fleet.run(15s);
  CHECK(Fleet.relays() == 6);
}

TEST_CASE("a restarted process serves nothing older, platform up or away") {
  ConfigFleet Fleet(4, 12, 3);
  begin(Fleet);
  Fleet.run(5s);
  Fleet.crash(5);
  Fleet.accept(0);
  Fleet.run(100ms);
  requireInForce(Fleet);
  Fleet.start(5);
  requireInForce(Fleet);
  Fleet.Platform.Outage = true;
  Fleet.run(10s);
  Fleet.crash(7);
  Fleet.start(7);
  Fleet.run(5s);
  CHECK(Fleet.Hosts[7].Process->Store->version() == Fleet.newest());
  requireClean(Fleet);
}

TEST_CASE("a process alone in an outage refuses to serve") {
  ConfigFleet Fleet(5, 6, 2);
  begin(Fleet);
  Fleet.Platform.Outage = true;
  for (size_t I = 0; I < 6; ++I)
    Fleet.crash(I);
  for (size_t I = 0; I < 6; ++I)
    Fleet.start(I);
  Fleet.run(60s);
  for (const ConfigHost &Each : Fleet.Hosts)
    CHECK_FALSE(Each.Process->Store->current());
  Fleet.Platform.Outage = false;
  requireInForce(Fleet);
}

TEST_CASE("a version that does not parse is applied nowhere and reported") {
  ConfigFleet Fleet(6, 12, 3);
  begin(Fleet);
  Fleet.run(8s);
  uint64_t Before = Fleet.newest();
  PlatformObject Present = Fleet.Platform.Store.read("config/document").value();
  std::string Bad = Present.Value;
  Bad.replace(Bad.find("service-0"), 9, "service-9");
  Bad.replace(Bad.find("\"version\":1"), 11, "\"version\":2");
  REQUIRE(Fleet.Platform.Store.write("config/document", Bad, Present.Version));
  Fleet.Platform.wake();
  Fleet.Time.advance(5s);
  size_t Rejecting = 0;
  for (const ConfigHost &Each : Fleet.Hosts) {
    CHECK(Each.Process->Store->version() == Before);
    Rejecting += Each.Process->Spread->rejected() == 2;
  }
  CHECK(Rejecting == Fleet.relays());
}

TEST_CASE("standing says in force everywhere only when it is so") {
  ConfigFleet Fleet(7, 20, 4);
  begin(Fleet);
  Fleet.run(10s);
  auto Seen = [&](size_t Host) {
    MemberList None;
    return addUp(Fleet.Hosts[Host].Process->Spread->standing(Fleet.Time.now()),
                 None);
  };
  for (size_t Host : {0, 9, 19}) {
    FleetVersionCounts Sum = Seen(Host);
    CHECK(Sum.Counts[Fleet.newest()] == 20);
    CHECK(Sum.Unknown == 0);
  }
  Fleet.pause(13, true);
  Fleet.accept(0);
  Fleet.run(6s);
  FleetVersionCounts Sum = Seen(2);
  CHECK(Sum.Counts[Fleet.newest()] == 19);
  CHECK(Sum.Counts[Fleet.newest() - 1] + Sum.Unknown == 1);
  requireClean(Fleet);
}

TEST_CASE("seeded exploration of faults") {
  for (uint64_t Seed = 1; Seed <= 60; ++Seed) {
    ConfigFleet Fleet(Seed, 12, 3);
    Fleet.Platform.Spread = 10;
    begin(Fleet);
    for (int Step = 0; Step < 40; ++Step) {
      disturb(Fleet);
      Fleet.run(Fleet.Rng.below(20) * 100ms);
    }
    Fleet.heal();
    Fleet.run(200ms);
    INFO("seed " << Seed);
    requireInForce(Fleet);
    Fleet.accept(Fleet.Rng.below(12));
    Fleet.run(100ms);
    requireInForce(Fleet);
  }
}
