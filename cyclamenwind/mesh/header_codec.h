// HeaderCodec: how callers and backend servers express what HTTP itself does
// not: the id of an attempt, its deadline, and whether a request was run.
//
// Abstract, so that the mesh does not know the names of headers.

#ifndef CYCLAMENWIND_MESH_HEADER_CODEC_H
#define CYCLAMENWIND_MESH_HEADER_CODEC_H

#include "cyclamenwind/base/time.h"
#include "cyclamenwind/http/message.h"

#include <optional>
#include <string>

namespace cyclamenwind {

// What a caller says of its request.
struct CallerMetadata {
  std::string AttemptId; // Empty if absent.
  std::optional<Duration> Remaining;
};

// What a backend server is told of a request.
struct ServerMetadata {
  std::string AttemptId;
  std::string InstanceId; // The incarnation that alone may run it.
  std::string CallerService;
  Duration Remaining{};
};

// What a backend server says of its answer.
struct ResponseMetadata {
  std::string AttemptId;  // Empty if absent.
  std::string InstanceId; // Of the server, on answers to health checks only.
  bool NotRun = false;
  bool Signed = false;
  // The bytes are not the server's own: they were encoded on the way.
  bool Encoded = false;
};

class HeaderCodec {
public:
  virtual ~HeaderCodec() = default;

  // Reads and removes the caller's terms, and headers that only the mesh sets.
  virtual CallerMetadata extractCallerMetadata(HttpHeaders &Headers) const = 0;
  virtual void addServerMetadata(HttpHeaders &Headers,
                                 const ServerMetadata &Terms) const = 0;
  virtual ResponseMetadata
  responseMetadata(const HttpResponse &Response) const = 0;

  // Tells a caller to come back after Delay.
  virtual HttpHeader retryAfter(Duration Delay) const = 0;
};

} // namespace cyclamenwind

#endif
