// RolloutController: advances rollouts by what all daemons have seen.
//
// Each gate counts the outcomes of the versions beside it, and while a rollout
// of their service runs its daemon tells all others. Every daemon sums what it
// heard and stops sending to a version that is bad, at once and for good.
//
// The next status is written conditionally on the revision that it was decided
// by, so that two daemons that decide at once, or one that was frozen while it
// decided, do no harm. The daemons act in an order that depends on the service:
// each waits longer than the one before it, so that one usually writes.

#ifndef CYCLAMENWIND_MESH_ROLLOUT_CONTROLLER_H
#define CYCLAMENWIND_MESH_ROLLOUT_CONTROLLER_H

#include "cyclamenwind/mesh/inbound_proxy.h"
#include "cyclamenwind/mesh/mesh_state.h"
#include "cyclamenwind/mesh/store_sync.h"

namespace cyclamenwind {

// A service named "rollout_driver".
class RolloutController final : public Service {
public:
  std::string_view name() const override { return "rollout_driver"; }
  void start(Kernel &TheKernel) override;
  void stop() override { Ticker.reset(); }

private:
  // Outcomes as one process of a peer last reported them.
  struct Report {
    int64_t Instance = 0;
    OutcomeTable Table;
  };

  void tick();
  void shareOutcomes();
  void receiveEvidence(const Address &From, std::string_view Payload);
  OutcomeTable combined() const;
  void consider(const Rollout &Present, const OutcomeTable &Table,
                TimePoint Now);
  size_t rank(const std::string &Service) const;

  Clock *Time = nullptr;
  PeerTransport *Peers = nullptr;
  InboundProxy *Inbound = nullptr;
  MeshState *State = nullptr;
  StoreSync *Store = nullptr;
  std::map<Address, Report> Reports;
  int64_t Instance = 0;
  int64_t SharedAnswers = 0; // In the last report sent to peers.
  // Since when a status has been due, by service.
  std::map<std::string, TimePoint> DueSince;
  std::map<std::string, TimePoint> LastWrite;
  TimerHandle Ticker;
};

} // namespace cyclamenwind

#endif
