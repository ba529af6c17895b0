// Forwarding and shared state between the daemons of a mesh.
include "calls.thrift"
namespace cpp cyclamenwind.wire

// A request on its way to the daemon beside the chosen backend server.
struct ForwardRequest {
  1: i64 id
  // Id of the backend server's incarnation that was chosen.
  2: string instanceId
  3: string serviceName
  4: string callerService
  5: string attemptId
  6: string method
  7: string target
  8: list<calls.Header> headers
  9: binary body
  // Time left until the caller's deadline or the route's timeout.
  10: i64 remainingUs
  // Time left of the latency objective; negative once it has passed.
  11: i64 objectiveUs
  12: bool idempotent
  13: i32 priority
  // Sent by a backend server while it runs a request.
  14: bool nested
  15: string route
  // Revision of the configuration that the sender routed by.
  16: i64 configRevision
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
  // Name of a GateReason, when not answered.
  6: string reason
  // Load of the backend server when the reply was sent.
  7: i32 running
  8: i32 queued
  9: i32 limit
  // Smoothed time that the server takes for a request.
  10: i64 serviceTimeUs
  11: i64 configRevision
  // Whether the request reached the backend server.
  12: bool arrived
  // Time that the request waited at the gate and ran.
  13: i64 waitedUs
  14: i64 ranUs
  // Wait that a request which comes now has to expect.
  15: i64 expectedWaitUs
  // Share of failures among the backend server's last answers.
  16: i32 failurePermille
}

struct ForwardCancel {
  1: i64 id
}

// A backend server as the daemon beside it reports it.
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
  // 10 was when the server has warmed up.
  // Where the backend server listens, beside the daemon.
  11: string serverAddress
}

struct EndpointAnnounce {
  1: list<EndpointRecord> endpoints
}

// Asks a peer for what it knows.
struct StatePull {
  1: i64 configRevision
}

struct StateReply {
  1: i64 configRevision
  // The configuration as the platform keeps it, as a patch of an empty text;
  // empty if not newer.
  2: binary config
  3: list<EndpointRecord> endpoints
}

// A relay's word on the configuration that it has.
struct ConfigPush {
  1: i64 revision
  // Leads to it from the text of baseRevision; empty if nothing changed.
  2: i64 baseRevision
  3: binary patch
}

// Outcomes of one version of a service on one route since the version's
// rollout began, counted by the daemon beside its backend servers.
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
  // Differs between processes: counts begin at zero in each.
  2: i64 instance
}

// A rollout as it was written to the platform.
struct RolloutAnnounce {
  1: string key
  2: i64 revision
  3: binary order
  4: binary status
}
