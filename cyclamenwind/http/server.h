// HttpServer: an evhttp server that hands each request to one handler, which
// answers now or later.
//
// evhttp enforces the limits on headers and body and answers malformed requests
// itself; a request with both Content-Length and Transfer-Encoding is refused
// here, since intermediaries disagree on its length.

#ifndef CYCLAMENWIND_HTTP_SERVER_H
#define CYCLAMENWIND_HTTP_SERVER_H

#include "cyclamenwind/base/address.h"
#include "cyclamenwind/base/loop.h"
#include "cyclamenwind/base/result.h"
#include "cyclamenwind/http/exchange.h"

struct evhttp;
struct evhttp_bound_socket;
struct evhttp_request;

namespace cyclamenwind {

struct HttpLimits {
  size_t MaxHeaderBytes = 16 * 1024;
  size_t MaxBodyBytes = 1024 * 1024;
};

enum class HttpServerError { AddressInUse };

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

private:
  HttpServer(Loop &TheLoop, ExchangeHandler Handler);
  static void handle(evhttp_request *Raw, void *Self);

  Loop &TheLoop;
  ExchangeHandler Handler;
  evhttp *Http;
  evhttp_bound_socket *Socket = nullptr;
};

} // namespace cyclamenwind

#endif
