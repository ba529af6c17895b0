// Messages between mesh daemons: forwarded requests and shared state.
include "calls.thrift"
namespace cpp cyclamenwind.wire

// A request forwarded to the daemon of the chosen backend server.
struct ForwardRequest {
  1: i64 id
  // Id of the chosen incarnation of the backend server.
  2: string instanceId
  3: string serviceName
  4: string callerService
  5: string attemptId
  6: string method
  7: string target
  8: list<calls.Header> headers
  9: binary body
  // Time left until the earlier of the caller's deadline and the route's
  // timeout.
  10: i64 remainingUs
  // Time left until the latency objective; negative after it has passed.
  11: i64 objectiveUs
  12: bool idempotent
  13: i32 priority
  // Whether a backend server sent the request while running another one.
  14: bool nested
  15: string route
  // Revision of the configuration that the sender used for routing.
  16: i64 configRevision
  // The rate limit of the backend server that the sender was last told, requests
  // per second; for a receiver that was restarted meanwhile.
  17: optional double knownRateLimit
  // Start of the incarnation that named it, Unix milliseconds.
  18: i64 knownLimitBorn
  // Set if the sender is stopping: time left until it can no longer pass on a
  // response. A request that cannot end within it is refused.
  19: optional i64 answerWithinUs
  // When the request was sent, microseconds on the sender's clock that also
  // counts suspended time (Clock::sinceBoot()).
  20: optional i64 sentAtUs
  // Restore epoch and operator's version of configRevision; set if the epoch is
  // not 0.
  21: optional i64 configEpoch
  22: optional i64 configVersion
  // Workspace of the caller's key and its priority; set if the request has one.
  23: optional string workspace
  24: optional i32 workspacePriority
  // Set if this is an offer: body is empty, and the sender sends this many bytes
  // as a ForwardBody when it receives a ForwardAccept.
  25: optional i64 bodyBytes
}

enum ForwardOutcome {
  ANSWERED = 1
  NOT_RUN = 2
  UNKNOWN = 3
}

struct ForwardReply {
  1: i64 id
  2: ForwardOutcome outcome
  3: i32 status
  4: list<calls.Header> headers
  5: binary body
  // Name of a ForwardError if outcome is not ANSWERED.
  6: string reason
  // Load of the backend server when the reply was sent.
  7: i32 running
  8: i32 queued
  9: i32 limit
  // Smoothed service time of the server for one request.
  10: i64 serviceTimeUs
  11: i64 configRevision
  // Whether the request reached the backend server.
  12: bool arrived
  // Time that the request waited in the inbound proxy's queue.
  13: i64 waitedUs
  // Time that the request ran.
  14: i64 ranUs
  // Expected wait of a request that would be queued last now.
  15: i64 expectedWaitUs
  // Share of failures among the backend server's latest outcomes.
  16: i32 failurePermille
  // Requests per second that the backend server takes from all hosts together,
  // if it has named a limit.
  17: optional double rateLimit
  // Whether the backend server has stated that it is leaving.
  18: bool leaving
  // Restore epoch and operator's version of configRevision; set if the epoch is
  // not 0.
  19: optional i64 configEpoch
  20: optional i64 configVersion
  // How long the backend server stays cold, and how many requests per second it
  // gets from all hosts together meanwhile; set while it is cold and limited.
  21: optional i64 coldForUs
  22: optional double coldRate
}

struct ForwardCancel {
  1: i64 id
}

// The receiver of an offer is ready to receive the body of the request with this
// id.
struct ForwardAccept {
  1: i64 id
}

// The body of the request with this id, which the receiver has accepted.
struct ForwardBody {
  1: i64 id
  2: binary body
}

// Sets answerWithinUs of a request that was forwarded before its sender stopped.
// A request that runs goes on.
struct ForwardLimit {
  1: i64 id
  2: i64 answerWithinUs
}

// A backend server's record, published by the server's daemon.
struct EndpointRecord {
  1: string id
  2: string serviceName
  3: string serverVersion
  4: string failureDomain
  5: string gateAddress
  6: string state
  7: i32 slots
  // Start of the incarnation, Unix milliseconds.
  8: i64 born
  9: i64 sequence
  // Field 10 was the time at which the server has warmed up.
  // Address at which the backend server listens for its daemon.
  11: string serverAddress
  // How long the server stays cold, counted from the arrival of this message,
  // and how many requests per second it gets meanwhile. Set by the server's
  // own daemon only.
  12: optional i64 coldForUs
  13: optional double coldRate
}

struct EndpointAnnounce {
  1: list<EndpointRecord> endpoints
}

// The evacuated failure domains, as stored on the platform at the position
// (epoch, revision).
struct EvacuationState {
  1: i64 epoch
  2: i64 revision
  3: list<string> domains
}

// Requests a peer's configuration and endpoint records.
struct StatePull {
  1: i64 configRevision
  // Whether to send only the records of the requester's own servers, and no
  // configuration.
  2: bool ownRecordsOnly
  // Restore epoch and operator's version of configRevision; set if the epoch is
  // not 0.
  3: optional i64 configEpoch
  4: optional i64 configVersion
}

struct StateReply {
  1: i64 configRevision
  // The configuration's text as stored on the platform, encoded as a patch of
  // an empty text; empty if it is not newer than the requester's.
  2: binary config
  3: list<EndpointRecord> endpoints
  // Restore epoch of configRevision; set if it is not 0.
  4: optional i64 configEpoch
  5: optional EvacuationState evacuations
}

// How a relay learns of changes of the configuration.
enum RelaySource {
  // It watches the platform.
  PLATFORM = 1
  // From relays that watch the platform.
  RELAY = 2
  // It should watch the platform but cannot reach it.
  UNREACHABLE = 3
}

// A relay's announcement of the configuration that it has.
struct ConfigPush {
  1: i64 revision
  2: i64 baseRevision
  // Patch from the text of baseRevision to that of revision; empty if the
  // sender only announces its revision.
  3: binary patch
  4: RelaySource source
  // Restore epoch and operator's version of revision, and restore epoch of
  // baseRevision; set if the epoch is not 0.
  5: optional i64 epoch
  6: optional i64 configVersion
  7: optional i64 baseEpoch
  // Restore epoch of the platform as the sender knows it; set if it is not 0.
  8: optional i64 platformEpoch
}

// Outcomes of one version of a service on one route, counted by the daemon of
// its backend servers since the start of the daemon's process.
struct VersionOutcome {
  1: string serviceName
  2: string serverVersion
  3: string route
  4: i64 answers
  5: i64 failures
  6: i64 totalUs
}

struct VersionEvidence {
  1: list<VersionOutcome> outcomes
  // Identifies the process: counts start at zero in each process.
  2: i64 instance
}

// A rollout object as it is stored on the platform.
struct RolloutAnnounce {
  1: string key
  2: i64 revision
  3: binary order
  4: binary status
  // Restore epoch of revision; set if it is not 0.
  5: optional i64 epoch
}

// What a daemon needs of one workspace's allowance.
struct AllowanceDemand {
  1: string workspace
  // Requests that the daemon wants to admit soon.
  2: i32 wanted
  // Requests that it admitted without a token since its last message.
  3: i32 charged
  // Unused tokens that it gives back.
  4: i32 returned
}

// Sent to the daemon that owns the allowances of these workspaces.
struct AllowanceRequest {
  1: i64 id
  2: list<AllowanceDemand> demands
}

struct AllowanceShare {
  1: string workspace
  // Requests that the receiver may admit within validUs.
  2: i32 tokens
  3: i64 validUs
  // Whether the receiver charges the requests that it admits with these tokens
  // afterwards, and the tokens replace earlier ones of this kind; otherwise they
  // are paid for, and come on top of those that it has.
  4: bool plentiful
  // If tokens is less than wanted: when there is room again.
  5: i64 retryAfterUs
}

// Reply to the AllowanceRequest with this id.
struct AllowanceGrant {
  1: i64 id
  2: list<AllowanceShare> shares
  // The sender does not own the allowances of these workspaces.
  3: list<string> notOwned
}
