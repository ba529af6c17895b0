// Large and small writes on a slow link, in virtual time.

#include "cyclamenwind/base/egress_pacer.h"
#include "testing/virtual_time.h"

#include <catch2/catch.hpp>

#include <memory>

using namespace cyclamenwind;
using namespace cyclamenwind::literals;
using namespace cyclamenwind::testing;

namespace {

constexpr double LinkBytesPerSecond = 1250000; // 10 Mbit/s.

// A link that sends what it is given in order.
class SimulatedLink {
public:
  explicit SimulatedLink(VirtualTime &Time) : Time(Time) {}

  // Returns when the last of Bytes has been sent.
  TimePoint write(size_t Bytes) {
    FreeAt = std::max(FreeAt, Time.now()) +
             Duration(static_cast<int64_t>(double(Bytes) / LinkBytesPerSecond *
                                           1e6));
    return FreeAt;
  }

private:
  VirtualTime &Time;
  TimePoint FreeAt;
};

class Download final : public BulkWriter {
public:
  Download(SimulatedLink &Link, size_t Bytes) : Link(Link), Left(Bytes) {}

  size_t bytesLeft() const override { return Left; }
  Written writePiece(size_t MaxBytes) override {
    size_t Bytes = std::min(Left, MaxBytes);
    Left -= Bytes;
    SentAt = Link.write(Bytes);
    return {Bytes, Left > 0, false};
  }

  SimulatedLink &Link;
  size_t Left;
  TimePoint SentAt;
};

} // namespace

TEST_CASE("downloads to many callers: small answers do not wait behind them") {
  VirtualTime Time;
  SimulatedLink Link(Time);
  EgressPacer Pacer(Time, Time, LinkBytesPerSecond);
  constexpr size_t DownloadBytes = 540 * 1000;
  constexpr int Downloads = 5;
  std::vector<std::unique_ptr<Download>> All;
  for (int I = 0; I < Downloads; ++I) {
    All.push_back(std::make_unique<Download>(Link, DownloadBytes));
    Pacer.add(*All.back());
  }
  Duration LongestDelay{};
  size_t SmallBytes = 0;
  auto Done = [&] {
    return std::all_of(All.begin(), All.end(),
                       [](const auto &Each) { return Each->Left == 0; });
  };
  while (!Done() && Time.now() < TimePoint(10s)) {
    constexpr size_t Answer = 400;
    Pacer.charge(Answer);
    SmallBytes += Answer;
    LongestDelay = std::max(LongestDelay, Link.write(Answer) - Time.now());
    Time.advance(10ms);
  }
  REQUIRE(Done());
  // Without pacing the delay is that of all downloads together, 2.2 s. Two
  // pieces may be in the link's queue.
  INFO("longest delay of a small answer: " << milliseconds(LongestDelay)
                                           << " ms");
  CHECK(LongestDelay <= 30ms);
  double Bytes = double(Downloads * DownloadBytes + SmallBytes);
  Duration AtFullRate(static_cast<int64_t>(Bytes / LinkBytesPerSecond * 1e6));
  TimePoint LastSent;
  for (const auto &Each : All)
    LastSent = std::max(LastSent, Each->SentAt);
  // The pacer uses nine tenths of the rate; timers may be late by a piece.
  CHECK(LastSent <= TimePoint(AtFullRate * 5 / 4));
}

TEST_CASE("a short download does not wait for a long one") {
  VirtualTime Time;
  SimulatedLink Link(Time);
  EgressPacer Pacer(Time, Time, LinkBytesPerSecond);
  Download Long(Link, 5000 * 1000);
  Download Short(Link, 50 * 1000);
  Pacer.add(Long);
  Time.advance(100ms);
  Pacer.add(Short);
  Pacer.add(Short);
  Time.advance(200ms);
  CHECK(Short.Left == 0);
  CHECK(Long.Left > 0);
  Pacer.remove(Long);
  size_t Left = Long.Left;
  Time.advance(1s);
  CHECK(Long.Left == Left);
}

TEST_CASE("small writes above the link's rate delay large ones") {
  EgressBudget Budget(LinkBytesPerSecond);
  TimePoint Start(1000s);
  CHECK(Budget.timeUntilPiece(Start) == Duration::zero());
  Budget.charge(1250000, Start);
  CHECK(Budget.timeUntilPiece(Start) >= 1s);
  CHECK(Budget.timeUntilPiece(Start) <= 1200ms);
  CHECK(Budget.timeUntilPiece(Start + 1200ms) == Duration::zero());
}

TEST_CASE("more downloads than the link can send: most of those that are sent "
          "are in time") {
  VirtualTime Time;
  SimulatedLink Link(Time);
  EgressPacer Pacer(Time, Time, LinkBytesPerSecond);
  // Twice what the link can send; a download is of use for 800 ms.
  constexpr size_t Bytes = 90 * 1000;
  constexpr Duration Interval = 36ms;
  constexpr Duration Objective = 800ms;
  std::vector<std::pair<TimePoint, std::unique_ptr<Download>>> All;
  while (Time.now() < TimePoint(10s)) {
    if (Pacer.expectedWait(Bytes) + 80ms <= Objective) {
      All.emplace_back(Time.now(), std::make_unique<Download>(Link, Bytes));
      Pacer.add(*All.back().second);
    }
    Time.advance(Interval);
  }
  Time.advance(2s);
  size_t InTime = 0;
  for (const auto &[Added, Each] : All)
    InTime += Each->Left == 0 && Each->SentAt - Added <= Objective;
  INFO(InTime << " of " << All.size() << " in time");
  CHECK(InTime >= All.size() * 9 / 10);
  // What the link can send in ten seconds.
  CHECK(double(InTime * Bytes) >= 0.8 * 10 * LinkBytesPerSecond);
}

TEST_CASE("a long download ends although short ones keep coming") {
  VirtualTime Time;
  SimulatedLink Link(Time);
  EgressPacer Pacer(Time, Time, LinkBytesPerSecond);
  Download Long(Link, 2000 * 1000);
  Pacer.add(Long);
  std::vector<std::unique_ptr<Download>> Short;
  // Nearly all that the link can send.
  while (Long.Left > 0 && Time.now() < TimePoint(60s)) {
    Short.push_back(std::make_unique<Download>(Link, 90 * 1000));
    Pacer.add(*Short.back());
    Time.advance(80ms);
  }
  CHECK(Time.now() < TimePoint(20s));
}
