// The part of InboundProxy that receives large bodies: their offers, the turns
// in which they are sent, and the bodies themselves.

#include "cyclamenwind/base/log.h"
#include "cyclamenwind/mesh/inbound_proxy.h"

#include <algorithm>

namespace cyclamenwind {

BodyOffer InboundProxy::bodyOffer(RequestHandle Handle, const Request &Offered,
                                  const Server &Target) const {
  return {Handle, static_cast<size_t>(Offered.Message.bodyBytes),
          Offered.Message.priority,
          Target.Queue.latestStart(queuedRequest(Handle, Offered)),
          Offered.Deadline};
}

// Number of requests to a server whose bodies are in the state Least or in a
// later one, and have not arrived.
int InboundProxy::awaitedBodies(const std::string &ServerId,
                                BodyState Least) const {
  return static_cast<int>(
      std::count_if(Requests.begin(), Requests.end(), [&](const auto &Entry) {
        return Entry.second.Body != BodyState::Here &&
               Entry.second.Body >= Least &&
               Entry.second.InstanceId == ServerId;
      }));
}

// Takes the offer of a body. Returns why not, if it is refused.
ForwardError InboundProxy::offerBody(RequestHandle Handle, Server &Target,
                                     TimePoint Now) {
  Request &Offered = Requests.at(Handle);
  BodyOffer Offer = bodyOffer(Handle, Offered, Target);
  Duration Arrival = Bodies.expectedArrival(Offer, Now);
  int Ahead = awaitedBodies(Offered.InstanceId, BodyState::Offered);
  ForwardError Error = ForwardError::None;
  if (!Target.Queue.canServe(queuedRequest(Handle, Offered), Arrival, Ahead,
                             Now)) {
    Target.Queue.countRefusal(queuedRequest(Handle, Offered));
    // The slots that are free may be for the bodies that were offered before.
    Error = shortageAt(Target, Now);
    if (Error == ForwardError::RateLimited && !Target.Queue.rateLimit())
      Error = ForwardError::Overloaded;
  } else if (!Bodies.offer(Offer, Now)) {
    Offered.BodyWait = Arrival;
    Error = ForwardError::LinkFull;
  }
  if (Error == ForwardError::None)
    Offered.Body = BodyState::Offered;
  else
    Counters->countBodyOffer("refused");
  return Error;
}

// Accepts the bodies whose turn it is, and ends the requests whose bodies are
// too late.
void InboundProxy::updateBodies() {
  IngressActions Actions = Bodies.update(Time->now());
  for (RequestHandle Handle : Actions.Expired) {
    Counters->countBodyOffer("expired");
    refuse(Handle, ForwardError::Expired, /*ReachedServer=*/false);
  }
  for (RequestHandle Handle : Actions.Missing) {
    Counters->countBodyOffer("missing");
    refuse(Handle, ForwardError::BodyMissing, /*ReachedServer=*/false);
  }
  for (RequestHandle Handle : Actions.Accept)
    acceptBody(Handle);
  scheduleBodyUpdate();
}

// Asks the sender for the body, unless the request would be refused now.
void InboundProxy::acceptBody(RequestHandle Handle) {
  auto Found = Requests.find(Handle);
  if (Found == Requests.end())
    return;
  Request &Accepted = Found->second;
  TimePoint Now = Time->now();
  Server *Target = serverFor(Accepted.Message);
  ForwardError Error = serverError(Target, Now);
  if (Error == ForwardError::None && isSenderSilent(Accepted, Now))
    Error = ForwardError::SenderSilent;
  int Ahead = awaitedBodies(Accepted.InstanceId, BodyState::Accepted);
  if (Error == ForwardError::None &&
      !Target->Queue.canServe(queuedRequest(Handle, Accepted), Duration::zero(),
                              Ahead, Now)) {
    Target->Queue.countRefusal(queuedRequest(Handle, Accepted));
    Error = ForwardError::Expired;
  }
  if (Error != ForwardError::None) {
    // Nothing is under way yet.
    Bodies.arrived(Handle, Now);
    Counters->countBodyOffer("refused");
    refuse(Handle, Error, /*ReachedServer=*/false);
    return;
  }
  Accepted.Body = BodyState::Accepted;
  Counters->observeBodyWait(Now - Accepted.Received);
  logEvent(LogLevel::Debug, "body_accepted",
           {{"request", Accepted.Message.attemptId},
            {"bytes", Accepted.Message.bodyBytes},
            {"waited_us", (Now - Accepted.Received).count()},
            {"waiting", Bodies.waiting()}});
  wire::ForwardAccept Message;
  Message.id = Accepted.Message.id;
  Peers->sendMessage(*Accepted.Sender, FrameType::ForwardAccept, Message);
}

void InboundProxy::scheduleBodyUpdate() {
  Counters->setBodies(Bodies.waiting(), Bodies.bytesUnderWay());
  TimePoint Now = Time->now();
  std::optional<TimePoint> Next = Bodies.nextUpdate(Now);
  BodyTimer.reset();
  if (Next)
    BodyTimer = Timers->after(std::max(*Next - Now, Duration::zero()),
                              [this] { updateBodies(); });
}

void InboundProxy::receiveBody(const Address &From, std::string_view Payload) {
  Result<wire::ForwardBody, FrameError> Message =
      decodeMessage<wire::ForwardBody>(Payload);
  if (!Message) {
    logWarning("frame_malformed", {{"peer", From.text()}});
    return;
  }
  auto Known = FromPeers.find({From, Message.value().id});
  if (Known == FromPeers.end())
    return; // Its request has ended meanwhile.
  RequestHandle Handle = Known->second;
  auto Found = Requests.find(Handle);
  if (Found == Requests.end())
    return;
  Request &Arrived = Found->second;
  size_t Bytes = Message.value().body.size();
  bool AsOffered = Arrived.Body == BodyState::Accepted &&
                   Bytes == static_cast<size_t>(Arrived.Message.bodyBytes);
  if (!AsOffered) {
    logWarning("body_unexpected", {{"peer", From.text()},
                                   {"request", Arrived.Message.attemptId},
                                   {"bytes", Bytes},
                                   {"offered", Arrived.Message.bodyBytes}});
    if (Arrived.Body == BodyState::Here)
      return;
    Counters->countBodyOffer("missing");
    refuse(Handle, ForwardError::BodyMissing, /*ReachedServer=*/false);
    return;
  }
  TimePoint Now = Time->now();
  Arrived.Message.body = std::move(Message.value().body);
  Arrived.Body = BodyState::Here;
  Bodies.arrived(Handle, Now);
  Counters->countBodyOffer("received");
  Server *Target = serverFor(Arrived.Message);
  ForwardError Error = serverError(Target, Now);
  if (Error == ForwardError::None && !claimMemory(Arrived))
    Error = ForwardError::Overloaded;
  if (Error == ForwardError::None)
    Error = enqueue(Handle, *Target, Now);
  if (Error != ForwardError::None)
    refuse(Handle, Error, /*ReachedServer=*/false);
  updateBodies();
}

// Frees the turn of a request that has ended before its body arrived.
void InboundProxy::releaseBody(RequestHandle Handle, const Request &Ended) {
  if (Ended.Body == BodyState::Here)
    return;
  Bodies.withdraw(Handle, Time->now());
  scheduleBodyUpdate();
}

// Applies the times until which responses can be passed on to the offers that
// wait.
void InboundProxy::limitBodies() {
  for (const auto &[Handle, Each] : Requests) {
    auto Target = LocalServers.find(Each.InstanceId);
    if (Each.Body == BodyState::Offered && Target != LocalServers.end())
      Bodies.limitStart(Handle, Target->second.Queue.latestStart(
                                    queuedRequest(Handle, Each)));
  }
  scheduleBodyUpdate();
}

// Refuses the requests that wait for their bodies and that Matches selects.
void InboundProxy::refuseBodies(
    const std::function<bool(const Request &)> &Matches, ForwardError Reason) {
  std::vector<RequestHandle> Handles;
  for (const auto &[Handle, Each] : Requests)
    if (Each.Body != BodyState::Here && Matches(Each))
      Handles.push_back(Handle);
  for (RequestHandle Handle : Handles) {
    Counters->countBodyOffer("refused");
    refuse(Handle, Reason, /*ReachedServer=*/false);
  }
}

} // namespace cyclamenwind
