#include "cyclamenwind/mesh/mesh_balancer.h"

#include <catch2/catch.hpp>

using namespace cyclamenwind;
using namespace cyclamenwind::literals;

namespace {

const TimePoint Start = TimePoint(1000s);

class Fleet {
public:
  explicit Fleet(const std::vector<std::string> &Domains) : Rng(5) {
    for (size_t I = 0; I < Domains.size(); ++I) {
      MeshEndpoint Each;
      Each.Id = "s" + std::to_string(I);
      Each.Service = "quote";
      Each.FailureDomain = Domains[I];
      Each.Slots = 9;
      Servers.push_back(Each);
    }
    for (const MeshEndpoint &Each : Servers)
      Candidates.push_back(&Each);
  }

  // How often each server is chosen, at the times given by Step.
  std::map<std::string, int> choices(int Count, TimePoint Now,
                                     Duration Objective = 600ms) {
    std::map<std::string, int> Result;
    for (int I = 0; I < Count; ++I)
      ++Result[Chooser.choose(Candidates, {}, Objective, Now)->Id];
    return Result;
  }

  Random Rng;
  MeshBalancer Chooser{"a", Rng};
  std::vector<MeshEndpoint> Servers;
  std::vector<const MeshEndpoint *> Candidates;
};

EndpointLoad report(Duration ServiceTime, int Running = 0, int Queued = 0,
                    double Failures = 0) {
  return {Running, Queued, 9, ServiceTime, Failures};
}

} // namespace

TEST_CASE("requests stay in their failure domain while it is fast enough") {
  Fleet Known({"a", "b", "b"});
  for (const MeshEndpoint &Each : Known.Servers)
    Known.Chooser.reported(Each.Id, report(100ms), Start);
  CHECK(Known.choices(200, Start)["s0"] == 200);
  Known.Chooser.reported("s0", report(100ms, 9, 40), Start);
  CHECK(Known.choices(200, Start)["s0"] == 0);
}

TEST_CASE("slow server: requests go where they end sooner, and back when the "
          "report is old") {
  Fleet Known({"a", "b"});
  Known.Chooser.reported("s0", report(900ms), Start);
  Known.Chooser.reported("s1", report(100ms), Start);
  CHECK(Known.choices(100, Start)["s1"] == 100);
  CHECK(Known.choices(100, Start + 20s)["s0"] > 90);
}

TEST_CASE("failing fast: a server that sheds quickly attracts nothing") {
  Fleet Known({"a", "a", "a"});
  Known.Chooser.reported("s0", report(1ms, 0, 0, 0.6), Start);
  Known.Chooser.reported("s1", report(60ms), Start);
  Known.Chooser.reported("s2", report(60ms), Start);
  CHECK(Known.choices(300, Start)["s0"] < 300 / 3);
  CHECK(Known.Chooser.failureShare("s0", Start) == Approx(0.6));
}

TEST_CASE("a server that joins gets a request soon") {
  Fleet Known({"a", "a", "a"});
  Known.Chooser.reported("s0", report(60ms), Start);
  Known.Chooser.reported("s1", report(60ms), Start);
  CHECK(Known.choices(50, Start)["s2"] > 0);
}

TEST_CASE("unreachable servers come last but are a way out") {
  Fleet Known({"a", "b"});
  Known.Chooser.avoid("s0", 1s, Start);
  CHECK(Known.choices(50, Start)["s0"] == 0);
  CHECK(Known.choices(50, Start)["s1"] == 50);
  Known.Chooser.avoid("s1", 1s, Start);
  std::map<std::string, int> LastResort = Known.choices(50, Start);
  CHECK(LastResort["s0"] > 0);
  CHECK(LastResort["s0"] + LastResort["s1"] == 50);
  Known.Chooser.regained("s0");
  CHECK(Known.choices(50, Start)["s0"] == 50);
  CHECK(Known.Chooser.choose(Known.Candidates, {}, 600ms, Start) != nullptr);
  CHECK(Known.Chooser.choose(Known.Candidates, {"s0", "s1"}, 600ms, Start) ==
        nullptr);
}

TEST_CASE("burst from one daemon spreads over servers of its own domain") {
  Fleet Known({"a", "a", "a"});
  for (const MeshEndpoint &Each : Known.Servers)
    Known.Chooser.reported(Each.Id, report(100ms), Start);
  std::map<std::string, int> Count;
  for (int I = 0; I < 27; ++I) {
    const MeshEndpoint *Chosen =
        Known.Chooser.choose(Known.Candidates, {}, 600ms, Start);
    Known.Chooser.began(Chosen->Id);
    ++Count[Chosen->Id];
  }
  for (const MeshEndpoint &Each : Known.Servers)
    CHECK(Count[Each.Id] >= 6);
}
