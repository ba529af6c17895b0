// DaemonClient: sends requests to the operators' address of a daemon.

#ifndef CYCLAMENWIND_CTL_DAEMON_CLIENT_H
#define CYCLAMENWIND_CTL_DAEMON_CLIENT_H

#include "cyclamenwind/ctl/result.h"
#include "cyclamenwind/http/client.h"

namespace cyclamenwind::ctl {

// Abstract, so that tests can replace the daemon and the clock.
class DaemonClient {
public:
  virtual ~DaemonClient() = default;

  // Sends one request and waits for its response.
  virtual Result<HttpResponse, HttpClientError>
  send(const Address &Daemon, const HttpRequest &Request) = 0;

  virtual TimePoint now() const = 0;
  virtual void sleepFor(Duration Span) = 0;
};

class HttpDaemonClient final : public DaemonClient {
public:
  Result<HttpResponse, HttpClientError>
  send(const Address &Daemon, const HttpRequest &Request) override;
  TimePoint now() const override { return TheLoop.now(); }
  void sleepFor(Duration Span) override;

private:
  Loop TheLoop;
};

// A JSON response, or the failure that explains why there is none.
struct DaemonResponse {
  int Status = 0;
  nlohmann::json Body;
  CommandResult Failure; // Set if Status is 0.
};

// Sends a request. If the connection fails, access is refused (status 403) or
// the response is not a JSON object or array, the result has a Failure. The
// caller handles all other statuses.
DaemonResponse sendRequest(DaemonClient &Client, const Address &Daemon,
                           const HttpRequest &Request);

// Returns the failure for a response whose status the command does not handle.
CommandResult unexpectedResponse(const DaemonResponse &Response);

// Returns Text percent-encoded for use in a query.
std::string percentEncoded(const std::string &Text);

} // namespace cyclamenwind::ctl

#endif
