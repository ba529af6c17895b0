// HttpServer: an evhttp server that passes each request to one handler, which
// replies immediately or later.
//
// evhttp enforces the limits on headers and body and answers malformed requests
// itself. HttpServer rejects a request with 400 and closes its connection if
// intermediaries could disagree about the request's length (request smuggling):
// more than one length header, a length that is not a plain number, a transfer
// coding other than chunked, or a body where evhttp reads none (GET and HEAD).

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
  // Binds Listen and serves until the server is destroyed.
  static Result<std::unique_ptr<HttpServer>, HttpServerError>
  listen(Loop &TheLoop, const Address &Listen, const HttpLimits &Limits,
         ExchangeHandler Handler);

  ~HttpServer();
  HttpServer(const HttpServer &) = delete;
  HttpServer &operator=(const HttpServer &) = delete;

  // Accepts no further connections; open connections are still served.
  void stopAccepting();

  // Requests whose response has not been handed to the kernel completely.
  size_t unfinished() const { return OpenExchanges.size() + UnsentResponses; }

private:
  friend class HttpExchange;

  HttpServer(Loop &TheLoop, ExchangeHandler Handler);
  static void handle(evhttp_request *Raw, void *Self);

  Loop &TheLoop;
  ExchangeHandler Handler;
  evhttp *Http;
  evhttp_bound_socket *Socket = nullptr;
  std::set<HttpExchange *> OpenExchanges;
  size_t UnsentResponses = 0;
};

} // namespace cyclamenwind

#endif
