// HttpClient: requests over pools of evhttp connections, one pool an address.
//
// Each connection carries one request at a time. Nothing is ever sent twice:
// evhttp's own retries are off, and a request whose connection fails is
// reported with whether its first byte had been handed to the kernel.
//
// A response is whole only if its end can be verified: it has exactly one of
// Content-Length and Transfer-Encoding, or its status or method allows no body.
// A kept connection that the server has closed, or on which it sent bytes
// without a request, is not used again. A connection whose segments are no
// longer acknowledged is ended by the kernel within SilenceLimit; a slow server
// acknowledges them.

#ifndef CYCLAMENWIND_HTTP_CLIENT_H
#define CYCLAMENWIND_HTTP_CLIENT_H

#include "cyclamenwind/base/address.h"
#include "cyclamenwind/base/loop.h"
#include "cyclamenwind/base/result.h"
#include "cyclamenwind/http/message.h"

#include <functional>
#include <map>
#include <memory>
#include <vector>

struct evhttp_connection;
struct evhttp_request;

namespace cyclamenwind {

enum class HttpClientErrorCode {
  ConnectFailed,  // No connection; nothing was sent.
  ConnectionLost, // The connection broke before a whole response came.
  TimedOut,
  BadResponse, // Malformed, or of a length that cannot be verified.
  ResponseTooLarge,
};

std::string_view nameOf(HttpClientErrorCode Code);

struct HttpClientError {
  HttpClientErrorCode Code;
  // Whether any byte of the request was handed to the kernel.
  bool Sent = false;
};

using HttpCallback = std::function<void(Result<HttpResponse, HttpClientError>)>;

// A request under way; destroying it cancels it and closes its connection.
class HttpCall {
public:
  virtual ~HttpCall() = default;

  // Whether any byte of the request was handed to the kernel.
  virtual bool sent() const = 0;
};

// Sends requests; abstract so that tests take the server's place.
class HttpSender {
public:
  virtual ~HttpSender() = default;

  // Sends Request to To; Done is called once, never from within send(), unless
  // the returned call is destroyed first.
  [[nodiscard]] virtual std::unique_ptr<HttpCall>
  send(const Address &To, const HttpRequest &Request, Duration Timeout,
       HttpCallback OnDone) = 0;
};

struct HttpClientOptions {
  size_t MaxBodyBytes = 2 * 1024 * 1024;
  // Idle connections kept for an address.
  size_t MaxIdle = 100;
};

class HttpClient final : public HttpSender {
public:
  HttpClient(Loop &TheLoop, const HttpClientOptions &Options);
  ~HttpClient() override;
  HttpClient(const HttpClient &) = delete;
  HttpClient &operator=(const HttpClient &) = delete;

  [[nodiscard]] std::unique_ptr<HttpCall> send(const Address &To,
                                               const HttpRequest &Request,
                                               Duration Timeout,
                                               HttpCallback OnDone) override;

  // Connections open to To, idle and in use.
  size_t connections(const Address &To) const;

private:
  class Call;
  struct Pool {
    std::vector<evhttp_connection *> Idle;
    size_t Open = 0;
  };

  evhttp_connection *claim(const Address &To);
  void release(const Address &To, evhttp_connection *Connection);
  void discard(const Address &To, evhttp_connection *Connection);
  evhttp_connection *open(const Address &To);

  Loop &TheLoop;
  HttpClientOptions Options;
  std::map<Address, Pool> Pools;
  std::shared_ptr<bool> Alive;
};

} // namespace cyclamenwind

#endif
