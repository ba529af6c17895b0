// Stream control messages between daemons. The content of a frame on a stream
// or in a datagram is a type byte (FrameType in peer/frame.h) followed by a
// struct, such as those below, in Thrift compact encoding.
namespace cpp cyclamenwind.wire

// First frame on a stream in each direction; identifies the sender's listening
// address and its process.
struct Hello {
  1: i32 protocol
  2: string peerAddress
  // Random number chosen when the process starts.
  3: i64 instance
}

// The sender starts no new exchange on this stream. Once it has received the
// reply, all frames that it sent on the stream were delivered and it closes the
// stream.
struct Goodbye {
  1: bool reply
}

// Checks that the peer on a stream is alive. A reply repeats the sequence.
struct Heartbeat {
  1: i64 sequence
  2: bool reply
}
