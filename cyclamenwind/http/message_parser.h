// MessageParser: HTTP/1.1 messages from a stream of bytes, through http_parser.
//
// Messages are collected whole. On top of the library's checks it rejects what
// two parties could read differently: several lengths, a length beside a
// transfer coding, a coding other than chunked, blanks around a header's name.

#ifndef CYCLAMENWIND_HTTP_MESSAGE_PARSER_H
#define CYCLAMENWIND_HTTP_MESSAGE_PARSER_H

#include "cyclamenwind/http/message.h"

#include <cstdint>
#include <memory>
#include <string_view>

namespace cyclamenwind {

enum class MessageKind { Request, Response };

enum class ParseError {
  None,
  Malformed,
  HeadersTooLarge,
  BodyTooLarge,
};

struct ParserLimits {
  size_t MaxHeaderBytes = 16 * 1024;
  size_t MaxBodyBytes = 4 * 1024 * 1024;
};

// One parsed message.
struct ParsedMessage {
  HttpRequest Request;   // Of a request.
  HttpResponse Response; // Of a response.
  bool KeepAlive = false;
};

class MessageParser {
public:
  MessageParser(MessageKind Kind, const ParserLimits &Limits);
  ~MessageParser();
  MessageParser(const MessageParser &) = delete;
  MessageParser &operator=(const MessageParser &) = delete;

  // Takes up to one message from Bytes; returns how many bytes were used. A
  // message is ready when ready() says so; take() it before feeding more.
  size_t feed(std::string_view Bytes);

  // The stream has ended: a response without a length is complete now.
  void finish();

  bool ready() const;
  ParsedMessage take();

  ParseError error() const;

  // Whether part of a message has been read.
  bool midMessage() const;

  // Whether the headers of the message under way have been read.
  bool headersDone() const;

  // The next response answers a HEAD request and has no body.
  void expectNoBody(bool Without);

private:
  struct State;
  std::unique_ptr<State> Impl;
};

} // namespace cyclamenwind

#endif
