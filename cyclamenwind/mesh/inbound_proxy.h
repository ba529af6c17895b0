// Gate: the half of a request beside the backend server.
//
// Only this daemon holds connections to the server beside it, so here it is
// decided whether a request reaches it: not after the server said that it
// leaves, not beyond its slots (gate_queue.h), not to another incarnation than
// it was meant for, and not to a version that was found to be bad. A refusal is
// given before the first byte goes out, and is therefore true.
//
// Requests come from peers and from this daemon itself. When a request's sender
// gives it up, the connection to the server is closed.

#ifndef CYCLAMENWIND_MESH_INBOUND_PROXY_H
#define CYCLAMENWIND_MESH_INBOUND_PROXY_H

#include "cyclamenwind/base/kernel.h"
#include "cyclamenwind/http/client.h"
#include "cyclamenwind/mesh/admission_queue.h"
#include "cyclamenwind/mesh/endpoint_directory.h"
#include "cyclamenwind/mesh/failure_share.h"
#include "cyclamenwind/mesh/header_codec.h"
#include "cyclamenwind/mesh/version_outcomes.h"
#include "cyclamenwind/operators/metrics.h"
#include "cyclamenwind/peer/transport.h"
#include "cyclamenwind/wire/gen-cpp/mesh_types.h"

namespace cyclamenwind {

// Why the gate did not answer a request.
enum class ForwardError {
  None,
  NoServer,      // No such server is beside this daemon.
  Leaving,       // The server said that it leaves.
  Stopping,      // This daemon stops.
  Overloaded,    // It could not have ended in time.
  Expired,       // It waited until it could no longer end in time.
  BadVersion,    // The server's version was found to be bad.
  ConnectFailed, // The server does not accept connections.
  Shed,          // The server itself said that it did not run it.
  BadAnswer,     // The server's answer cannot be passed on.
  Lost,          // The connection broke after the request was sent.
  TimedOut,
  Cancelled,
};

std::string_view nameOf(ForwardError Reason);

// Nothing if Name names no reason.
std::optional<ForwardError> parseForwardError(std::string_view Name);

using ForwardCallback = std::function<void(wire::ForwardReply)>;

// A service named "gate".
class InboundProxy final : public Service {
public:
  InboundProxy(std::unique_ptr<HttpSender> Servers, const HeaderCodec &Format)
      : Servers(std::move(Servers)), Format(Format) {}

  std::string_view name() const override { return "gate"; }
  void start(Kernel &TheKernel) override;
  void stop() override;

  // The server beside this daemon has this record now.
  void serverChanged(const MeshEndpoint &Server);

  // The server has not been heard of for too long.
  void serverTimedOut(const std::string &Id);

  // Runs Request on the server beside this daemon. Done is called once, never
  // from within submit(). Returns a ticket for cancel().
  RequestHandle submit(wire::ForwardRequest Request, ForwardCallback OnDone);

  // Checks at Path whether the server of Record is healthy and not leaving.
  // Done gets false if it does not answer so or is another server, and is never
  // called from within.
  void checkHealth(const MeshEndpoint &Record, const std::string &Path,
                   std::function<void(bool Healthy)> OnDone);

  // Gives a request up; Done is not called any more.
  void cancel(RequestHandle Ticket);

  // Refuses what is submitted from now on; what runs goes on.
  void refuseNew() { Stopping = true; }

  size_t active() const { return Requests.size(); }

  // Servers that this remembers.
  size_t servers() const { return Beside.size(); }

  // Outcomes of each version beside this daemon, for rollouts.
  VersionOutcomes &outcomes() { return Outcomes; }

  // Asked before a request goes to a version.
  std::function<bool(const std::string &Service, const std::string &Version)>
      VersionAllowed;
  // Revision of the configuration in force here.
  std::function<int64_t()> ConfigRevision;
  // A peer routed by the configuration of this revision.
  std::function<void(const Address &Peer, int64_t Revision)> OnPeerRevision;

private:
  struct Server {
    MeshEndpoint Record;
    AdmissionQueue Queue;
    FailureShare Failures;
    TimePoint DownUntil;
    bool Silent = false;
  };
  struct Request {
    wire::ForwardRequest Message;
    ForwardCallback OnDone;
    std::string InstanceId; // Of the server that was chosen here.
    TimePoint Received;
    TimePoint Deadline;
    TimePoint Started;
    std::unique_ptr<HttpCall> Call;
  };

  void receiveRequest(const Address &From, std::string_view Payload);
  void receiveCancel(const Address &From, std::string_view Payload);
  void peerDisconnected(const Address &Peer, PeerDisconnect End);
  void abandonPeer(const Address &Peer);
  void forgetGone(const std::string &Except);
  Server *serverFor(const wire::ForwardRequest &Message);
  ForwardError admissible(const Server *Target, TimePoint Now) const;
  void run(RequestHandle Ticket);
  HttpRequest requestFor(const Request &Running, TimePoint Now) const;
  void completed(RequestHandle Ticket,
                 Result<HttpResponse, HttpClientError> Outcome);
  void judge(Server &From, const Request &Ended,
             const wire::ForwardReply &Reply, TimePoint Now);
  void perform(const QueueActions &Turns);
  void expireQueues();
  void refuse(RequestHandle Ticket, ForwardError Reason, bool Arrived);
  void finish(RequestHandle Ticket, wire::ForwardReply Reply);
  void describe(const Server *From, wire::ForwardReply &Reply) const;

  std::unique_ptr<HttpSender> Servers;
  const HeaderCodec &Format;
  Clock *Time = nullptr;
  Scheduler *Timers = nullptr;
  PeerTransport *Peers = nullptr;
  Metrics *Counters = nullptr;
  std::map<std::string, Server> Beside;
  std::map<RequestHandle, Request> Requests;
  // Requests received from peers, by peer and the peer's own id.
  std::map<std::pair<Address, int64_t>, RequestHandle> FromPeers;
  std::map<Address, TimerHandle> Abandoning;
  VersionOutcomes Outcomes;
  std::map<RequestHandle, std::unique_ptr<HttpCall>> HealthChecks;
  RequestHandle NextTicket = 1;
  bool Stopping = false;
  TimerHandle ExpiryTimer;
};

} // namespace cyclamenwind

#endif
