// VersionChooser: which version of a service a call goes to. Receives the
// outcomes of attempts, which are the evidence for or against a version.

#ifndef CYCLAMENWIND_TRAFFIC_VERSIONS_H
#define CYCLAMENWIND_TRAFFIC_VERSIONS_H

#include "cyclamenwind/base/kernel.h"
#include "cyclamenwind/document/document.h"
#include "cyclamenwind/traffic/call_outcome.h"

namespace cyclamenwind {

// Outcome of one attempt, as seen by the daemon that accepted the call.
struct AttemptOutcome {
  std::string Service;
  std::string Version;
  std::string Route;
  std::string MemberId;
  CallOutcome End = CallOutcome::Answered;
  CallReason Reason = CallReason::None;
  int Status = 0; // HTTP status, if End is Answered.
  Duration Latency{};
};

// A service named "versions".
class VersionChooser {
public:
  virtual ~VersionChooser() = default;

  // Returns the version that a call on Route goes to. CallerHash is the same
  // for all attempts of a call and for all calls with the same caller key.
  // PreferOld is true for a retry.
  virtual std::string versionFor(const ServiceSpec &Service,
                                 const RouteSpec &Route, uint64_t CallerHash,
                                 bool PreferOld, TimePoint Now) = 0;

  virtual void observe(const AttemptOutcome &Outcome, TimePoint Now) = 0;
};

// Always chooses the version in the accepted document.
class AcceptedVersions final : public Service, public VersionChooser {
public:
  std::string_view name() const override { return "versions"; }
  void start(Kernel &) override {}
  std::string versionFor(const ServiceSpec &Service, const RouteSpec &,
                         uint64_t, bool, TimePoint) override {
    return Service.Version;
  }
  void observe(const AttemptOutcome &, TimePoint) override {}
};

} // namespace cyclamenwind

#endif
