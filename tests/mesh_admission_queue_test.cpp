#include "cyclamenwind/mesh/admission_queue.h"

#include <catch2/catch.hpp>

#include <random>

using namespace cyclamenwind;
using namespace cyclamenwind::literals;

namespace {

const TimePoint Start = TimePoint(1000s);

QueuedRequest offer(RequestHandle Ticket, TimePoint Now,
                    Duration Objective = 600ms, int Priority = 1,
                    bool Nested = false) {
  std::string Route = "route" + std::to_string(Priority);
  return {Ticket,   Route,           Nested,
          Priority, Now + Objective, Now + 2 * Objective};
}

// Runs Count requests of Span one after the other, so that the queue knows how
// long a request takes.
void teach(AdmissionQueue &Queue, Duration Span, int Count = 50) {
  for (int I = 0; I < Count; ++I) {
    RequestHandle Ticket = 1000000 + static_cast<RequestHandle>(I);
    TimePoint Begun = Start - 10s;
    REQUIRE(Queue.offer(offer(Ticket, Begun), Begun) == QueueDecision::Run);
    Queue.finished(Ticket, true, Begun + Span);
  }
}

} // namespace

TEST_CASE("requests run up to the slots, then wait, then are refused") {
  AdmissionQueue Queue(2);
  teach(Queue, 200ms);
  CHECK(Queue.offer(offer(1, Start), Start) == QueueDecision::Run);
  CHECK(Queue.offer(offer(2, Start), Start) == QueueDecision::Run);
  int Queued = 0;
  for (RequestHandle I = 3; I < 50; ++I)
    Queued += Queue.offer(offer(I, Start), Start) == QueueDecision::Queued;
  // 400 ms of waiting at one request each 100 ms.
  CHECK(Queued >= 3);
  CHECK(Queued <= 4);
}

TEST_CASE("a request that cannot end in its objective is refused at once") {
  AdmissionQueue Queue(1);
  teach(Queue, 200ms);
  CHECK(Queue.offer(offer(1, Start), Start) == QueueDecision::Run);
  CHECK(Queue.offer(offer(2, Start, 300ms), Start) == QueueDecision::Refused);
  CHECK(Queue.offer(offer(3, Start, 500ms), Start) == QueueDecision::Queued);
}

TEST_CASE("calls inside requests go before new requests") {
  AdmissionQueue Queue(1);
  teach(Queue, 50ms);
  Queue.offer(offer(1, Start), Start);
  Queue.offer(offer(2, Start, 600ms, 0), Start);
  Queue.offer(offer(3, Start, 600ms, 5, /*Nested=*/true), Start);
  QueueActions Turns = Queue.finished(1, true, Start + 50ms);
  REQUIRE(Turns.Run.size() == 1);
  CHECK(Turns.Run[0] == 3);
}

TEST_CASE("waiting requests that can no longer end in time are refused") {
  AdmissionQueue Queue(1);
  teach(Queue, 100ms);
  Queue.offer(offer(1, Start), Start);
  REQUIRE(Queue.offer(offer(2, Start, 400ms), Start) == QueueDecision::Queued);
  CHECK(Queue.expire(Start + 200ms).Expired.empty());
  CHECK(Queue.expire(Start + 350ms).Expired == std::vector<RequestHandle>{2});
  CHECK(Queue.queued() == 0);
}

TEST_CASE("withdrawn requests free their place") {
  AdmissionQueue Queue(1);
  teach(Queue, 50ms);
  Queue.offer(offer(1, Start), Start);
  Queue.offer(offer(2, Start), Start);
  CHECK(Queue.withdraw(2));
  CHECK_FALSE(Queue.withdraw(2));
  CHECK(Queue.finished(1, true, Start + 50ms).Run.empty());
}

// Twice the capacity arrives for ten seconds, in two kinds.
TEST_CASE("sustained overload: the urgent kind is served and the other does "
          "not starve") {
  AdmissionQueue Queue(4);
  teach(Queue, 100ms);
  std::mt19937 Rng(7);
  std::map<RequestHandle, TimePoint> Ends;
  std::map<RequestHandle, int> Kind;
  int Offered[2] = {};
  int Served[2] = {};
  RequestHandle Next = 1;
  for (Duration At = 0ms; At < 10s; At += 5ms) {
    TimePoint Now = Start + At;
    std::vector<RequestHandle> OnDone;
    for (const auto &[Ticket, End] : Ends)
      if (End <= Now)
        OnDone.push_back(Ticket);
    for (RequestHandle Each : OnDone) {
      Ends.erase(Each);
      ++Served[Kind[Each]];
      for (RequestHandle Turn : Queue.finished(Each, true, Now).Run)
        Ends[Turn] = Now + 100ms;
    }
    // 40 requests a second are served; 80 arrive.
    if (At % 25ms == 0ms)
      for (int Priority = 0; Priority < 2; ++Priority) {
        RequestHandle Ticket = Next++;
        Kind[Ticket] = Priority;
        ++Offered[Priority];
        if (Queue.offer(offer(Ticket, Now, 500ms, Priority), Now) ==
            QueueDecision::Run)
          Ends[Ticket] = Now + 100ms;
      }
  }
  double Urgent = double(Served[0]) / Offered[0];
  double Other = double(Served[1]) / Offered[1];
  double All = double(Served[0] + Served[1]) / (Offered[0] + Offered[1]);
  CHECK(All > 0.45);
  CHECK(Urgent >= Other - 0.05);
  CHECK(Other >= All / 4);
}
