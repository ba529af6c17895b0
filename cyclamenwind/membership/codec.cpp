#include "cyclamenwind/membership/codec.h"

namespace cyclamenwind {
namespace {

// Incarnations and revisions must be below this, so that incrementing one
// cannot overflow.
constexpr int64_t MaxCounter = int64_t(1) << 62;

wire::MemberState::type stateToWire(MemberState State) {
  switch (State) {
  case MemberState::Alive:
    return wire::MemberState::ALIVE;
  case MemberState::Suspect:
    return wire::MemberState::SUSPECT;
  case MemberState::Left:
    return wire::MemberState::LEFT;
  case MemberState::Dead:
    return wire::MemberState::DEAD;
  }
  return wire::MemberState::DEAD;
}

std::optional<MemberState> stateFromWire(wire::MemberState::type State) {
  switch (State) {
  case wire::MemberState::ALIVE:
    return MemberState::Alive;
  case wire::MemberState::SUSPECT:
    return MemberState::Suspect;
  case wire::MemberState::LEFT:
    return MemberState::Left;
  case wire::MemberState::DEAD:
    return MemberState::Dead;
  }
  return std::nullopt;
}

wire::Offer instanceToWire(const ServiceInstance &Instance) {
  wire::Offer Result;
  Result.serviceName = Instance.Service;
  Result.serverVersion = Instance.Version;
  Result.slots = Instance.Slots;
  Result.draining = Instance.Draining;
  return Result;
}

} // namespace

wire::MemberRecord toWire(const Member &Record) {
  wire::MemberRecord Result;
  Result.id = Record.Id;
  Result.incarnation = Record.Incarnation;
  Result.revision = Record.Revision;
  Result.state = stateToWire(Record.State);
  if (Record.State != MemberState::Alive)
    return Result;
  Result.peerAddress = Record.Peer.text();
  Result.failureDomain = Record.FailureDomain;
  for (const ServiceInstance &Instance : Record.Instances)
    Result.offers.push_back(instanceToWire(Instance));
  return Result;
}

std::optional<Member> fromWire(const wire::MemberRecord &Record) {
  std::optional<MemberState> State = stateFromWire(Record.state);
  bool InRange = Record.incarnation >= 0 && Record.incarnation < MaxCounter &&
                 Record.revision >= 0 && Record.revision < MaxCounter;
  if (!State || !InRange || Record.id.empty())
    return std::nullopt;
  std::optional<Address> Peer = parseAddress(Record.peerAddress);
  if (!Peer && *State == MemberState::Alive)
    return std::nullopt;
  Member Result;
  Result.Id = Record.id;
  Result.Incarnation = Record.incarnation;
  Result.Revision = Record.revision;
  Result.State = *State;
  Result.Peer = Peer.value_or(Address());
  Result.FailureDomain = Record.failureDomain;
  for (const wire::Offer &Instance : Record.offers)
    Result.Instances.push_back({Instance.serviceName, Instance.serverVersion,
                                Instance.slots, Instance.draining});
  return Result;
}

} // namespace cyclamenwind
