// HeaderCodec: translates between HTTP headers and the request properties that
// HTTP itself does not define: the id of an attempt, its deadline, and whether
// the backend server executed the request.
//
// Abstract, so that the mesh does not depend on header names.

#ifndef CYCLAMENWIND_MESH_HEADER_CODEC_H
#define CYCLAMENWIND_MESH_HEADER_CODEC_H

#include "cyclamenwind/base/time.h"
#include "cyclamenwind/http/message.h"

#include <optional>
#include <string>

namespace cyclamenwind {

// Properties that a caller states in its request.
struct CallerMetadata {
  std::string AttemptId;             // Empty if absent.
  std::optional<Duration> Remaining; // Until the caller's deadline, if stated.
};

// Properties that the mesh adds to a request for the backend server.
struct ServerMetadata {
  std::string AttemptId;
  std::string InstanceId; // The only incarnation that may run the request.
  std::string CallerService;
  Duration Remaining{};
  std::string Workspace = {}; // Of the caller's key; empty if there is none.
};

// Properties that a backend server states in its response.
struct ResponseMetadata {
  std::string AttemptId;  // Empty if absent.
  std::string InstanceId; // Of the server; set on health check responses only.
  bool NotRun = false;
  bool Signed = false;
  // The body has a content encoding that was applied between the server and
  // this daemon, so its bytes are not those that the server sent.
  bool Encoded = false;
  // Requests per second that the server takes from all hosts together, if it
  // names a limit; not negative.
  std::optional<double> RateLimit;
  bool Leaving = false; // The server will stop soon.
  // How long the server stays cold, in milliseconds as stated; set on health
  // check responses only. NaN if what is stated is not a number.
  std::optional<double> WarmupMs;
  std::string WarmupText; // As stated, for the log.
};

class HeaderCodec {
public:
  virtual ~HeaderCodec() = default;

  // Reads the caller's metadata. Removes those headers, and all headers that
  // only the mesh may set.
  virtual CallerMetadata extractCallerMetadata(HttpHeaders &Headers) const = 0;

  // Removes all headers that may hold a key of a workspace. Returns the key;
  // empty if there is none, or if it is not clear which one it is.
  virtual std::string takeKey(HttpHeaders &Headers) const = 0;
  // The header that tells a caller to send a key.
  virtual HttpHeader keyChallenge() const = 0;

  virtual void addServerMetadata(HttpHeaders &Headers,
                                 const ServerMetadata &Metadata) const = 0;
  virtual ResponseMetadata
  responseMetadata(const HttpResponse &Response) const = 0;

  // The header that tells a caller to retry after Delay.
  virtual HttpHeader retryAfter(Duration Delay) const = 0;
};

} // namespace cyclamenwind

#endif
