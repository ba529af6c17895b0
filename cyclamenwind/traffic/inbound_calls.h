// InboundCalls: the half of a call beside the backend server.
//
// This daemon alone holds connections to the backend servers that announced
// themselves to it. It admits each call by slots and queue, and refuses before
// the first byte goes out, so that a refusal is true and safe to retry. After
// the first byte, any end but a whole response is unknown.
//
// When a backend server drains or leaves, the calls that wait for it are
// refused at once. When the stream to the daemon that sent a call is lost, the
// call is cancelled, since nobody waits for it.

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

  // Runs Request on a backend server beside this daemon. Done is called once,
  // never from within submit(). Returns a number for cancel().
  uint64_t submit(const wire::CallRequest &Request, CallReplyCallback OnDone);

  // Gives up a submitted call; Done is called with what is known of it.
  void cancel(uint64_t Number);

  // Refuses calls submitted from now on; those under way go on.
  void refuseNew() { ShuttingDown = true; }

  // Calls that have been submitted and not yet ended.
  size_t active() const { return Calls.size(); }

private:
  struct Server {
    Admission Gate;
  };
  struct Call {
    wire::CallRequest Request;
    CallReplyCallback OnDone;
    Address Target;
    TimePoint Deadline;
    std::unique_ptr<HttpCall> Http;
    bool Admitted = false;
  };

  void receiveRequest(const Address &From, std::string_view Payload);
  void receiveCancel(const Address &From, std::string_view Payload);
  void peerDisconnected(const Address &Peer, PeerDisconnect End);
  void serversChanged();
  void refuseWaiting(const Address &Listen);
  const BackendServer *chooseServer(const wire::CallRequest &Request) const;
  void run(uint64_t Number);
  void completed(uint64_t Number,
                 Result<HttpResponse, HttpClientError> Outcome);
  void perform(const AdmissionActions &Actions);
  void expireQueues();
  void refuse(uint64_t Number, CallReason Reason);
  void refuseSoon(uint64_t Number, CallReason Reason);
  void finish(uint64_t Number, wire::CallReply Reply);

  std::unique_ptr<HttpSender> Backends;
  TrafficSettings Options;
  Clock *Time = nullptr;
  Scheduler *Timers = nullptr;
  ServerRegistrations *Local = nullptr;
  PeerTransport *Peers = nullptr;
  std::map<Address, Server> Servers;
  std::map<uint64_t, Call> Calls;
  // Calls received from peers, by peer and the peer's own call id.
  std::map<std::pair<Address, int64_t>, uint64_t> FromPeers;
  uint64_t NextNumber = 1;
  bool ShuttingDown = false;
  TimerHandle ExpiryTimer;
};

} // namespace cyclamenwind

#endif
