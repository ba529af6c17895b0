// OutlierEjector: ejects backend servers from balancing for a limited time,
// based on the outcomes of calls.
//
// The servers' health endpoints are not used: they lag and mislead. A server is
// ejected after MaxConsecutiveFailures failures in a row, or if its failure
// share or its latency is far above the median of the other servers of its
// group. An ejection lasts EjectionTime, doubled for each one that follows
// within ResetTime, at most MaxEjectionDoublings times. Afterwards the server
// receives calls again, and two consecutive failures eject it again.
//
// The user of the class (Balancer) bounds how many servers are left out at a
// time.
//
// Does no I/O and reads no clock.

#ifndef CYCLAMENWIND_TRAFFIC_EJECTION_H
#define CYCLAMENWIND_TRAFFIC_EJECTION_H

#include "cyclamenwind/base/time.h"
#include "cyclamenwind/traffic/call_outcome.h"

#include <map>
#include <string>
#include <vector>

namespace cyclamenwind {

class OutlierEjector {
public:
  // Records the outcome of a call on the server ServerKey. Servers of one Group
  // are compared with each other. Status is the HTTP status if the outcome is
  // Answered.
  void recordOutcome(const std::string &Group, const std::string &ServerKey,
                     CallOutcome Outcome, CallReason Reason, int Status,
                     Duration Latency, TimePoint Now);

  bool isEjected(const std::string &ServerKey, TimePoint Now) const;

  // End of the latest ejection, past or future; the epoch if there was none.
  TimePoint ejectedUntil(const std::string &ServerKey) const;

private:
  struct ServerStats {
    std::string Group;
    double Latency = 0; // Microseconds, smoothed.
    double FailureShare = 0;
    int Samples = 0;
    int ConsecutiveFailures = 0;
    int Ejections = 0;
    TimePoint EjectedUntil;
    TimePoint LastEjected;
  };

  void eject(ServerStats &Server, TimePoint Now);
  bool isOutlier(const ServerStats &Candidate) const;

  std::map<std::string, ServerStats> Servers;
};

} // namespace cyclamenwind

#endif
