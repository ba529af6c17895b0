// The part of Forwarder that copes with gates that cannot be reached or have
// fallen silent.

#include "cyclamenwind/base/log.h"
#include "cyclamenwind/mesh/outbound_proxy.h"

#include <algorithm>

namespace cyclamenwind {
namespace {

// A gate that has not been heard for this long since an attempt was sent is
// asked for a sign of life.
constexpr Duration ProbeAfter = 200ms;
// A gate that has not been heard for this long is taken to be unreachable. A
// host's processor share may be used up for most of a tenth of a second, on
// either side.
constexpr Duration SilentAfter = 500ms;
// A stream that does not stand after this long is given up: what was to be sent
// on it has not been sent.
constexpr Duration ConnectPatience = 250ms;
// A stream on which nothing came for this long though requests wait is
// replaced: a connection may have gone silent for good while new ones work.
constexpr Duration RenewAfter = 1s;
// How long unreachable gates and servers are avoided.
constexpr Duration AvoidUnreachable = 1500ms;

} // namespace

// Frames that were sent on a broken stream may have arrived, and the gate
// answers over a new one.
void OutboundProxy::peerDisconnected(const Address &Peer, PeerDisconnect End) {
  if (End == PeerDisconnect::Retired)
    return;
  std::vector<uint64_t> Affected;
  for (const auto &[Number, Each] : Attempts)
    if (Each.DaemonAddress == Peer && Each.LocalTicket == 0)
      Affected.push_back(Number);
  if (Affected.empty())
    return;
  logWarning("peer_lost", {{"peer", Peer.text()},
                           {"requests", Affected.size()},
                           {"delivered", int(End == PeerDisconnect::Lost)}});
  TimePoint Now = Time->now();
  for (uint64_t Number : Affected) {
    auto Found = Attempts.find(Number);
    if (Found == Attempts.end())
      continue;
    Chooser->avoid(Found->second.EndpointId, AvoidUnreachable, Now);
    if (End == PeerDisconnect::NeverConnected) {
      wire::ForwardReply Reply;
      Reply.outcome = wire::ForwardOutcome::NOT_RUN;
      Reply.reason = nameOf(ForwardError::ConnectFailed);
      attemptEnded(Number, std::move(Reply));
    } else {
      handleSilent(Number);
    }
  }
}

void OutboundProxy::checkSilence() {
  if (Attempts.empty()) {
    SilenceTimer.reset();
    return;
  }
  TimePoint Now = Time->now();
  std::vector<uint64_t> Silent;
  std::set<Address> Dead;
  std::set<Address> Probed;
  for (auto &[Number, Each] : Attempts) {
    if (Each.LocalTicket != 0)
      continue;
    Duration Quiet =
        Now - std::max(Each.Sent, Peers->lastReceived(Each.DaemonAddress));
    bool Connecting = !Peers->isConnected(Each.DaemonAddress);
    if (Quiet > (Connecting ? ConnectPatience : RenewAfter))
      Dead.insert(Each.DaemonAddress);
    else if (Quiet > SilentAfter)
      Silent.push_back(Number);
    else if (Quiet > ProbeAfter && Probed.insert(Each.DaemonAddress).second)
      Peers->probe(Each.DaemonAddress);
  }
  for (uint64_t Number : Silent)
    if (Attempts.count(Number) != 0)
      handleSilent(Number);
  for (const Address &Each : Dead)
    Peers->reconnect(Each);
}

// The gate may still answer; an idempotent request is also sent elsewhere.
void OutboundProxy::handleSilent(uint64_t Number) {
  Attempt &Waiting = Attempts.at(Number);
  if (Waiting.Silent)
    return;
  Waiting.Silent = true;
  TimePoint Now = Time->now();
  uint64_t Id = Waiting.CallId;
  Chooser->avoid(Waiting.EndpointId, AvoidUnreachable, Now);
  Call &Present = Calls.at(Id);
  Present.MayHaveRun = true;
  Present.LastReason = ForwardError::Lost;
  logWarning("gate_silent", {{"request", Present.AttemptId},
                             {"gate", Waiting.DaemonAddress.text()},
                             {"server", Waiting.EndpointId}});
  ++Present.Arrivals;
  if (Present.Route->Idempotent &&
      mayRepeat(Present, /*Arrived=*/true, /*Ran=*/true, Now))
    dispatch(Id, /*Repeat=*/true);
}

} // namespace cyclamenwind
