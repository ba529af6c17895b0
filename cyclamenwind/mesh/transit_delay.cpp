#include "cyclamenwind/mesh/transit_delay.h"

#include <algorithm>

namespace cyclamenwind {
namespace {

// The clocks of two hosts drift apart by less than a millisecond in this time.
constexpr Duration Window = 10s;
// No request lasts as long as this: a larger difference means that the sender's
// host was started anew, and its clock with it.
constexpr Duration MaxPlausibleExcess = 10s;

} // namespace

Duration TransitDelay::excess(const Address &Peer, Duration SentAt,
                              Duration ReceivedAt) {
  Duration Difference = ReceivedAt - SentAt;
  PeerState Fresh{ReceivedAt, Difference, Difference};
  auto [Position, IsNew] = Peers.emplace(Peer, Fresh);
  PeerState &State = Position->second;
  if (IsNew)
    return Duration::zero();
  if (ReceivedAt - State.WindowStart >= Window) {
    State.SmallestInPrevious = State.SmallestInWindow;
    State.SmallestInWindow = Difference;
    State.WindowStart = ReceivedAt;
  }
  State.SmallestInWindow = std::min(State.SmallestInWindow, Difference);
  Duration Excess =
      Difference - std::min(State.SmallestInWindow, State.SmallestInPrevious);
  if (Excess <= MaxPlausibleExcess)
    return Excess;
  State = Fresh;
  return Duration::zero();
}

} // namespace cyclamenwind
