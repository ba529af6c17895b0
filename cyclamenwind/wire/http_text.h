// Checks of the HTTP text in messages of peers.
//
// A peer's Thrift strings may hold any bytes. They are written into HTTP
// messages to backend servers and callers, where a line break would start
// another header or another message.

#ifndef CYCLAMENWIND_WIRE_HTTP_TEXT_H
#define CYCLAMENWIND_WIRE_HTTP_TEXT_H

#include "cyclamenwind/base/text.h"
#include "cyclamenwind/wire/gen-cpp/calls_types.h"

#include <algorithm>

namespace cyclamenwind {

// Whether each of Headers can be written into an HTTP message.
inline bool areHttpHeaders(const std::vector<wire::Header> &Headers) {
  return std::all_of(
      Headers.begin(), Headers.end(), [](const wire::Header &Header) {
        return isHttpToken(Header.name) && isHeaderValue(Header.value);
      });
}

// Whether Message, a request of a call or a forwarded request, can be written
// as an HTTP request.
template <typename RequestMessage>
bool isHttpRequest(const RequestMessage &Message) {
  return isHttpToken(Message.method) && isHttpTarget(Message.target) &&
         areHttpHeaders(Message.headers);
}

} // namespace cyclamenwind

#endif
