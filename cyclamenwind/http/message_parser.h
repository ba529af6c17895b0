// MessageParser: parses HTTP/1.1 messages from a byte stream with http_parser.
//
// Each message is buffered until it is complete. In addition to http_parser's
// checks, the parser rejects messages that two parties could interpret
// differently (request smuggling): more than one Content-Length, Content-Length
// together with Transfer-Encoding, a Content-Length that is not a plain number,
// a transfer coding other than chunked, blanks in or around a header's name,
// and control characters in a request's target. Of a response it rejects a
// status line that is not "HTTP/1.0" or "HTTP/1.1", one space, a status of
// three digits from 100 to 599, and either nothing or a space and a reason
// without control characters: http_parser takes 000, 999 and HTTP/9.9 for good
// ones.
//
// A message without end is rejected as soon as it exceeds a limit. All its
// bytes count, also those that are not kept: empty lines before it, blanks
// around a header's value, and the size, extension and line breaks of each
// chunk. What is neither header nor body may take MaxHeaderBytes, 20 bytes for
// each chunk, and as many as the body has. A chunk whose size alone exceeds the
// limit of the body is rejected before its bytes are read.

#ifndef CYCLAMENWIND_HTTP_MESSAGE_PARSER_H
#define CYCLAMENWIND_HTTP_MESSAGE_PARSER_H

#include "cyclamenwind/http/message.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string_view>

namespace cyclamenwind {

enum class MessageKind { Request, Response };

enum class ParseError {
  None,
  Malformed,
  HeadersTooLarge,
  BodyTooLarge, // The body, or what is around its bytes.
};

std::string_view nameOf(ParseError Error);

struct ParserLimits {
  size_t MaxHeaderBytes = 16 * 1024;
  size_t MaxBodyBytes = 4 * 1024 * 1024;
};

// Whether a server's response with Status, other than an interim one, may be
// passed on.
constexpr bool isFinalStatus(int Status) {
  return Status >= 200 && Status <= 599;
}

// One parsed message.
struct ParsedMessage {
  HttpRequest Request;   // Set for MessageKind::Request.
  HttpResponse Response; // Set for MessageKind::Response.
  bool KeepAlive = false;
};

class MessageParser {
public:
  MessageParser(MessageKind Kind, const ParserLimits &Limits);
  ~MessageParser();
  MessageParser(const MessageParser &) = delete;
  MessageParser &operator=(const MessageParser &) = delete;

  // Parses at most one message from Bytes and returns the number of bytes
  // consumed. When ready() returns true, call take() before the next feed().
  size_t feed(std::string_view Bytes);

  // Reports the end of the stream, which completes a response without a length.
  void finish();

  bool ready() const;
  ParsedMessage take();

  ParseError error() const;

  // Whether a message has been read in part.
  bool hasPartialMessage() const;

  // Bytes of the body of the current message that were received.
  size_t bufferedBytes() const;

  // Memory that the head of the current message takes, with the copies that the
  // proxies make of it: a head of many short lines takes far more than its
  // bytes.
  size_t headMemory() const;

  // Length of the body of the current message as its head declares it; nothing
  // before the end of the head and for a body without a declared length.
  std::optional<size_t> declaredBodyBytes() const;

  // Bytes that the buffer of the body takes or, if a length was declared, will
  // take.
  size_t bodyMemory() const;

  // Takes the memory for a body of the declared length at once, which avoids
  // copies while it grows. Does nothing without a declared length.
  void reserveBody();

  // Whether all headers of the current message have been read.
  bool headersComplete() const;

  // Pass true if the next response answers a HEAD request and so has no body.
  void expectNoBody(bool NoBody);

private:
  struct State;
  std::unique_ptr<State> Impl;
};

} // namespace cyclamenwind

#endif
