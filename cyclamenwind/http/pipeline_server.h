// PipelineServer: an HTTP/1.1 server that runs pipelined requests side by side
// and answers them in the order in which they came.
//
// A connection on which a request cannot be parsed gets the answers to the
// requests before it, then an error response, and is closed. Connections are
// closed with FIN and read until the client closes too, so that the last
// response is not lost to a reset. Responses carry the headers they are given,
// Content-Length, and Connection: close where the connection ends.

#ifndef CYCLAMENWIND_HTTP_PIPELINE_SERVER_H
#define CYCLAMENWIND_HTTP_PIPELINE_SERVER_H

#include "cyclamenwind/http/byte_stream.h"
#include "cyclamenwind/http/exchange.h"
#include "cyclamenwind/http/message_parser.h"

#include <map>

namespace cyclamenwind {

struct PipelineLimits {
  ParserLimits Parser;
  // From the first byte of a request to the end of its headers.
  Duration HeaderTimeout = 10s;
  // How long a connection without a request stays open.
  Duration IdleTimeout = 60s;
};

class PipelineServer {
public:
  PipelineServer(Loop &TheLoop, const Address &Listen,
                 const PipelineLimits &Limits, ExchangeHandler Handler);
  ~PipelineServer();
  PipelineServer(const PipelineServer &) = delete;
  PipelineServer &operator=(const PipelineServer &) = delete;

  // Whether the address could be bound.
  bool ok() const { return Listener != nullptr && Listener->ok(); }

  // Applies to connections accepted and messages begun from now on.
  void setLimits(const PipelineLimits &Changed) { Limits = Changed; }

  // Closes each connection with its next response; idle ones at once if
  // CloseIdle.
  void drain(bool CloseIdle);

  // Reads no further requests: what has not been read yet is left to the caller
  // to send elsewhere. Each connection closes behind its last answer.
  void stopReading();

  void stopAccepting() { Listener.reset(); }

  // Requests read and not yet answered, and responses not yet written.
  size_t unfinished() const;

private:
  friend class PipelineConnection;

  void accept(evutil_socket_t Socket);
  void sweep(TimePoint Now);
  void forget(class PipelineConnection *Ended);

  Loop &TheLoop;
  PipelineLimits Limits;
  ExchangeHandler Handler;
  std::unique_ptr<StreamListener> Listener;
  std::map<PipelineConnection *, std::unique_ptr<PipelineConnection>>
      Connections;
  TimerHandle SweepTimer;
  bool Draining = false;
  bool ReadingStopped = false;
};

} // namespace cyclamenwind

#endif
