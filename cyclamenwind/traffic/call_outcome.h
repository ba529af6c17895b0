// Outcome of a call, and the reason if it was not answered.
//
// A caller receives one of three outcomes in the header Cyclamenwind-End, and
// for the last two the reason in Cyclamenwind-Reason:
//
//   answered  the backend server's complete response follows
//   refused   before execution: no byte of the request reached a backend server
//   unknown   the request may have run, or may still be running

#ifndef CYCLAMENWIND_TRAFFIC_CALL_OUTCOME_H
#define CYCLAMENWIND_TRAFFIC_CALL_OUTCOME_H

#include <string_view>

namespace cyclamenwind {

enum class CallOutcome { Answered, Refused, Unknown };

std::string_view nameOf(CallOutcome Outcome);

enum class CallReason {
  None,
  // Refused.
  NotReady,     // The daemon has no configuration yet.
  NoRoute,      // No route matches the request.
  NoServer,     // No backend server of the wanted version is known.
  BadRequest,   // The request is malformed.
  QueueFull,    // The queue is full, or the wait would exceed the deadline.
  QueueTimeout, // The deadline passed or was too near before sending.
  ServerLeft,   // The backend server is draining or gone.
  ServerDown,   // No connection to the backend server.
  DaemonDown,   // No connection to the daemon on the server's host.
  ShuttingDown, // The daemon is shutting down.
  Cancelled,    // The caller has disconnected; refused or unknown.
  NoClaim,     // The platform did not confirm the claim on the idempotency key.
  KeyMismatch, // The idempotency key was used for another request.
  // Unknown.
  DeadlinePassed, // The deadline passed after the request had been sent.
  ConnectionLost, // The connection broke after the request had been sent.
  BadAnswer,      // The response was truncated, too large or malformed.
  // An earlier request with this idempotency key may have run; this one was not
  // run.
  AlreadyClaimed,
};

std::string_view nameOf(CallReason Reason);

// Returns None if Name is not the name of a CallReason.
CallReason parseCallReason(std::string_view Name);

// HTTP status of the response for an outcome other than Answered.
int httpStatusFor(CallOutcome Outcome, CallReason Reason);

inline constexpr char OutcomeHeader[] = "Cyclamenwind-End";
inline constexpr char ReasonHeader[] = "Cyclamenwind-Reason";
// Why a failed call was not retried: the name of a RetryDecision.
inline constexpr char NoRetryHeader[] = "Cyclamenwind-No-Retry";
inline constexpr char RouteHeader[] = "Cyclamenwind-Route";
inline constexpr char VersionHeader[] = "Cyclamenwind-Server-Version";
// Time left for the call, milliseconds; set by callers, and by the daemon on
// requests to backend servers.
inline constexpr char DeadlineHeader[] = "Cyclamenwind-Deadline-Ms";
// Calls with the same caller key go to the same version during a rollout.
inline constexpr char CallerKeyHeader[] = "Cyclamenwind-Caller-Key";
// Set if the answer is the stored one of an earlier request with the same
// idempotency key.
inline constexpr char ReplayedHeader[] = "Cyclamenwind-Replayed";
inline constexpr char IdempotencyKeyHeader[] = "Idempotency-Key";

} // namespace cyclamenwind

#endif
