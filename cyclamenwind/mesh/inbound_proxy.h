// InboundProxy: runs requests on the local backend server.
//
// Only this daemon connects to the local backend server, so the inbound proxy
// decides whether a request reaches it. It refuses requests after the server
// has reported that it is leaving, requests that the server's slots and its
// rate limit cannot serve in time (admission_queue.h), requests meant for
// another incarnation, and requests to a version that was found to be bad. Such
// a refusal is sent before any byte goes to the server, which guarantees that
// the request did not run.
//
// A server that is cold gets only the requests that warmup_limiter.h permits.
// If its service has a limit for cold servers, a server that accepted no
// connection gets no request before it has answered a health check, since it
// may have been restarted and be cold.
//
// While the server's failure domain is evacuated, it gets no requests. After
// the evacuation it is treated as cold until it has answered a health check.
//
// A server states its rate limit, and that it is leaving, in its responses. The
// senders hear of both with each reply and pass the limit on with each request,
// so that a restarted daemon knows it before the server's first response.
//
// When this daemon or the sender stops, no response can be passed on after a
// known time. Requests that are not expected to end before it are refused as
// soon as that is known, and what still waits or runs at the time is answered:
// a request that did not run, as not run, so that it can be sent elsewhere.
//
// A request of a peer with a large body arrives as an offer without the body.
// The admission rules are applied to the offer, and again when the body is
// accepted (ingress_scheduler.h) and when it has arrived; only then does the
// request enter the queue. A request whose body has not arrived has not run.
//
// Requests come from the outbound proxies of peers and of this daemon. When the
// sender cancels a request, the inbound proxy closes the connection on which
// the server runs it. The news that a caller has left may be late or lost. A
// request that waited is therefore not started if nothing was received from its
// sender meanwhile, and the time by which a request was held up on its way
// (transit_delay.h) is taken off the time that it has left.

#ifndef CYCLAMENWIND_MESH_INBOUND_PROXY_H
#define CYCLAMENWIND_MESH_INBOUND_PROXY_H

#include "cyclamenwind/base/kernel.h"
#include "cyclamenwind/base/memory_budget.h"
#include "cyclamenwind/http/client.h"
#include "cyclamenwind/mesh/admission_queue.h"
#include "cyclamenwind/mesh/config.h"
#include "cyclamenwind/mesh/config_position.h"
#include "cyclamenwind/mesh/dependency_admission.h"
#include "cyclamenwind/mesh/endpoint_directory.h"
#include "cyclamenwind/mesh/failure_share.h"
#include "cyclamenwind/mesh/header_codec.h"
#include "cyclamenwind/mesh/ingress_scheduler.h"
#include "cyclamenwind/mesh/response_sizes.h"
#include "cyclamenwind/mesh/transit_delay.h"
#include "cyclamenwind/mesh/version_outcomes.h"
#include "cyclamenwind/operators/metrics.h"
#include "cyclamenwind/peer/transport.h"
#include "cyclamenwind/wire/gen-cpp/mesh_types.h"

namespace cyclamenwind {

// Why a request was not answered.
enum class ForwardError {
  None,
  NoServer,    // No such local backend server.
  Leaving,     // The server has reported that it is leaving.
  Stopping,    // This daemon is shutting down.
  Overloaded,  // The request was not expected to end in time.
  RateLimited, // The same, because of the server's rate limit.
  // Calls that the server makes inside such requests fail.
  DependencyOverloaded,
  WarmingUp,      // The same, because the server is cold.
  Evacuated,      // The server's failure domain is evacuated.
  Expired,        // The request waited until it could no longer end in time.
  SenderSilent,   // It waited, and nothing was received from its sender.
  LinkFull,       // Its body would arrive too late because of other bodies.
  BodyMissing,    // Its offer is invalid, or its body did not come as offered.
  BadVersion,     // The server's version was found to be bad.
  ConnectFailed,  // The server does not accept connections.
  Shed,           // The server reported that it did not run the request.
  BadResponse,    // The server's response cannot be passed on.
  ConnectionLost, // The connection was lost after the request was sent.
  TimedOut,
  Cancelled,
};

std::string_view nameOf(ForwardError Reason);

// Returns nothing if Name is not the name of a ForwardError.
std::optional<ForwardError> parseForwardError(std::string_view Name);

class MeshState;

using ForwardCallback = std::function<void(wire::ForwardReply)>;

struct InboundProxyOptions {
  WarmupOptions Warmup = {};
  double LinkBytesPerSecond = 0; // Rate of the host's link; 0 if not known.
};

// A service named "gate".
class InboundProxy final : public Service {
public:
  InboundProxy(std::unique_ptr<HttpSender> Sender, const HeaderCodec &Codec,
               const InboundProxyOptions &Options = {})
      : Sender(std::move(Sender)), Codec(Codec), WarmupLimits(Options.Warmup),
        Bodies(Options.LinkBytesPerSecond) {}

  std::string_view name() const override { return "gate"; }
  void start(Kernel &TheKernel) override;
  void stop() override;

  // Updates the record of a local backend server.
  void serverChanged(const MeshEndpoint &Record);

  // LocalServerRegistry has received no liveness report of the server Id for
  // MaxMissedReports report periods: refuses requests to it until the next
  // serverChanged().
  void serverTimedOut(const std::string &Id);

  // Runs Request on a local backend server. Calls OnDone exactly once unless
  // the request is cancelled, and never from within submit(). Returns a handle
  // for cancel().
  RequestHandle submit(wire::ForwardRequest Request, ForwardCallback OnDone);

  // Sends a health check to Path on the server of Record. Calls OnDone with
  // true if that server answers that it is healthy and not leaving; with false
  // if it answers otherwise, does not answer, or another server answers. Never
  // calls OnDone from within checkHealth().
  void checkHealth(const MeshEndpoint &Record, const std::string &Path,
                   std::function<void(bool Healthy)> OnDone);

  // A liveness report of the server of Record, with the sequence number of
  // Record, says that it stays cold for this time. Ignores it if a newer report
  // is known, and with a log line if it is no valid warm-up. Returns whether
  // the server turned cold and gets fewer requests therefore.
  bool reportWarmup(const MeshEndpoint &Record, double Milliseconds);

  // What senders have to know of the server Id; nothing if it is not cold or
  // has no limit while it is cold.
  std::optional<ServerWarmup> warmup(const std::string &Id) const;

  // Number of local backend servers that get fewer requests because they are
  // cold.
  size_t coldServers() const;

  // Cancels a request; its OnDone is not called afterwards.
  void cancel(RequestHandle Handle);

  // Tells that the sender of a request can pass on a response only until
  // AnswerBy. The request goes on if it runs, and is refused if it waits and is
  // not expected to end before.
  void limitAnswer(RequestHandle Handle, TimePoint AnswerBy);

  // This daemon stops and can send responses only until EndsAt: applies it to
  // all requests, also those submitted from now on.
  void answerBy(TimePoint EndsAt);

  // Refuses all requests that wait, also for their bodies, and ends those that
  // run with an unknown outcome. Their OnDone is called.
  void endAll();

  // Refuses requests submitted from now on. Running and queued requests go on.
  void refuseNew() { Stopping = true; }

  // A call from this host to a service that takes uploads has ended; uploads
  // themselves are not counted. Such calls, which mostly are those of the local
  // backend server, share the links of the receiving hosts with large bodies;
  // while many fail, requests that need them are refused
  // (dependency_admission.h).
  void nestedCallEnded(bool Succeeded);

  // Requests that are queued or running.
  size_t active() const { return Requests.size(); }

  // Number of local backend servers with a record here.
  size_t servers() const { return LocalServers.size(); }

  // Sizes of the responses of the local backend servers.
  ResponseSizes &responseSizes() { return Sizes; }

  // Outcomes of each version of the local backend servers, for rollouts.
  VersionOutcomes &outcomes() { return Outcomes; }

  // Returns whether requests may be sent to Version of Service.
  std::function<bool(const std::string &Service, const std::string &Version)>
      VersionAllowed;
  // Returns the expected time that a response of Bytes waits for others before
  // it leaves this host. If empty, no response waits.
  std::function<Duration(size_t Bytes)> TransferWait;
  // Returns the position of the configuration applied on this daemon.
  std::function<ConfigPosition()> AppliedConfig;
  // Requests are charged to it, and refused as not run if there is no room for
  // them; null: no limit.
  MemoryBudget *Memory = nullptr;
  // Called, never from within another call to this class, when the server Id
  // has stated in a response that it is leaving.
  std::function<void(const std::string &Id)> OnServerLeaving;
  // Called when a health response shows that the server Id has turned cold and
  // gets fewer requests therefore.
  std::function<void(const std::string &Id)> OnServerCold;
  // Called with the position of the configuration that a peer routed with.
  std::function<void(const Address &Peer, const ConfigPosition &Position)>
      OnPeerRevision;

private:
  struct Server {
    MeshEndpoint Record;
    AdmissionQueue Queue;
    FailureShare Failures;
    DependencyAdmission Dependencies = {};
    TimePoint ConnectBackoffUntil;
    bool TimedOut = false; // See serverTimedOut().
    // What the responses of this incarnation said.
    bool HasResponded = false;
    bool SaysLeaving = false;
    // Gets no request before it has answered a health check.
    bool AwaitsHealthCheck = false;
    bool HealthCheckPending = false;
    bool Evacuated = false;
    TimerHandle HealthCheckTimer = {};
  };
  // Where the body of a request is.
  enum class BodyState {
    Here,
    Offered,  // At the sender, until it is accepted.
    Accepted, // The sender was told to send it.
  };
  struct Request {
    wire::ForwardRequest Message;
    ForwardCallback OnDone;
    std::string InstanceId;        // Of the local backend server.
    std::optional<Address> Sender; // Unset if it is this daemon.
    TimePoint Received;
    TimePoint Objective;
    TimePoint Deadline;
    std::optional<TimePoint> AnswerBy; // As named by its sender.
    TimePoint Started;                 // The epoch until it runs.
    BodyState Body = BodyState::Here;
    Duration BodyWait{}; // Expected wait, if the offer was refused for it.
    // Counted in Server::Dependencies, and the wait if it was refused there.
    bool StartCounted = false;
    Duration DependencyWait{};
    MemoryCharge Charge;
    std::unique_ptr<HttpCall> Call;
  };

  void receiveRequest(const Address &From, std::string_view Payload);
  void receiveCancel(const Address &From, std::string_view Payload);
  void receiveLimit(const Address &From, std::string_view Payload);
  void receiveBody(const Address &From, std::string_view Payload);
  void peerDisconnected(const Address &Peer, PeerDisconnect Reason);
  void cancelRequestsOf(const Address &Peer);
  WarmupLimiter &limiterOf(const MeshEndpoint &Record);
  std::optional<MeshService> serviceOf(const MeshEndpoint &Record) const;
  void applyColdRates();
  void learnFromHealth(const MeshEndpoint &Record,
                       const ResponseMetadata &Metadata);
  void startHealthChecks(Server &Local);
  void applyEvacuations();
  void checkAwaited(const std::string &Id);
  void endAwaiting(Server &Local);
  void eraseGoneServers(const std::string &Except);
  Server *serverFor(const wire::ForwardRequest &Message);
  ForwardError admissionError(const Server *Target, TimePoint Now) const;
  ForwardError serverError(const Server *Target, TimePoint Now) const;
  QueuedRequest queuedRequest(RequestHandle Handle,
                              const Request &Received) const;
  ForwardError enqueue(RequestHandle Handle, Server &Target, TimePoint Now);
  ForwardError offerBody(RequestHandle Handle, Server &Target, TimePoint Now);
  ForwardError shortageAt(const Server &Target, TimePoint Now) const;
  BodyOffer bodyOffer(RequestHandle Handle, const Request &Offered,
                      const Server &Target) const;
  int awaitedBodies(const std::string &ServerId, BodyState Least) const;
  void updateBodies();
  void acceptBody(RequestHandle Handle);
  void scheduleBodyUpdate();
  void releaseBody(RequestHandle Handle, const Request &Ended);
  void limitBodies();
  void refuseBodies(const std::function<bool(const Request &)> &Matches,
                    ForwardError Reason);
  void run(RequestHandle Handle);
  bool isSenderSilent(const Request &Waiting, TimePoint Now) const;
  void refuseInsteadOfRunning(RequestHandle Handle, ForwardError Reason);
  HttpRequest makeHttpRequest(const Request &Running, TimePoint Now) const;
  void onServerResponse(RequestHandle Handle,
                        Result<HttpResponse, HttpClientError> Outcome);
  bool isLinkFull(const wire::ForwardRequest &Message,
                  const AdmissionQueue &Queue) const;
  void applyStatements(Server &From, const ResponseMetadata &Metadata,
                       TimePoint Now);
  bool claimMemory(Request &NewRequest);
  void adoptKnownLimit(Server &Target, const wire::ForwardRequest &Message,
                       TimePoint Now);
  void recordOutcome(Server &From, const Request &Ended,
                     const wire::ForwardReply &Reply, TimePoint Now);
  void applyQueueActions(const QueueActions &Actions);
  void expireQueues();
  void refuse(RequestHandle Handle, ForwardError Reason, bool ReachedServer);
  void finish(RequestHandle Handle, wire::ForwardReply Reply);
  void addServerLoad(const Server *From, wire::ForwardReply &Reply) const;

  std::unique_ptr<HttpSender> Sender;
  const HeaderCodec &Codec;
  WarmupOptions WarmupLimits;
  TimePoint StartedAt;
  const MeshState *State = nullptr;
  Clock *Time = nullptr;
  Scheduler *Timers = nullptr;
  PeerTransport *Peers = nullptr;
  Metrics *Counters = nullptr;
  // By server id; also of servers that are checked and not in LocalServers yet.
  std::map<std::string, WarmupLimiter> Warmups;
  std::map<std::string, Server> LocalServers;
  std::map<RequestHandle, Request> Requests;
  // Requests received from peers, by peer and the id that the peer assigned.
  std::map<std::pair<Address, int64_t>, RequestHandle> FromPeers;
  std::map<Address, TimerHandle> DisconnectTimers;
  TransitDelay Delays;
  ResponseSizes Sizes;
  VersionOutcomes Outcomes;
  std::map<RequestHandle, std::unique_ptr<HttpCall>> HealthChecks;
  RequestHandle NextHandle = 1;
  bool Stopping = false;
  std::optional<TimePoint> AnswersEndAt; // Set by answerBy().
  TimerHandle ExpiryTimer;
  IngressScheduler Bodies;
  TimerHandle BodyTimer;
};

} // namespace cyclamenwind

#endif
