#include "testing/config_fleet.h"

#include <catch2/catch.hpp>

using namespace cyclamenwind;
using namespace cyclamenwind::testing;

namespace {

constexpr Duration ApplyLimit = 3s;

void requireNoViolations(const ConfigFleet &Fleet) {
  INFO(Fleet.traceText());
  REQUIRE(Fleet.Violations.empty());
}

void requireAppliedEverywhere(ConfigFleet &Fleet) {
  std::optional<Duration> Elapsed = Fleet.runUntilApplied(ApplyLimit);
  INFO(Fleet.traceText());
  REQUIRE(Elapsed);
  requireNoViolations(Fleet);
}

// Accepts a first version and waits until it is applied everywhere.
void applyFirstVersion(ConfigFleet &Fleet) {
  Fleet.run(5s);
  Fleet.accept(0);
  Fleet.run(100ms);
  requireAppliedEverywhere(Fleet);
}

// Injects one random fault or accepts a change.
void injectFault(ConfigFleet &Fleet) {
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

TEST_CASE(
    "a change is applied everywhere, and only relays watch the platform") {
  ConfigFleet Fleet(1, 40, 4);
  applyFirstVersion(Fleet);
  Fleet.run(10s);
  CHECK(Fleet.relays() == 8);
  CHECK(Fleet.Platform.waiting() == 8);
  for (int I = 0; I < 5; ++I) {
    Fleet.accept(static_cast<size_t>(I) * 7);
    Fleet.run(100ms);
    requireAppliedEverywhere(Fleet);
  }
  CHECK(Fleet.Outcomes["accepted"] == 6);
}

TEST_CASE("steady load on the platform does not grow with the fleet") {
  auto CallsIn = [](size_t Hosts) {
    ConfigFleet Fleet(2, Hosts, 4);
    applyFirstVersion(Fleet);
    Fleet.run(15s);
    auto Calls = [&] {
      return Fleet.Platform.Reads + Fleet.Platform.Writes +
             Fleet.Platform.WatchCalls;
    };
    uint64_t CallsBefore = Calls();
    Fleet.run(20s);
    return Calls() - CallsBefore;
  };
  CHECK(CallsIn(80) <= CallsIn(16) * 5 / 4);
}

TEST_CASE("crashed relays are replaced and changes are applied within 3 s") {
  ConfigFleet Fleet(3, 24, 3);
  applyFirstVersion(Fleet);
  Fleet.run(10s);
  for (size_t I = 0; I < Fleet.Hosts.size(); ++I)
    if (Fleet.Hosts[I].Process->Distribution->isRelay(Fleet.Time.now()))
      Fleet.crash(I);
  Fleet.accept(23);
  Fleet.accept(22);
  Fleet.accept(21);
  Fleet.run(100ms);
  requireAppliedEverywhere(Fleet);
  Fleet.run(15s);
  CHECK(Fleet.relays() == 6);
}

TEST_CASE("a restarted process serves no older version, with and without the "
          "platform") {
  ConfigFleet Fleet(4, 12, 3);
  applyFirstVersion(Fleet);
  Fleet.run(5s);
  Fleet.crash(5);
  Fleet.accept(0);
  Fleet.run(100ms);
  requireAppliedEverywhere(Fleet);
  Fleet.start(5);
  requireAppliedEverywhere(Fleet);
  Fleet.Platform.Outage = true;
  Fleet.run(10s);
  Fleet.crash(7);
  Fleet.start(7);
  Fleet.run(5s);
  CHECK(Fleet.Hosts[7].Process->Store->version() == Fleet.newest());
  requireNoViolations(Fleet);
}

TEST_CASE("no process serves if all restart during an outage of the platform") {
  ConfigFleet Fleet(5, 6, 2);
  applyFirstVersion(Fleet);
  Fleet.Platform.Outage = true;
  for (size_t I = 0; I < 6; ++I)
    Fleet.crash(I);
  for (size_t I = 0; I < 6; ++I)
    Fleet.start(I);
  Fleet.run(60s);
  for (const ConfigHost &Host : Fleet.Hosts)
    CHECK_FALSE(Host.Process->Store->current());
  Fleet.Platform.Outage = false;
  requireAppliedEverywhere(Fleet);
}

TEST_CASE("an invalid version is applied nowhere and reported as rejected") {
  ConfigFleet Fleet(6, 12, 3);
  applyFirstVersion(Fleet);
  Fleet.run(8s);
  uint64_t PreviousVersion = Fleet.newest();
  PlatformObject Stored = Fleet.Platform.Store.read("config/document").value();
  std::string Invalid = Stored.Value;
  Invalid.replace(Invalid.find("service-0"), 9, "service-9");
  Invalid.replace(Invalid.find("\"version\":1"), 11, "\"version\":2");
  REQUIRE(
      Fleet.Platform.Store.write("config/document", Invalid, Stored.Version));
  Fleet.Platform.wake();
  Fleet.Time.advance(5s);
  size_t Rejecting = 0;
  for (const ConfigHost &Host : Fleet.Hosts) {
    CHECK(Host.Process->Store->version() == PreviousVersion);
    Rejecting += Host.Process->Distribution->rejectedVersion() == 2;
  }
  CHECK(Rejecting == Fleet.relays());
}

TEST_CASE("fleet versions show a version as applied everywhere only if all "
          "members applied it") {
  ConfigFleet Fleet(7, 20, 4);
  applyFirstVersion(Fleet);
  Fleet.run(10s);
  auto CountsAt = [&](size_t Host) {
    MemberList NoMembers;
    return countFleetVersions(
        Fleet.Hosts[Host].Process->Distribution->fleetVersions(
            Fleet.Time.now()),
        NoMembers);
  };
  for (size_t Host : {0, 9, 19}) {
    FleetVersionCounts Totals = CountsAt(Host);
    CHECK(Totals.Counts[Fleet.newest()] == 20);
    CHECK(Totals.Unknown == 0);
  }
  Fleet.pause(13, true);
  Fleet.accept(0);
  Fleet.run(6s);
  FleetVersionCounts Totals = CountsAt(2);
  CHECK(Totals.Counts[Fleet.newest()] == 19);
  CHECK(Totals.Counts[Fleet.newest() - 1] + Totals.Unknown == 1);
  requireNoViolations(Fleet);
}

TEST_CASE("random faults break no invariant, seeds 1 to 60") {
  for (uint64_t Seed = 1; Seed <= 60; ++Seed) {
    ConfigFleet Fleet(Seed, 12, 3);
    Fleet.Platform.Spread = 10;
    applyFirstVersion(Fleet);
    for (int Step = 0; Step < 40; ++Step) {
      injectFault(Fleet);
      Fleet.run(Fleet.Rng.below(20) * 100ms);
    }
    Fleet.heal();
    Fleet.run(200ms);
    INFO("seed " << Seed);
    requireAppliedEverywhere(Fleet);
    Fleet.accept(Fleet.Rng.below(12));
    Fleet.run(100ms);
    requireAppliedEverywhere(Fleet);
  }
}
