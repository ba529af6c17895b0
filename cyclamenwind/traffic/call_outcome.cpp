#include "cyclamenwind/traffic/call_outcome.h"

#include "cyclamenwind/base/names.h"

namespace cyclamenwind {
namespace {

constexpr std::array<EnumName<CallOutcome>, 3> OutcomeNames = {{
    {CallOutcome::Answered, "answered"},
    {CallOutcome::Refused, "refused"},
    {CallOutcome::Unknown, "unknown"},
}};

constexpr std::array<EnumName<CallReason>, 18> ReasonNames = {{
    {CallReason::None, "none"},
    {CallReason::NotReady, "not_ready"},
    {CallReason::NoRoute, "no_route"},
    {CallReason::NoServer, "no_server"},
    {CallReason::BadRequest, "bad_request"},
    {CallReason::QueueFull, "queue_full"},
    {CallReason::QueueTimeout, "queue_timeout"},
    {CallReason::ServerLeft, "server_left"},
    {CallReason::ServerDown, "server_down"},
    {CallReason::DaemonDown, "daemon_down"},
    {CallReason::ShuttingDown, "shutting_down"},
    {CallReason::Cancelled, "cancelled"},
    {CallReason::NoClaim, "no_claim"},
    {CallReason::KeyMismatch, "key_mismatch"},
    {CallReason::DeadlinePassed, "deadline_passed"},
    {CallReason::ConnectionLost, "connection_lost"},
    {CallReason::BadAnswer, "bad_answer"},
    {CallReason::AlreadyClaimed, "already_claimed"},
}};

} // namespace

std::string_view nameOf(CallOutcome Outcome) {
  return nameIn(OutcomeNames, Outcome);
}

std::string_view nameOf(CallReason Reason) {
  return nameIn(ReasonNames, Reason);
}

CallReason parseCallReason(std::string_view Name) {
  return valueIn(ReasonNames, Name).value_or(CallReason::None);
}

int httpStatusFor(CallOutcome Outcome, CallReason Reason) {
  if (Outcome == CallOutcome::Unknown)
    switch (Reason) {
    case CallReason::DeadlinePassed:
      return 504;
    case CallReason::AlreadyClaimed:
      return 409;
    default:
      return 502;
    }
  if (Reason == CallReason::NoRoute)
    return 404;
  if (Reason == CallReason::BadRequest)
    return 400;
  if (Reason == CallReason::KeyMismatch)
    return 422;
  return 503;
}

} // namespace cyclamenwind
