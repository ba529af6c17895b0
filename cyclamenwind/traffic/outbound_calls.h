// OutboundCalls: the half of a call that faces the caller.
//
// Accepts a caller's request, finds its route in the snapshot in force, chooses
// version and endpoint, and sends the request to the daemon beside the chosen
// backend server. A refused attempt is tried elsewhere while time is left, even
// for requests that may not be repeated, since it was not run. An attempt of
// unknown end is tried again only if the route is repeatable. Both are subject
// to the RetryPolicy.
//
// Each attempt has an id of its own between daemons, from a random start in
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

  // Takes one request from a caller.
  void accept(ExchangePtr Received);

  // Refuses new requests; those under way go on.
  void refuseNew() { ShuttingDown = true; }

  // Requests that have not been answered yet.
  size_t active() const { return Calls.size(); }

private:
  struct Call {
    ExchangePtr Caller;
    SnapshotPtr Config; // Keeps Route and Service alive.
    const RouteSpec *Route = nullptr;
    const ServiceSpec *Target = nullptr;
    wire::CallRequest Request;
    uint64_t CallerHash = 0;
    std::optional<Claim> Held; // Once granted.
    TimePoint Deadline;
    int Attempts = 0;
    int UnknownAttempts = 0;
    std::set<std::string> Tried;
    CallReason LastReason = CallReason::NoServer;
    // The attempt under way.
    bool Delivered = false; // The stream that carried it was retired.
    std::string MemberId;
    Address Peer;
    std::string Version;
    TimePoint AttemptBegun;
    uint64_t LocalNumber = 0;
    TimerHandle Timeout;
  };

  void refuseAtOnce(const ExchangePtr &Received, CallReason Reason);
  void claim(uint64_t Id);
  void claimed(uint64_t Id, const ClaimOutcome &Outcome);
  void begin(uint64_t Id);
  void attempt(uint64_t Id);
  void dispatch(uint64_t Id);
  void receiveReply(const Address &From, std::string_view Payload);
  void peerDisconnected(const Address &Peer, PeerDisconnect End);
  void attemptEnded(uint64_t Id, const wire::CallReply &Reply);
  void observe(const Call &Ended, const wire::CallReply &Reply);
  RetryVerdict mayRetry(const Call &Candidate, CallOutcome End);
  void timedOut(uint64_t Id);
  void callerLeft(uint64_t Id);
  void cancelAttempt(uint64_t Id, Call &Cancelled);
  void answer(uint64_t Id, const wire::CallReply &Reply, bool Replayed);
  void end(uint64_t Id, CallOutcome End, CallReason Reason,
           RetryVerdict Verdict = RetryVerdict::Retry);

  Address Self;
  std::string MemberId;
  std::string FailureDomain;
  Clock *Time = nullptr;
  Scheduler *Timers = nullptr;
  ConfigStore *Config = nullptr;
  MembershipView *Members = nullptr;
  PeerTransport *Peers = nullptr;
  InboundCalls *LocalSide = nullptr;
  VersionChooser *Versions = nullptr;
  Metrics *Counters = nullptr;
  Random *Rng = nullptr;
  std::unique_ptr<Balancer> Balance;
  std::unique_ptr<Claims> KeyClaims;
  std::map<uint64_t, Call> Calls;
  RetryPolicy Retries;
  uint64_t NextId = 1;
  bool ShuttingDown = false;
};

} // namespace cyclamenwind

#endif
