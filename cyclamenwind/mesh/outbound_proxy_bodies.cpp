// The part of OutboundProxy that sends large bodies after their offers were
// accepted.

#include "cyclamenwind/base/log.h"
#include "cyclamenwind/mesh/outbound_proxy.h"

#include <algorithm>

namespace cyclamenwind {
namespace {

// Time for which the server of a withdrawn offer is avoided; as for the servers
// of an unreachable peer.
constexpr Duration AvoidAfterWithdrawal = 1500ms;

} // namespace

void OutboundProxy::receiveAccept(const Address &From,
                                  std::string_view Payload) {
  Result<wire::ForwardAccept, FrameError> Message =
      decodeMessage<wire::ForwardAccept>(Payload);
  if (!Message) {
    logWarning("frame_malformed", {{"peer", From.text()}});
    return;
  }
  auto Found = Attempts.find(static_cast<uint64_t>(Message.value().id));
  if (Found == Attempts.end())
    return; // The request has ended, and its offer was cancelled.
  Attempt &Accepted = Found->second;
  Call &TheCall = Calls.at(Accepted.CallId);
  if (Accepted.mayHaveRun() || Accepted.DaemonAddress != From) {
    logWarning("accept_unexpected",
               {{"peer", From.text()}, {"request", TheCall.AttemptId}});
    return;
  }
  Accepted.BodySent = true;
  Duration Waited = Time->now() - Accepted.Sent;
  Balancer->updateBodyWait(Accepted.EndpointId, Waited, Time->now());
  logEvent(LogLevel::Debug, "body_sent",
           {{"request", TheCall.AttemptId},
            {"server", Accepted.EndpointId},
            {"bytes", TheCall.Request.Body.size()},
            {"waited_us", Waited.count()}});
  wire::ForwardBody Body;
  Body.id = Message.value().id;
  Body.body = TheCall.Request.Body;
  Peers->sendMessage(From, FrameType::ForwardBody, Body);
}

// Ends an attempt whose daemon is unresponsive before its body was sent. No
// body is sent for it later, so the request has not run there.
void OutboundProxy::withdrawOffer(uint64_t Number) {
  const Attempt &Withdrawn = Attempts.at(Number);
  logWarning("offer_withdrawn",
             {{"request", Calls.at(Withdrawn.CallId).AttemptId},
              {"gate", Withdrawn.DaemonAddress.text()},
              {"server", Withdrawn.EndpointId}});
  Balancer->avoid(Withdrawn.EndpointId, AvoidAfterWithdrawal, Time->now());
  if (Peers->isConnected(Withdrawn.DaemonAddress)) {
    wire::ForwardCancel Message;
    Message.id = static_cast<int64_t>(Number);
    Peers->sendMessage(Withdrawn.DaemonAddress, FrameType::ForwardCancel,
                       Message);
  }
  wire::ForwardReply Reply;
  Reply.outcome = wire::ForwardOutcome::NOT_RUN;
  Reply.reason = nameOf(ForwardError::ConnectionLost);
  onAttemptEnded(Number, std::move(Reply));
}

bool OutboundProxy::hasAttemptThatMayHaveRun(const Call &TheCall) const {
  return std::any_of(TheCall.Attempts.begin(), TheCall.Attempts.end(),
                     [this](uint64_t Number) {
                       auto Found = Attempts.find(Number);
                       return Found == Attempts.end() ||
                              Found->second.mayHaveRun();
                     });
}

} // namespace cyclamenwind
