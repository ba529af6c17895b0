// RuntimeMetrics: gauges that are read from other services at each request for
// /metrics. docs/METRICS.md lists them.

#ifndef CYCLAMENWIND_OPERATORS_RUNTIME_METRICS_H
#define CYCLAMENWIND_OPERATORS_RUNTIME_METRICS_H

#include "cyclamenwind/config/store.h"
#include "cyclamenwind/membership/membership.h"
#include "cyclamenwind/operators/audit_trail.h"
#include "cyclamenwind/operators/metrics.h"
#include "cyclamenwind/peer/transport.h"

namespace cyclamenwind {

// A service named "runtime_metrics".
class RuntimeMetrics final : public Service {
public:
  std::string_view name() const override { return "runtime_metrics"; }
  void start(Kernel &TheKernel) override;

  // Sets all gauges to the current values of the services.
  void refresh();

private:
  using GaugeFamily = prometheus::Family<prometheus::Gauge>;

  GaugeFamily &registerGauge(const std::string &Name, const std::string &Help);

  Metrics *Counters = nullptr;
  ConfigStore *Config = nullptr;
  MembershipView *Members = nullptr;
  PeerTransport *Peers = nullptr;
  AuditTrail *Trail = nullptr;
  GaugeFamily *PeerBytes = nullptr;
  GaugeFamily *PeerFrames = nullptr;
  GaugeFamily *MembersByState = nullptr;
  prometheus::Gauge *AuditPending = nullptr;
  prometheus::Gauge *AuditDropped = nullptr;
};

} // namespace cyclamenwind

#endif
