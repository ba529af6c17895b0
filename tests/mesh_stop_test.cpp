// Planned stops: every request that was read is answered before the process
// ends, wherever it is then, and a request that is said not to have run has
// not.

#include "testing/mesh_world.h"

#include <catch2/catch.hpp>

using namespace cyclamenwind;
using namespace cyclamenwind::literals;
using namespace cyclamenwind::testing;

namespace {

// Requests of one caller's daemon, with the answers that were given before the
// daemon's process ended.
struct Sent {
  std::string AttemptId;
  std::shared_ptr<FakeExchange> Exchange;
};

Sent send(MeshWorld &World, const std::string &Path, size_t From) {
  Sent Added;
  Added.Exchange = World.request(Path, From);
  Added.AttemptId =
      *findHeader(Added.Exchange->Request.Headers, "Cyclamenwind-Attempt-Id");
  return Added;
}

int countStatus(const std::vector<Sent> &Requests, int Status) {
  return static_cast<int>(
      std::count_if(Requests.begin(), Requests.end(), [&](const Sent &Each) {
        return Each.Exchange->Answer && Each.Exchange->Answer->Status == Status;
      }));
}

// Whether each request is answered, and those answered 503 have never run.
void checkAnswers(MeshWorld &World, const std::vector<Sent> &Requests) {
  World.Time.advance(5s);
  for (const Sent &Each : Requests) {
    REQUIRE(Each.Exchange->Answer);
    if (Each.Exchange->Answer->Status == 503) {
      CHECK(World.Servers.Runs[Each.AttemptId] == 0);
      CHECK(findHeader(Each.Exchange->Answer->Headers, "Retry-After"));
    }
  }
  CHECK(World.maxRuns() <= 2);
}

// Long requests on two slots, so that others wait. The server's daemon is that
// of Daemons[1]; its expected time of a request is known.
void loadServer(MeshWorld &World, Duration Work) {
  World.Daemons[0].Registry->leave("i-1", 1000, [] {});
  World.Servers.ByHost["10.0.0.2"].Work = Work;
  for (int I = 0; I < 30; ++I) {
    World.request("/read/train", 0);
    World.Time.advance(Work + 10ms);
  }
}

} // namespace

// Guards against a graceful stop that cuts requests which wait at another
// daemon and which no server has begun.
TEST_CASE(
    "the sender's daemon stops: requests that wait at the server's daemon "
    "are refused, those that run end") {
  MeshWorld World(2);
  loadServer(World, 100ms);
  std::vector<Sent> Requests;
  for (int I = 0; I < 8; ++I)
    Requests.push_back(send(World, I % 2 == 0 ? "/submit/1" : "/read/1", 0));
  World.Time.advance(10ms);
  // Two run until 100 ms, two more would until 200 ms.
  World.stopGracefully(0, 180ms);
  for (const Sent &Each : Requests)
    CHECK(Each.Exchange->Answer);
  CHECK(countStatus(Requests, 200) == 2);
  CHECK(countStatus(Requests, 503) == 6);
  checkAnswers(World, Requests);
}

TEST_CASE(
    "the sender's daemon stops: what cannot be served is refused at once, "
    "what can be is served") {
  MeshWorld World(2);
  loadServer(World, 100ms);
  std::vector<Sent> Requests;
  for (int I = 0; I < 8; ++I)
    Requests.push_back(send(World, "/submit/1", 0));
  World.Time.advance(5ms);
  World.Daemons[0].Outbound->answerBy(World.Time.now() + 280ms);
  World.Time.advance(10ms);
  CHECK(countStatus(Requests, 503) == 4);
  // A slot is free at 200 ms at the earliest, which is too late.
  World.Time.advance(140ms);
  Sent Late = send(World, "/submit/1", 0);
  World.Time.advance(10ms);
  REQUIRE(Late.Exchange->Answer);
  CHECK(Late.Exchange->Answer->Status == 503);
  World.Time.advance(110ms);
  CHECK(countStatus(Requests, 200) == 4);
  checkAnswers(World, Requests);
}

TEST_CASE(
    "the sender's daemon stops and its own server has a queue: the same") {
  MeshWorld World(1);
  World.Servers.ByHost["10.0.0.1"].Work = 100ms;
  for (int I = 0; I < 30; ++I) {
    World.request("/read/train", 0);
    World.Time.advance(110ms);
  }
  std::vector<Sent> Requests;
  for (int I = 0; I < 6; ++I)
    Requests.push_back(send(World, "/submit/1", 0));
  World.Time.advance(5ms);
  World.stopGracefully(0, 150ms);
  CHECK(countStatus(Requests, 200) == 2);
  CHECK(countStatus(Requests, 503) == 4);
  checkAnswers(World, Requests);
}

TEST_CASE(
    "the sender's daemon stops while the server's daemon is silent or the "
    "server works on: the caller is told that the outcome is unknown") {
  bool Silent = GENERATE(false, true);
  MeshWorld World(2);
  loadServer(World, 50ms);
  World.Servers.ByHost["10.0.0.2"].Work = 900ms;
  if (Silent)
    World.Network.silence({"10.0.0.1", 7000}, {"10.0.0.2", 7000});
  std::vector<Sent> Requests = {send(World, "/submit/1", 0),
                                send(World, "/read/1", 0)};
  World.Time.advance(10ms);
  World.stopGracefully(0, 400ms);
  CHECK(countStatus(Requests, 502) == 2);
  // The run of a request that is not idempotent is not broken off.
  World.Time.advance(2s);
  if (!Silent)
    CHECK(World.Servers.Runs[Requests[0].AttemptId] == 1);
  checkAnswers(World, Requests);
}

// Guards against requests that wait in the queue of a daemon that stops: their
// senders did not know that they had not run.
TEST_CASE("the server's daemon stops: requests that wait go to another server, "
          "or are refused as not run") {
  bool HasOther = GENERATE(false, true);
  MeshWorld World(3);
  if (!HasOther)
    World.Daemons[2].Registry->leave("i-3", 1000, [] {});
  loadServer(World, 100ms);
  std::vector<Sent> Requests;
  World.Servers.ByHost["10.0.0.2"].Work = 350ms;
  for (int I = 0; I < 8; ++I)
    Requests.push_back(send(World, I % 2 == 0 ? "/submit/1" : "/read/1", 0));
  World.Time.advance(5ms);
  World.stopGracefully(1, 150ms);
  World.Time.advance(600ms);
  for (const Sent &Each : Requests)
    REQUIRE(Each.Exchange->Answer);
  if (HasOther)
    CHECK(countStatus(Requests, 200) >= 4);
  else
    CHECK(countStatus(Requests, 503) >= 4);
  // A request that the server was running: unknown if it is not idempotent.
  for (const Sent &Each : Requests)
    if (Each.Exchange->Request.Target == "/submit/1" &&
        Each.Exchange->Answer->Status == 502)
      CHECK(World.Servers.Runs[Each.AttemptId] == 1);
  checkAnswers(World, Requests);
}

TEST_CASE("stops of several daemons overlap under load: all requests are "
          "answered, and what is refused has not run") {
  auto Seed = GENERATE(range(1, 31));
  MeshWorld World(4);
  Random Rng(static_cast<uint64_t>(Seed));
  for (int I = 1; I <= 4; ++I)
    World.Servers.ByHost["10.0.0." + std::to_string(I)].Work =
        Duration(20ms) * int(1 + Rng.below(12));
  std::vector<Sent> Requests;
  std::vector<bool> Stops(4);
  std::vector<TimePoint> EndsAt(4);
  for (int Step = 0; Step < 400; ++Step) {
    for (size_t I = 0; I < 4; ++I) {
      MeshWorld::Daemon &Each = World.Daemons[I];
      if (!Each.Services)
        continue;
      if (!Stops[I] && I != 3 && Rng.below(150) == 0) {
        Stops[I] = true;
        EndsAt[I] = World.Time.now() + Duration(10ms) * int(Rng.below(80));
        Each.Inbound->answerBy(EndsAt[I]);
        Each.Outbound->answerBy(EndsAt[I]);
      } else if (Stops[I] && World.Time.now() >= EndsAt[I]) {
        Each.Inbound->endAll();
        Each.Outbound->answerAll();
        CHECK(Each.Outbound->active() == 0);
        CHECK(Each.Inbound->active() == 0);
        World.Time.advance(5ms);
        World.kill(I);
        continue;
      }
      if (Rng.below(2) == 0)
        Requests.push_back(
            send(World, Rng.below(2) == 0 ? "/submit/1" : "/read/1", I));
    }
    World.Time.advance(5ms);
  }
  checkAnswers(World, Requests);
  for (const Sent &Each : Requests)
    if (Each.Exchange->Request.Target == "/submit/1")
      CHECK(World.Servers.Runs[Each.AttemptId] <= 1);
}
