// FailureDetector: probes a few members and decides when one has failed.
//
// A target that does not acknowledge a probe in time is probed through helpers;
// it is accused only if no ack comes and a helper has confirmed, by a nack,
// that it got none either. A daemon that hears nothing from its helpers has
// reason to doubt itself: it accuses nobody, and allows longer times until its
// probes are acknowledged again. This is SWIM (Das, Gupta, Motivala, 2002) with
// the local health awareness of Lifeguard (Dadgar, Phillips, Currey, 2018).
// Pure deciding code.

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

// What to send and whom to accuse.
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
  // An answer to a request that this daemon helped with.
  struct Answer {
    Address To;
    int64_t Sequence;
    bool Acked;
  };

  std::vector<Probe> Probes;
  std::vector<Request> Requests;
  std::vector<Answer> Answers;
  std::vector<std::string> Accused;
};

class FailureDetector {
public:
  FailureDetector(Duration ProbePeriod, Random &Rng)
      : ProbePeriod(ProbePeriod), Rng(Rng) {}

  // Replaces the targets; those that stay keep their probes.
  void watch(const std::vector<ProbeTarget> &Targets, TimePoint Now);

  // Called often; Helpers are members likely to be well, best first.
  DetectorActions tick(TimePoint Now, const std::vector<Address> &Helpers);

  // Another member asks for a probe of Target.
  DetectorActions requested(const Address &From, int64_t Sequence,
                            const ProbeTarget &Target, TimePoint Now);

  DetectorActions acked(int64_t Sequence);
  void nacked(int64_t Sequence);

  // Another member has wrongly accused this one.
  void accusedFalsely() { lowerHealth(); }

  // The process stood still: what was under way tells nothing.
  void resumed(TimePoint Now);

  // 0: healthy; times are multiplied by one more than this.
  int healthScore() const { return Score; }

private:
  struct Watch {
    ProbeTarget Target;
    TimePoint NextProbe;
    int64_t Sequence = 0; // 0: no probe under way.
    TimePoint Sent;
    bool Indirect = false;
    int Asked = 0;
    int Nacks = 0;
  };
  struct Relay {
    Address From;
    int64_t Sequence;
    TimePoint Until;
  };

  Duration scaled(Duration Span) const { return Span * (1 + Score); }
  void askHelpers(Watch &Late, const std::vector<Address> &Helpers,
                  DetectorActions &Actions) const;
  void conclude(Watch &Silent, DetectorActions &Actions);
  void lowerHealth();

  Duration ProbePeriod;
  Random &Rng;
  std::map<std::string, Watch> Watches;
  std::map<int64_t, Relay> Relays;
  int64_t LastSequence = 0;
  int Score = 0;
};

} // namespace cyclamenwind

#endif
