// IngressScheduler: decides when other daemons send large request bodies to
// this one.
//
// A body of 60 KB takes 48 ms of a link of 10 Mbit/s. If several arrive at
// once, short requests and responses to the same host wait behind all of them.
// Senders therefore offer a large body first, and send it when the offer is
// accepted. Bodies are accepted so that those under way take at most about
// MaxUnderWay of the link, but at least one at a time. The more urgent priority
// goes first, then the request with the earliest latest start.
//
// What of an accepted body has arrived is estimated from the link's rate, so
// that the next one is accepted in time to follow without a gap. A sender that
// sends late does not hold up the others: the bodies that were accepted and
// have not arrived may take twice MaxUnderWay. An accepted body that has not
// arrived by its limit frees its turn.
//
// An offer is refused if its body is not expected to arrive by the latest start
// of its request because of the bodies before it; one that no other body holds
// up is accepted whatever its size. Without a rate all bodies are accepted at
// once. Does no I/O and reads no clock.

#ifndef CYCLAMENWIND_MESH_INGRESS_SCHEDULER_H
#define CYCLAMENWIND_MESH_INGRESS_SCHEDULER_H

#include "cyclamenwind/mesh/admission_queue.h"

#include <map>
#include <optional>
#include <set>
#include <tuple>
#include <vector>

namespace cyclamenwind {

struct BodyOffer {
  RequestHandle Handle = 0;
  size_t Bytes = 0;
  int Priority = 0;      // 0 is the most urgent.
  TimePoint LatestStart; // The request has to start by then to end in time.
  TimePoint Deadline;    // The caller stops waiting at this time.
};

// What has to be done after the scheduler has changed.
struct IngressActions {
  std::vector<RequestHandle> Accept;  // Their bodies may be sent now.
  std::vector<RequestHandle> Expired; // Their bodies would arrive too late.
  std::vector<RequestHandle> Missing; // Accepted, and did not arrive in time.
};

class IngressScheduler {
public:
  // BytesPerSecond is the rate of the host's link; 0 if not known.
  explicit IngressScheduler(double BytesPerSecond) : Rate(BytesPerSecond) {}

  // Expected time until the body of Offer has arrived if it is offered now;
  // zero if the rate is not known.
  Duration expectedArrival(const BodyOffer &Offer, TimePoint Now) const;

  // Adds an offer. Returns false, and adds nothing, if it is refused.
  bool offer(const BodyOffer &Offer, TimePoint Now);

  // Accepts the offers whose turn it is, and removes those that are too late.
  // Has to be called after each change and at nextUpdate().
  IngressActions update(TimePoint Now);

  // When update() has something to do; nothing if only a further change can
  // cause that.
  std::optional<TimePoint> nextUpdate(TimePoint Now) const;

  // The body of an accepted offer has arrived.
  void arrived(RequestHandle Handle, TimePoint Now);

  // The request has ended before its body arrived. The sender of an accepted
  // body may be sending it, so its turn ends when it was expected to arrive.
  // Does nothing if the scheduler does not know Handle.
  void withdraw(RequestHandle Handle, TimePoint Now);

  // Sets the latest start of a request whose offer waits, unless it is earlier
  // already.
  void limitStart(RequestHandle Handle, TimePoint LatestStart);

  size_t waiting() const { return Waiting.size(); }
  // Bytes of the bodies that were accepted and have not arrived.
  size_t bytesUnderWay() const;

private:
  // Priority, latest start and number of the offer; the smallest goes first.
  using Key = std::tuple<int, TimePoint, uint64_t>;
  struct WaitingOffer {
    BodyOffer Offer;
    uint64_t Number = 0;
    bool AtOnce = false; // No other body was due when it was offered.
  };
  struct AcceptedBody {
    size_t Bytes = 0;
    TimePoint ExpectedAt;
    TimePoint Limit;
    bool Withdrawn = false;
  };

  static Key keyOf(const WaitingOffer &Entry) {
    return {Entry.Offer.Priority, Entry.Offer.LatestStart, Entry.Number};
  }
  Duration timeFor(size_t Bytes) const;
  // When the bodies under way are expected to have arrived.
  TimePoint linkFreeAt(TimePoint Now) const;
  // When the offer can be accepted; nothing if it has to wait for a body.
  std::optional<TimePoint> acceptTime(const BodyOffer &Offer,
                                      TimePoint Now) const;
  // Latest time at which an offer can be accepted.
  TimePoint latestAccept(const WaitingOffer &Entry) const;
  void accept(const BodyOffer &Offer, TimePoint Now);
  void forgetAccepted(RequestHandle Handle, TimePoint Now);

  double Rate;
  uint64_t Offers = 0;
  std::map<RequestHandle, WaitingOffer> Waiting;
  std::set<std::pair<Key, RequestHandle>> Order;
  std::map<RequestHandle, AcceptedBody> UnderWay;
  TimePoint FreeAt; // Of the link; see linkFreeAt().
};

} // namespace cyclamenwind

#endif
