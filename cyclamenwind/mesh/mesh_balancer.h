// MeshBalancer: chooses the backend server of a service that gets a request.
//
// Chooses the server with the lowest expected time to complete the request. The
// estimate uses the load that each server's daemon reported with its last reply
// (running and queued requests, service time, share of failures), the requests
// that this daemon has outstanding there, and the time that requests and their
// responses spent on the way, which grows when a host's link or processor is
// short. A server that has named a rate limit costs the time until it takes
// another request. A large body also costs the time that the last one had to
// wait until it could be sent there. A cold server is paced: each sender waits
// a part of the time in which the server takes one request from every sender,
// drawn at random, so that they do not all choose it at once; it waits less
// while the server has room and more when it has none. The weight of a report
// decays with age, so a server that was slow or failing gets requests again.
// Servers that fail requests cost more; servers named by avoid() are chosen
// only if no other candidate is left. Does no I/O and reads no clock.

#ifndef CYCLAMENWIND_MESH_MESH_BALANCER_H
#define CYCLAMENWIND_MESH_MESH_BALANCER_H

#include "cyclamenwind/base/random.h"
#include "cyclamenwind/mesh/endpoint.h"
#include "cyclamenwind/mesh/warmup_limiter.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace cyclamenwind {

// Load of a backend server, as reported by its daemon.
struct EndpointLoad {
  int Running = 0;
  int Queued = 0;
  int Slots = 0;
  Duration ServiceTime{}; // Zero if unknown.
  double FailureShare = 0;
  // Time that the request of this report and its response spent on the way.
  Duration Transit{};
  // Requests per second that the server takes from all hosts, if it named a
  // limit, the incarnation that did (MeshEndpoint::StartedAtMs), and the
  // expected wait of another request because of it.
  std::optional<double> RateLimit = {};
  int64_t LimitStartedAtMs = 0;
  Duration RateWait{};
};

// What matters of a request for the choice of a server.
struct BalancedRequest {
  Duration Objective{};     // Latency objective.
  double ResponseBytes = 0; // Expected size of the response.
  double BodyBytes = 0;     // Size of its body if that is large (large_body.h).
};

class MeshBalancer {
public:
  MeshBalancer(std::string FailureDomain, Random &Rng)
      : FailureDomain(std::move(FailureDomain)), Rng(Rng) {}

  // Chooses one of Candidates that is not in Tried for Request, and that is not
  // cold or may get a request now; null if there is none.
  const MeshEndpoint *
  choose(const std::vector<const MeshEndpoint *> &Candidates,
         const std::set<std::string> &Tried, const BalancedRequest &Request,
         TimePoint Now);

  // Count the start and the end of a request on the server Id.
  void requestStarted(const std::string &Id) { ++States[Id].Outstanding; }
  void requestEnded(const std::string &Id);
  // The same for a start; paces the server if it is cold.
  void requestStarted(const std::string &Id, TimePoint Now);

  // The server Id is cold, and a request sent now would wait for Wait. Senders
  // is the number of daemons that may send to it.
  void updateWarmup(const std::string &Id, const ServerWarmup &Warmup,
                    Duration Wait, size_t Senders, TimePoint Now);
  // It is not cold.
  void endWarmup(const std::string &Id);

  // The shortest time until one of Candidates that are not in Tried and are
  // cold gets a request; nothing if none of them is cold.
  std::optional<Duration>
  warmupWait(const std::vector<const MeshEndpoint *> &Candidates,
             const std::set<std::string> &Tried, TimePoint Now) const;

  void updateLoad(const std::string &Id, const EndpointLoad &Load,
                  TimePoint Now);

  // A large body that was offered to the daemon of the server Id waited for
  // Wait, or would have, before it could be sent.
  void updateBodyWait(const std::string &Id, Duration Wait, TimePoint Now);

  // Avoids the server Id for Span: its daemon did not respond, or refused a
  // request for a reason other than load.
  void avoid(const std::string &Id, Duration Span, TimePoint Now);

  // Ends the avoidance of Id, whose daemon is reachable again.
  void stopAvoiding(const std::string &Id);

  // Reported share of failures among the outcomes of the server Id, weighted by
  // the age of the report; zero without a report.
  double failureShare(const std::string &Id, TimePoint Now) const;

  // The rate limit of Server if its incarnation reported it recently.
  std::optional<double> rateLimit(const MeshEndpoint &Server,
                                  TimePoint Now) const;

  void forget(const std::string &Id) { States.erase(Id); }

private:
  struct ServerState {
    int Outstanding = 0;
    int OutstandingAtReport = 0;
    EndpointLoad Load;
    Duration MeanTransit{};
    TimePoint ReportedAt;
    TimePoint AvoidUntil;
    // Of a cold server.
    TimePoint ColdUntil;
    double ColdRate = 0;     // Requests per second from all hosts together.
    Duration ColdInterval{}; // Between two requests of this daemon.
    TimePoint NextColdRequest;
    Duration BodyWait{}; // See updateBodyWait().
    TimePoint BodyWaitAt;
  };

  // Expected wait because of the server's rate limit, in microseconds.
  static double rateWait(const ServerState &Server, TimePoint Now);
  // Expected wait of a large body for its turn, in microseconds.
  double bodyWait(const std::string &Id, TimePoint Now) const;
  bool isAvoided(const std::string &Id, TimePoint Now) const;
  double expectedCost(const MeshEndpoint &Candidate, double MeanServiceTime,
                      double DomainCost, TimePoint Now);
  double
  meanServiceTime(const std::vector<const MeshEndpoint *> &Candidates) const;

  std::string FailureDomain;
  Random &Rng;
  std::map<std::string, ServerState> States;
};

} // namespace cyclamenwind

#endif
