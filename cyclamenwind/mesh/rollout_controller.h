// RolloutController: advances rollouts by the evidence of all daemons.
//
// Each inbound proxy counts the call outcomes of its local backend servers by
// version. While a rollout of their service runs, its daemon sends the counts
// to all other daemons. Every daemon adds up the counts that it received. It
// stops sending requests to a version that is bad, immediately and for the rest
// of the rollout.
//
// The next status is written only if the revision that it was computed from is
// unchanged. Two daemons that decide at the same time, or one that was frozen
// while it decided, therefore do no harm. The daemons act in an order that
// depends on the service: each waits RankDelay longer than the one before it,
// so that usually only one writes.

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
  // Call outcomes as a peer last reported them.
  struct PeerOutcomes {
    int64_t Instance = 0; // Of the peer's process.
    OutcomeTable Table;
  };

  void tick();
  void sendOutcomes();
  void receiveEvidence(const Address &From, std::string_view Payload);
  OutcomeTable combinedOutcomes() const;
  void advance(const Rollout &Current, const OutcomeTable &Table,
               TimePoint Now);
  size_t rank(const std::string &Service) const;

  Clock *Time = nullptr;
  PeerTransport *Peers = nullptr;
  InboundProxy *Inbound = nullptr;
  MeshState *State = nullptr;
  StoreSync *Store = nullptr;
  std::map<Address, PeerOutcomes> Reports;
  int64_t Instance = 0;    // Random, of this process.
  int64_t SentAnswers = 0; // In the last report sent to peers.
  // When the next status of a service became due.
  std::map<std::string, TimePoint> DueSince;
  // When a status of a service was last written, confirmed or not.
  std::map<std::string, TimePoint> LastWrite;
  TimerHandle Ticker;
};

} // namespace cyclamenwind

#endif
