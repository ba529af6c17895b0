// ConnectionShedder: which connection a server closes first when memory or
// descriptors are short.
//
// A connection whose request runs is never chosen: it holds what the request
// needs. A connection that holds much and makes no progress goes first; waiting
// for the server itself does not count against it.
//
// Pure: the callers' state and the current time are arguments.

#ifndef CYCLAMENWIND_HTTP_CONNECTION_SHEDDER_H
#define CYCLAMENWIND_HTTP_CONNECTION_SHEDDER_H

#include "cyclamenwind/base/memory_budget.h"
#include "cyclamenwind/base/time.h"

#include <optional>
#include <vector>

namespace cyclamenwind {

// A sender below this rate makes no progress. A caller within the limits sends
// a body in the seconds of its deadline, which is hundreds of kilobytes per
// second for a body that matters here.
inline constexpr size_t ProgressBytes = 4096;
inline constexpr Duration ProgressPeriod = 500ms;

// Measures whether bytes move at ProgressBytes per ProgressPeriod at least.
class ProgressMeter {
public:
  // Starts to measure anew.
  void restart(TimePoint Now) {
    Mark = Now;
    SinceMark = 0;
  }

  void count(size_t Bytes, TimePoint Now) {
    SinceMark += Bytes;
    if (SinceMark >= ProgressBytes)
      restart(Now);
  }

  // Time in which less than ProgressBytes moved.
  Duration stalledFor(TimePoint Now) const { return Now - Mark; }

private:
  TimePoint Mark;
  size_t SinceMark = 0;
};

struct ShedCandidate {
  enum class Phase {
    Idle,    // No request and nothing to send.
    Reading, // A request has been received in part.
    Sending, // A response has been sent in part; no request.
    Busy,    // A request is running, or the connection must not be chosen.
  };
  Phase State = Phase::Busy;
  // Bytes of the budget that closing the connection returns.
  size_t Held = 0;
  // How long the caller has made no progress; for Idle, how long it has been
  // idle.
  Duration StalledFor{};
};

// Returns the index of the connection to close to regain memory: of those that
// have been stalled for longer than ProgressPeriod, the one with the most bytes
// held times time stalled. Nothing if there is none.
std::optional<size_t>
chooseForMemory(const std::vector<ShedCandidate> &Candidates);

// Returns the index of the connection to close for the sake of a new one: one
// that has been idle the longest, else one whose caller has been stalled the
// longest, longer than ProgressPeriod. Nothing if there is none.
std::optional<size_t>
chooseForNewConnection(const std::vector<ShedCandidate> &Candidates);

// What closing a connection in State counts as.
ShedCause causeOf(ShedCandidate::Phase State);

} // namespace cyclamenwind

#endif
