#include "cyclamenwind/mesh/rollout.h"

#include <catch2/catch.hpp>

using namespace cyclamenwind;
using namespace cyclamenwind::literals;

namespace {

const TimePoint Start = TimePoint(1000s);
const RolloutOrder Order = {"quote", "v2", 16s};

OutcomeTable table(const OutcomeCounts &New, const OutcomeCounts &Old,
                   const std::string &Route = "submit") {
  return {{{"quote", "v2", Route}, New}, {{"quote", "v1", Route}, Old}};
}

MeshEndpoint server(const std::string &Id, const std::string &Version,
                    int64_t Born) {
  MeshEndpoint Value;
  Value.Id = Id;
  Value.Service = "quote";
  Value.Version = Version;
  Value.Born = Born;
  return Value;
}

// Plays a rollout whose version has Verdict from BadFrom on; the statuses.
std::vector<RolloutStatus> play(Duration BadFrom, int ReadyServers = 3) {
  RolloutTable Book;
  uint64_t Revision = 1;
  Book.update(Order, std::nullopt, Revision, Start);
  std::vector<RolloutStatus> Result;
  for (Duration At = 0ms; At <= Order.Within; At += 200ms) {
    RolloutEvidence Evidence{At >= BadFrom ? VersionVerdict::Bad
                                           : VersionVerdict::Good,
                             ReadyServers, 3};
    std::optional<RolloutStatus> Next =
        planRollout(*Book.find("quote"), Evidence, Start + At);
    if (!Next)
      continue;
    Result.push_back(*Next);
    Book.update(Order, Next, ++Revision, Start + At);
  }
  return Result;
}

} // namespace

TEST_CASE("a good version is completed before its deadline, after all requests "
          "go to it") {
  std::vector<RolloutStatus> Steps = play(1h);
  REQUIRE(Steps.size() >= 3);
  CHECK(Steps.back().State == RolloutState::Completed);
  CHECK(Steps.back().Elapsed < Order.Within - 1s);
  const RolloutStatus &Before = Steps[Steps.size() - 2];
  CHECK(Before.Share == 1);
  CHECK(Steps.back().Elapsed - Before.Elapsed >= 1500ms);
}

TEST_CASE("the first steps stay below the share that a bad version may get") {
  double Exposed = 0;
  Duration Last{};
  double Share = 0;
  for (const RolloutStatus &Each : play(1h)) {
    if (Each.Elapsed > 6s)
      break;
    Exposed +=
        Share * std::chrono::duration<double>(Each.Elapsed - Last).count();
    Last = Each.Elapsed;
    Share = Each.Share;
  }
  CHECK(Exposed / 16 < 0.1);
}

TEST_CASE("a version that turns bad is taken back, whenever it does") {
  for (Duration From = 0ms; From < 12s; From += 700ms) {
    std::vector<RolloutStatus> Steps = play(From);
    CHECK(Steps.back().State == RolloutState::RolledBack);
    CHECK(Steps.back().Elapsed <= From + 200ms);
  }
}

TEST_CASE("a version whose servers never come is taken back in time") {
  std::vector<RolloutStatus> Steps = play(1h, /*ReadyServers=*/0);
  CHECK(Steps.back().State == RolloutState::RolledBack);
  CHECK(Steps.back().Elapsed < Order.Within);
}

TEST_CASE("no version is decided twice") {
  Rollout Present;
  Present.Order = Order;
  Present.Begun = Start;
  Present.Recorded = RolloutStatus{RolloutState::RolledBack, "v2", 0, 3s};
  CHECK_FALSE(planRollout(Present, {VersionVerdict::Good, 3, 3}, Start + 9s));
}

TEST_CASE("failures are compared with the other versions of the service") {
  CHECK(judgeVersion(table({10, 5, 0}, {200, 2, 0}), "quote", "v2") ==
        VersionVerdict::Bad);
  CHECK(judgeVersion(table({10, 2, 0}, {200, 2, 0}), "quote", "v2") ==
        VersionVerdict::Undecided);
  // A shared cause makes both fail.
  CHECK(judgeVersion(table({40, 16, 0}, {200, 80, 0}), "quote", "v2") ==
        VersionVerdict::Good);
}

TEST_CASE("one route that fails makes a version bad") {
  OutcomeTable Table = table({100, 0, 0}, {500, 2, 0});
  Table[{"quote", "v2", "verify"}] = {6, 4, 0};
  Table[{"quote", "v1", "verify"}] = {60, 0, 0};
  CHECK(judgeVersion(Table, "quote", "v2") == VersionVerdict::Bad);
}

TEST_CASE("a version that is several times slower is bad") {
  CHECK(judgeVersion(table({10, 0, 10 * 600000}, {100, 0, 100 * 80000}),
                     "quote", "v2") == VersionVerdict::Bad);
  CHECK(judgeVersion(table({40, 0, 40 * 120000}, {100, 0, 100 * 80000}),
                     "quote", "v2") == VersionVerdict::Good);
}

TEST_CASE("requests go to the versions that the recorded status names") {
  RolloutTable Book;
  Random Rng(3);
  MeshEndpoint Old = server("old", "v1", 100);
  MeshEndpoint New = server("new", "v2", 200);
  std::vector<const MeshEndpoint *> Ready = {&Old, &New};
  auto Only = [&] {
    std::vector<const MeshEndpoint *> Chosen =
        Book.eligible("quote", Ready, Rng);
    return Chosen.size() == 1 ? Chosen[0]->Id : "several";
  };
  CHECK(Only() == "old"); // Started, but its order is not known here.
  Book.update(Order, std::nullopt, 1, Start);
  CHECK(Only() == "old");
  CHECK_FALSE(Book.allowed("quote", "v2"));
  Book.update(Order, RolloutStatus{RolloutState::Running, "v2", 1, 9s}, 2,
              Start);
  CHECK(Only() == "new");
  Book.update(Order, RolloutStatus{RolloutState::Completed, "v2", 1, 13s}, 3,
              Start);
  CHECK(Only() == "new");
  // An earlier status that arrives late changes nothing.
  Book.update(Order, RolloutStatus{RolloutState::Running, "v2", 0.1, 1s}, 2,
              Start);
  CHECK(Only() == "new");
}

// A fault that shows only at a server's usual load has to show while few
// requests go to the version.
TEST_CASE(
    "bad under load: a small share loads a few new servers as much as all "
    "requests would load all of them") {
  std::vector<MeshEndpoint> Servers;
  for (int I = 0; I < 48; ++I)
    Servers.push_back(server("i-" + std::to_string(I), I < 24 ? "v1" : "v2",
                             I < 24 ? 100 : 200));
  std::vector<const MeshEndpoint *> Ready;
  for (const MeshEndpoint &Each : Servers)
    Ready.push_back(&Each);
  for (double Share : {0.05, 0.08, 0.25, 0.55, 1.0}) {
    // Daemons that draw differently load the same servers.
    std::map<std::string, int> Requests;
    constexpr int Sent = 24000;
    for (uint64_t Daemon = 1; Daemon <= 6; ++Daemon) {
      RolloutTable Book;
      Random Rng(Daemon);
      Book.update(Order, RolloutStatus{RolloutState::Running, "v2", Share, 2s},
                  2, Start);
      for (int I = 0; I < Sent / 6; ++I) {
        std::vector<const MeshEndpoint *> Chosen =
            Book.eligible("quote", Ready, Rng);
        if (Chosen.front()->Version == "v2")
          ++Requests[Chosen[size_t(I) % Chosen.size()]->Id];
      }
    }
    INFO("share " << Share);
    int Total = 0;
    for (const auto &[Id, Count] : Requests) {
      Total += Count;
      // All requests to all 24 would be 1,000 each.
      CHECK(Count >= 500);
      CHECK(Count <= 1150);
    }
    CHECK(Total == Approx(Share * Sent).epsilon(0.1));
  }
}

TEST_CASE("a version that this daemon saw to be bad gets nothing more") {
  RolloutTable Book;
  Random Rng(3);
  MeshEndpoint Old = server("old", "v1", 100);
  MeshEndpoint New = server("new", "v2", 200);
  Book.update(Order, RolloutStatus{RolloutState::Running, "v2", 1, 9s}, 2,
              Start);
  Book.suspend("quote");
  CHECK_FALSE(Book.allowed("quote", "v2"));
  Book.update(Order, RolloutStatus{RolloutState::Running, "v2", 1, 10s}, 3,
              Start);
  std::vector<const MeshEndpoint *> Chosen =
      Book.eligible("quote", {&Old, &New}, Rng);
  REQUIRE(Chosen.size() == 1);
  CHECK(Chosen[0]->Id == "old");
}
