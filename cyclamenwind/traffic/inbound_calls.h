// InboundCalls: runs calls on the local backend servers.
//
// Only this daemon holds connections to the backend servers that registered
// with it. It admits each call by slots and queue. A call is refused only
// before its first byte has been sent, that is, before execution, so that it is
// safe to retry. After the first byte, any outcome but a complete response is
// unknown.
//
// When a backend server drains or leaves, the calls that wait for it are
// refused at once. When the stream to the daemon that sent a call is lost, the
// call is cancelled, since nothing waits for its reply.

#ifndef CYCLAMENWIND_TRAFFIC_INBOUND_CALLS_H
#define CYCLAMENWIND_TRAFFIC_INBOUND_CALLS_H

#include "cyclamenwind/base/kernel.h"
#include "cyclamenwind/base/settings.h"
#include "cyclamenwind/http/client.h"
#include "cyclamenwind/membership/server_registrations.h"
#include "cyclamenwind/peer/transport.h"
#include "cyclamenwind/traffic/admission.h"
#include "cyclamenwind/traffic/call_outcome.h"
#include "cyclamenwind/wire/gen-cpp/calls_types.h"

namespace cyclamenwind {

using CallReplyCallback = std::function<void(wire::CallReply)>;

// A service named "server_side".
class InboundCalls final : public Service {
public:
  InboundCalls(std::unique_ptr<HttpSender> Backends,
               const TrafficSettings &Options);

  std::string_view name() const override { return "server_side"; }
  void start(Kernel &TheKernel) override;
  void stop() override;

  // Runs Request on a local backend server. OnDone is called once, never from
  // within submit(). Returns a call number for cancel().
  uint64_t submit(const wire::CallRequest &Request, CallReplyCallback OnDone);

  // Cancels a submitted call; OnDone is called with the outcome known so far.
  void cancel(uint64_t CallNumber);

  // Refuses calls submitted from now on; active calls continue.
  void refuseNew() { ShuttingDown = true; }

  // Number of submitted calls that have not ended.
  size_t active() const { return Calls.size(); }

private:
  struct Server {
    Admission AdmissionControl;
  };
  struct Call {
    wire::CallRequest Request;
    CallReplyCallback OnDone;
    Address ServerAddress;
    TimePoint Deadline;
    std::unique_ptr<HttpCall> Http;
    bool Admitted = false;
  };

  void receiveRequest(const Address &From, std::string_view Payload);
  void receiveCancel(const Address &From, std::string_view Payload);
  void peerDisconnected(const Address &Peer, PeerDisconnect Cause);
  void serversChanged();
  void refuseUnsent(const Address &Listen);
  const BackendServer *chooseServer(const wire::CallRequest &Request) const;
  void run(uint64_t CallNumber);
  void httpCompleted(uint64_t CallNumber,
                     Result<HttpResponse, HttpClientError> Response);
  void applyActions(const AdmissionActions &Actions);
  void expireQueues();
  void refuse(uint64_t CallNumber, CallReason Reason);
  void deferRefusal(uint64_t CallNumber, CallReason Reason);
  void finish(uint64_t CallNumber, wire::CallReply Reply);

  std::unique_ptr<HttpSender> Backends;
  TrafficSettings Options;
  Clock *Time = nullptr;
  Scheduler *Timers = nullptr;
  ServerRegistrations *Registrations = nullptr;
  PeerTransport *Peers = nullptr;
  std::map<Address, Server> Servers;
  std::map<uint64_t, Call> Calls;
  // Call numbers of calls received from peers, by peer and the call id that the
  // peer assigned.
  std::map<std::pair<Address, int64_t>, uint64_t> PeerCalls;
  uint64_t NextCallNumber = 1;
  bool ShuttingDown = false;
  TimerHandle ExpiryTimer;
};

} // namespace cyclamenwind

#endif
