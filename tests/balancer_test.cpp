// The choice of the endpoint: seeds, present times, and no sockets.

#include "cyclamenwind/traffic/balancer.h"
#include "cyclamenwind/traffic/subset.h"

#include <catch2/catch.hpp>

using namespace cyclamenwind;

namespace {

constexpr int Slots = 10;
const TimePoint Warm = TimePoint(60s);

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

struct Subject {
  Random Rng{5};
  Balancer Balance{"self", "d0", Rng};
  std::vector<Endpoint> Servers;

  explicit Subject(size_t Count, size_t Domains = 1)
      : Servers(endpoints(Count, Domains)) {
    // Seen long enough to be warm.
    for (TimePoint Now{}; Now < Warm; Now += 1s)
      Balance.choose(Servers, "v1", {}, Now);
  }

  std::string pick(TimePoint Now, const std::set<std::string> &Tried = {}) {
    const Endpoint *Chosen = Balance.choose(Servers, "v1", Tried, Now);
    return Chosen == nullptr ? "" : Chosen->MemberId;
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
      Balance.observed({"s", "v1", Id}, CallOutcome::Answered, CallReason::None,
                       Status, Latency, Now);
  }
};

} // namespace

TEST_CASE("the same failure domain comes first and spills over when full") {
  Subject Choice(8, 2);
  for (const auto &[Id, Count] : Choice.picks(200, Warm))
    CHECK((Id.back() - '0') % 2 == 0);
  for (int I = 0; I < 8; I += 2)
    for (int Call = 0; Call < Slots; ++Call)
      Choice.Balance.begun("m" + std::to_string(I));
  for (const auto &[Id, Count] : Choice.picks(50, Warm))
    CHECK(Count > 0);
  CHECK(Choice.picks(400, Warm)["m1"] > 0);
}

TEST_CASE("load seen by calls keeps the servers even") {
  Subject Choice(5);
  std::map<std::string, int> InFlight;
  for (int I = 0; I < 40; ++I) {
    std::string Id = Choice.pick(Warm);
    Choice.Balance.begun(Id);
    ++InFlight[Id];
  }
  for (const auto &[Id, Count] : InFlight) {
    CHECK(Count >= 5);
    CHECK(Count <= 11);
  }
}

TEST_CASE("an old report of load does not keep a server idle") {
  Subject Choice(2);
  Choice.Balance.reported("m0", {10, 20}, Warm);
  CHECK(Choice.picks(100, Warm)["m0"] == 0);
  CHECK(Choice.picks(100, Warm + 1s)["m0"] > 20);
}

TEST_CASE(
    "a failing server is ejected, comes back, and is ejected for longer") {
  Subject Choice(4);
  Choice.observe("m1", 5, 500, 1ms, Warm);
  CHECK(Choice.picks(200, Warm)["m1"] == 0);
  CHECK(Choice.picks(200, Warm + 4s)["m1"] == 0);
  TimePoint Back = Warm + 14s;
  Choice.pick(Back);
  CHECK(Choice.picks(400, Back + 1s)["m1"] > 0);
  Choice.observe("m1", 2, 500, 1ms, Back + 1s);
  CHECK(Choice.picks(200, Back + 10s)["m1"] == 0);
}

TEST_CASE(
    "a slow server stands out; a service that is slow throughout does not") {
  Subject Choice(4);
  for (const char *Id : {"m0", "m2", "m3"})
    Choice.observe(Id, 30, 200, 5ms, Warm);
  Choice.observe("m1", 30, 200, 80ms, Warm);
  CHECK(Choice.picks(200, Warm)["m1"] == 0);
  Subject AllSlow(4);
  for (const char *Id : {"m0", "m1", "m2", "m3"})
    AllSlow.observe(Id, 30, 200, 80ms, Warm);
  CHECK(AllSlow.picks(400, Warm).size() == 4);
}

TEST_CASE("refusals for want of room do not eject") {
  Subject Choice(3);
  for (int I = 0; I < 100; ++I)
    Choice.Balance.observed({"s", "v1", "m1"}, CallOutcome::Refused,
                            CallReason::QueueFull, 0, 1ms, Warm);
  CHECK(Choice.picks(300, Warm)["m1"] > 0);
}

TEST_CASE("ejection never empties a service, whatever the outcomes") {
  uint64_t Seed = GENERATE(1, 2, 3, 4, 5);
  Random Fate(Seed);
  size_t Count = 1 + Fate.below(6);
  Subject Choice(Count);
  TimePoint Now = Warm;
  for (int I = 0; I < 500; ++I) {
    Now += 20ms;
    std::string Id = Choice.pick(Now);
    REQUIRE_FALSE(Id.empty());
    Choice.observe(Id, 1, Fate.below(3) == 0 ? 200 : 503, 1ms, Now);
  }
}

TEST_CASE("suspected members are used only if no other is left") {
  Subject Choice(4);
  for (size_t I = 0; I < 3; ++I)
    Choice.Servers[I].Suspected = true;
  CHECK(Choice.picks(50, Warm)["m3"] == 50);
  CHECK_FALSE(Choice.pick(Warm, {"m3"}).empty());
  Choice.Servers[3].Suspected = true;
  CHECK(Choice.picks(400, Warm).size() == 4);
}

TEST_CASE("a new server is given load little by little") {
  Subject Choice(4);
  Choice.Servers.push_back({"new", {}, "d0", "v1", Slots, false});
  Choice.pick(Warm);
  int Cold = Choice.picks(1000, Warm + 100ms)["new"];
  for (TimePoint Now = Warm; Now < Warm + 11s; Now += 1s)
    Choice.pick(Now);
  int Later = Choice.picks(1000, Warm + 11s)["new"];
  CHECK(Cold < 50);
  CHECK(Later > 150);
}

TEST_CASE("subsets are bounded, stable and even") {
  std::vector<Endpoint> Servers = endpoints(200, 4);
  std::vector<const Endpoint *> All;
  for (const Endpoint &Each : Servers)
    All.push_back(&Each);
  std::map<std::string, int> Chosen;
  for (int Daemon = 0; Daemon < 1100; ++Daemon) {
    std::string Self = "daemon-" + std::to_string(Daemon);
    auto Subset = subsetFor(Self, "d" + std::to_string(Daemon % 4), All, 8, 8);
    REQUIRE(Subset.size() == 16);
    REQUIRE(Subset ==
            subsetFor(Self, "d" + std::to_string(Daemon % 4), All, 8, 8));
    for (const Endpoint *Each : Subset)
      ++Chosen[Each->MemberId];
  }
  for (const auto &[Id, Count] : Chosen)
    CHECK(Count <= 2 * 1100 * 16 / 200);
}
