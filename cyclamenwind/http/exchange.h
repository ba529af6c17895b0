// Exchange: one received request and the means to respond to it.
//
// Abstract so that tests can act as the caller.

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

  // Host of the peer that sent the request; empty if unknown.
  virtual std::string peerHost() const { return ""; }

  // Moves the request out, so that it can be forwarded without a copy.
  virtual HttpRequest takeRequest() = 0;

  // Sends the response; later calls are ignored.
  virtual void reply(const HttpResponse &Response) = 0;

  // Closes the connection without a response.
  virtual void abandon() = 0;

  // Calls Action once if the peer closes its connection before reply() is
  // called.
  virtual void onPeerGone(std::function<void()> Action) = 0;
};

using ExchangePtr = std::shared_ptr<Exchange>;
using ExchangeHandler = std::function<void(ExchangePtr)>;

} // namespace cyclamenwind

#endif
