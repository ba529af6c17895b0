// Exchange: one request that awaits its response.
//
// Abstract so that tests take the caller's place.

#ifndef CYCLAMENWIND_HTTP_EXCHANGE_H
#define CYCLAMENWIND_HTTP_EXCHANGE_H

#include "cyclamenwind/http/message.h"

#include <functional>
#include <memory>

namespace cyclamenwind {

class Exchange {
public:
  virtual ~Exchange() = default;

  virtual const HttpRequest &request() const = 0;

  // Host of the peer that sent it; empty if unknown.
  virtual std::string peerHost() const { return ""; }

  // Takes the request's parts out, for passing on without a copy.
  virtual HttpRequest takeRequest() = 0;

  // Sends the response; later calls are ignored.
  virtual void reply(const HttpResponse &Response) = 0;

  // Closes the connection without a response.
  virtual void abandon() = 0;

  // Calls Action once if the peer closes its connection before the reply.
  virtual void onPeerGone(std::function<void()> Action) = 0;
};

using ExchangePtr = std::shared_ptr<Exchange>;
using ExchangeHandler = std::function<void(ExchangePtr)>;

} // namespace cyclamenwind

#endif
