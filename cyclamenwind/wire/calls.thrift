// Calls between the daemon that accepted a request and the daemon on the host
// of the chosen backend server.
namespace cpp cyclamenwind.wire

struct Header {
  1: string name
  2: string value
}

enum CallEnd {
  ANSWERED = 1
  REFUSED_NOT_RUN = 2
  UNKNOWN = 3
}

struct CallRequest {
  1: i64 id
  2: string serviceName
  3: string serverVersion
  4: string route
  5: string method
  6: string target
  7: list<Header> headers
  8: binary body
  // Time left for the whole call, microseconds.
  9: i64 remainingUs
  10: bool repeatable
  11: i32 priority
  12: string idempotencyKey
}

struct CallReply {
  1: i64 id
  2: CallEnd ending
  // HTTP status, if ending is ANSWERED.
  3: i32 status
  4: list<Header> headers
  5: binary body
  // Name of a CallReason, if ending is not ANSWERED.
  6: string reason
  // Calls in flight and queued at the backend server; input to the sender's
  // load balancing.
  7: i32 inFlight
  8: i32 queued
}

struct CallCancel {
  1: i64 id
}

// Value of a claim on an idempotency key, stored on the platform.
struct ClaimRecord {
  1: i64 operation
  // Hash of method, target and body of the request.
  2: i64 request
  3: string holder
  4: optional CallReply answer
}
