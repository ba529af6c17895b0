#include "cyclamenwind/base/egress_pacer.h"

#include <algorithm>

namespace cyclamenwind {
namespace {

// Part of the link's rate that is used. The rest is for packet headers and for
// what is not accounted for, such as calls to the platform.
constexpr double UsedShare = 0.9;
// Time that a piece takes on the link, which bounds the delay of a small
// message behind it, and the bounds of a piece's size: smaller ones would cost
// many system calls, larger ones much memory.
constexpr double PieceSeconds = 0.01;
constexpr double MinPieceBytes = 8 * 1024;
constexpr double MaxPieceBytes = 256 * 1024;
// Pieces that may be written at once after a pause.
constexpr int BurstPieces = 2;

} // namespace

EgressBudget::EgressBudget(double BytesPerSecond)
    : Rate(UsedShare * BytesPerSecond),
      PieceBytes(static_cast<size_t>(std::clamp(BytesPerSecond * PieceSeconds,
                                                MinPieceBytes, MaxPieceBytes))),
      Credit(BurstPieces * static_cast<double>(PieceBytes)) {}

void EgressBudget::refill(TimePoint Now) {
  double Elapsed = std::chrono::duration<double>(Now - LastRefill).count();
  Credit = std::min(BurstPieces * static_cast<double>(PieceBytes),
                    Credit + std::max(0.0, Elapsed) * Rate);
  LastRefill = Now;
}

void EgressBudget::charge(size_t Bytes, TimePoint Now) {
  refill(Now);
  Credit -= static_cast<double>(Bytes);
}

Duration EgressBudget::timeUntilPiece(TimePoint Now) {
  refill(Now);
  double Missing = static_cast<double>(PieceBytes) - Credit;
  if (Missing <= 0)
    return Duration::zero();
  return std::chrono::duration_cast<Duration>(
             std::chrono::duration<double>(Missing / Rate)) +
         Duration(1);
}

void EgressPacer::add(BulkWriter &Writer) {
  if (std::find(Turns.begin(), Turns.end(), &Writer) != Turns.end())
    return;
  Turns.push_back(&Writer);
  scheduleNext();
}

void EgressPacer::remove(BulkWriter &Writer) { std::erase(Turns, &Writer); }

void EgressPacer::scheduleNext() {
  if (NextTimer || Turns.empty())
    return;
  NextTimer = Timers.after(Budget.timeUntilPiece(Time.now()), [this] {
    TimerHandle Fired = std::move(NextTimer);
    writePieces();
  });
}

void EgressPacer::writePieces() {
  while (!Turns.empty() &&
         Budget.timeUntilPiece(Time.now()) == Duration::zero()) {
    BulkWriter *Writer = Turns.front();
    Turns.pop_front();
    BulkWriter::Written Result = Writer->writePiece(Budget.pieceBytes());
    Budget.charge(Result.Bytes, Time.now());
    if (Result.HasMore)
      Turns.push_back(Writer);
  }
  scheduleNext();
}

} // namespace cyclamenwind
