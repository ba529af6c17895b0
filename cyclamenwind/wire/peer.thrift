// Messages between daemons. A frame on a stream or in a datagram is a type
// octet (FrameType in peer/frame.h) followed by one of these structs in Thrift
// compact encoding.
namespace cpp cyclamenwind.wire

// First frame on a stream: names the sender's listening address.
struct Hello {
  1: i32 protocol
  2: string peerAddress
}

// Liveness of a stream. A reply echoes the sequence.
struct Heartbeat {
  1: i64 sequence
  2: bool reply
}
