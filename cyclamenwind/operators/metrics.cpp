#include "cyclamenwind/operators/metrics.h"

#include <prometheus/text_serializer.h>

namespace cyclamenwind {

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
                        .Add({})) {}

void Metrics::countCall(const std::string &Route, CallEnd End,
                        CallReason Reason) {
  Calls
      .Add({{"route", Route},
            {"end", std::string(nameOf(End))},
            {"reason", std::string(nameOf(Reason))}})
      .Increment();
}

std::string Metrics::text() const {
  return prometheus::TextSerializer().Serialize(Registry.Collect());
}

} // namespace cyclamenwind
