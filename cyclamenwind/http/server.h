// HttpServer: an evhttp server that hands each request to one handler, which
// answers now or later.
//
// evhttp enforces the limits on headers and body and answers malformed requests
// itself; a request on whose length intermediaries could disagree is refused
// here with 400, and its connection closed: several length headers, a length
// that is not a plain number, a coding other than chunked, or a body where
// evhttp reads none (GET and HEAD).

#ifndef CYCLAMENWIND_HTTP_SERVER_H
#define CYCLAMENWIND_HTTP_SERVER_H

#include "cyclamenwind/base/address.h"
#include "cyclamenwind/base/loop.h"
#include "cyclamenwind/base/result.h"
#include "cyclamenwind/http/exchange.h"

#include <set>

struct evhttp;
struct evhttp_bound_socket;
struct evhttp_request;

namespace cyclamenwind {

struct HttpLimits {
  size_t MaxHeaderBytes = 16 * 1024;
  size_t MaxBodyBytes = 1024 * 1024;
};

enum class HttpServerError { AddressInUse };

class HttpExchange;

class HttpServer {
public:
  // Binds Listen and serves until destroyed.
  static Result<std::unique_ptr<HttpServer>, HttpServerError>
  listen(Loop &TheLoop, const Address &Listen, const HttpLimits &Limits,
         ExchangeHandler Handler);

  ~HttpServer();
  HttpServer(const HttpServer &) = delete;
  HttpServer &operator=(const HttpServer &) = delete;

  // Accepts no further connections; open ones are served on.
  void stopAccepting();

  // Requests whose response has not been handed to the kernel as a whole.
  size_t unfinished() const { return Open.size() + Flushing; }

private:
  friend class HttpExchange;

  HttpServer(Loop &TheLoop, ExchangeHandler Handler);
  static void handle(evhttp_request *Raw, void *Self);

  Loop &TheLoop;
  ExchangeHandler Handler;
  evhttp *Http;
  evhttp_bound_socket *Socket = nullptr;
  std::set<HttpExchange *> Open;
  size_t Flushing = 0;
};

} // namespace cyclamenwind

#endif
