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

// Daemons that share a platform; each has an audit trail of its own.
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

  // Returns the number of entries per operation in the hours that have not been
  // rolled up.
  std::map<std::string, int> operations() const {
    std::map<std::string, int> Counts;
    for (const PlatformObject &Object :
         Shared.Store.list("audit/hour/").Objects) {
      AuditHour StoredHour = AuditHour::parse(Object.Value).value();
      for (const AuditRecord &Record : StoredHour.records())
        ++Counts[Record.OperationId];
    }
    return Counts;
  }

  // Returns the number of entries counted in days.
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

TEST_CASE(
    "each operation has one entry under races, lost responses and outages") {
  for (uint64_t Seed = 1; Seed <= 40; ++Seed) {
    CAPTURE(Seed);
    Fleet Daemons(Seed, 4);
    Daemons.Shared.Spread = 10;
    constexpr int Operations = 60;
    for (int I = 0; I < Operations; ++I) {
      std::string Id = "op-" + std::to_string(I);
      // Two daemons record each operation, less than 400 ms apart.
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
    CHECK(Counts.size() == Operations);
    for (const auto &[Id, Count] : Counts)
      CHECK(Count == 1);
    for (AuditTrail *Trail : Daemons.Trails) {
      CHECK(Trail->pending() == 0);
      CHECK(Trail->dropped() == 0);
    }
  }
}

TEST_CASE(
    "entries stay queued during an outage, and those beyond the limit are "
    "counted") {
  Fleet Daemons(1, 1);
  Daemons.Shared.Outage = true;
  AuditTrail &Trail = *Daemons.Trails[0];
  for (size_t I = 0; I < MaxPendingAuditEntries + 7; ++I)
    Trail.record("op-" + std::to_string(I), Daemons.entry("1"));
  Daemons.Time.advance(6 * Hour);
  CHECK(Trail.pending() == MaxPendingAuditEntries);
  CHECK(Trail.dropped() == 7);
  CHECK(Daemons.Shared.Writes == 0);
  Daemons.Shared.Outage = false;
  Daemons.Time.advance(2min);
  CHECK(Trail.pending() == 0);
  // The hour stores the entries that fit and counts the others.
  AuditHour Written =
      AuditHour::parse(
          Daemons.Shared.Store.list("audit/hour/").Objects.at(0).Value)
          .value();
  CHECK(Written.records().size() + Written.omitted() == MaxPendingAuditEntries);
  CHECK(Daemons.largestObject() < MaxAuditHourBytes + 10000);
}

TEST_CASE(
    "each hour is rolled up once, and the number of stored hours is bounded") {
  for (uint64_t Seed = 1; Seed <= 3; ++Seed) {
    CAPTURE(Seed);
    Fleet Daemons(Seed, 3);
    Daemons.Shared.Spread = 5;
    uint64_t Recorded = 0;
    constexpr int Hours = 24 * 12;
    for (int I = 0; I < Hours; ++I) {
      // A period without entries.
      bool Idle = I > 100 && I < 180;
      for (int J = 0; J < 6 && !Idle; ++J) {
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
    std::map<std::string, int> Counts = Daemons.operations();
    CHECK(Counts.size() + Daemons.rolledUp() == Recorded);
    CHECK(Daemons.rolledUp() > 0);
    CHECK(Daemons.Shared.Store.list("audit/hour/").Objects.size() <=
          24 * 7 + 2);
  }
}

TEST_CASE("a retried or interrupted roll-up counts an hour once") {
  Fleet Daemons(1, 1);
  AuditTrail &Trail = *Daemons.Trails[0];
  Trail.record("a", Daemons.entry("1"));
  Trail.record("b", Daemons.entry("2"));
  Daemons.Time.advance(1min);
  Daemons.Time.advance(AuditEntryRetention + 2 * Hour);
  FakePlatformClient Client(Daemons.Shared);
  // Each run loses the platform 1 ms later than the previous one.
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
  // The number of hours per run is limited; the week before the first entry
  // takes several runs.
  for (int Run = 0; Run < 5; ++Run) {
    First.run(Daemons.Time.wallNow());
    Second.run(Daemons.Time.wallNow());
    Daemons.Time.advance(1min);
  }
  CHECK(Daemons.rolledUp() == 2);
  CHECK(Daemons.operations().empty());
}

TEST_CASE(
    "an entry older than the retention period is stored in the current hour") {
  Fleet Daemons(1, 1);
  AuditEntry Old = Daemons.entry("1");
  Old.Time -= std::chrono::hours(24 * 30);
  Daemons.Trails[0]->record("old", Old);
  Daemons.Time.advance(1min);
  PlatformListing Hours = Daemons.Shared.Store.list("audit/hour/");
  REQUIRE(Hours.Objects.size() == 1);
  CHECK(Hours.Objects[0].Key == auditHourKey(Daemons.Time.wallNow()));
  AuditHour Parsed = AuditHour::parse(Hours.Objects[0].Value).value();
  CHECK(Parsed.records().at(0).Entry.Time == Old.Time);
}

TEST_CASE("a malformed hour is not overwritten") {
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

TEST_CASE("texts are bounded, and hours and days keep their content when "
          "formatted and parsed") {
  AuditHour Hour;
  AuditEntry Entry;
  Entry.Actor = std::string(5000, 'x');
  Entry.Subject = "not UTF-8: \xff";
  for (int I = 0; I < 10000; ++I)
    Hour.append({"op-" + std::to_string(I), Entry});
  CHECK(Hour.omitted() > 0);
  std::string Text = Hour.format();
  CHECK(Text.size() < MaxAuditHourBytes + 10000);
  AuditHour Parsed = AuditHour::parse(Text).value();
  CHECK(Parsed.omitted() == Hour.omitted());
  CHECK(Parsed.records().size() == Hour.records().size());
  AuditDay Day;
  for (int I = 0; I < 200; ++I) {
    AuditHour HourOfAction;
    AuditEntry ActionEntry;
    ActionEntry.Action = "action-" + std::to_string(I);
    HourOfAction.append({"a", ActionEntry});
    Day.fold("hour-" + std::to_string(I), HourOfAction, {});
    Day.fold("hour-" + std::to_string(I), HourOfAction, {});
  }
  CHECK(Day.lines().size() == MaxAuditDayLines);
  CHECK(total(AuditDay::parse(Day.format()).value()) == 200);
}
