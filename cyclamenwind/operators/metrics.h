// Metrics: the daemon's counters and gauges, in Prometheus text.
//
// docs/METRICS.md lists the names and units.

#ifndef CYCLAMENWIND_OPERATORS_METRICS_H
#define CYCLAMENWIND_OPERATORS_METRICS_H

#include "cyclamenwind/base/kernel.h"
#include "cyclamenwind/traffic/call_outcome.h"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

namespace cyclamenwind {

// A service named "metrics".
class Metrics final : public Service {
public:
  Metrics();

  std::string_view name() const override { return "metrics"; }
  void start(Kernel &) override {}

  // One call that ended; Route is empty if none matched.
  void countCall(const std::string &Route, CallOutcome End, CallReason Reason);

  // A reply to a call that had already ended.
  void countLateReply() { LateReplies.Increment(); }

  // A request of a caller was answered after Taken.
  void observeRequest(CallOutcome End, Duration Taken);

  // A request waited at the gate for Waited before it ran.
  void observeGateWait(Duration Waited) { GateWait.Observe(secondsOf(Waited)); }

  // A request was sent to another server; Cause is the name of a ForwardError.
  void countRepeat(const std::string &Cause) {
    Repeats.Add({{"cause", Cause}}).Increment();
  }

  // A call to the platform ended; Outcome is "ok" or the error's name.
  void countPlatformCall(const std::string &Call, const std::string &Outcome) {
    PlatformCalls.Add({{"call", Call}, {"outcome", Outcome}}).Increment();
  }

  void setConfigVersion(uint64_t Version) {
    ConfigVersion.Set(static_cast<double>(Version));
  }

  // Sets the gauge called Name, one of those that are listed in docs/METRICS.md
  // as read when they are asked for. Help describes it at its first use.
  void setGauge(const std::string &Name, const std::string &Help,
                const std::map<std::string, std::string> &Labels, double Value);

  // All metrics in Prometheus text format.
  std::string text() const;

  prometheus::Registry &registry() { return Registry; }

private:
  static double secondsOf(Duration Span) {
    return std::chrono::duration<double>(Span).count();
  }

  prometheus::Registry Registry;
  prometheus::Family<prometheus::Counter> &Calls;
  prometheus::Counter &LateReplies;
  prometheus::Gauge &ConfigVersion;
  prometheus::Family<prometheus::Histogram> &Requests;
  prometheus::Histogram &GateWait;
  prometheus::Family<prometheus::Counter> &Repeats;
  prometheus::Family<prometheus::Counter> &PlatformCalls;
};

} // namespace cyclamenwind

#endif
