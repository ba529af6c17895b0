// Frames between daemons.
//
// On a stream a frame consists of a four-byte length (big endian, not counting
// itself), a type byte, and a Thrift struct in compact encoding. A datagram
// holds one frame without the length. The type numbers are grouped by the
// service that handles them.

#ifndef CYCLAMENWIND_PEER_FRAME_H
#define CYCLAMENWIND_PEER_FRAME_H

#include "cyclamenwind/base/result.h"

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/transport/TBufferTransports.h>

namespace cyclamenwind {

enum class FrameType : uint8_t {
  // Stream control.
  Hello = 1,
  Heartbeat = 2,
  Goodbye = 3,
  Fragment = 4, // A part of a large frame; see link.h.
  // Calls.
  CallRequest = 10,
  CallReply = 11,
  CallCancel = 12,
  // Membership. Roster is the member list.
  Gossip = 20,
  RosterPull = 21,
  RosterRecords = 22,
  Probe = 23,
  ProbeAck = 24,
  ProbeRequest = 25,
  ProbeNack = 26,
  // Configuration. Standing is a summary of the applied versions.
  ConfigSubscribe = 30,
  ConfigState = 31,
  ConfigDelta = 32,
  ConfigSnapshot = 33,
  ConfigStanding = 34,
  // Rollouts. Move is a rollout, Standing the progress of its current step.
  MoveDigest = 40,
  MoveEntries = 41,
  MoveEvidence = 42,
  MoveStanding = 43,
  // Mesh: forwarded requests and replicated state.
  ForwardRequest = 50,
  ForwardReply = 51,
  ForwardCancel = 52,
  EndpointAnnounce = 53,
  StatePull = 54,
  StateReply = 55,
  VersionEvidence = 56,
  RolloutAnnounce = 57,
  ConfigPush = 58,
  ForwardLimit = 59,
  EvacuationState = 60,
  AllowanceRequest = 61,
  AllowanceGrant = 62,
  ForwardAccept = 63,
  ForwardBody = 64,
};

// Large enough for a body of the maximum size and its headers.
constexpr uint32_t MaxFrameBytes = 17 * 1024 * 1024;
// Limit of a datagram's payload, without the type byte.
constexpr size_t MaxDatagramBytes = 1400;

enum class FrameError { Malformed };

// Encodes Message in Thrift compact encoding.
template <typename T> std::string encodeMessage(const T &Message) {
  using namespace apache::thrift;
  auto Buffer = std::make_shared<transport::TMemoryBuffer>();
  protocol::TCompactProtocolT<transport::TMemoryBuffer> Protocol(Buffer);
  Message.write(&Protocol);
  return Buffer->getBufferAsString();
}

// Decodes a T; rejects malformed input and trailing bytes.
template <typename T>
Result<T, FrameError> decodeMessage(std::string_view Payload) {
  using namespace apache::thrift;
  T Message;
  try {
    auto *Bytes =
        reinterpret_cast<uint8_t *>(const_cast<char *>(Payload.data()));
    auto Buffer = std::make_shared<transport::TMemoryBuffer>(
        Bytes, static_cast<uint32_t>(Payload.size()));
    protocol::TCompactProtocolT<transport::TMemoryBuffer> Protocol(
        Buffer, static_cast<int32_t>(MaxFrameBytes),
        static_cast<int32_t>(MaxFrameBytes));
    Message.read(&Protocol);
    if (Buffer->available_read() != 0)
      return FrameError::Malformed;
  } catch (const std::exception &) {
    return FrameError::Malformed;
  }
  return Message;
}

} // namespace cyclamenwind

#endif
