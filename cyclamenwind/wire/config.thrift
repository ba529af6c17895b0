// Distribution of the accepted configuration between daemons.
namespace cpp cyclamenwind.wire

// Reports the sender's applied version and requests newer ones. Sent to each of
// the sender's relays once per period, and at once after a change.
struct ConfigSubscribe {
  1: string member
  2: string domain
  // Version applied by the sender; 0: none.
  3: i64 version
  4: i64 digest
  // The receiver pushes changes to the sender at once; else it sends them only
  // in reply to this message.
  5: bool primary
  // The sender is in a cold start and must learn the highest version: if the
  // receiver acts as a relay, it first confirms its version with the platform.
  6: bool fresh
  // Highest version that the sender rejected as invalid; 0: none.
  7: i64 rejected
  // Digest of the sender's list of relays.
  8: i64 directory
  // Random number of the sender's process, so that a reply to an earlier
  // process at the same address confirms nothing to this one.
  9: i64 process
}

struct RelayEntry {
  1: string domain
  2: string peerAddress
}

struct Laggard {
  1: string member
  2: i64 version
  3: i64 lagMs
  4: i64 rejected
}

// Summary of the versions that the members of one failure domain have applied.
struct DomainStanding {
  1: string domain
  // Members by applied version.
  2: map<i64, i32> counts
  // Members of the member list without a recent report.
  3: i32 unknown
  4: i32 rejecting
  // The members with the longest lags; their number is bounded.
  5: list<Laggard> laggards
  // Time since the relay made this summary.
  6: i64 ageMs
}

// The sender's state. Sent in reply to ConfigSubscribe and when the summaries
// change.
struct ConfigState {
  1: i64 version
  2: i64 digest
  3: string domain
  // The sender acts as a relay: it watches the platform.
  4: bool relay
  // The platform confirmed the version after the receiver's request.
  5: bool confirmed
  // The sender tried to reach the platform and got no answer.
  6: bool platformAway
  // The sender's list of relays; set if the receiver's digest of it differs.
  7: optional list<RelayEntry> relays
  8: list<DomainStanding> standing
  // Relay slot that the receiver should contend for; -1: none.
  9: i32 contendSlot
  // ConfigSubscribe.process of the request that confirmed refers to.
  10: i64 process
}

// A relay's summary of one failure domain, for the other relays.
struct ConfigStanding {
  1: DomainStanding sum
}

// One named element of an array of the document.
struct ResourceChange {
  1: string arrayName
  // Index in the new array.
  2: i32 position
  // JSON text of the element.
  3: binary body
}

struct ResourceName {
  1: string arrayName
  2: string name
}

struct ConfigDelta {
  1: i64 fromVersion
  2: i64 fromDigest
  3: i64 toVersion
  4: i64 toDigest
  // JSON text of the new envelope without its document.
  5: binary header
  6: list<ResourceChange> changed
  7: list<ResourceName> removed
}

struct ConfigSnapshot {
  1: i64 version
  2: i64 digest
  // The envelope's text, compressed with zstd.
  3: binary compressed
  // Size of the text before compression.
  4: i64 textBytes
}
