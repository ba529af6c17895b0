// Connection: one daemon's operators' address, as commands use it.

#ifndef CYCLAMENWIND_CTL_CONNECTION_H
#define CYCLAMENWIND_CTL_CONNECTION_H

#include "cyclamenwind/ctl/result.h"
#include "cyclamenwind/http/client.h"

namespace cyclamenwind::ctl {

// Abstract so that tests take the daemon's place and pass the time.
class Connection {
public:
  virtual ~Connection() = default;

  // Sends one request and waits for its response.
  virtual Result<HttpResponse, HttpClientError>
  send(const Address &Daemon, const HttpRequest &Request) = 0;

  virtual TimePoint now() const = 0;
  virtual void sleepFor(Duration Span) = 0;
};

class HttpConnection final : public Connection {
public:
  Result<HttpResponse, HttpClientError>
  send(const Address &Daemon, const HttpRequest &Request) override;
  TimePoint now() const override { return TheLoop.now(); }
  void sleepFor(Duration Span) override;

private:
  Loop TheLoop;
};

// A response in JSON, or the result that tells why there is none.
struct Reply {
  int Status = 0;
  nlohmann::json Body;
  CommandResult Problem; // Valid if Status is 0.
};

// Sends a request. A failed connection, a refusal of access and a response that
// is not JSON become a Problem; other statuses are the caller's to judge.
Reply ask(Connection &Link, const Address &Daemon, const HttpRequest &Request);

// The result of a response that the command does not expect.
CommandResult unexpected(const Reply &Received);

// Text for use in a query.
std::string escaped(const std::string &Text);

} // namespace cyclamenwind::ctl

#endif
