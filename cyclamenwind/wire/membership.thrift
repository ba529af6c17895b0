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

// A member's record; the higher (incarnation, revision) supersedes.
struct MemberRecord {
  1: string id
  2: i64 incarnation
  3: i64 revision
  4: MemberState state
  5: string peerAddress
  6: string failureDomain
  7: list<Offer> offers
  // Configuration version in force at the member; 0: none.
  8: i64 configVersion
}

// Recent changes; digest covers the sender's whole roster.
struct Gossip {
  1: list<MemberRecord> records
  2: i64 digest
}

// Whole roster, sent when digests differ. wantReply asks for the receiver's.
struct RosterSync {
  1: list<MemberRecord> records
  2: bool wantReply
}
