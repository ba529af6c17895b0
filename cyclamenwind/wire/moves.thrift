// Messages about rollouts between daemons: records, stops, evidence, and the
// progress of a step. A rollout is called a "move" here.
namespace cpp cyclamenwind.wire

// Revision and stop of one rollout, as the sender has them.
struct MoveMark {
  1: string name
  2: i64 revision
  3: bool stopped
}

// Marks of the sender's rollouts, for anti-entropy repair. The receiver answers
// with MoveEntries: its newer records and stops, possibly none.
struct MoveDigest {
  1: list<MoveMark> marks
  // Whether the receiver also sends its own digest.
  2: bool wantDigest
}

// A fault was found: no more calls go to the new version.
struct MoveStop {
  1: string name
  // Name of a RolloutReason.
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
  // Pairs of a latency bucket and its count, flattened.
  6: list<i32> latencies
}

// Evidence since the sender's last report, and the record revision that the
// sender has applied.
struct MoveEvidence {
  1: string move
  2: i64 revision
  3: bool stopped
  4: list<EvidenceItem> items
  5: string member
}

// Progress of the current step, from the collector to the lease holder.
struct MoveStanding {
  1: string move
  2: i64 revision
  3: bool enoughEvidence
  4: bool allCarry
}
