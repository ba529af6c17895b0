// The part of OutboundProxy that handles peers which are unreachable or have
// become unresponsive.

#include "cyclamenwind/base/log.h"
#include "cyclamenwind/mesh/outbound_proxy.h"

#include <algorithm>

namespace cyclamenwind {
namespace {

// A peer from which nothing was received for this long after an attempt was
// sent is probed.
constexpr Duration ProbeAfter = 200ms;
// A peer from which nothing was received for this long counts as unresponsive.
// CPU throttling may stop either host for most of 100 ms.
constexpr Duration UnresponsiveAfter = 500ms;
// A stream that is not up after this long is closed; the frames queued for it
// have not been sent.
constexpr Duration ConnectTimeout = 250ms;
// A stream on which nothing was received for this long while requests wait is
// replaced: a connection may have stopped working for good although new ones
// work.
constexpr Duration ReconnectAfter = 1s;
// Time for which the servers of an unreachable peer are avoided.
constexpr Duration AvoidUnreachable = 1500ms;

} // namespace

// Frames sent on a lost stream may have reached the peer, which then replies on
// a new stream.
void OutboundProxy::peerDisconnected(const Address &Peer,
                                     PeerDisconnect Reason) {
  if (Reason == PeerDisconnect::Retired)
    return;
  std::vector<uint64_t> Affected;
  for (const auto &[Number, TheAttempt] : Attempts)
    if (TheAttempt.DaemonAddress == Peer && TheAttempt.LocalHandle == 0)
      Affected.push_back(Number);
  if (Affected.empty())
    return;
  logWarning("peer_lost",
             {{"peer", Peer.text()},
              {"requests", Affected.size()},
              {"delivered", int(Reason != PeerDisconnect::NeverConnected)}});
  TimePoint Now = Time->now();
  for (uint64_t Number : Affected) {
    auto Found = Attempts.find(Number);
    if (Found == Attempts.end())
      continue;
    Balancer->avoid(Found->second.EndpointId, AvoidUnreachable, Now);
    if (Reason == PeerDisconnect::NeverConnected) {
      wire::ForwardReply Reply;
      Reply.outcome = wire::ForwardOutcome::NOT_RUN;
      Reply.reason = nameOf(ForwardError::ConnectFailed);
      onAttemptEnded(Number, std::move(Reply));
    } else {
      handleUnresponsive(Number);
    }
  }
}

void OutboundProxy::checkResponsiveness() {
  if (Attempts.empty()) {
    ResponsivenessTimer.reset();
    return;
  }
  TimePoint Now = Time->now();
  std::vector<uint64_t> UnresponsiveAttempts;
  std::set<Address> ToReconnect;
  std::set<Address> Probed;
  for (auto &[Number, TheAttempt] : Attempts) {
    if (TheAttempt.LocalHandle != 0)
      continue;
    Duration SinceReceived =
        Now - std::max(TheAttempt.Sent,
                       Peers->lastReceived(TheAttempt.DaemonAddress));
    bool Connecting = !Peers->isConnected(TheAttempt.DaemonAddress);
    if (SinceReceived > (Connecting ? ConnectTimeout : ReconnectAfter))
      ToReconnect.insert(TheAttempt.DaemonAddress);
    else if (SinceReceived > UnresponsiveAfter)
      UnresponsiveAttempts.push_back(Number);
    else if (SinceReceived > ProbeAfter &&
             Probed.insert(TheAttempt.DaemonAddress).second)
      Peers->probe(TheAttempt.DaemonAddress);
  }
  for (uint64_t Number : UnresponsiveAttempts)
    if (Attempts.count(Number) != 0)
      handleUnresponsive(Number);
  for (const Address &Peer : ToReconnect)
    Peers->reconnect(Peer);
}

// The peer may still reply, so the attempt stays. An idempotent request is also
// sent to another server.
void OutboundProxy::handleUnresponsive(uint64_t Number) {
  Attempt &TheAttempt = Attempts.at(Number);
  if (TheAttempt.Unresponsive)
    return;
  if (!TheAttempt.mayHaveRun()) {
    withdrawOffer(Number);
    return;
  }
  TheAttempt.Unresponsive = true;
  TimePoint Now = Time->now();
  uint64_t Id = TheAttempt.CallId;
  Balancer->avoid(TheAttempt.EndpointId, AvoidUnreachable, Now);
  Call &TheCall = Calls.at(Id);
  TheCall.MayHaveRun = true;
  TheCall.LastError = ForwardError::ConnectionLost;
  logWarning("gate_silent", {{"request", TheCall.AttemptId},
                             {"gate", TheAttempt.DaemonAddress.text()},
                             {"server", TheAttempt.EndpointId}});
  ++TheCall.ServersReached;
  if (TheCall.Route->Idempotent &&
      mayRetry(TheCall, /*ReachedServer=*/true, /*Executed=*/true, Now))
    dispatch(Id, /*IsRetry=*/true);
}

} // namespace cyclamenwind
