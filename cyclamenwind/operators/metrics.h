// Metrics: the daemon's counters, gauges and histograms, exported as Prometheus
// text. docs/METRICS.md lists the names and units.

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

  // Counts a finished call. Route is empty if no route matched.
  void countCall(const std::string &Route, CallOutcome Outcome,
                 CallReason Reason);

  // Counts a reply that arrived after its call had finished.
  void countLateReply() { LateReplies.Increment(); }

  // Records the time from a caller's request to its response.
  void observeRequest(CallOutcome Outcome, Duration Latency);

  // Records how long a request waited in the admission queue before it ran.
  void observeAdmissionWait(Duration Wait) {
    AdmissionWait.Observe(secondsOf(Wait));
  }

  // Counts a retry on another server. Cause is the name of a ForwardError.
  void countRetry(const std::string &Cause) {
    Retries.Add({{"cause", Cause}}).Increment();
  }

  // Counts a request that arrived while its backend server was cold. Outcome is
  // "sent" or "refused".
  void countColdRequest(const std::string &Outcome) {
    ColdRequests.Add({{"outcome", Outcome}}).Increment();
  }

  // Counts the end of an offer of a large body: "received", "refused",
  // "expired", "missing" or "cancelled".
  void countBodyOffer(const std::string &Outcome) {
    BodyOffers.Add({{"outcome", Outcome}}).Increment();
  }

  // Records how long an offer of a large body waited until it was accepted.
  void observeBodyWait(Duration Wait) { BodyWait.Observe(secondsOf(Wait)); }

  // Sets the number of offers that wait, and the bytes of the bodies that were
  // accepted and have not arrived.
  void setBodies(size_t Waiting, size_t BytesUnderWay) {
    BodiesWaiting.Set(static_cast<double>(Waiting));
    BodyBytesUnderWay.Set(static_cast<double>(BytesUnderWay));
  }

  // Counts a finished call to the platform. Outcome is "ok" or the error's
  // name.
  void countPlatformCall(const std::string &Call, const std::string &Outcome) {
    PlatformCalls.Add({{"call", Call}, {"outcome", Outcome}}).Increment();
  }

  void setConfigVersion(uint64_t Version) {
    ConfigVersion.Set(static_cast<double>(Version));
  }

  // Sets the gauge Name, one of those that docs/METRICS.md lists as read at
  // each scrape. Help is its help text; the first call with Name determines it.
  void setGauge(const std::string &Name, const std::string &Help,
                const std::map<std::string, std::string> &Labels, double Value);

  // Returns all metrics in Prometheus text format.
  std::string text() const;

  prometheus::Registry &registry() { return Registry; }

private:
  static double secondsOf(Duration Interval) {
    return std::chrono::duration<double>(Interval).count();
  }

  prometheus::Registry Registry;
  prometheus::Family<prometheus::Counter> &Calls;
  prometheus::Counter &LateReplies;
  prometheus::Gauge &ConfigVersion;
  prometheus::Family<prometheus::Histogram> &Requests;
  prometheus::Histogram &AdmissionWait;
  prometheus::Family<prometheus::Counter> &Retries;
  prometheus::Family<prometheus::Counter> &PlatformCalls;
  prometheus::Family<prometheus::Counter> &ColdRequests;
  prometheus::Family<prometheus::Counter> &BodyOffers;
  prometheus::Histogram &BodyWait;
  prometheus::Gauge &BodiesWaiting;
  prometheus::Gauge &BodyBytesUnderWay;
};

} // namespace cyclamenwind

#endif
