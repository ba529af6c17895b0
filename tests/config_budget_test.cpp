#include "cyclamenwind/store/budget.h"
#include "testing/fake_platform.h"
#include "testing/virtual_time.h"

#include <catch2/catch.hpp>

using namespace cyclamenwind;
using namespace cyclamenwind::testing;

namespace {

struct Fixture {
  VirtualTime Time;
  Random Rng{1};
  FakePlatform Shared{Time, Rng};
  FakePlatformClient Inner{Shared};
  PlatformSettings Options{5.0, 20, 2s};
  BudgetedPlatformClient Client{Inner, Time, Time, Rng, Options};
};

} // namespace

TEST_CASE("calls stay within rate and burst, and late ones are refused") {
  Fixture With;
  int Refused = 0;
  int Ended = 0;
  for (int I = 0; I < 200; ++I)
    With.Client.read("meeting/a", [&](Result<PlatformObject, PlatformError> R) {
      ++Ended;
      Refused += R.error() == PlatformError::BudgetExhausted;
    });
  With.Time.advance(3s);
  CHECK(Ended == 200);
  CHECK(With.Client.sent() <= 20 + 2 * 5);
  CHECK(static_cast<uint64_t>(200 - Refused) == With.Client.sent());
}

TEST_CASE("a lease goes before the rest, which leaves it a reserve") {
  Fixture With;
  for (int I = 0; I < 100; ++I)
    With.Client.read("meeting/a", [](auto) {});
  bool Written = false;
  With.Client.write("relay/a/0", "x", 0, [&](auto R) { Written = bool(R); });
  With.Time.advance(10ms);
  CHECK(Written);
}

TEST_CASE("an unreachable platform is tried ever more rarely") {
  Fixture With;
  With.Shared.Outage = true;
  std::function<void()> Again = [&] {
    With.Client.read("meeting/a", [&](auto) { Again(); });
  };
  Again();
  With.Time.advance(60s);
  CHECK(With.Client.sent() < 80);
  uint64_t Before = With.Shared.Reads;
  With.Shared.Outage = false;
  With.Time.advance(4s);
  CHECK(With.Shared.Reads > Before);
}

TEST_CASE("a waiting watch takes one token") {
  Fixture With;
  With.Client.watch("config/", 0, 30s, [](auto) {});
  With.Time.advance(20s);
  CHECK(With.Client.sent() == 1);
}
