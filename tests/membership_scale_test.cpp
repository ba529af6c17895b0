// The membership at the target size; apart from the others since it takes long
// under sanitizers.

#include "testing/member_fleet.h"

#include <catch2/catch.hpp>

using namespace cyclamenwind;
using namespace cyclamenwind::testing;

namespace {

// From the brief: no new work for a dead server after this.
constexpr Duration RemovalBound = 3s;

} // namespace

TEST_CASE("a fleet of the target size removes a dead member in time") {
  MemberFleet Fleet(1100, 6, 17);
  Fleet.startTogether();
  Fleet.crash(500);
  CHECK(Fleet.until([&] { return Fleet.users(500) == 0; }, 5s) <= RemovalBound);
}
