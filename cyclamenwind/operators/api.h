// OperatorApi: the operators' HTTP address.
//
//   GET    /metrics           Prometheus text
//   GET    /healthz           200 while the process runs
//   GET    /readyz            200 when calls are accepted, else 503
//   GET    /status            what this daemon knows, JSON
//   POST   /api/drain         drains this daemon; needs the token
//   PUT    /announcements     a backend server announces itself (JSON)
//   DELETE /announcements     a backend server withdraws (JSON)
//
// Other services add paths of their own with route(); document_api.h and
// audit_api.h list theirs.

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

// Replies with JSON.
void replyJson(const ExchangePtr &Received, int Status,
               const nlohmann::json &Body);

// Errors as [{"path": ..., "message": ...}].
nlohmann::json jsonOf(const DocumentErrors &Errors);

// A service named "operators".
class OperatorApi final : public Service {
public:
  explicit OperatorApi(const Settings &TheSettings);

  std::string_view name() const override { return "operators"; }
  void start(Kernel &TheKernel) override;

  // Registers the handler of a method and path.
  void route(const std::string &Method, const std::string &Path,
             ExchangeHandler Handler);

  // Whether the request may write (access.h); replies 403 if not.
  bool authorised(const ExchangePtr &Received) const;

  // Adds a member to the JSON of /status.
  void addStatus(const std::string &Key,
                 std::function<nlohmann::json()> Provider);

  // Takes one request on the operators' address.
  void accept(ExchangePtr Received);

  void setDraining() { Draining = true; }

  // Calls Handler when an operator asks this daemon to drain.
  void onDrain(std::function<void()> Handler) { Drain = std::move(Handler); }

private:
  void status(const ExchangePtr &Received);
  void drain(const ExchangePtr &Received);
  void announce(const ExchangePtr &Received, bool Withdraw);

  Settings TheSettings;
  std::map<std::pair<std::string, std::string>, ExchangeHandler> Routes;
  std::map<std::string, std::function<nlohmann::json()>> StatusParts;
  Clock *Time = nullptr;
  ConfigStore *Config = nullptr;
  MembershipView *Members = nullptr;
  ServerRegistrations *Local = nullptr;
  Metrics *Counters = nullptr;
  RuntimeMetrics *Gauges = nullptr;
  std::function<void()> Drain;
  bool Draining = false;
};

} // namespace cyclamenwind

#endif
