// Tests the choice of endpoints with fixed seeds and given times, without
// sockets.

#include "cyclamenwind/traffic/balancer.h"
#include "cyclamenwind/traffic/subset.h"

#include <catch2/catch.hpp>

using namespace cyclamenwind;

namespace {

constexpr int Slots = 10;
const TimePoint Start = TimePoint(60s);

std::vector<Endpoint> endpoints(size_t Count, size_t Domains) {
  std::vector<Endpoint> List;
  for (size_t I = 0; I < Count; ++I)
    List.push_back({"m" + std::to_string(I),
                    {},
                    "d" + std::to_string(I % Domains),
                    "v1",
                    Slots,
                    false});
  return List;
}

struct BalancerFixture {
  Random Rng{5};
  Balancer EndpointBalancer{"self", "d0", Rng};
  std::vector<Endpoint> Servers;

  explicit BalancerFixture(size_t Count, size_t Domains = 1)
      : Servers(endpoints(Count, Domains)) {
    // All endpoints are listed until their slow start has ended.
    for (TimePoint Now{}; Now < Start; Now += 1s)
      EndpointBalancer.choose(Servers, "v1", {}, Now);
  }

  std::string pick(TimePoint Now, const std::set<std::string> &Tried = {}) {
    const Endpoint *Target = EndpointBalancer.choose(Servers, "v1", Tried, Now);
    return Target == nullptr ? "" : Target->MemberId;
  }

  std::map<std::string, int> picks(int Count, TimePoint Now) {
    std::map<std::string, int> Counts;
    for (int I = 0; I < Count; ++I)
      ++Counts[pick(Now)];
    return Counts;
  }

  void observe(const std::string &Id, int Count, int Status, Duration Latency,
               TimePoint Now) {
    for (int I = 0; I < Count; ++I)
      EndpointBalancer.recordOutcome({"s", "v1", Id}, CallOutcome::Answered,
                                     CallReason::None, Status, Latency, Now);
  }
};

} // namespace

TEST_CASE(
    "endpoints of the same failure domain are preferred until they are full") {
  BalancerFixture Fixture(8, 2);
  for (const auto &[Id, Count] : Fixture.picks(200, Start))
    CHECK((Id.back() - '0') % 2 == 0);
  for (int I = 0; I < 8; I += 2)
    for (int Call = 0; Call < Slots; ++Call)
      Fixture.EndpointBalancer.recordStart("m" + std::to_string(I));
  for (const auto &[Id, Count] : Fixture.picks(50, Start))
    CHECK(Count > 0);
  CHECK(Fixture.picks(400, Start)["m1"] > 0);
}

TEST_CASE("a daemon's own calls in flight are spread evenly") {
  BalancerFixture Fixture(5);
  std::map<std::string, int> InFlight;
  for (int I = 0; I < 40; ++I) {
    std::string Id = Fixture.pick(Start);
    Fixture.EndpointBalancer.recordStart(Id);
    ++InFlight[Id];
  }
  for (const auto &[Id, Count] : InFlight) {
    CHECK(Count >= 5);
    CHECK(Count <= 11);
  }
}

TEST_CASE("an outdated load report does not keep a server idle") {
  BalancerFixture Fixture(2);
  Fixture.EndpointBalancer.recordLoad("m0", {10, 20}, Start);
  CHECK(Fixture.picks(100, Start)["m0"] == 0);
  CHECK(Fixture.picks(100, Start + 1s)["m0"] > 20);
}

TEST_CASE("a failing server is ejected, returns, and is ejected for longer") {
  BalancerFixture Fixture(4);
  Fixture.observe("m1", 5, 500, 1ms, Start);
  CHECK(Fixture.picks(200, Start)["m1"] == 0);
  CHECK(Fixture.picks(200, Start + 4s)["m1"] == 0);
  TimePoint AfterEjection = Start + 14s;
  Fixture.pick(AfterEjection);
  CHECK(Fixture.picks(400, AfterEjection + 1s)["m1"] > 0);
  Fixture.observe("m1", 2, 500, 1ms, AfterEjection + 1s);
  CHECK(Fixture.picks(200, AfterEjection + 10s)["m1"] == 0);
}

TEST_CASE("a slow server is ejected unless all servers are slow") {
  BalancerFixture Fixture(4);
  for (const char *Id : {"m0", "m2", "m3"})
    Fixture.observe(Id, 30, 200, 5ms, Start);
  Fixture.observe("m1", 30, 200, 80ms, Start);
  CHECK(Fixture.picks(200, Start)["m1"] == 0);
  BalancerFixture AllSlow(4);
  for (const char *Id : {"m0", "m1", "m2", "m3"})
    AllSlow.observe(Id, 30, 200, 80ms, Start);
  CHECK(AllSlow.picks(400, Start).size() == 4);
}

TEST_CASE("refusals for lack of capacity do not eject a server") {
  BalancerFixture Fixture(3);
  for (int I = 0; I < 100; ++I)
    Fixture.EndpointBalancer.recordOutcome(
        {"s", "v1", "m1"}, CallOutcome::Refused, CallReason::QueueFull, 0, 1ms,
        Start);
  CHECK(Fixture.picks(300, Start)["m1"] > 0);
}

TEST_CASE("ejection always leaves an endpoint to choose") {
  uint64_t Seed = GENERATE(1, 2, 3, 4, 5);
  Random OutcomeRng(Seed);
  size_t Count = 1 + OutcomeRng.below(6);
  BalancerFixture Fixture(Count);
  TimePoint Now = Start;
  for (int I = 0; I < 500; ++I) {
    Now += 20ms;
    std::string Id = Fixture.pick(Now);
    REQUIRE_FALSE(Id.empty());
    Fixture.observe(Id, 1, OutcomeRng.below(3) == 0 ? 200 : 503, 1ms, Now);
  }
}

TEST_CASE("suspected members are used only if no other is left") {
  BalancerFixture Fixture(4);
  for (size_t I = 0; I < 3; ++I)
    Fixture.Servers[I].Suspected = true;
  CHECK(Fixture.picks(50, Start)["m3"] == 50);
  CHECK_FALSE(Fixture.pick(Start, {"m3"}).empty());
  Fixture.Servers[3].Suspected = true;
  CHECK(Fixture.picks(400, Start).size() == 4);
}

TEST_CASE("a new server receives an increasing share of calls") {
  BalancerFixture Fixture(4);
  Fixture.Servers.push_back({"new", {}, "d0", "v1", Slots, false});
  Fixture.pick(Start);
  int EarlyPicks = Fixture.picks(1000, Start + 100ms)["new"];
  for (TimePoint Now = Start; Now < Start + 11s; Now += 1s)
    Fixture.pick(Now);
  int LatePicks = Fixture.picks(1000, Start + 11s)["new"];
  CHECK(EarlyPicks < 50);
  CHECK(LatePicks > 150);
}

TEST_CASE("subsets are bounded, stable and evenly distributed") {
  std::vector<Endpoint> Servers = endpoints(200, 4);
  std::vector<const Endpoint *> All;
  for (const Endpoint &Server : Servers)
    All.push_back(&Server);
  std::map<std::string, int> SubsetsByMember;
  for (int Daemon = 0; Daemon < 1100; ++Daemon) {
    std::string Self = "daemon-" + std::to_string(Daemon);
    auto Subset = subsetFor(Self, "d" + std::to_string(Daemon % 4), All, 8, 8);
    REQUIRE(Subset.size() == 16);
    REQUIRE(Subset ==
            subsetFor(Self, "d" + std::to_string(Daemon % 4), All, 8, 8));
    for (const Endpoint *Member : Subset)
      ++SubsetsByMember[Member->MemberId];
  }
  for (const auto &[Id, Count] : SubsetsByMember)
    CHECK(Count <= 2 * 1100 * 16 / 200);
}
