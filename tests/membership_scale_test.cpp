// MemberProtocol at the target fleet size; a separate program, since it runs
// long under sanitizers.

#include "testing/member_fleet.h"

#include <catch2/catch.hpp>

using namespace cyclamenwind;
using namespace cyclamenwind::testing;

namespace {

// Requirement: a dead server receives no new calls after this time.
constexpr Duration RemovalBound = 3s;

} // namespace

TEST_CASE("a fleet of the target size removes a dead member in time") {
  MemberFleet Fleet(1100, 6, 17);
  Fleet.startConverged();
  Fleet.crash(500);
  CHECK(Fleet.runUntil([&] { return Fleet.countSendingTo(500) == 0; }, 5s) <=
        RemovalBound);
}
