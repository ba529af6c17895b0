// PipelineServer: an HTTP/1.1 server that runs pipelined requests concurrently
// and sends the responses in the order of the requests.
//
// After a request that cannot be parsed, the server sends the responses to the
// requests before it, then an error response, and closes the connection. The
// server closes a connection by sending FIN and reads until the client closes
// too, so that a reset does not discard the last response. Each response
// carries the handler's headers, Content-Length, and Connection: close if it is
// the last one on its connection.
//
// With a MemoryBudget, heads, bodies and responses are charged to it. A
// connection for whose request there is no memory is not read until there is,
// for at most MaxMemoryWait (pipeline_server.cpp); then the request gets 503.
// Meanwhile connections that hold memory and make no progress are closed
// (connection_shedder.h). A response for which there is no memory is replaced
// by 502. At MaxConnections, or if the budget has no room for another
// connection, an idle or stalled one is closed; if there is none, accepting
// pauses.

#ifndef CYCLAMENWIND_HTTP_PIPELINE_SERVER_H
#define CYCLAMENWIND_HTTP_PIPELINE_SERVER_H

#include "cyclamenwind/base/memory_budget.h"
#include "cyclamenwind/http/byte_stream.h"
#include "cyclamenwind/http/connection_shedder.h"
#include "cyclamenwind/http/exchange.h"
#include "cyclamenwind/http/message_parser.h"

#include <map>

namespace cyclamenwind {

struct PipelineLimits {
  ParserLimits Parser;
  // Maximum time from the first byte of a request to the end of its headers.
  Duration HeaderTimeout = 10s;
  // How long a connection without requests stays open.
  Duration IdleTimeout = 60s;
  // Maximum time without a byte of a body that was begun; then the request gets
  // 408. No caller within the limits reaches it: callers have deadlines of
  // seconds.
  Duration BodyStallTimeout = 60s;
  // Connections open at a time; 0: no limit.
  size_t MaxConnections = 0;
  // Added to each 503 of the server itself.
  HttpHeaders RefusalHeaders;
};

class PipelineServer {
public:
  PipelineServer(Loop &TheLoop, const Address &Listen,
                 const PipelineLimits &Limits, ExchangeHandler Handler);
  ~PipelineServer();
  PipelineServer(const PipelineServer &) = delete;
  PipelineServer &operator=(const PipelineServer &) = delete;

  // Whether the address was bound.
  bool ok() const { return Listener != nullptr && Listener->ok(); }

  // The parser limits apply to connections accepted after this call, the
  // timeouts to all connections.
  void setLimits(const PipelineLimits &NewLimits) { Limits = NewLimits; }

  // Sends large responses as ThePacer permits, on connections accepted after
  // this call. ThePacer must outlive this server.
  void paceWith(EgressPacer &ThePacer) { Pacer = &ThePacer; }

  // Charges what connections accepted after this call take to TheBudget, which
  // must outlive this server.
  void chargeTo(MemoryBudget &TheBudget) { Budget = &TheBudget; }

  // Closes each connection with the next response after which no request is
  // pending or partly read; closes idle connections at once if CloseIdle is
  // set.
  void drain(bool CloseIdle);

  // Reads no further requests; the caller can send those elsewhere. Each
  // connection closes after its last response.
  void stopReading();

  void stopAccepting() { Listener.reset(); }

  // Requests without a response plus connections with unsent response bytes.
  size_t unfinished() const;

private:
  friend class PipelineConnection;

  void accept(evutil_socket_t Socket);
  void sweep(TimePoint Now);
  void removeConnection(class PipelineConnection *Ended);
  bool isFull() const;
  bool shedFor(std::optional<size_t> (*Choose)(
                   const std::vector<ShedCandidate> &Candidates),
               bool Gracefully);
  void makeRoomForConnection();
  void resumeAcceptingIfRoom();
  void waitForMemory(class PipelineConnection *Waiting);
  void stopWaiting(class PipelineConnection *Ended);
  void scheduleRetry();
  void retryMemory();

  Loop &TheLoop;
  PipelineLimits Limits;
  ExchangeHandler Handler;
  EgressPacer *Pacer = nullptr;
  MemoryBudget *Budget = nullptr;
  std::unique_ptr<StreamListener> Listener;
  std::map<PipelineConnection *, std::unique_ptr<PipelineConnection>>
      Connections;
  // Connections that wait for memory, the longest-waiting first.
  std::vector<PipelineConnection *> Waiting;
  bool AcceptingPaused = false;
  TimerHandle RetryTimer; // Set while any waits or accepting is paused.
  TimerHandle SweepTimer;
  bool Draining = false;
  bool ReadingStopped = false;
};

} // namespace cyclamenwind

#endif
