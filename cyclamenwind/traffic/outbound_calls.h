// OutboundCalls: accepts callers' requests and sends them to backend servers.
//
// Finds the route of a request in the active configuration snapshot, chooses
// version and endpoint, and sends the request to the daemon on the host of the
// chosen backend server. An attempt refused before execution is retried on
// another server while time is left, also on routes that are not idempotent.
// An attempt with an unknown outcome is retried only if the route is
// idempotent. Both kinds of retries are subject to the RetryPolicy.
//
// Each attempt has its own id between daemons, counted from a random start in
// each process, so that a reply to an earlier attempt, or to an earlier process
// at this address, is recognised and dropped.

#ifndef CYCLAMENWIND_TRAFFIC_OUTBOUND_CALLS_H
#define CYCLAMENWIND_TRAFFIC_OUTBOUND_CALLS_H

#include "cyclamenwind/base/kernel.h"
#include "cyclamenwind/base/settings.h"
#include "cyclamenwind/config/store.h"
#include "cyclamenwind/http/exchange.h"
#include "cyclamenwind/membership/membership.h"
#include "cyclamenwind/operators/metrics.h"
#include "cyclamenwind/peer/transport.h"
#include "cyclamenwind/traffic/balancer.h"
#include "cyclamenwind/traffic/claims.h"
#include "cyclamenwind/traffic/inbound_calls.h"
#include "cyclamenwind/traffic/retry.h"
#include "cyclamenwind/traffic/versions.h"

namespace cyclamenwind {

// A service named "caller_side".
class OutboundCalls final : public Service {
public:
  explicit OutboundCalls(const Settings &TheSettings);

  std::string_view name() const override { return "caller_side"; }
  void start(Kernel &TheKernel) override;

  // Accepts one request from a caller.
  void accept(ExchangePtr Received);

  // Refuses new requests; active ones continue.
  void refuseNew() { ShuttingDown = true; }

  // Number of requests that have not been answered.
  size_t active() const { return Calls.size(); }

private:
  struct Call {
    ExchangePtr Caller;
    SnapshotPtr Config; // Owns what Route and TargetService point to.
    const RouteSpec *Route = nullptr;
    const ServiceSpec *TargetService = nullptr;
    wire::CallRequest Request;
    uint64_t CallerHash = 0;
    std::optional<Claim> HeldClaim; // Set once the claim is granted.
    TimePoint Deadline;
    int Attempts = 0;
    int UnknownAttempts = 0;
    std::set<std::string> Tried;
    CallReason LastReason = CallReason::NoServer;
    // State of the current attempt. Delivered is set when the stream that
    // carried it was retired, which means that the peer has received it.
    bool Delivered = false;
    std::string MemberId;
    Address Peer;
    std::string Version;
    TimePoint AttemptStarted;
    uint64_t InboundCallNumber = 0;
    TimerHandle Timeout;
  };

  void refuseImmediately(const ExchangePtr &Received, CallReason Reason);
  void acquireClaim(uint64_t Id);
  void claimCompleted(uint64_t Id, const ClaimOutcome &Outcome);
  void startFirstAttempt(uint64_t Id);
  void startAttempt(uint64_t Id);
  void sendAttempt(uint64_t Id);
  void receiveReply(const Address &From, std::string_view Payload);
  void peerDisconnected(const Address &Peer, PeerDisconnect Cause);
  void attemptFinished(uint64_t Id, const wire::CallReply &Reply);
  void recordAttempt(const Call &Ended, const wire::CallReply &Reply);
  RetryDecision decideRetry(const Call &Candidate, CallOutcome Outcome);
  void deadlineExpired(uint64_t Id);
  void callerDisconnected(uint64_t Id);
  void cancelAttempt(uint64_t Id, Call &Cancelled);
  void sendAnswer(uint64_t Id, const wire::CallReply &Reply, bool Replayed);
  void sendFailure(uint64_t Id, CallOutcome Outcome, CallReason Reason,
                   RetryDecision Decision = RetryDecision::Retry);

  Address Self;
  std::string MemberId;
  std::string FailureDomain;
  Clock *Time = nullptr;
  Scheduler *Timers = nullptr;
  ConfigStore *Config = nullptr;
  MembershipView *Members = nullptr;
  PeerTransport *Peers = nullptr;
  InboundCalls *Inbound = nullptr;
  VersionChooser *Versions = nullptr;
  Metrics *CallMetrics = nullptr;
  Random *Rng = nullptr;
  std::unique_ptr<Balancer> EndpointBalancer;
  std::unique_ptr<Claims> IdempotencyClaims;
  std::map<uint64_t, Call> Calls;
  RetryPolicy Retries;
  uint64_t NextId = 1;
  bool ShuttingDown = false;
};

} // namespace cyclamenwind

#endif
