// Forwarder: the half of a request that faces the caller.
//
// Finds the request's route in the configuration in force, chooses a backend
// server and hands the request to the gate beside it. A refused request was not
// run and is tried elsewhere; one of unknown end only if its route is
// idempotent. Requests to a second server draw on the RetryBudget. An
// idempotent request whose gate has fallen silent is sent elsewhere while the
// first attempt goes on, and the first answer counts.
//
// Every request ends with the server's answer; with 503 if it has certainly not
// run; or with 502 or 504 if it may have. A final answer is given at the
// route's timeout at the latest.

#ifndef CYCLAMENWIND_MESH_OUTBOUND_PROXY_H
#define CYCLAMENWIND_MESH_OUTBOUND_PROXY_H

#include "cyclamenwind/base/kernel.h"
#include "cyclamenwind/http/exchange.h"
#include "cyclamenwind/mesh/header_codec.h"
#include "cyclamenwind/mesh/inbound_proxy.h"
#include "cyclamenwind/mesh/mesh_balancer.h"
#include "cyclamenwind/mesh/mesh_state.h"
#include "cyclamenwind/mesh/retry_budget.h"
#include "cyclamenwind/operators/metrics.h"

namespace cyclamenwind {

struct OutboundProxyOptions {
  std::string FailureDomain;
  std::string CallerService; // Service of the server beside this daemon.
  RetryBudgetOptions Retries;
};

// A service named "forwarder".
class OutboundProxy final : public Service {
public:
  OutboundProxy(const OutboundProxyOptions &Options, const HeaderCodec &Format);

  std::string_view name() const override { return "forwarder"; }
  void start(Kernel &TheKernel) override;
  void stop() override;

  // Takes one request.
  void accept(const ExchangePtr &Received);

  // Requests that have not been answered yet.
  size_t active() const { return Calls.size(); }

  RetryBudget &retryBudget() { return Allowance; }
  MeshBalancer &chooser() { return *Chooser; }

private:
  struct Attempt {
    uint64_t CallId = 0;
    std::string EndpointId;
    Address DaemonAddress;
    RequestHandle LocalTicket = 0; // If the gate is this daemon's.
    TimePoint Sent;
    bool Silent = false; // Given up hope of, but may still answer.
  };
  struct Call {
    ExchangePtr Caller;
    RouteTablePtr Table; // Keeps Route alive.
    const MeshRoute *Route = nullptr;
    std::string Service;
    std::string AttemptId;
    HttpRequest Request;
    bool Nested = false;
    TimePoint Received;
    TimePoint FinalBy; // The last moment for an answer.
    std::set<std::string> Tried;
    std::set<uint64_t> Attempts; // Under way.
    int Arrivals = 0;            // Servers that saw the request.
    int Refusals = 0;            // By gates.
    bool MayHaveRun = false;
    Duration ExpectedWait{};
    ForwardError LastReason = ForwardError::NoServer;
    std::optional<wire::ForwardReply> Failure; // A server's own, if nothing
                                               // better comes.
    TimerHandle Timeout;
  };

  void dispatch(uint64_t Id, bool Repeat);
  const MeshEndpoint *chooseServer(Call &Chosen, TimePoint Now);
  std::vector<const MeshEndpoint *>
  reachable(const std::vector<const MeshEndpoint *> &Candidates) const;
  void send(uint64_t Id, const MeshEndpoint &Target, TimePoint Now);
  wire::ForwardRequest messageFor(const Call &Sent, uint64_t AttemptNumber,
                                  const MeshEndpoint &Target,
                                  TimePoint Now) const;
  void receiveReply(const Address &From, std::string_view Payload);
  void attemptEnded(uint64_t AttemptNumber, wire::ForwardReply Reply);
  void learn(const Attempt &Ended, const wire::ForwardReply &Reply,
             TimePoint Now);
  bool mayRepeat(const Call &Failed, bool Arrived, bool Ran, TimePoint Now);
  bool betterServerLeft(const Call &Failed, TimePoint Now) const;
  void continueAfter(uint64_t Id, wire::ForwardReply Reply);
  void peerDisconnected(const Address &Peer, PeerDisconnect End);
  void checkSilence();
  void handleSilent(uint64_t AttemptNumber);
  void timedOut(uint64_t Id);
  void callerLeft(uint64_t Id);
  void cancelAttempts(Call &Ended);
  void answer(uint64_t Id, const wire::ForwardReply &Reply);
  void endUnserved(uint64_t Id);
  void endWithoutAnswer(uint64_t Id);
  void finish(uint64_t Id, HttpResponse Response, std::string_view Outcome);
  Duration retryDelay(const Call &Refused, TimePoint Now);

  OutboundProxyOptions Options;
  const HeaderCodec &Format;
  Clock *Time = nullptr;
  Scheduler *Timers = nullptr;
  PeerTransport *Peers = nullptr;
  InboundProxy *LocalGate = nullptr;
  MeshState *State = nullptr;
  Metrics *Counters = nullptr;
  Random *Rng = nullptr;
  std::unique_ptr<MeshBalancer> Chooser;
  RetryBudget Allowance;
  std::map<uint64_t, Call> Calls;
  std::map<uint64_t, Attempt> Attempts;
  uint64_t NextCall = 1;
  // Random start, so that replies to an earlier process are not mistaken.
  uint64_t NextAttempt = 1;
  TimerHandle SilenceTimer;
};

} // namespace cyclamenwind

#endif
