// Messages between daemons. A frame on a stream or in a datagram is a type
// octet (FrameType in peer/frame.h) followed by one of these structs in Thrift
// compact encoding.
namespace cpp cyclamenwind.wire

// First frame on a stream in each direction: names the sender's listening
// address and its process.
struct Hello {
  1: i32 protocol
  2: string peerAddress
  // Random, the same for the life of a process.
  3: i64 instance
}

// The sender begins nothing new on this stream. Once the reply has come, all
// that was sent on the stream has arrived, and it is closed.
struct Goodbye {
  1: bool reply
}

// Liveness of a stream. A reply echoes the sequence.
struct Heartbeat {
  1: i64 sequence
  2: bool reply
}
