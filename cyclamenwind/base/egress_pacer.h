// EgressPacer: shares the bandwidth of a host's link between large and small
// writes.
//
// A response of hundreds of kilobytes takes a large part of a second on a slow
// link, and small messages that were written after it wait behind it, whichever
// connection they are on: the connections' send buffers together hold far more
// than the link can send soon. Large writes are therefore made in pieces at
// slightly less than the link's rate, while small writes are made at once. The
// link then never has more than a few pieces queued.
//
// The writer with the fewest bytes left goes first, since sending all in turn
// would make all of them late when the link is short. Waiting counts in a
// writer's favour, so that long messages are not held up without end.
//
// EgressBudget decides how many bytes may be written at a time; it reads no
// clock. EgressPacer calls the writers when their turn comes.

#ifndef CYCLAMENWIND_BASE_EGRESS_PACER_H
#define CYCLAMENWIND_BASE_EGRESS_PACER_H

#include "cyclamenwind/base/scheduler.h"

#include <cstddef>
#include <vector>

namespace cyclamenwind {

class EgressBudget {
public:
  // BytesPerSecond is the rate of the link.
  explicit EgressBudget(double BytesPerSecond);

  // Bytes that a large write may take at a time. A message of at most this size
  // is small.
  size_t pieceBytes() const { return PieceBytes; }

  // Accounts for bytes that were written. Small writes may exceed the budget;
  // large writes then wait for longer.
  void charge(size_t Bytes, TimePoint Now);

  // Bytes that the link sends in Span.
  double bytesIn(Duration Span) const;
  // Time that Bytes take on the link.
  Duration timeFor(double Bytes) const;

  // Time until a piece of a large write may be written; zero if it may be now.
  Duration timeUntilPiece(TimePoint Now);

private:
  void refill(TimePoint Now);

  double Rate;
  size_t PieceBytes;
  double Credit; // Bytes that may be written; negative after an excess.
  TimePoint LastRefill;
};

// A connection that has large writes to make.
class BulkWriter {
public:
  struct Written {
    size_t Bytes = 0;
    bool HasMore = false;      // Whether it can write more at its next turn.
    bool MessageEnded = false; // Whether that will be another message.
  };

  virtual ~BulkWriter() = default;

  // Bytes of its current message that are left to write.
  virtual size_t bytesLeft() const = 0;

  // Writes at most MaxBytes. Must neither destroy nor add a BulkWriter.
  virtual Written writePiece(size_t MaxBytes) = 0;
};

class EgressPacer {
public:
  EgressPacer(Clock &Time, Scheduler &Timers, double BytesPerSecond)
      : Time(Time), Timers(Timers), Budget(BytesPerSecond) {}

  size_t pieceBytes() const { return Budget.pieceBytes(); }

  // Accounts for a small write.
  void charge(size_t Bytes) { Budget.charge(Bytes, Time.now()); }

  // Gives Writer turns until it has no more to write. Does nothing if it has
  // turns already.
  void add(BulkWriter &Writer);
  void remove(BulkWriter &Writer);

  // Expected time that a message of Bytes that is added now waits for others.
  Duration expectedWait(size_t Bytes) const;

private:
  struct Turn {
    BulkWriter *Writer;
    TimePoint WaitsSince;
  };

  void writePieces();
  void scheduleNext();
  std::vector<Turn>::iterator nextTurn(TimePoint Now);

  Clock &Time;
  Scheduler &Timers;
  EgressBudget Budget;
  std::vector<Turn> Turns;
  TimerHandle NextTimer;
};

} // namespace cyclamenwind

#endif
