#include "cyclamenwind/mesh/rollout.h"

#include <catch2/catch.hpp>

using namespace cyclamenwind;
using namespace cyclamenwind::literals;

namespace {

const TimePoint Start = TimePoint(1000s);
const RolloutOrder Order = {"quote", "v2", 16s};

OutcomeTable outcomeTable(const OutcomeCounts &New, const OutcomeCounts &Old,
                          const std::string &Route = "submit") {
  return {{{"quote", "v2", Route}, New}, {{"quote", "v1", Route}, Old}};
}

MeshEndpoint server(const std::string &Id, const std::string &Version,
                    int64_t StartedAtMs) {
  MeshEndpoint Value;
  Value.Id = Id;
  Value.Service = "quote";
  Value.Version = Version;
  Value.StartedAtMs = StartedAtMs;
  return Value;
}

// Simulates a rollout whose version is bad from BadFrom on; returns the
// statuses.
std::vector<RolloutStatus> simulateRollout(Duration BadFrom,
                                           int ReadyServers = 3) {
  RolloutTable Table;
  uint64_t Revision = 1;
  Table.update(Order, std::nullopt, Revision, Start);
  std::vector<RolloutStatus> Result;
  for (Duration At = 0ms; At <= Order.TimeLimit; At += 200ms) {
    RolloutEvidence Evidence{At >= BadFrom ? VersionVerdict::Bad
                                           : VersionVerdict::Good,
                             ReadyServers, 3};
    std::optional<RolloutStatus> Next =
        planRollout(*Table.find("quote"), Evidence, Start + At);
    if (!Next)
      continue;
    Result.push_back(*Next);
    Table.update(Order, Next, ++Revision, Start + At);
  }
  return Result;
}

} // namespace

TEST_CASE("a good version is completed before its deadline, after all requests "
          "go to it") {
  std::vector<RolloutStatus> Steps = simulateRollout(1h);
  REQUIRE(Steps.size() >= 3);
  CHECK(Steps.back().State == RolloutState::Completed);
  CHECK(Steps.back().Elapsed < Order.TimeLimit - 1s);
  const RolloutStatus &Previous = Steps[Steps.size() - 2];
  CHECK(Previous.Share == 1);
  CHECK(Steps.back().Elapsed - Previous.Elapsed >= 1500ms);
}

TEST_CASE("the first steps stay below the share that a bad version may get") {
  double ExposedSeconds = 0;
  Duration Last{};
  double Share = 0;
  for (const RolloutStatus &Step : simulateRollout(1h)) {
    if (Step.Elapsed > 6s)
      break;
    ExposedSeconds +=
        Share * std::chrono::duration<double>(Step.Elapsed - Last).count();
    Last = Step.Elapsed;
    Share = Step.Share;
  }
  CHECK(ExposedSeconds / 16 < 0.1);
}

TEST_CASE("a version that turns bad at any time is rolled back") {
  for (Duration From = 0ms; From < 12s; From += 700ms) {
    std::vector<RolloutStatus> Steps = simulateRollout(From);
    CHECK(Steps.back().State == RolloutState::RolledBack);
    CHECK(Steps.back().Elapsed <= From + 200ms);
  }
}

TEST_CASE("a version whose servers never start is rolled back before the "
          "deadline") {
  std::vector<RolloutStatus> Steps = simulateRollout(1h, /*ReadyServers=*/0);
  CHECK(Steps.back().State == RolloutState::RolledBack);
  CHECK(Steps.back().Elapsed < Order.TimeLimit);
}

TEST_CASE("a rolled back rollout gets no further status") {
  Rollout Current;
  Current.Order = Order;
  Current.StartedAt = Start;
  Current.Recorded = RolloutStatus{RolloutState::RolledBack, "v2", 0, 3s};
  CHECK_FALSE(planRollout(Current, {VersionVerdict::Good, 3, 3}, Start + 9s));
}

TEST_CASE("failures are compared with the other versions of the service") {
  CHECK(analyzeVersion(outcomeTable({10, 5, 0}, {200, 2, 0}), "quote", "v2") ==
        VersionVerdict::Bad);
  CHECK(analyzeVersion(outcomeTable({10, 2, 0}, {200, 2, 0}), "quote", "v2") ==
        VersionVerdict::Undecided);
  // Both versions fail from a shared cause.
  CHECK(analyzeVersion(outcomeTable({40, 16, 0}, {200, 80, 0}), "quote",
                       "v2") == VersionVerdict::Good);
}

TEST_CASE("one failing route makes a version bad") {
  OutcomeTable Table = outcomeTable({100, 0, 0}, {500, 2, 0});
  Table[{"quote", "v2", "verify"}] = {6, 4, 0};
  Table[{"quote", "v1", "verify"}] = {60, 0, 0};
  CHECK(analyzeVersion(Table, "quote", "v2") == VersionVerdict::Bad);
}

TEST_CASE("a version that is several times slower is bad") {
  CHECK(
      analyzeVersion(outcomeTable({10, 0, 10 * 600000}, {100, 0, 100 * 80000}),
                     "quote", "v2") == VersionVerdict::Bad);
  CHECK(
      analyzeVersion(outcomeTable({40, 0, 40 * 120000}, {100, 0, 100 * 80000}),
                     "quote", "v2") == VersionVerdict::Good);
}

TEST_CASE("requests are sent to the versions that the recorded status allows") {
  RolloutTable Table;
  Random Rng(3);
  MeshEndpoint Old = server("old", "v1", 100);
  MeshEndpoint New = server("new", "v2", 200);
  std::vector<const MeshEndpoint *> Ready = {&Old, &New};
  auto OnlyEligible = [&] {
    std::vector<const MeshEndpoint *> Eligible =
        Table.eligibleServers("quote", Ready, Rng);
    return Eligible.size() == 1 ? Eligible[0]->Id : "several";
  };
  // v2 has started, but its order is not known yet.
  CHECK(OnlyEligible() == "old");
  Table.update(Order, std::nullopt, 1, Start);
  CHECK(OnlyEligible() == "old");
  CHECK_FALSE(Table.allowed("quote", "v2"));
  Table.update(Order, RolloutStatus{RolloutState::Running, "v2", 1, 9s}, 2,
               Start);
  CHECK(OnlyEligible() == "new");
  Table.update(Order, RolloutStatus{RolloutState::Completed, "v2", 1, 13s}, 3,
               Start);
  CHECK(OnlyEligible() == "new");
  // An earlier status that arrives late changes nothing.
  Table.update(Order, RolloutStatus{RolloutState::Running, "v2", 0.1, 1s}, 2,
               Start);
  CHECK(OnlyEligible() == "new");
}

// A fault that appears only at a server's usual load must appear while the new
// version gets few requests.
TEST_CASE("a small share loads a few new servers as much as all requests would "
          "load all of them") {
  std::vector<MeshEndpoint> Servers;
  for (int I = 0; I < 48; ++I)
    Servers.push_back(server("i-" + std::to_string(I), I < 24 ? "v1" : "v2",
                             I < 24 ? 100 : 200));
  std::vector<const MeshEndpoint *> Ready;
  for (const MeshEndpoint &Server : Servers)
    Ready.push_back(&Server);
  for (double Share : {0.05, 0.08, 0.25, 0.55, 1.0}) {
    // Daemons with different random numbers load the same servers.
    std::map<std::string, int> Requests;
    constexpr int Sent = 24000;
    for (uint64_t Daemon = 1; Daemon <= 6; ++Daemon) {
      RolloutTable Table;
      Random Rng(Daemon);
      Table.update(Order, RolloutStatus{RolloutState::Running, "v2", Share, 2s},
                   2, Start);
      for (int I = 0; I < Sent / 6; ++I) {
        std::vector<const MeshEndpoint *> Eligible =
            Table.eligibleServers("quote", Ready, Rng);
        if (Eligible.front()->Version == "v2")
          ++Requests[Eligible[size_t(I) % Eligible.size()]->Id];
      }
    }
    INFO("share " << Share);
    int Total = 0;
    for (const auto &[Id, Count] : Requests) {
      Total += Count;
      // If all requests went to all 24 servers, each would get 1,000.
      CHECK(Count >= 500);
      CHECK(Count <= 1150);
    }
    CHECK(Total == Approx(Share * Sent).epsilon(0.1));
  }
}

TEST_CASE("a version that this daemon found bad gets no more requests") {
  RolloutTable Table;
  Random Rng(3);
  MeshEndpoint Old = server("old", "v1", 100);
  MeshEndpoint New = server("new", "v2", 200);
  Table.update(Order, RolloutStatus{RolloutState::Running, "v2", 1, 9s}, 2,
               Start);
  Table.blockTarget("quote");
  CHECK_FALSE(Table.allowed("quote", "v2"));
  Table.update(Order, RolloutStatus{RolloutState::Running, "v2", 1, 10s}, 3,
               Start);
  std::vector<const MeshEndpoint *> Eligible =
      Table.eligibleServers("quote", {&Old, &New}, Rng);
  REQUIRE(Eligible.size() == 1);
  CHECK(Eligible[0]->Id == "old");
}
