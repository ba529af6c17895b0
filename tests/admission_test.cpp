// Tests Admission for one backend server, in virtual time.

#include "cyclamenwind/traffic/admission.h"

#include <catch2/catch.hpp>

using namespace cyclamenwind;

namespace {

constexpr int Slots = 4;
constexpr int QueueLimit = 8;
const TimePoint Start = TimePoint(100s);

struct AdmissionFixture {
  Admission AdmissionControl{Slots, QueueLimit};
  AdmissionActions Actions;
  TimePoint Now = Start;
  AdmissionId NextId = 1;

  AdmissionDecision tryAdmit(Priority CallPriority, Duration Left) {
    return AdmissionControl.tryAdmit(NextId++, CallPriority, Now + Left, Now,
                                     Actions);
  }

  // Fills the slots with the calls 1 to Slots.
  void fill() {
    for (int I = 0; I < Slots; ++I)
      REQUIRE(tryAdmit(Priority::Normal, 10s) == AdmissionDecision::Run);
  }
};

} // namespace

TEST_CASE(
    "running calls never exceed the slots, queued calls never the limit") {
  AdmissionFixture Fixture;
  Fixture.fill();
  for (int I = 0; I < 3 * QueueLimit; ++I) {
    Fixture.tryAdmit(Priority::Normal, 10s);
    CHECK(Fixture.AdmissionControl.running() <= Slots);
    CHECK(Fixture.AdmissionControl.queued() <= QueueLimit);
  }
}

TEST_CASE("urgent calls run first and displace the call of lowest priority") {
  AdmissionFixture Fixture;
  Fixture.fill();
  for (int I = 0; I < QueueLimit; ++I)
    Fixture.tryAdmit(Priority::Background, 10s);
  CHECK(Fixture.tryAdmit(Priority::Background, 10s) ==
        AdmissionDecision::Refused);
  AdmissionId UrgentCall = Fixture.NextId;
  CHECK(Fixture.tryAdmit(Priority::Urgent, 10s) == AdmissionDecision::Queued);
  CHECK(Fixture.Actions.Displaced.size() == 1);
  CHECK(Fixture.AdmissionControl.callFinished(1, Fixture.Now).Run ==
        std::vector<AdmissionId>{UrgentCall});
}

TEST_CASE("a call that would miss its deadline is refused at once") {
  AdmissionFixture Fixture;
  Fixture.fill();
  Fixture.Now += 100ms;
  for (AdmissionId Id = 1; Id <= Slots; ++Id)
    Fixture.AdmissionControl.callFinished(Id, Fixture.Now);
  Fixture.fill();
  for (int I = 0; I < 4; ++I)
    CHECK(Fixture.tryAdmit(Priority::Normal, 10s) == AdmissionDecision::Queued);
  CHECK(Fixture.tryAdmit(Priority::Background, 50ms) ==
        AdmissionDecision::Refused);
  CHECK(Fixture.tryAdmit(Priority::Normal, 0ms) == AdmissionDecision::Refused);
}

TEST_CASE("queued calls without time left are refused, not run") {
  AdmissionFixture Fixture;
  Fixture.fill();
  AdmissionId Late = Fixture.NextId;
  Fixture.tryAdmit(Priority::Normal, 20ms);
  Fixture.Now += 30ms;
  CHECK(Fixture.AdmissionControl.expire(Fixture.Now).Expired ==
        std::vector<AdmissionId>{Late});
  CHECK(Fixture.AdmissionControl.callFinished(1, Fixture.Now).Run.empty());
}

TEST_CASE("a background call does not starve behind urgent calls") {
  AdmissionFixture Fixture;
  Fixture.fill();
  AdmissionId BackgroundCall = Fixture.NextId;
  Fixture.tryAdmit(Priority::Background, 10s);
  std::vector<AdmissionId> Running = {1, 2, 3, 4};
  bool Served = false;
  for (int I = 0; I < 40 && !Served; ++I) {
    Fixture.tryAdmit(Priority::Urgent, 5s);
    AdmissionId Ended = Running.front();
    Running.erase(Running.begin());
    for (AdmissionId Id :
         Fixture.AdmissionControl.callFinished(Ended, Fixture.Now += 1ms).Run) {
      Running.push_back(Id);
      Served = Served || Id == BackgroundCall;
    }
  }
  CHECK(Served);
}

TEST_CASE("the concurrency limit falls while latency is high and recovers") {
  ConcurrencyLimit Limit(10);
  TimePoint Now = Start;
  for (int I = 0; I < 200; ++I)
    Limit.callFinished(5ms, 10, Now);
  CHECK(Limit.limit() == 10);
  for (int I = 0; I < 100; ++I)
    Limit.callFinished(50ms, 10, Now);
  CHECK(Limit.limit() < 8);
  CHECK(Limit.limit() >= 3);
  for (int I = 0; I < 300; ++I)
    Limit.callFinished(5ms, 10, Now);
  CHECK(Limit.limit() == 10);
  Limit.resize(1);
  for (int I = 0; I < 300; ++I)
    Limit.callFinished(I % 2 == 0 ? Duration(5ms) : Duration(5s), 1, Now);
  CHECK(Limit.limit() == 1);
}
