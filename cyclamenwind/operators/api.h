// OperatorApi: the HTTP API on the operators' address.
//
//   GET    /metrics           metrics in Prometheus text format
//   GET    /healthz           200 while the process runs
//   GET    /readyz            200 when calls are accepted, else 503
//   GET    /status            state of this daemon and its member list (JSON)
//   POST   /api/drain         drains this daemon; requires the token
//   PUT    /announcements     registers a backend server or renews its lease
//   DELETE /announcements     removes the registration of a backend server
//
// The body of both requests on /announcements is JSON. Other services add their
// paths with route(); document_api.h and audit_api.h list them.

#ifndef CYCLAMENWIND_OPERATORS_API_H
#define CYCLAMENWIND_OPERATORS_API_H

#include "cyclamenwind/base/kernel.h"
#include "cyclamenwind/base/settings.h"
#include "cyclamenwind/config/store.h"
#include "cyclamenwind/http/exchange.h"
#include "cyclamenwind/membership/membership.h"
#include "cyclamenwind/membership/server_registrations.h"
#include "cyclamenwind/operators/runtime_metrics.h"

#include <nlohmann/json.hpp>

namespace cyclamenwind {

// Replies with Status and Body as JSON text. Bytes in Body that are not UTF-8
// are written as replacement characters.
void replyJson(const ExchangePtr &Received, int Status,
               const nlohmann::json &Body);

// Returns Errors as [{"path": ..., "message": ...}].
nlohmann::json jsonOf(const DocumentErrors &Errors);

// A service named "operators".
class OperatorApi final : public Service {
public:
  explicit OperatorApi(const Settings &TheSettings);

  std::string_view name() const override { return "operators"; }
  void start(Kernel &TheKernel) override;

  // Calls Handler for requests with this method and path.
  void route(const std::string &Method, const std::string &Path,
             ExchangeHandler Handler);

  // Returns whether the request may write (see access.h); replies with status
  // 403 if it may not.
  bool authorised(const ExchangePtr &Received) const;

  // Adds Key to the JSON of /status; Provider returns its value at each
  // request.
  void addStatus(const std::string &Key,
                 std::function<nlohmann::json()> Provider);

  // Handles one request on the operators' address.
  void accept(ExchangePtr Received);

  // Makes /readyz reply 503 from now on.
  void setDraining() { Draining = true; }

  // Calls Handler at the first request to drain this daemon.
  void onDrain(std::function<void()> Handler) {
    DrainHandler = std::move(Handler);
  }

private:
  void status(const ExchangePtr &Received);
  void drain(const ExchangePtr &Received);
  void updateRegistration(const ExchangePtr &Received, bool Remove);

  Settings TheSettings;
  std::map<std::pair<std::string, std::string>, ExchangeHandler> Routes;
  std::map<std::string, std::function<nlohmann::json()>> StatusProviders;
  Clock *Time = nullptr;
  ConfigStore *Config = nullptr;
  MembershipView *Members = nullptr;
  ServerRegistrations *Registrations = nullptr;
  Metrics *Counters = nullptr;
  RuntimeMetrics *RuntimeGauges = nullptr;
  std::function<void()> DrainHandler;
  bool Draining = false;
};

} // namespace cyclamenwind

#endif
