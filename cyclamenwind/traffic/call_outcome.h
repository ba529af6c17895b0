// How a call ends.
//
// A caller is told one of three ends, in the header Cyclamenwind-End, and for
// the last two the reason, in Cyclamenwind-Reason:
//
//   answered  the backend server's whole response follows
//   refused   the request was not run: no byte of it reached a backend server
//   unknown   the request may have run, or may still be running

#ifndef CYCLAMENWIND_TRAFFIC_CALL_OUTCOME_H
#define CYCLAMENWIND_TRAFFIC_CALL_OUTCOME_H

#include <string_view>

namespace cyclamenwind {

enum class CallOutcome { Answered, Refused, Unknown };

std::string_view nameOf(CallOutcome End);

enum class CallReason {
  None,
  // Refused.
  NotReady,     // The daemon has no configuration yet.
  NoRoute,      // No route matches the request.
  NoServer,     // No backend server of the wanted version is known.
  BadRequest,   // The request is malformed.
  QueueFull,    // The backend server's queue is full.
  QueueTimeout, // The deadline passed while the request was queued.
  ServerLeft,   // The backend server has left.
  ServerDown,   // No connection to the backend server.
  DaemonDown,   // No connection to the daemon beside the backend server.
  ShuttingDown, // The daemon is shutting down.
  Cancelled,    // The caller has left.
  NoClaim,      // The platform gave no certain word on the idempotency key.
  KeyMismatch,  // The idempotency key was used for another request.
  // Unknown.
  DeadlinePassed, // The deadline passed after the request had been sent.
  ConnectionLost, // The connection broke after the request had been sent.
  BadAnswer,      // The response was cut, too large or malformed.
  AlreadyClaimed, // Sent before with this idempotency key; not run again.
};

std::string_view nameOf(CallReason Reason);
CallReason parseCallReason(std::string_view Name);

// HTTP status that tells a caller of an end other than Answered.
int statusOf(CallOutcome End, CallReason Reason);

inline constexpr char EndHeader[] = "Cyclamenwind-End";
inline constexpr char ReasonHeader[] = "Cyclamenwind-Reason";
// Why a failed call was not tried again: the name of a RetryVerdict.
inline constexpr char NoRetryHeader[] = "Cyclamenwind-No-Retry";
inline constexpr char RouteHeader[] = "Cyclamenwind-Route";
inline constexpr char VersionHeader[] = "Cyclamenwind-Server-Version";
// Time left for the call, milliseconds; from a caller, and to backend servers.
inline constexpr char DeadlineHeader[] = "Cyclamenwind-Deadline-Ms";
// Keeps a caller's calls on one version during a move.
inline constexpr char CallerKeyHeader[] = "Cyclamenwind-Caller-Key";
// Set on an answer that an earlier request with the same key was given.
inline constexpr char ReplayedHeader[] = "Cyclamenwind-Replayed";
inline constexpr char IdempotencyKeyHeader[] = "Idempotency-Key";

} // namespace cyclamenwind

#endif
