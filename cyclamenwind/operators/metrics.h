// Metrics: the daemon's counters and gauges, in Prometheus text.
//
// docs/METRICS.md lists the names and units.

#ifndef CYCLAMENWIND_OPERATORS_METRICS_H
#define CYCLAMENWIND_OPERATORS_METRICS_H

#include "cyclamenwind/base/kernel.h"
#include "cyclamenwind/traffic/ends.h"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/registry.h>

namespace cyclamenwind {

// A service named "metrics".
class Metrics final : public Service {
public:
  Metrics();

  std::string_view name() const override { return "metrics"; }
  void start(Kernel &) override {}

  // One call that ended; Route is empty if none matched.
  void countCall(const std::string &Route, CallEnd End, CallReason Reason);

  // A reply to a call that had already ended.
  void countLateReply() { LateReplies.Increment(); }

  void setConfigVersion(uint64_t Version) {
    ConfigVersion.Set(static_cast<double>(Version));
  }

  // All metrics in Prometheus text format.
  std::string text() const;

  prometheus::Registry &registry() { return Registry; }

private:
  prometheus::Registry Registry;
  prometheus::Family<prometheus::Counter> &Calls;
  prometheus::Counter &LateReplies;
  prometheus::Gauge &ConfigVersion;
};

} // namespace cyclamenwind

#endif
