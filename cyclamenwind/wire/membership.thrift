// Membership among daemons: who is there and which backend servers they stand
// beside.
namespace cpp cyclamenwind.wire

enum MemberState {
  ALIVE = 1
  SUSPECT = 2
  LEFT = 3
  DEAD = 4
}

// One backend server announced to a daemon.
struct Offer {
  1: string serviceName
  2: string serverVersion
  3: i32 slots
  4: bool draining
}

// A member's record; the higher (incarnation, revision) supersedes. Unless the
// state is ALIVE the fields after it are left out, and the receiver keeps those
// that it holds.
struct MemberRecord {
  1: string id
  2: i64 incarnation
  3: i64 revision
  4: MemberState state
  5: string peerAddress
  6: string failureDomain
  7: list<Offer> offers
}

// Recent changes, passed on by the receiver.
struct Gossip {
  1: list<MemberRecord> records
}

// Asks the receiver to show that it is targetId and alive.
struct Probe {
  1: i64 sequence
  2: string targetId
  // Digest of the sender's roster.
  3: i64 digest
  4: list<MemberRecord> records
}

struct ProbeAck {
  1: i64 sequence
  2: i64 digest
  3: list<MemberRecord> records
}

// Asks the receiver to probe the target and to pass on its ack.
struct ProbeRequest {
  1: i64 sequence
  2: string targetId
  3: string targetAddress
}

// The receiver of a ProbeRequest got no ack either.
struct ProbeNack {
  1: i64 sequence
}

// Digests of the sender's buckets, four octets each, big endian; asks for the
// records of the buckets that differ.
struct RosterPull {
  1: binary bucketDigests
  // The sender is still learning the roster and is not to be pulled from.
  2: bool joining
}

// Records that a pull asked for; not passed on.
struct RosterRecords {
  1: list<MemberRecord> records
}
