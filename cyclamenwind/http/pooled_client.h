// PooledClient: an HttpSender over ByteStreams, with one connection pool per
// address.
//
// Like HttpClient, it never sends a request twice and reports whether any byte
// of the request was handed to the kernel. Unlike evhttp, it tolerates servers
// that violate the protocol: it skips responses to earlier requests, does not
// reuse a connection on which surplus bytes arrive or whose response arrives
// before the request is completely written, and accepts a response without a
// length only if the server closes the connection with FIN.
//
// A response without end fails as soon as it exceeds a limit, not when its
// request times out, and its connection is closed: the limits of the parser,
// MaxInterimBytes for interim responses and MaxSkippedResponses for those to
// other requests. If responses without a declared length take the memory that
// each of them waits for, the largest fails after MaxMemoryWait.
//
// If a request on a reused connection times out or the connection is lost, the
// connections that were idle all the while are closed: what made one of them
// fail, such as a middlebox that forgot it, may concern all.

#ifndef CYCLAMENWIND_HTTP_POOLED_CLIENT_H
#define CYCLAMENWIND_HTTP_POOLED_CLIENT_H

#include "cyclamenwind/base/memory_budget.h"
#include "cyclamenwind/http/byte_stream.h"
#include "cyclamenwind/http/client.h"
#include "cyclamenwind/http/message_parser.h"

#include <list>
#include <set>

namespace cyclamenwind {

// Returns whether Response can be the response to Request. Reused: the
// connection has carried other requests before, so that Response may be a
// second copy of the response to one of them.
using ResponseMatcher = std::function<bool(
    const HttpRequest &Request, const HttpResponse &Response, bool Reused)>;

struct PooledClientOptions {
  ParserLimits Parser;
  // Limit of the bytes buffered for all responses that are being received.
  // Above it, those of them that are large fail as they grow; see
  // LargeResponses.
  size_t MaxBufferedBytes = 64 * 1024 * 1024;
  // If set, responses are charged to it, and MaxBufferedBytes is not used: one
  // for which there is no room is not read until there is, or until its call
  // ends. Must outlive the client.
  MemoryBudget *Memory = nullptr;
  // A connection that has been idle for longer is not reused. A server may drop
  // an idle connection without notice. Requests other than GET and HEAD cannot
  // be retried, so they have a limit of their own.
  Duration MaxIdleTime = 8s;
  Duration MaxIdleTimeNonIdempotent = 2s;
  ResponseMatcher Matches; // If empty, any response matches.
  // Of all interim responses to one request.
  size_t MaxInterimBytes = 16 * 1024;
  // Responses to other requests that one request may find before its own. Each
  // earlier request on a connection may leave a late one.
  int MaxSkippedResponses = 8;
  // How long responses without a declared length wait for memory until the
  // largest of them fails.
  Duration MaxMemoryWait = 1s;
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

  // Closes the connections to To that have been idle since Start.
  void closeIdleSince(const Address &To, TimePoint Start);

  // Connections opened since construction.
  uint64_t opened() const { return Opened; }

private:
  class Connection;
  class Call;

  std::unique_ptr<Connection> acquire(const Address &To, bool Idempotent);
  void returnToPool(std::unique_ptr<Connection> Returned);
  void removeIdle(Connection *Closed);
  void destroyLater(std::unique_ptr<Connection> Ended);
  void sweep(TimePoint Now);
  bool mustGiveUp(size_t ResponseBytes) const;
  bool mustMakeRoom(const Call &Candidate) const;

  Loop &TheLoop;
  PooledClientOptions Options;
  std::map<Address, std::list<std::unique_ptr<Connection>>> IdleConnections;
  TimerHandle SweepTimer;
  uint64_t Opened = 0;
  size_t BufferedBytes = 0; // Of all responses that are being received.
  // Calls whose responses have no declared length and wait for memory.
  std::set<const Call *> Waiting;
  std::shared_ptr<bool> Alive = std::make_shared<bool>(true);
};

} // namespace cyclamenwind

#endif
