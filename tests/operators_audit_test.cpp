#include "cyclamenwind/operators/audit_trail.h"
#include "testing/fake_platform.h"
#include "testing/virtual_time.h"

#include <catch2/catch.hpp>

using namespace cyclamenwind;
using namespace cyclamenwind::testing;

namespace {

constexpr Duration Hour = std::chrono::hours(1);

uint64_t total(const AuditDay &Day) {
  uint64_t Sum = 0;
  for (const AuditSummary &Line : Day.lines())
    Sum += Line.Count;
  return Sum;
}

// Daemons that share one platform, each with its own trail.
struct Fleet {
  VirtualTime Time;
  Random Rng;
  FakePlatform Shared;
  std::vector<std::unique_ptr<Kernel>> Kernels;
  std::vector<AuditTrail *> Trails;
  std::vector<FakePlatformClient *> Clients;

  Fleet(uint64_t Seed, int Daemons) : Rng(Seed), Shared(Time, Rng) {
    Time.advance(std::chrono::hours(24 * 400));
    for (int I = 0; I < Daemons; ++I) {
      auto Client = std::make_unique<FakePlatformClient>(Shared);
      auto Trail = std::make_unique<AuditTrail>();
      Clients.push_back(Client.get());
      Trails.push_back(Trail.get());
      Kernels.push_back(std::make_unique<Kernel>(Time, Time, Rng));
      Kernels.back()->add(std::move(Client));
      Kernels.back()->add(std::move(Trail));
      Kernels.back()->start();
    }
  }

  AuditEntry entry(const std::string &To) const {
    return {"anna", "document_accepted", "document", "", To,
            "done", Time.wallNow(),      ""};
  }

  // How often each operation stands in the hours that are kept.
  std::map<std::string, int> operations() const {
    std::map<std::string, int> Counts;
    for (const PlatformObject &Object :
         Shared.Store.list("audit/hour/").Objects) {
      AuditHour Kept = AuditHour::parse(Object.Value).value();
      for (const AuditRecord &Each : Kept.records())
        ++Counts[Each.OperationId];
    }
    return Counts;
  }

  uint64_t rolledUp() const {
    uint64_t Sum = 0;
    for (const PlatformObject &Object : Shared.Store.list("audit/day/").Objects)
      Sum += total(AuditDay::parse(Object.Value).value());
    return Sum;
  }

  size_t largestObject() const {
    size_t Largest = 0;
    for (const PlatformObject &Object : Shared.Store.list("audit/").Objects)
      Largest = std::max(Largest, Object.Value.size());
    return Largest;
  }
};

} // namespace

TEST_CASE("each decision is one entry under races, lost answers and outages") {
  for (uint64_t Seed = 1; Seed <= 40; ++Seed) {
    CAPTURE(Seed);
    Fleet Daemons(Seed, 4);
    Daemons.Shared.Spread = 10;
    constexpr int Decisions = 60;
    for (int I = 0; I < Decisions; ++I) {
      std::string Id = "op-" + std::to_string(I);
      // Two daemons record each decision, some of them much later.
      size_t First = Daemons.Rng.below(4);
      AuditEntry Entry = Daemons.entry(std::to_string(I));
      Daemons.Trails[First]->record(Id, Entry);
      Daemons.Time.advance(Daemons.Rng.jittered(200ms, 1));
      Daemons.Trails[Daemons.Rng.below(4)]->record(Id, Entry);
      if (Daemons.Rng.below(4) == 0)
        Daemons.Shared.LoseAnswers = static_cast<int>(Daemons.Rng.below(3));
      Daemons.Shared.Outage = I > 20 && I < 30;
      Daemons.Clients[3]->CutOff = I > 40 && I < 50;
    }
    Daemons.Time.advance(200s);
    std::map<std::string, int> Counts = Daemons.operations();
    CHECK(Counts.size() == Decisions);
    for (const auto &[Id, Count] : Counts)
      CHECK(Count == 1);
    for (AuditTrail *Trail : Daemons.Trails) {
      CHECK(Trail->pending() == 0);
      CHECK(Trail->dropped() == 0);
    }
  }
}

TEST_CASE("entries wait for an outage to end, and those beyond the bound are "
          "counted") {
  Fleet Daemons(1, 1);
  Daemons.Shared.Outage = true;
  AuditTrail &Trail = *Daemons.Trails[0];
  for (size_t I = 0; I < MaxPendingAudit + 7; ++I)
    Trail.record("op-" + std::to_string(I), Daemons.entry("1"));
  Daemons.Time.advance(6 * Hour);
  CHECK(Trail.pending() == MaxPendingAudit);
  CHECK(Trail.dropped() == 7);
  CHECK(Daemons.Shared.Writes == 0);
  Daemons.Shared.Outage = false;
  Daemons.Time.advance(2min);
  CHECK(Trail.pending() == 0);
  // The hour keeps what fits and counts the rest.
  AuditHour Written =
      AuditHour::parse(
          Daemons.Shared.Store.list("audit/hour/").Objects.at(0).Value)
          .value();
  CHECK(Written.records().size() + Written.omitted() == MaxPendingAudit);
  CHECK(Daemons.largestObject() < MaxAuditHourBytes + 10000);
}

TEST_CASE("hours are rolled up once, and everything stays bounded") {
  for (uint64_t Seed = 1; Seed <= 3; ++Seed) {
    CAPTURE(Seed);
    Fleet Daemons(Seed, 3);
    Daemons.Shared.Spread = 5;
    uint64_t Recorded = 0;
    constexpr int Hours = 24 * 12;
    for (int I = 0; I < Hours; ++I) {
      // A quiet stretch without any entry.
      bool Quiet = I > 100 && I < 180;
      for (int J = 0; J < 6 && !Quiet; ++J) {
        std::string Id = "op-" + std::to_string(Recorded++);
        AuditEntry Entry = Daemons.entry(Id);
        Daemons.Trails[Daemons.Rng.below(3)]->record(Id, Entry);
        Daemons.Trails[Daemons.Rng.below(3)]->record(Id, Entry);
        if (Daemons.Rng.below(5) == 0)
          Daemons.Shared.LoseAnswers = 1;
        Daemons.Time.advance(Daemons.Rng.jittered(2s, 0.5));
      }
      Daemons.Shared.Outage = Daemons.Rng.below(10) == 0;
      Daemons.Time.advance(Hour);
    }
    Daemons.Shared.Outage = false;
    Daemons.Trails[0]->record("last", Daemons.entry("last"));
    Daemons.Time.advance(10min);
    ++Recorded;
    std::map<std::string, int> Kept = Daemons.operations();
    CHECK(Kept.size() + Daemons.rolledUp() == Recorded);
    CHECK(Daemons.rolledUp() > 0);
    CHECK(Daemons.Shared.Store.list("audit/hour/").Objects.size() <=
          24 * 7 + 2);
  }
}

TEST_CASE("a repeated or cut short roll-up counts an hour once") {
  Fleet Daemons(1, 1);
  AuditTrail &Trail = *Daemons.Trails[0];
  Trail.record("a", Daemons.entry("1"));
  Trail.record("b", Daemons.entry("2"));
  Daemons.Time.advance(1min);
  Daemons.Time.advance(AuditDetailTime + 2 * Hour);
  FakePlatformClient Client(Daemons.Shared);
  // Each run is cut off a little later than the one before.
  for (int Step = 0; Step < 60; ++Step) {
    AuditRollUp RollUp(Client);
    RollUp.run(Daemons.Time.wallNow());
    Daemons.Time.advance(Step * 1ms);
    Client.CutOff = true;
    Daemons.Time.advance(1s);
    Client.CutOff = false;
  }
  AuditRollUp First(Client);
  AuditRollUp Second(Client);
  // A run is bounded; several walk over the week before the first entry.
  for (int Run = 0; Run < 5; ++Run) {
    First.run(Daemons.Time.wallNow());
    Second.run(Daemons.Time.wallNow());
    Daemons.Time.advance(1min);
  }
  CHECK(Daemons.rolledUp() == 2);
  CHECK(Daemons.operations().empty());
}

TEST_CASE("an entry that is too old for its hour is kept in the present one") {
  Fleet Daemons(1, 1);
  AuditEntry Old = Daemons.entry("1");
  Old.Time -= std::chrono::hours(24 * 30);
  Daemons.Trails[0]->record("old", Old);
  Daemons.Time.advance(1min);
  PlatformListing Kept = Daemons.Shared.Store.list("audit/hour/");
  REQUIRE(Kept.Objects.size() == 1);
  CHECK(Kept.Objects[0].Key == auditHourKey(Daemons.Time.wallNow()));
  AuditHour Parsed = AuditHour::parse(Kept.Objects[0].Value).value();
  CHECK(Parsed.records().at(0).Entry.Time == Old.Time);
}

TEST_CASE("an object of the trail that is malformed is left alone") {
  Fleet Daemons(1, 1);
  std::string Key = auditHourKey(Daemons.Time.wallNow());
  REQUIRE(Daemons.Shared.Store.write(Key, "{\"entries\": [1]}", 0));
  Daemons.Trails[0]->record("a", Daemons.entry("1"));
  Daemons.Time.advance(1min);
  CHECK(Daemons.Trails[0]->dropped() == 1);
  CHECK(Daemons.Shared.Store.read(Key).value().Value == "{\"entries\": [1]}");
  CHECK_FALSE(AuditHour::parse("[]"));
  CHECK_FALSE(AuditDay::parse("{\"hours\": 3}"));
}

TEST_CASE("texts are bounded and hours and days survive their formats") {
  AuditHour Hour;
  AuditEntry Entry;
  Entry.Actor = std::string(5000, 'x');
  Entry.Subject = "not UTF-8: \xff";
  for (int I = 0; I < 10000; ++I)
    Hour.append({"op-" + std::to_string(I), Entry});
  CHECK(Hour.omitted() > 0);
  std::string Text = Hour.format();
  CHECK(Text.size() < MaxAuditHourBytes + 10000);
  AuditHour Again = AuditHour::parse(Text).value();
  CHECK(Again.omitted() == Hour.omitted());
  CHECK(Again.records().size() == Hour.records().size());
  AuditDay Day;
  for (int I = 0; I < 200; ++I) {
    AuditHour Each;
    AuditEntry Made;
    Made.Action = "action-" + std::to_string(I);
    Each.append({"a", Made});
    Day.fold("hour-" + std::to_string(I), Each, {});
    Day.fold("hour-" + std::to_string(I), Each, {});
  }
  CHECK(Day.lines().size() == MaxAuditDayLines);
  CHECK(total(AuditDay::parse(Day.format()).value()) == 200);
}
