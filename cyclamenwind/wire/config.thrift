// Distribution of the accepted configuration between daemons.
namespace cpp cyclamenwind.wire

// States what the sender has in force and asks for what is newer. Sent to each
// relay in turn of a period, and at once after a change.
struct ConfigSubscribe {
  1: string member
  2: string domain
  // Version in force at the sender; 0: none.
  3: i64 version
  4: i64 digest
  // The sender wants pushes at once; else only in reply to this message.
  5: bool primary
  // The sender began anew and must learn the highest version: the receiver
  // confirms its own with the platform first.
  6: bool fresh
  // Version that the sender could not apply; 0: none.
  7: i64 rejected
  // Digest of the relays that the sender knows.
  8: i64 directory
  // Differs between processes, so that an answer to an earlier process of the
  // same address confirms nothing to this one.
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

// Which versions the members of one failure domain have in force.
struct DomainStanding {
  1: string domain
  // Members by version in force.
  2: map<i64, i32> counts
  // Members in the roster that have not been heard of lately.
  3: i32 unknown
  4: i32 rejecting
  // The longest lags, a bounded number.
  5: list<Laggard> laggards
  // Time since the relay made this up.
  6: i64 ageMs
}

struct ConfigState {
  1: i64 version
  2: i64 digest
  3: string domain
  // The sender watches the platform as a relay.
  4: bool relay
  // The platform has confirmed the version after the receiver's request.
  5: bool confirmed
  // The sender has tried in vain to reach the platform.
  6: bool platformAway
  // Present if the receiver's directory digest differs.
  7: optional list<RelayEntry> relays
  8: list<DomainStanding> standing
  // Slot that the receiver should contend for; -1: none.
  9: i32 contendSlot
  // The process whose request the platform's answer followed; see confirmed.
  10: i64 process
}

// A relay's sum, for the other relays.
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
  // JSON text of the envelope without its document.
  5: binary header
  6: list<ResourceChange> changed
  7: list<ResourceName> removed
}

struct ConfigSnapshot {
  1: i64 version
  2: i64 digest
  // The envelope's text, compressed by zstd, and its size without compression.
  3: binary compressed
  4: i64 textBytes
}
