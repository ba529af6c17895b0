// Invariants of the membership in virtual time: the roster converges, failures
// are seen in time, and nobody who lives stays accused.

#include "testing/member_fleet.h"

#include <catch2/catch.hpp>

using namespace cyclamenwind;
using namespace cyclamenwind::testing;

namespace {

// From the brief: no new work for a dead or leaving server after this.
constexpr Duration RemovalBound = 3s;

} // namespace

TEST_CASE("members that join one by one converge") {
  uint64_t Seed = GENERATE(1, 2, 3);
  MemberFleet Fleet(25, 3, Seed);
  for (size_t I = 0; I < Fleet.size(); ++I) {
    Fleet.start(I);
    Fleet.Time.advance(20ms);
  }
  CHECK(Fleet.until([&] { return Fleet.converged(); }, 10s) <= 10s);
}

TEST_CASE("rosters converge over loss and doubling") {
  uint64_t Seed = GENERATE(4, 5, 6);
  MemberFleet Fleet(30, 3, Seed);
  Fleet.Network.LoseShare = 0.05;
  Fleet.Network.DoubleShare = 0.1;
  for (size_t I = 0; I < Fleet.size(); ++I)
    Fleet.start(I);
  Fleet.Time.advance(30s);
  CHECK(Fleet.falseDeaths() == 0);
  Fleet.Network.LoseShare = 0;
  CHECK(Fleet.until([&] { return Fleet.converged(); }, 10s) <= 10s);
}

TEST_CASE("a dead and a leaving member get no new work within the bound") {
  size_t Size = GENERATE(12, 50, 200);
  uint64_t Seed = GENERATE(7, 8);
  MemberFleet Fleet(Size, 4, Seed);
  Fleet.startTogether();
  REQUIRE(Fleet.converged());
  Fleet.crash(3);
  CHECK(Fleet.until([&] { return Fleet.users(3) == 0; }, 5s) <= RemovalBound);
  Fleet.leave(5);
  CHECK(Fleet.until([&] { return Fleet.users(5) == 0; }, 5s) <= RemovalBound);
  CHECK(Fleet.holders(5, MemberState::Left) == Size - 2);
}

TEST_CASE("a lost failure domain is removed within the bound") {
  MemberFleet Fleet(48, 4, 9);
  Fleet.startTogether();
  for (size_t I = 0; I < Fleet.size(); I += 4)
    Fleet.crash(I);
  auto Gone = [&] {
    for (size_t I = 0; I < Fleet.size(); I += 4)
      if (Fleet.users(I) > 0)
        return false;
    return true;
  };
  CHECK(Fleet.until(Gone, 6s) <= RemovalBound);
  CHECK(Fleet.falseDeaths() == 0);
}

TEST_CASE("a paused member is taken back when it runs again") {
  MemberFleet Fleet(20, 4, 10);
  Fleet.startTogether();
  Fleet.pause(2, true);
  CHECK(Fleet.until([&] { return Fleet.users(2) == 0; }, 5s) <= RemovalBound);
  Fleet.Time.advance(20s);
  CHECK(Fleet.holders(2, MemberState::Dead) == 19);
  Fleet.pause(2, false);
  CHECK(Fleet.falseDeaths() <= 19);
  CHECK(Fleet.until([&] { return Fleet.converged(); }, 15s) <= 15s);
}

TEST_CASE("a process that keeps stopping makes nobody else suspect") {
  MemberFleet Fleet(20, 4, 11);
  Fleet.startTogether();
  size_t Accused = 0;
  for (int Round = 0; Round < 60; ++Round) {
    Fleet.pause(0, true);
    Fleet.Time.advance(700ms);
    Fleet.pause(0, false);
    Fleet.Time.advance(300ms);
    for (size_t I = 1; I < Fleet.size(); ++I)
      Accused += Fleet.holders(I, MemberState::Suspect) +
                 Fleet.holders(I, MemberState::Dead);
  }
  CHECK(Accused == 0);
}

TEST_CASE("a member that hears nothing accuses nobody and doubts itself") {
  MemberFleet Fleet(20, 4, 12);
  Fleet.startTogether();
  Member Self;
  Self.Id = "alone";
  Self.Incarnation = 1;
  Self.Peer = {"10.1.0.1", 7100};
  MemberProtocol Alone(ProtocolOptions(), Self, Fleet.Rng);
  wire::RosterRecords Known;
  for (const Member *Each : Fleet.protocol(0).memberList().reachable()) {
    wire::MemberRecord Record;
    Record.id = Each->Id;
    Record.revision = Each->Revision;
    Record.state = wire::MemberState::ALIVE;
    Record.peerAddress = Each->Peer.text();
    Record.failureDomain = Each->FailureDomain;
    Known.records.push_back(Record);
  }
  TimePoint Now{};
  Alone.receive(Self.Peer, FrameType::RosterRecords, encodeMessage(Known), Now);
  for (int Tick = 0; Tick < 400; ++Tick)
    Alone.tick(Now += MemberTickPeriod);
  CHECK(Alone.healthScore() > 0);
  for (const Member *Each : Alone.memberList().reachable())
    CHECK(Each->State == MemberState::Alive);
}

TEST_CASE(
    "a cut domain heals, also when both sides have forgotten each other") {
  Duration Cut = GENERATE(Duration(20s), Duration(900s));
  MemberFleet Fleet(16, 4, 13);
  Fleet.startTogether();
  Fleet.cutDomain(1, true);
  Fleet.Time.advance(Cut);
  CHECK(Fleet.protocol(1).memberList().reachable().size() == 4);
  CHECK(Fleet.protocol(0).memberList().reachable().size() == 12);
  Fleet.cutDomain(1, false);
  CHECK(Fleet.until([&] { return Fleet.converged(); }, 30s) <= 30s);
}

TEST_CASE("a herd of restarts converges") {
  MemberFleet Fleet(60, 6, 14);
  Fleet.startTogether();
  for (size_t I = 0; I < Fleet.size(); I += 2)
    Fleet.crash(I);
  Fleet.Time.advance(2s);
  for (size_t I = 0; I < Fleet.size(); I += 2)
    Fleet.start(I);
  CHECK(Fleet.until([&] { return Fleet.converged(); }, 20s) <= 20s);
}

TEST_CASE("a member that restarts with an earlier clock is believed") {
  MemberFleet Fleet(12, 3, 15);
  Fleet.startTogether();
  Member Self = Fleet.protocol(4).self();
  Self.Incarnation -= 1;
  Self.Revision = 0;
  MemberProtocol Restarted(ProtocolOptions(), Self, Fleet.Rng);
  wire::Gossip Message;
  wire::MemberRecord Older;
  Older.id = Self.Id;
  Older.incarnation = Self.Incarnation + 1;
  Older.revision = 7;
  Older.state = wire::MemberState::DEAD;
  Older.peerAddress = Self.Peer.text();
  Message.records.push_back(Older);
  Restarted.receive(Self.Peer, FrameType::Gossip, encodeMessage(Message), {});
  CHECK(Restarted.self().Incarnation == Older.incarnation);
  CHECK(Restarted.self().Revision == 8);
  CHECK(Restarted.self().State == MemberState::Alive);
}

TEST_CASE("no datagram exceeds its limit and malformed frames are ignored") {
  MemberFleet Fleet(40, 4, 16);
  Fleet.startTogether();
  Member Self;
  Self.Id = "x";
  Self.Peer = {"10.1.0.1", 7100};
  MemberProtocol Subject(ProtocolOptions(), Self, Fleet.Rng);
  std::string Noise;
  for (int Round = 0; Round < 2000; ++Round) {
    Noise.clear();
    for (uint64_t I = Fleet.Rng.below(60); I > 0; --I)
      Noise += static_cast<char>(Fleet.Rng.below(256));
    auto Type = static_cast<FrameType>(20 + Fleet.Rng.below(7));
    for (const Outgoing &Each : Subject.receive(Self.Peer, Type, Noise, {}))
      CHECK(Each.Payload.size() <= MaxDatagramBytes);
  }
  CHECK(Subject.memberList().members().size() <= 1 + 2000);
}
