// Admission to one backend server, in virtual time.

#include "cyclamenwind/traffic/admission.h"

#include <catch2/catch.hpp>

using namespace cyclamenwind;

namespace {

constexpr int Slots = 4;
constexpr int QueueLimit = 8;
const TimePoint Start = TimePoint(100s);

struct Subject {
  Admission Gate{Slots, QueueLimit};
  AdmissionActions Actions;
  TimePoint Now = Start;
  AdmissionId NextId = 1;

  AdmissionVerdict offer(Priority Urgency, Duration Left) {
    return Gate.offer(NextId++, Urgency, Now + Left, Now, Actions);
  }

  // Fills the slots; their calls are 1 to Slots.
  void fill() {
    for (int I = 0; I < Slots; ++I)
      REQUIRE(offer(Priority::Normal, 10s) == AdmissionVerdict::Run);
  }
};

} // namespace

TEST_CASE("never more run than slots, never more wait than the limit") {
  Subject Server;
  Server.fill();
  for (int I = 0; I < 3 * QueueLimit; ++I) {
    Server.offer(Priority::Normal, 10s);
    CHECK(Server.Gate.running() <= Slots);
    CHECK(Server.Gate.queued() <= QueueLimit);
  }
}

TEST_CASE("the urgent run first and displace the least urgent") {
  Subject Server;
  Server.fill();
  for (int I = 0; I < QueueLimit; ++I)
    Server.offer(Priority::Background, 10s);
  CHECK(Server.offer(Priority::Background, 10s) == AdmissionVerdict::Refused);
  AdmissionId Urgent = Server.NextId;
  CHECK(Server.offer(Priority::Urgent, 10s) == AdmissionVerdict::Queued);
  CHECK(Server.Actions.Displaced.size() == 1);
  CHECK(Server.Gate.finished(1, Server.Now).Run ==
        std::vector<AdmissionId>{Urgent});
}

TEST_CASE("a call that cannot start in time is refused at once") {
  Subject Server;
  Server.fill();
  Server.Now += 100ms;
  for (AdmissionId Id = 1; Id <= Slots; ++Id)
    Server.Gate.finished(Id, Server.Now);
  Server.fill();
  for (int I = 0; I < 4; ++I)
    CHECK(Server.offer(Priority::Normal, 10s) == AdmissionVerdict::Queued);
  CHECK(Server.offer(Priority::Background, 50ms) == AdmissionVerdict::Refused);
  CHECK(Server.offer(Priority::Normal, 0ms) == AdmissionVerdict::Refused);
}

TEST_CASE("waiting calls without time left are refused, not run") {
  Subject Server;
  Server.fill();
  AdmissionId Late = Server.NextId;
  Server.offer(Priority::Normal, 20ms);
  Server.Now += 30ms;
  CHECK(Server.Gate.expire(Server.Now).Expired ==
        std::vector<AdmissionId>{Late});
  CHECK(Server.Gate.finished(1, Server.Now).Run.empty());
}

TEST_CASE("a background call is served in a stream of urgent ones") {
  Subject Server;
  Server.fill();
  AdmissionId Patient = Server.NextId;
  Server.offer(Priority::Background, 10s);
  std::vector<AdmissionId> Running = {1, 2, 3, 4};
  bool Served = false;
  for (int I = 0; I < 40 && !Served; ++I) {
    Server.offer(Priority::Urgent, 5s);
    AdmissionId Ended = Running.front();
    Running.erase(Running.begin());
    for (AdmissionId Id : Server.Gate.finished(Ended, Server.Now += 1ms).Run) {
      Running.push_back(Id);
      Served = Served || Id == Patient;
    }
  }
  CHECK(Served);
}

TEST_CASE("the limit falls while latency grows and comes back") {
  ConcurrencyLimit Limit(10);
  TimePoint Now = Start;
  for (int I = 0; I < 200; ++I)
    Limit.finished(5ms, 10, Now);
  CHECK(Limit.limit() == 10);
  for (int I = 0; I < 100; ++I)
    Limit.finished(50ms, 10, Now);
  CHECK(Limit.limit() < 8);
  CHECK(Limit.limit() >= 3);
  for (int I = 0; I < 300; ++I)
    Limit.finished(5ms, 10, Now);
  CHECK(Limit.limit() == 10);
  Limit.resize(1);
  for (int I = 0; I < 300; ++I)
    Limit.finished(I % 2 == 0 ? Duration(5ms) : Duration(5s), 1, Now);
  CHECK(Limit.limit() == 1);
}
