// Rate limits that backend servers name, and servers that say that they leave:
// the admission queue alone, and requests through several daemons in virtual
// time.

#include "testing/mesh_world.h"

#include <catch2/catch.hpp>

using namespace cyclamenwind;
using namespace cyclamenwind::literals;
using namespace cyclamenwind::testing;

namespace {

// The users' rule: in any 4 s, a server gets no more than one and a half times
// what its limit allows, and 5 requests.
constexpr Duration Window = 4s;
double allowed(double Limit) { return 1.5 * Limit * 4 + 5; }

size_t mostInWindow(const std::vector<TimePoint> &Times) {
  size_t Most = 0;
  for (size_t First = 0, Last = 0; Last < Times.size(); ++Last) {
    while (Times[Last] - Times[First] >= Window)
      ++First;
    Most = std::max(Most, Last - First + 1);
  }
  return Most;
}

// Offers a request every Interval for Length to a server with 9 slots that
// answers within 1 ms, and returns when requests started.
std::vector<TimePoint> startTimes(AdmissionQueue &Queue, TimePoint Start,
                                  Duration Interval, Duration Length) {
  std::vector<TimePoint> Result;
  std::vector<RequestHandle> Running;
  static RequestHandle Next = 1;
  for (TimePoint Now = Start; Now < Start + Length; Now += 1ms) {
    std::vector<RequestHandle> Ended;
    Ended.swap(Running);
    auto Begin = [&](const std::vector<RequestHandle> &Handles) {
      for (RequestHandle Handle : Handles) {
        Running.push_back(Handle);
        Result.push_back(Now);
      }
    };
    for (RequestHandle Handle : Ended)
      Begin(Queue.finished(Handle, true, Now).Run);
    if ((Now - Start) % Interval == 0ms) {
      RequestHandle Handle = Next++;
      if (Queue.offer({Handle, "read", false, 1, Now + 200ms, Now + 800ms},
                      Now) == QueueDecision::Run)
        Begin({Handle});
    }
    if ((Now - Start) % 25ms == 0ms) {
      Queue.expire(Now);
      Begin(Queue.startDue(Now).Run);
    }
  }
  return Result;
}

const TimePoint Start = TimePoint(1000s);

} // namespace

// Guards against servers that get more requests than the limit that they named.
TEST_CASE("a rate limit is used up under load and not exceeded in any 4 s") {
  double Limit = GENERATE(2.3, 10.8, 36.0, 73.0);
  AdmissionQueue Queue(9);
  Queue.limitRate(Limit, Start);
  std::vector<TimePoint> Times = startTimes(Queue, Start, 4ms, 30s);
  CHECK(static_cast<double>(mostInWindow(Times)) <= allowed(Limit));
  CHECK(static_cast<double>(Times.size()) >= 0.9 * Limit * 30);
  CHECK(static_cast<double>(Times.size()) <= 1.1 * Limit * 30 + 1);
}

TEST_CASE("a limit that each answer names anew does not refill") {
  AdmissionQueue Queue(9);
  std::vector<TimePoint> Times;
  TimePoint Now = Start;
  for (int I = 0; I < 400; ++I, Now += 20ms) {
    Queue.limitRate(10 + I % 2, Now);
    std::vector<TimePoint> Part = startTimes(Queue, Now, 5ms, 20ms);
    Times.insert(Times.end(), Part.begin(), Part.end());
  }
  CHECK(static_cast<double>(mostInWindow(Times)) <= allowed(10));
}

TEST_CASE("a server that takes nothing gets few requests, and all again when "
          "its limit ends") {
  AdmissionQueue Queue(9);
  Queue.limitRate(0, Start);
  std::vector<TimePoint> Times = startTimes(Queue, Start, 10ms, 20s);
  CHECK(mostInWindow(Times) <= 5);
  CHECK(Times.size() >= 5); // Its answers tell when the limit ends.
  Queue.limitRate(std::nullopt, Start + 20s);
  CHECK(startTimes(Queue, Start + 20s, 10ms, 1s).size() >= 100);
}

TEST_CASE("requests of several daemons stay within a server's limit, the other "
          "server gets the rest, and none runs twice") {
  MeshWorld World(4);
  for (int I = 1; I <= 4; ++I)
    World.Servers.ByHost["10.0.0." + std::to_string(I)].Work = 5ms;
  World.Servers.ByHost["10.0.0.2"].RateLimit = "5";
  World.Servers.ByHost["10.0.0.3"].RateLimit = "2.5";
  std::vector<std::shared_ptr<FakeExchange>> Sent;
  for (int I = 0; I < 2000; ++I) {
    if (I % 200 == 0)
      for (size_t Server = 0; Server < 4; ++Server)
        World.report(Server, 2 + I);
    Sent.push_back(World.request(I % 3 == 0 ? "/submit/1" : "/read/1",
                                 static_cast<size_t>(I % 4)));
    World.Time.advance(5ms);
  }
  World.Time.advance(2s);
  // A limit is known from the first answers on.
  auto Settled = [&](const std::string &Host) {
    std::vector<TimePoint> Times = World.Servers.ArrivalTimes[Host];
    std::erase_if(Times, [](TimePoint At) { return At < TimePoint(500ms); });
    return static_cast<double>(mostInWindow(Times));
  };
  CHECK(Settled("10.0.0.2") <= allowed(5));
  CHECK(Settled("10.0.0.3") <= allowed(2.5));
  CHECK(Settled("10.0.0.2") >= 10); // Its part is not left unused either.
  CHECK(World.maxRuns() == 1);
  int Served = 0;
  for (const auto &Received : Sent)
    Served += Received->Answer && Received->Answer->Status == 200;
  CHECK(Served >= 1990);
}

// Guards against a burst after a restart, before the server's first answer.
TEST_CASE(
    "a daemon that does not know its server's limit yet takes it from the "
    "senders") {
  MeshWorld World(1);
  bool Known = GENERATE(true, false);
  for (int I = 0; I < 2; ++I) {
    wire::ForwardRequest Message;
    Message.id = I;
    Message.instanceId = "i-1";
    Message.serviceName = "quote";
    Message.attemptId = "attempt-" + std::to_string(I);
    Message.method = "GET";
    Message.target = "/read/1";
    Message.remainingUs = 1000000;
    Message.objectiveUs = 400000;
    Message.knownLimitBorn = 1000;
    if (Known)
      Message.__set_knownRateLimit(1);
    World.Daemons[0].Inbound->submit(Message,
                                     [](const wire::ForwardReply &) {});
  }
  CHECK(World.Servers.Arrivals["10.0.0.1"] == (Known ? 1 : 2));
}

TEST_CASE("what another server at the address says does not concern this one") {
  MeshWorld World(1);
  Behaviour &Handling = World.Servers.ByHost["10.0.0.1"];
  Handling.Status = 421;
  Handling.RateLimit = "0";
  Handling.SaysLeaving = true;
  World.request("/read/1");
  World.Time.advance(100ms);
  Handling = {};
  int Before = World.Servers.Arrivals["10.0.0.1"];
  REQUIRE(Before >= 1);
  World.Time.advance(500ms);
  for (int I = 0; I < 4; ++I)
    World.request("/read/1");
  World.Time.advance(100ms);
  CHECK(World.Servers.Arrivals["10.0.0.1"] >= Before + 2);
}

TEST_CASE("an incarnation without a limit replaces one that named a limit") {
  MeshWorld World(1);
  World.Servers.ByHost["10.0.0.1"].RateLimit = "0";
  World.request("/read/1");
  World.Time.advance(100ms);
  World.Servers.ByHost["10.0.0.1"].RateLimit = "";
  ServerReport Report = World.reportOf(0, 1);
  Report.StartedAtMs = 2000;
  World.Daemons[0].Registry->report(Report, [] {});
  auto First = World.request("/read/1");
  auto Second = World.request("/read/1");
  World.Time.advance(100ms);
  CHECK(First->Answer);
  CHECK(Second->Answer);
  CHECK(World.Servers.Arrivals["10.0.0.1"] == 3);
}

// Guards against requests to a server that says in its answers that it leaves,
// although its report is late or the announcements are lost.
TEST_CASE("a server that says that it leaves gets no more requests from any "
          "daemon") {
  MeshWorld World(3);
  bool AnnouncementsLost = GENERATE(false, true);
  World.Servers.ByHost["10.0.0.2"].SaysLeaving = true;
  if (AnnouncementsLost)
    for (MeshWorld::Daemon &Each : World.Daemons)
      Each.Peers->handle(FrameType::EndpointAnnounce,
                         [](const Address &, std::string_view) {});
  World.Daemons[1].Inbound->OnServerLeaving =
      [Registry = World.Daemons[1].Registry](const std::string &Id) {
        Registry->serverSaysLeaving(Id);
      };
  for (int I = 0; I < 30; ++I) {
    World.request("/read/1", static_cast<size_t>(I % 3));
    World.Time.advance(50ms);
  }
  int Before = World.Servers.Arrivals["10.0.0.2"];
  CHECK(Before >= 1);
  CHECK(Before <= 3);
  // A report that was sent earlier does not bring it back.
  World.report(1, 5);
  for (int I = 0; I < 30; ++I) {
    auto Received = World.request("/submit/1", static_cast<size_t>(I % 3));
    World.Time.advance(50ms);
    REQUIRE(Received->Answer);
    CHECK(Received->Answer->Status == 200);
  }
  CHECK(World.Servers.Arrivals["10.0.0.2"] == Before);
  CHECK(World.Daemons[1].State->directory().find("i-2")->State ==
        EndpointState::Draining);
}

TEST_CASE(
    "limits that are no numbers, negative or out of range are no limits") {
  platform::PlatformHeaderCodec Codec;
  auto Limit = [&Codec](const std::string &Text) {
    return Codec.responseMetadata({200, {{"Server-Limit", Text}}, ""})
        .RateLimit;
  };
  CHECK(Limit("36.25") == 36.25);
  CHECK(Limit("0") == 0.0);
  for (const char *Text :
       {"", "-1", "nan", "inf", "1e999", "many", "5 a second", "0x10"})
    CHECK_FALSE(Limit(Text));
}
