// Membership of daemons: the members and the backend servers registered with
// them.
namespace cpp cyclamenwind.wire

enum MemberState {
  ALIVE = 1
  SUSPECT = 2
  LEFT = 3
  DEAD = 4
}

// One backend server registered with a daemon.
struct Offer {
  1: string serviceName
  2: string serverVersion
  3: i32 slots
  4: bool draining
}

// A member's record. The record with the higher (incarnation, revision)
// supersedes; at the same revision the one with the higher state does. Unless
// the state is ALIVE, the fields after it are omitted, and the receiver keeps
// the values that it has.
struct MemberRecord {
  1: string id
  2: i64 incarnation
  3: i64 revision
  4: MemberState state
  5: string peerAddress
  6: string failureDomain
  7: list<Offer> offers
}

// Recent changes, which the receiver gossips further.
struct Gossip {
  1: list<MemberRecord> records
}

// The receiver replies with a ProbeAck if it is the member targetId.
struct Probe {
  1: i64 sequence
  2: string targetId
  // Digest of the sender's member list.
  3: i64 digest
  4: list<MemberRecord> records
}

struct ProbeAck {
  1: i64 sequence
  2: i64 digest
  3: list<MemberRecord> records
}

// Asks the receiver to probe the target and to forward its ack.
struct ProbeRequest {
  1: i64 sequence
  2: string targetId
  3: string targetAddress
}

// Reply to a ProbeRequest: the target did not acknowledge the receiver's probe
// either.
struct ProbeNack {
  1: i64 sequence
}

// Requests the records of the buckets that differ. bucketDigests holds the
// digests of the sender's buckets, four bytes each, big endian.
struct RosterPull {
  1: binary bucketDigests
  // The sender has not learned the whole member list yet; the receiver does not
  // pull from it in return.
  2: bool joining
}

// Records requested by a RosterPull; the receiver does not gossip them.
struct RosterRecords {
  1: list<MemberRecord> records
}
