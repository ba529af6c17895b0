// Version moves between daemons: what is known of them, evidence, and its
// judgement.
namespace cpp cyclamenwind.wire

// What the sender knows of one move.
struct MoveMark {
  1: string name
  2: i64 revision
  3: bool stopped
}

// What the sender knows of all moves; the receiver answers with what is newer.
struct MoveDigest {
  1: list<MoveMark> marks
  // Whether the receiver is to send a digest of its own as well.
  2: bool wantDigest
}

// A fault was seen: no more calls go to the new version of the move.
struct MoveStop {
  1: string name
  // Name of a MoveReason.
  2: string reason
  3: string detail
}

struct MoveEntries {
  // Records as stored on the platform.
  1: list<string> records
  2: list<MoveStop> stops
}

// Counts of one route on the old version or on one server of the new one.
struct EvidenceItem {
  1: string route
  2: bool onNew
  3: string server
  4: i64 calls
  5: i64 errors
  // Pairs of a latency bucket and its count.
  6: list<i32> latencies
}

// What the sender has seen since its last report, and what it carries.
struct MoveEvidence {
  1: string move
  2: i64 revision
  3: bool stopped
  4: list<EvidenceItem> items
  5: string member
}

// The collector's judgement, for the holder of the lease.
struct MoveStanding {
  1: string move
  2: i64 revision
  3: bool enoughEvidence
  4: bool allCarry
}
