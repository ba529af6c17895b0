// Invariants of MemberProtocol in virtual time: member lists converge, failures
// are detected in time, and no running member stays suspected or dead.

#include "testing/member_fleet.h"

#include <catch2/catch.hpp>

using namespace cyclamenwind;
using namespace cyclamenwind::testing;

namespace {

// Requirement: a dead or leaving server receives no new calls after this time.
constexpr Duration RemovalBound = 3s;

} // namespace

TEST_CASE("members that join one by one converge") {
  uint64_t Seed = GENERATE(1, 2, 3);
  MemberFleet Fleet(25, 3, Seed);
  for (size_t I = 0; I < Fleet.size(); ++I) {
    Fleet.start(I);
    Fleet.Time.advance(20ms);
  }
  CHECK(Fleet.runUntil([&] { return Fleet.converged(); }, 10s) <= 10s);
}

TEST_CASE("member lists converge despite lost and duplicated datagrams") {
  uint64_t Seed = GENERATE(4, 5, 6);
  MemberFleet Fleet(30, 3, Seed);
  Fleet.Network.LossRate = 0.05;
  Fleet.Network.DuplicationRate = 0.1;
  for (size_t I = 0; I < Fleet.size(); ++I)
    Fleet.start(I);
  Fleet.Time.advance(30s);
  CHECK(Fleet.falseDeadCount() == 0);
  Fleet.Network.LossRate = 0;
  CHECK(Fleet.runUntil([&] { return Fleet.converged(); }, 10s) <= 10s);
}

TEST_CASE("a dead and a leaving member get no new calls after the bound") {
  size_t Size = GENERATE(12, 50, 200);
  uint64_t Seed = GENERATE(7, 8);
  MemberFleet Fleet(Size, 4, Seed);
  Fleet.startConverged();
  REQUIRE(Fleet.converged());
  Fleet.crash(3);
  CHECK(Fleet.runUntil([&] { return Fleet.countSendingTo(3) == 0; }, 5s) <=
        RemovalBound);
  Fleet.leave(5);
  CHECK(Fleet.runUntil([&] { return Fleet.countSendingTo(5) == 0; }, 5s) <=
        RemovalBound);
  CHECK(Fleet.countHolding(5, MemberState::Left) == Size - 2);
}

TEST_CASE("a lost failure domain is removed within the bound") {
  MemberFleet Fleet(48, 4, 9);
  Fleet.startConverged();
  for (size_t I = 0; I < Fleet.size(); I += 4)
    Fleet.crash(I);
  auto Removed = [&] {
    for (size_t I = 0; I < Fleet.size(); I += 4)
      if (Fleet.countSendingTo(I) > 0)
        return false;
    return true;
  };
  CHECK(Fleet.runUntil(Removed, 6s) <= RemovalBound);
  CHECK(Fleet.falseDeadCount() == 0);
}

TEST_CASE("a paused member is alive again after it resumes") {
  MemberFleet Fleet(20, 4, 10);
  Fleet.startConverged();
  Fleet.pause(2, true);
  CHECK(Fleet.runUntil([&] { return Fleet.countSendingTo(2) == 0; }, 5s) <=
        RemovalBound);
  Fleet.Time.advance(20s);
  CHECK(Fleet.countHolding(2, MemberState::Dead) == 19);
  Fleet.pause(2, false);
  CHECK(Fleet.falseDeadCount() <= 19);
  CHECK(Fleet.runUntil([&] { return Fleet.converged(); }, 15s) <= 15s);
}

TEST_CASE("a process that pauses repeatedly suspects no other member") {
  MemberFleet Fleet(20, 4, 11);
  Fleet.startConverged();
  size_t SuspectCount = 0;
  for (int Round = 0; Round < 60; ++Round) {
    Fleet.pause(0, true);
    Fleet.Time.advance(700ms);
    Fleet.pause(0, false);
    Fleet.Time.advance(300ms);
    for (size_t I = 1; I < Fleet.size(); ++I)
      SuspectCount += Fleet.countHolding(I, MemberState::Suspect) +
                      Fleet.countHolding(I, MemberState::Dead);
  }
  CHECK(SuspectCount == 0);
}

TEST_CASE("a member that receives nothing suspects nobody and lengthens its "
          "timeouts") {
  MemberFleet Fleet(20, 4, 12);
  Fleet.startConverged();
  Member Self;
  Self.Id = "alone";
  Self.Incarnation = 1;
  Self.Peer = {"10.1.0.1", 7100};
  MemberProtocol Isolated(ProtocolOptions(), Self, Fleet.Rng);
  wire::RosterRecords Records;
  for (const Member *Other : Fleet.protocol(0).memberList().reachable()) {
    wire::MemberRecord Record;
    Record.id = Other->Id;
    Record.revision = Other->Revision;
    Record.state = wire::MemberState::ALIVE;
    Record.peerAddress = Other->Peer.text();
    Record.failureDomain = Other->FailureDomain;
    Records.records.push_back(Record);
  }
  TimePoint Now{};
  Isolated.receive(Self.Peer, FrameType::RosterRecords, encodeMessage(Records),
                   Now);
  for (int Tick = 0; Tick < 400; ++Tick)
    Isolated.tick(Now += MemberTickPeriod);
  CHECK(Isolated.healthScore() > 0);
  for (const Member *Other : Isolated.memberList().reachable())
    CHECK(Other->State == MemberState::Alive);
}

TEST_CASE("a partition heals even after both sides have forgotten each other") {
  Duration CutTime = GENERATE(Duration(20s), Duration(900s));
  MemberFleet Fleet(16, 4, 13);
  Fleet.startConverged();
  Fleet.cutDomain(1, true);
  Fleet.Time.advance(CutTime);
  CHECK(Fleet.protocol(1).memberList().reachable().size() == 4);
  CHECK(Fleet.protocol(0).memberList().reachable().size() == 12);
  Fleet.cutDomain(1, false);
  CHECK(Fleet.runUntil([&] { return Fleet.converged(); }, 30s) <= 30s);
}

TEST_CASE("many simultaneous restarts converge") {
  MemberFleet Fleet(60, 6, 14);
  Fleet.startConverged();
  for (size_t I = 0; I < Fleet.size(); I += 2)
    Fleet.crash(I);
  Fleet.Time.advance(2s);
  for (size_t I = 0; I < Fleet.size(); I += 2)
    Fleet.start(I);
  CHECK(Fleet.runUntil([&] { return Fleet.converged(); }, 20s) <= 20s);
}

TEST_CASE(
    "a member that restarts with an earlier clock refutes its old record") {
  MemberFleet Fleet(12, 3, 15);
  Fleet.startConverged();
  Member Self = Fleet.protocol(4).self();
  Self.Incarnation -= 1;
  Self.Revision = 0;
  MemberProtocol Restarted(ProtocolOptions(), Self, Fleet.Rng);
  wire::Gossip Message;
  wire::MemberRecord OldRecord;
  OldRecord.id = Self.Id;
  OldRecord.incarnation = Self.Incarnation + 1;
  OldRecord.revision = 7;
  OldRecord.state = wire::MemberState::DEAD;
  OldRecord.peerAddress = Self.Peer.text();
  Message.records.push_back(OldRecord);
  Restarted.receive(Self.Peer, FrameType::Gossip, encodeMessage(Message), {});
  CHECK(Restarted.self().Incarnation == OldRecord.incarnation);
  CHECK(Restarted.self().Revision == 8);
  CHECK(Restarted.self().State == MemberState::Alive);
}

TEST_CASE("malformed frames are ignored and replies fit into a datagram") {
  MemberFleet Fleet(40, 4, 16);
  Fleet.startConverged();
  Member Self;
  Self.Id = "x";
  Self.Peer = {"10.1.0.1", 7100};
  MemberProtocol Protocol(ProtocolOptions(), Self, Fleet.Rng);
  std::string Payload;
  for (int Round = 0; Round < 2000; ++Round) {
    Payload.clear();
    for (uint64_t I = Fleet.Rng.below(60); I > 0; --I)
      Payload += static_cast<char>(Fleet.Rng.below(256));
    auto Type = static_cast<FrameType>(20 + Fleet.Rng.below(7));
    for (const Outgoing &Frame : Protocol.receive(Self.Peer, Type, Payload, {}))
      CHECK(Frame.Payload.size() <= MaxDatagramBytes);
  }
  CHECK(Protocol.memberList().members().size() <= 1 + 2000);
}
