// MemoryBudget: the memory that a process may take for traffic.
//
// Memory is charged where it is taken, by kind. Each kind has a ceiling, the
// part of the budget that charges may fill by a charge of that kind: what is
// further on its way has a higher ceiling, so that a request that was admitted
// can be completed while new ones are refused. Charges that cannot be refused,
// such as frames that were already received, may exceed the budget; then all
// others wait.
//
// The budget counts estimates, not allocations. A charge covers all copies of
// the data that exist at the same time for longer than one iteration of the
// event loop. Copies that exist only within one iteration are in the part of
// the memory limit that is not in the budget (TrafficShare).
//
// Reads no clock and makes no decision about whom to refuse; see
// http/connection_shedder.h.

#ifndef CYCLAMENWIND_BASE_MEMORY_BUDGET_H
#define CYCLAMENWIND_BASE_MEMORY_BUDGET_H

#include <array>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <string_view>

namespace cyclamenwind {

enum class MemoryKind {
  Connections, // Callers' connections: buffers in the kernel and here.
  Heads,       // Heads of callers' requests.
  Bodies,      // Bodies of callers' requests.
  Forwarded,   // Requests of the inbound proxy: waiting or running.
  Frames,      // Frames between daemons, in part received or not sent yet.
  Responses,   // Responses of backend servers, until the caller has them.
};

inline constexpr std::array<MemoryKind, 6> AllMemoryKinds = {
    MemoryKind::Connections, MemoryKind::Heads,  MemoryKind::Bodies,
    MemoryKind::Forwarded,   MemoryKind::Frames, MemoryKind::Responses};

std::string_view nameOf(MemoryKind Kind);

// What was refused or closed because memory or descriptors were short.
enum class ShedCause {
  WaitedTooLong,  // A request whose reading was paused for too long: 503.
  Stalled,        // A request whose sender made no progress: 503 and close.
  UnreadResponse, // A connection whose caller did not read its response.
  Idle,           // A connection without a request.
  Response,       // A response that did not fit: 502.
  Forwarded,      // A request refused by the inbound proxy, as not run.
};

inline constexpr std::array<ShedCause, 6> AllShedCauses = {
    ShedCause::WaitedTooLong, ShedCause::Stalled,  ShedCause::UnreadResponse,
    ShedCause::Idle,          ShedCause::Response, ShedCause::Forwarded};

std::string_view nameOf(ShedCause Cause);

class MemoryCharge;

class MemoryBudget {
public:
  // LimitBytes 0: no limit; charges are only counted.
  explicit MemoryBudget(size_t LimitBytes);

  // The budget of a process that is killed above ProcessBytes; 0: no limit.
  static MemoryBudget forProcess(size_t ProcessBytes);

  size_t limit() const { return Counts->Limit; }
  size_t used() const { return Counts->Used; }
  size_t used(MemoryKind Kind) const;

  // Whether a charge of Bytes more would stay below the ceiling of Kind.
  bool hasRoom(MemoryKind Kind, size_t Bytes) const {
    return Counts->hasRoom(Kind, Bytes);
  }

  void countShed(ShedCause Cause);
  uint64_t shed(ShedCause Cause) const;

private:
  friend class MemoryCharge;

  struct State {
    size_t Limit = 0;
    size_t Used = 0;
    std::array<size_t, AllMemoryKinds.size()> UsedByKind = {};
    std::array<uint64_t, AllShedCauses.size()> Shed = {};

    bool hasRoom(MemoryKind Kind, size_t Bytes) const;
  };

  // Shared with the charges, which may outlive the budget.
  std::shared_ptr<State> Counts;
};

// Part of a budget that its owner has taken; destroying it returns the part. A
// charge that was constructed without a budget counts nothing and has room
// without limit.
class MemoryCharge {
public:
  MemoryCharge() = default;
  // Budget may be null.
  MemoryCharge(MemoryBudget *Budget, MemoryKind Kind);
  ~MemoryCharge() { set(0); }
  MemoryCharge(MemoryCharge &&Other) noexcept;
  MemoryCharge &operator=(MemoryCharge &&Other) noexcept;
  MemoryCharge(const MemoryCharge &) = delete;
  MemoryCharge &operator=(const MemoryCharge &) = delete;

  size_t bytes() const { return Bytes; }

  // Changes the charge to NewBytes if it does not grow or if there is room for
  // the difference. Returns whether it did.
  bool trySet(size_t NewBytes);

  // Changes the charge to NewBytes, also above the budget.
  void set(size_t NewBytes);

private:
  std::shared_ptr<MemoryBudget::State> Counts;
  MemoryKind Kind = MemoryKind::Connections;
  size_t Bytes = 0;
};

} // namespace cyclamenwind

#endif
