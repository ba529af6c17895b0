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
// Part of what the link could have sent while a writer waited that is taken off
// its bytes left.
constexpr double AgingShare = 0.25;

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

double EgressBudget::bytesIn(Duration Span) const {
  return Rate * std::chrono::duration<double>(Span).count();
}

Duration EgressBudget::timeFor(double Bytes) const {
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(Bytes / Rate));
}

Duration EgressBudget::timeUntilPiece(TimePoint Now) {
  refill(Now);
  double Missing = static_cast<double>(PieceBytes) - Credit;
  return Missing <= 0 ? Duration::zero() : timeFor(Missing) + Duration(1);
}

void EgressPacer::add(BulkWriter &Writer) {
  for (const Turn &Each : Turns)
    if (Each.Writer == &Writer)
      return;
  Turns.push_back({&Writer, Time.now()});
  scheduleNext();
}

void EgressPacer::remove(BulkWriter &Writer) {
  std::erase_if(Turns,
                [&Writer](const Turn &Each) { return Each.Writer == &Writer; });
}

// Only the bytes that go before it count, which are at most its own size for
// each other writer.
Duration EgressPacer::expectedWait(size_t Bytes) const {
  double Ahead = 0;
  for (const Turn &Each : Turns)
    Ahead += static_cast<double>(std::min(Each.Writer->bytesLeft(), Bytes));
  return Budget.timeFor(Ahead);
}

std::vector<EgressPacer::Turn>::iterator EgressPacer::nextTurn(TimePoint Now) {
  auto Rank = [this, Now](const Turn &Each) {
    return static_cast<double>(Each.Writer->bytesLeft()) -
           AgingShare * Budget.bytesIn(Now - Each.WaitsSince);
  };
  return std::min_element(
      Turns.begin(), Turns.end(),
      [&Rank](const Turn &A, const Turn &B) { return Rank(A) < Rank(B); });
}

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
    TimePoint Now = Time.now();
    auto Next = nextTurn(Now);
    BulkWriter::Written Result = Next->Writer->writePiece(Budget.pieceBytes());
    Budget.charge(Result.Bytes, Now);
    if (!Result.HasMore)
      Turns.erase(Next);
    else if (Result.MessageEnded)
      Next->WaitsSince = Now;
  }
  scheduleNext();
}

} // namespace cyclamenwind
