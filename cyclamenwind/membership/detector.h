// FailureDetector: probes a few members and decides which are suspected to have
// failed.
//
// A target that does not acknowledge a probe in time is probed indirectly
// through other members (helpers). It becomes a suspect only if no ack arrives
// and at least one helper has confirmed with a nack that it received no ack
// either; without helpers, as in a fleet of two, the missing ack suffices. If
// no helper replies, the fault is probably on this daemon's side: it suspects
// nobody, and its timeouts stay longer until its probes are acknowledged again.
// This is SWIM (Das, Gupta, Motivala, 2002) with the local health awareness of
// Lifeguard (Dadgar, Phillips, Currey, 2018).
//
// Does no I/O and reads no clock. Returns the messages to send.

#ifndef CYCLAMENWIND_MEMBERSHIP_DETECTOR_H
#define CYCLAMENWIND_MEMBERSHIP_DETECTOR_H

#include "cyclamenwind/base/address.h"
#include "cyclamenwind/base/random.h"

#include <map>
#include <string>
#include <vector>

namespace cyclamenwind {

struct ProbeTarget {
  std::string Id;
  Address Peer;
};

// Messages to send, and members that have become suspects.
struct DetectorActions {
  struct Probe {
    ProbeTarget Target;
    int64_t Sequence;
  };
  struct Request {
    Address Helper;
    ProbeTarget Target;
    int64_t Sequence;
  };
  // Result of a probe that this daemon sent as a helper.
  struct HelperResult {
    Address Requester;
    int64_t Sequence;
    bool Acked;
  };

  std::vector<Probe> Probes;
  std::vector<Request> Requests;
  std::vector<HelperResult> HelperResults;
  std::vector<std::string> Suspects;
};

class FailureDetector {
public:
  FailureDetector(Duration ProbePeriod, Random &Rng)
      : ProbePeriod(ProbePeriod), Rng(Rng) {}

  // Replaces the targets; targets that remain keep their outstanding probes.
  void setTargets(const std::vector<ProbeTarget> &Targets, TimePoint Now);

  // Called every MemberTickPeriod. Helpers are members that probably work, the
  // preferred ones first.
  DetectorActions tick(TimePoint Now, const std::vector<Address> &Helpers);

  // Another member requests a probe of Target.
  DetectorActions probeRequested(const Address &Requester, int64_t Sequence,
                                 const ProbeTarget &Target, TimePoint Now);

  DetectorActions ackReceived(int64_t Sequence);
  void nackReceived(int64_t Sequence);

  // Another member wrongly suspected this one.
  void falselySuspected() { raiseHealthScore(); }

  // The process was paused: outstanding probes are discarded, since their
  // missing acks prove nothing.
  void resumedAfterPause(TimePoint Now);

  // 0 means healthy; timeouts are multiplied by (1 + score).
  int healthScore() const { return HealthScore; }

private:
  struct ProbeState {
    ProbeTarget Target;
    TimePoint NextProbe;
    int64_t Sequence = 0; // 0: no outstanding probe.
    TimePoint SentAt;
    bool Indirect = false;
    int HelpersAsked = 0;
    int NacksReceived = 0;
  };
  struct RelayedProbe {
    Address Requester;
    int64_t Sequence;
    TimePoint Deadline;
  };

  Duration scaled(Duration Timeout) const {
    return Timeout * (1 + HealthScore);
  }
  void sendIndirectProbes(ProbeState &State,
                          const std::vector<Address> &Helpers,
                          DetectorActions &Actions) const;
  void finishProbe(ProbeState &State, DetectorActions &Actions);
  void raiseHealthScore();

  Duration ProbePeriod;
  Random &Rng;
  std::map<std::string, ProbeState> ProbeStates;
  std::map<int64_t, RelayedProbe> RelayedProbes;
  int64_t LastSequence = 0;
  int HealthScore = 0;
};

} // namespace cyclamenwind

#endif
