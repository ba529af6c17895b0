#include "cyclamenwind/base/memory_budget.h"

#include "cyclamenwind/base/names.h"

#include <utility>

namespace cyclamenwind {
namespace {

// Part of a process's memory limit that traffic may take. The rest is for the
// program and its state, and for copies that exist within one iteration of the
// event loop: up to four of the largest body, which is a sixteenth of the
// limit.
constexpr double TrafficShare = 0.4;

constexpr std::array<EnumName<MemoryKind>, AllMemoryKinds.size()>
    MemoryKindNames = {{
        {MemoryKind::Connections, "connections"},
        {MemoryKind::Heads, "heads"},
        {MemoryKind::Bodies, "bodies"},
        {MemoryKind::Forwarded, "forwarded"},
        {MemoryKind::Frames, "frames"},
        {MemoryKind::Responses, "responses"},
    }};

constexpr std::array<EnumName<ShedCause>, AllShedCauses.size()> ShedCauseNames =
    {{
        {ShedCause::WaitedTooLong, "waited_too_long"},
        {ShedCause::Stalled, "stalled"},
        {ShedCause::UnreadResponse, "unread_response"},
        {ShedCause::Idle, "idle"},
        {ShedCause::Response, "response"},
        {ShedCause::Forwarded, "forwarded"},
    }};

// Parts of the budget that a charge of a kind may fill.
struct Ceiling {
  double Total; // Of all kinds together.
  double Own;   // Of this kind alone.
};

// The steps leave room for a body of the largest size at each stage of a
// request. Connections have a bound of their own: they are accepted also while
// bodies take what they may.
Ceiling ceilingOf(MemoryKind Kind) {
  switch (Kind) {
  case MemoryKind::Connections:
    return {1, 0.4};
  case MemoryKind::Heads:
  case MemoryKind::Bodies:
    return {0.7, 0.7};
  case MemoryKind::Forwarded:
    return {0.85, 0.85};
  default:
    return {1, 1};
  }
}

bool fits(size_t Used, size_t Bytes, double Share, size_t Limit) {
  auto Allowed = static_cast<size_t>(Share * static_cast<double>(Limit));
  return Used <= Allowed && Bytes <= Allowed - Used;
}

size_t indexOf(MemoryKind Kind) { return static_cast<size_t>(Kind); }
size_t indexOf(ShedCause Cause) { return static_cast<size_t>(Cause); }

} // namespace

std::string_view nameOf(MemoryKind Kind) {
  return nameIn(MemoryKindNames, Kind);
}

std::string_view nameOf(ShedCause Cause) {
  return nameIn(ShedCauseNames, Cause);
}

MemoryBudget::MemoryBudget(size_t LimitBytes)
    : Counts(std::make_shared<State>()) {
  Counts->Limit = LimitBytes;
}

MemoryBudget MemoryBudget::forProcess(size_t ProcessBytes) {
  return MemoryBudget(
      static_cast<size_t>(TrafficShare * static_cast<double>(ProcessBytes)));
}

size_t MemoryBudget::used(MemoryKind Kind) const {
  return Counts->UsedByKind[indexOf(Kind)];
}

void MemoryBudget::countShed(ShedCause Cause) {
  ++Counts->Shed[indexOf(Cause)];
}

uint64_t MemoryBudget::shed(ShedCause Cause) const {
  return Counts->Shed[indexOf(Cause)];
}

bool MemoryBudget::State::hasRoom(MemoryKind Kind, size_t Bytes) const {
  if (Limit == 0)
    return true;
  Ceiling Bound = ceilingOf(Kind);
  return fits(Used, Bytes, Bound.Total, Limit) &&
         fits(UsedByKind[indexOf(Kind)], Bytes, Bound.Own, Limit);
}

MemoryCharge::MemoryCharge(MemoryBudget *Budget, MemoryKind Kind) : Kind(Kind) {
  if (Budget != nullptr)
    Counts = Budget->Counts;
}

MemoryCharge::MemoryCharge(MemoryCharge &&Other) noexcept
    : Counts(std::move(Other.Counts)), Kind(Other.Kind),
      Bytes(std::exchange(Other.Bytes, 0)) {}

MemoryCharge &MemoryCharge::operator=(MemoryCharge &&Other) noexcept {
  if (this == &Other)
    return *this;
  set(0);
  Counts = std::move(Other.Counts);
  Kind = Other.Kind;
  Bytes = std::exchange(Other.Bytes, 0);
  return *this;
}

bool MemoryCharge::trySet(size_t NewBytes) {
  if (Counts && NewBytes > Bytes && !Counts->hasRoom(Kind, NewBytes - Bytes))
    return false;
  set(NewBytes);
  return true;
}

void MemoryCharge::set(size_t NewBytes) {
  if (Counts) {
    size_t Index = static_cast<size_t>(Kind);
    Counts->Used += NewBytes - Bytes;
    Counts->UsedByKind[Index] += NewBytes - Bytes;
  }
  Bytes = NewBytes;
}

} // namespace cyclamenwind
