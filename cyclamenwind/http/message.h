// HTTP/1.1 messages, held completely in memory.

#ifndef CYCLAMENWIND_HTTP_MESSAGE_H
#define CYCLAMENWIND_HTTP_MESSAGE_H

#include <string>
#include <string_view>
#include <vector>

namespace cyclamenwind {

struct HttpHeader {
  std::string Name;
  std::string Value;
};

using HttpHeaders = std::vector<HttpHeader>;

// Value of the first header named Name (case-insensitive); null if there is
// none.
const std::string *findHeader(const HttpHeaders &Headers,
                              std::string_view Name);

// Number of headers named Name (case-insensitive).
size_t countHeaders(const HttpHeaders &Headers, std::string_view Name);

// Whether the header applies to a single connection, or frames the body like
// Content-Length, and must not be forwarded.
bool isHopByHop(std::string_view Name);

struct HttpRequest {
  std::string Method;
  std::string Target; // Path and query as received.
  HttpHeaders Headers;
  std::string Body;

  // Target without its query.
  std::string_view path() const;

  // Decoded value of a query parameter; empty if absent.
  std::string queryValue(std::string_view Name) const;
};

struct HttpResponse {
  int Status = 0;
  HttpHeaders Headers;
  std::string Body;
};

} // namespace cyclamenwind

#endif
