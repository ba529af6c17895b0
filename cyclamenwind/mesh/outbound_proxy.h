// OutboundProxy: routes callers' requests to backend servers.
//
// Finds a request's route in the applied configuration, chooses a backend
// server and sends the request to the inbound proxy of that server's daemon. A
// request that was refused before execution is retried on another server; a
// request whose outcome is unknown only if its route is idempotent. Retries of
// requests that reached a server are limited by the RetryBudget. If the daemon
// that an idempotent request was sent to becomes unresponsive, the request is
// also sent to another server while the first attempt goes on; the caller gets
// the first successful response.
//
// If the configuration has workspaces, a request needs the key of one, unless
// its route is public; without it the caller gets 401. No key is sent on. The
// calls of backend servers carry no key; the operators' configuration makes
// their routes public. A request of a workspace with a limit is sent when its
// allowance admits it, and gets 429 if it does not (allowance_gate.h).
//
// A request with a large body (large_body.h) to another host is first sent
// without the body, as an offer. The body follows when the daemon there accepts
// it, unless the caller has left meanwhile. A request whose body was not sent
// has not run: if the daemon becomes unresponsive, the offer is withdrawn and
// the request may go elsewhere whatever its kind.
//
// The caller of a routed request gets the server's response, 503 if no server
// has run the request, or 502 or 504 if a server may have run it. It gets this
// response within the route's timeout and before its own deadline, and before
// this daemon stops.

#ifndef CYCLAMENWIND_MESH_OUTBOUND_PROXY_H
#define CYCLAMENWIND_MESH_OUTBOUND_PROXY_H

#include "cyclamenwind/base/kernel.h"
#include "cyclamenwind/http/exchange.h"
#include "cyclamenwind/mesh/allowance_gate.h"
#include "cyclamenwind/mesh/header_codec.h"
#include "cyclamenwind/mesh/inbound_proxy.h"
#include "cyclamenwind/mesh/mesh_balancer.h"
#include "cyclamenwind/mesh/mesh_state.h"
#include "cyclamenwind/mesh/retry_budget.h"
#include "cyclamenwind/operators/metrics.h"

namespace cyclamenwind {

struct OutboundProxyOptions {
  std::string FailureDomain;
  std::string CallerService; // Service of the local backend server.
  RetryBudgetOptions Retries;
};

// A service named "forwarder".
class OutboundProxy final : public Service {
public:
  OutboundProxy(const OutboundProxyOptions &Options, const HeaderCodec &Codec);

  std::string_view name() const override { return "forwarder"; }
  void start(Kernel &TheKernel) override;
  void stop() override;

  // Handles one request of a caller.
  void accept(const ExchangePtr &Received);

  // Requests of workspaces are admitted by Gate, which must outlive the calls
  // of accept(). Without it all are admitted.
  void limitWith(AllowanceGate &Gate);

  // Number of requests that have not been answered yet.
  size_t active() const { return Calls.size(); }

  // This daemon stops and can answer callers only until EndsAt: tells the
  // daemons that requests were or will be sent to, which refuse what is not
  // expected to end before.
  void answerBy(TimePoint EndsAt);

  // Answers all requests without an answer: 502 if a server may have run them.
  // Requests that run are not cancelled.
  void answerAll();

  RetryBudget &retryBudget() { return Budget; }
  MeshBalancer &balancer() { return *Balancer; }

private:
  // Whether a request has got its part of its workspace's allowance.
  enum class AllowanceState { NotNeeded, Pending, Taken };
  struct Attempt {
    uint64_t CallId = 0;
    std::string EndpointId;
    Address DaemonAddress;
    RequestHandle LocalHandle = 0; // Nonzero if submitted to Inbound.
    TimePoint Sent;
    bool Unresponsive = false; // Its daemon may still reply.
    bool Offered = false;      // Sent without its body.
    bool BodySent = false;     // The body of an offer was sent.

    bool mayHaveRun() const { return !Offered || BodySent; }
  };
  struct Call {
    ExchangePtr Caller;
    RouteTablePtr Table; // Keeps Route alive.
    const MeshRoute *Route = nullptr;
    std::string Service;
    std::string AttemptId;
    HttpRequest Request;
    bool Nested = false;
    const Workspace *Owner = nullptr; // Of the caller's key; kept by Table.
    AllowanceState Allowance = AllowanceState::NotNeeded;
    TimePoint Received;
    TimePoint ReplyBy; // Latest time to answer the caller.
    std::set<std::string> Tried;
    std::set<uint64_t> Attempts; // Without a reply yet.
    int ServersReached = 0;      // Attempts that reached a server, or may have.
    int Refusals = 0;            // Attempts refused before they reached one.
    bool MayHaveRun = false;
    Duration ExpectedWait{};
    // The shortest wait for a cold server, if one refused the request or was
    // not asked.
    std::optional<Duration> WarmupWait;
    ForwardError LastError = ForwardError::NoServer;
    // A server's error response, which the caller gets if no attempt succeeds.
    std::optional<wire::ForwardReply> ErrorReply;
    TimerHandle Timeout;
  };

  bool identifyWorkspace(Call &TheCall) const;
  void takeAllowance(uint64_t Id);
  void onAllowanceDecided(uint64_t Id, const AllowanceAnswer &Answer);
  void releaseAllowance(uint64_t Id, const Call &TheCall, bool NotRun);
  void dispatch(uint64_t Id, bool IsRetry);
  const MeshEndpoint *chooseServer(Call &TheCall, TimePoint Now);
  std::vector<const MeshEndpoint *>
  preferConnected(const std::vector<const MeshEndpoint *> &Candidates) const;
  void send(uint64_t Id, const MeshEndpoint &Target, TimePoint Now);
  wire::ForwardRequest makeForwardRequest(const Call &TheCall, uint64_t Number,
                                          const MeshEndpoint &Target,
                                          TimePoint Now) const;
  void receiveReply(const Address &From, std::string_view Payload);
  void onAttemptEnded(uint64_t Number, wire::ForwardReply Reply);
  void markLeaving(const std::string &EndpointId);
  void updateBalancer(const Attempt &TheAttempt,
                      const wire::ForwardReply &Reply, TimePoint Now);
  std::vector<const MeshEndpoint *>
  withoutEvacuated(std::vector<const MeshEndpoint *> Servers,
                   TimePoint Now) const;
  void noteWarmupWait(Call &TheCall, Duration Wait);
  bool mayRetry(const Call &TheCall, bool ReachedServer, bool Executed,
                TimePoint Now);
  bool hasHealthierServer(const Call &TheCall, TimePoint Now) const;
  void retryOrFinish(uint64_t Id, wire::ForwardReply Reply);
  void peerDisconnected(const Address &Peer, PeerDisconnect Reason);
  void checkResponsiveness();
  void handleUnresponsive(uint64_t Number);
  void receiveAccept(const Address &From, std::string_view Payload);
  void withdrawOffer(uint64_t Number);
  bool hasAttemptThatMayHaveRun(const Call &TheCall) const;
  void onTimeout(uint64_t Id);
  void onCallerDisconnected(uint64_t Id);
  void cancelAttempts(Call &TheCall);
  void finishWithReply(uint64_t Id, const wire::ForwardReply &Reply);
  void finishUnserved(uint64_t Id);
  void finishWithoutResponse(uint64_t Id);
  void finish(uint64_t Id, HttpResponse Response, std::string_view Outcome);
  Duration retryDelay(const Call &TheCall, TimePoint Now);

  OutboundProxyOptions Options;
  const HeaderCodec &Codec;
  Clock *Time = nullptr;
  Scheduler *Timers = nullptr;
  PeerTransport *Peers = nullptr;
  InboundProxy *Inbound = nullptr;
  MeshState *State = nullptr;
  Metrics *Counters = nullptr;
  Random *Rng = nullptr;
  AllowanceGate *Allowances = nullptr; // Set by limitWith().
  std::unique_ptr<MeshBalancer> Balancer;
  RetryBudget Budget;
  std::map<uint64_t, Call> Calls;
  std::map<uint64_t, Attempt> Attempts;
  // Failure domains whose daemons said that they are evacuated, and until when
  // they are avoided; this daemon may not have learned it yet.
  std::map<std::string, TimePoint> RefusedDomains;
  ResponseSizes Sizes;
  std::optional<TimePoint> AnswersEndAt; // Set by answerBy().
  uint64_t NextCall = 1;
  // Starts at a random number, so that a reply meant for an earlier process of
  // this daemon does not match an attempt.
  uint64_t NextAttempt = 1;
  TimerHandle ResponsivenessTimer;
};

} // namespace cyclamenwind

#endif
