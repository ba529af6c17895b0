// DependencyAdmission: limits the requests of a route that start on a backend
// server while the calls that the server makes inside them fail.
//
// A request whose nested calls are refused or late ends with an error after it
// has held a slot, and its nested calls have loaded the service that is short.
// While many nested calls of the local server fail and many requests of a route
// end with errors, the route may start only somewhat more requests than have
// succeeded lately; the rest is refused before it reaches the server and can
// come back later. The limit follows the successes up, and it ends when nested
// calls succeed again. Routes whose requests make no calls succeed and are not
// limited.
//
// Which request made a call is not known, since servers send nested calls as
// requests of their own; the outcomes of a route stand for it. The load that
// this answers: many callers of a service whose dependency is short of slots or
// of link.
//
// Does no I/O and reads no clock.

#ifndef CYCLAMENWIND_MESH_DEPENDENCY_ADMISSION_H
#define CYCLAMENWIND_MESH_DEPENDENCY_ADMISSION_H

#include "cyclamenwind/base/time.h"

#include <map>
#include <string>

namespace cyclamenwind {

class DependencyAdmission {
public:
  // Returns whether a request of Route may start, and counts it if so.
  bool tryStart(const std::string &Route, TimePoint Now);

  // Takes back a start: the request was refused after tryStart().
  void withdrawStart(const std::string &Route, TimePoint Now);

  // Counts the end of a request of Route that the server ran.
  void requestEnded(const std::string &Route, bool Succeeded, TimePoint Now);

  // Counts the end of a call that the local server made.
  void nestedCallEnded(bool Succeeded, TimePoint Now);

  // Whether the requests of Route are limited now.
  bool isLimited(const std::string &Route, TimePoint Now) const;

  // Expected time until a request of Route may start.
  Duration retryDelay(const std::string &Route, TimePoint Now) const;

private:
  // Events of the last seconds, weighted by recency.
  class DecayingCount {
  public:
    void add(TimePoint Now, double Added = 1);
    double value(TimePoint Now) const;

  private:
    double Amount = 0; // At UpdatedAt.
    TimePoint UpdatedAt;
  };
  struct Outcomes {
    DecayingCount Succeeded;
    DecayingCount Failed;

    double failureShare(TimePoint Now) const;
    double total(TimePoint Now) const;
  };
  struct RouteState {
    Outcomes Ended;
    DecayingCount Started;
  };

  static double allowedStarts(const RouteState &State, TimePoint Now);

  std::map<std::string, RouteState> Routes;
  Outcomes NestedCalls;
};

} // namespace cyclamenwind

#endif
