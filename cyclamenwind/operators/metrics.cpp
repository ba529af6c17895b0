#include "cyclamenwind/operators/metrics.h"

#include <prometheus/text_serializer.h>

namespace cyclamenwind {
namespace {

// In seconds; from the latency of a fast read to the longest deadlines.
const prometheus::Histogram::BucketBoundaries LatencyBuckets = {
    0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2, 6.4};

} // namespace

Metrics::Metrics()
    : Calls(prometheus::BuildCounter()
                .Name("cyclamenwind_calls_total")
                .Help("Calls from callers by how they ended.")
                .Register(Registry)),
      LateReplies(prometheus::BuildCounter()
                      .Name("cyclamenwind_late_replies_total")
                      .Help("Replies to calls that had already ended.")
                      .Register(Registry)
                      .Add({})),
      ConfigVersion(prometheus::BuildGauge()
                        .Name("cyclamenwind_config_version")
                        .Help("Configuration version in force.")
                        .Register(Registry)
                        .Add({})),
      Requests(prometheus::BuildHistogram()
                   .Name("cyclamenwind_request_duration_seconds")
                   .Help("From a request to its answer, by how it ended.")
                   .Register(Registry)),
      AdmissionWait(
          prometheus::BuildHistogram()
              .Name("cyclamenwind_gate_wait_seconds")
              .Help("From a request's arrival at the gate to its start.")
              .Register(Registry)
              .Add({}, LatencyBuckets)),
      Retries(prometheus::BuildCounter()
                  .Name("cyclamenwind_repeats_total")
                  .Help("Requests sent to another server, by cause.")
                  .Register(Registry)),
      PlatformCalls(prometheus::BuildCounter()
                        .Name("cyclamenwind_platform_calls_total")
                        .Help("Calls to the platform by kind and outcome.")
                        .Register(Registry)),
      ColdRequests(prometheus::BuildCounter()
                       .Name("cyclamenwind_cold_requests_total")
                       .Help("Requests for a cold backend server, by outcome.")
                       .Register(Registry)),
      BodyOffers(prometheus::BuildCounter()
                     .Name("cyclamenwind_body_offers_total")
                     .Help("Offers of large request bodies by how they ended.")
                     .Register(Registry)),
      BodyWait(prometheus::BuildHistogram()
                   .Name("cyclamenwind_body_wait_seconds")
                   .Help("From the offer of a large body to its acceptance.")
                   .Register(Registry)
                   .Add({}, LatencyBuckets)),
      BodiesWaiting(prometheus::BuildGauge()
                        .Name("cyclamenwind_bodies_waiting")
                        .Help("Offers of large bodies that wait.")
                        .Register(Registry)
                        .Add({})),
      BodyBytesUnderWay(
          prometheus::BuildGauge()
              .Name("cyclamenwind_body_bytes_under_way")
              .Help("Bytes of accepted bodies that have not arrived.")
              .Register(Registry)
              .Add({})) {}

void Metrics::observeRequest(CallOutcome Outcome, Duration Latency) {
  Requests.Add({{"end", std::string(nameOf(Outcome))}}, LatencyBuckets)
      .Observe(secondsOf(Latency));
}

void Metrics::setGauge(const std::string &Name, const std::string &Help,
                       const std::map<std::string, std::string> &Labels,
                       double Value) {
  prometheus::BuildGauge()
      .Name(Name)
      .Help(Help)
      .Register(Registry)
      .Add(Labels)
      .Set(Value);
}

void Metrics::countCall(const std::string &Route, CallOutcome Outcome,
                        CallReason Reason) {
  Calls
      .Add({{"route", Route},
            {"end", std::string(nameOf(Outcome))},
            {"reason", std::string(nameOf(Reason))}})
      .Increment();
}

std::string Metrics::text() const {
  return prometheus::TextSerializer().Serialize(Registry.Collect());
}

} // namespace cyclamenwind
