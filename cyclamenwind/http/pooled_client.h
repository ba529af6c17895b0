// PooledClient: HttpSender over pools of ByteStreams, one pool an address.
//
// Like HttpClient it never sends anything twice and reports whether a byte of
// the request was handed to the kernel. Unlike evhttp it copes with servers
// that break the protocol: a response that belongs to an earlier request is
// skipped, surplus bytes end the connection, a response without a length is
// whole only if the server closed in order, and a response that came before the
// request was written ends the connection behind it.

#ifndef CYCLAMENWIND_HTTP_POOLED_CLIENT_H
#define CYCLAMENWIND_HTTP_POOLED_CLIENT_H

#include "cyclamenwind/http/byte_stream.h"
#include "cyclamenwind/http/client.h"
#include "cyclamenwind/http/message_parser.h"

#include <list>

namespace cyclamenwind {

// Whether Response can belong to Request.
using ResponseMatcher = std::function<bool(const HttpRequest &Request,
                                           const HttpResponse &Response)>;

struct PooledClientOptions {
  ParserLimits Parser;
  // A connection that has been idle for longer is not used again. Idle
  // connections may be forgotten by the server without notice, so requests
  // other than GET and HEAD, which cannot be repeated, have their own limit.
  Duration MaxIdle = 8s;
  Duration MaxIdleOfOthers = 2s;
  ResponseMatcher Matches; // Empty: any response matches.
};

class PooledClient final : public HttpSender {
public:
  PooledClient(Loop &TheLoop, PooledClientOptions Options);
  ~PooledClient() override;
  PooledClient(const PooledClient &) = delete;
  PooledClient &operator=(const PooledClient &) = delete;

  [[nodiscard]] std::unique_ptr<HttpCall> send(const Address &To,
                                               const HttpRequest &Request,
                                               Duration Timeout,
                                               HttpCallback OnDone) override;

  // Closes idle connections to To.
  void closeIdle(const Address &To);

  // Connections opened since the start.
  uint64_t opened() const { return Opened; }

private:
  class Connection;
  class Call;

  std::unique_ptr<Connection> claim(const Address &To, bool Idempotent);
  void park(std::unique_ptr<Connection> Idle);
  void discard(Connection *Idle);
  void destroyLater(std::unique_ptr<Connection> Ended);
  void sweep(TimePoint Now);

  Loop &TheLoop;
  PooledClientOptions Options;
  std::map<Address, std::list<std::unique_ptr<Connection>>> Idle;
  TimerHandle SweepTimer;
  uint64_t Opened = 0;
  std::shared_ptr<bool> Alive = std::make_shared<bool>(true);
};

} // namespace cyclamenwind

#endif
