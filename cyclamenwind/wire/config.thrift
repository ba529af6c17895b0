// Distribution of the accepted configuration between daemons.
namespace cpp cyclamenwind.wire

// States which configuration version the sender has in force.
struct ConfigState {
  1: i64 version
  2: i64 digest
}

// Asks for the receiver's snapshot if newer than the given version.
struct ConfigPull {
  1: i64 version
}

struct ConfigSnapshot {
  1: i64 version
  2: i64 digest
  // The envelope's text as stored on the platform.
  3: binary envelope
}
