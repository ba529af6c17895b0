// HttpClient: sends requests over evhttp connections, with one connection pool
// per address.
//
// Each connection carries one request at a time. The client never sends a
// request twice: evhttp's own retries are off, and if a connection fails, the
// error says whether any byte of the request was handed to the kernel.
//
// A response is complete only if its end can be verified: it has exactly one of
// Content-Length and Transfer-Encoding, or its status or method allows no body.
// An idle connection that the server has closed, or on which it sent bytes
// without a request, is not reused. The kernel closes a connection whose
// segments stay unacknowledged for UnacknowledgedTimeout; a slow server's
// kernel still acknowledges them.

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
  ConnectFailed,  // No connection was established; nothing was sent.
  ConnectionLost, // The connection failed before a complete response arrived.
  TimedOut,
  BadResponse, // Malformed, or its length cannot be verified.
  ResponseTooLarge,
};

std::string_view nameOf(HttpClientErrorCode Code);

struct HttpClientError {
  HttpClientErrorCode Code;
  // Whether any byte of the request was handed to the kernel.
  bool Sent = false;
};

using HttpCallback = std::function<void(Result<HttpResponse, HttpClientError>)>;

// A request in progress. Destroying it cancels the request and closes its
// connection.
class HttpCall {
public:
  virtual ~HttpCall() = default;

  // Whether any byte of the request was handed to the kernel.
  virtual bool sent() const = 0;
};

// Sends requests. Abstract so that tests can replace the network.
class HttpSender {
public:
  virtual ~HttpSender() = default;

  // Sends Request to To. Unless the returned call is destroyed first, OnDone is
  // called exactly once, and never from within send().
  [[nodiscard]] virtual std::unique_ptr<HttpCall>
  send(const Address &To, const HttpRequest &Request, Duration Timeout,
       HttpCallback OnDone) = 0;
};

struct HttpClientOptions {
  size_t MaxBodyBytes = 2 * 1024 * 1024;
  // Idle connections kept per address.
  size_t MaxIdlePerAddress = 100;
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

  // Open connections to To, idle and in use.
  size_t connections(const Address &To) const;

private:
  class Call;
  struct Pool {
    std::vector<evhttp_connection *> Idle;
    size_t OpenConnections = 0;
  };

  evhttp_connection *acquire(const Address &To);
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
