// AllowanceService: connects the allowances of workspaces to the other daemons.
//
// Decides on requests with an AllowanceClient, and answers other daemons for
// the workspaces that this daemon owns with an AllowanceOwner. Frames:
// AllowanceRequest and its reply AllowanceGrant.
//
// A daemon answers only for workspaces of which it is the owner by its own view
// of the connected daemons, and gives out only the part of each rate that
// belongs to the daemons that it is connected to: two owners on both sides of a
// partition together give out no more than the rate. A daemon that is told that
// its peer is not the owner asks the next one in the order of
// allowance_ranking.h. A daemon without any connected peer uses the static
// share, unless it is the only one.
//
// Inactive without workspaces that have a limit.

#ifndef CYCLAMENWIND_MESH_ALLOWANCE_SERVICE_H
#define CYCLAMENWIND_MESH_ALLOWANCE_SERVICE_H

#include "cyclamenwind/base/kernel.h"
#include "cyclamenwind/mesh/allowance_client.h"
#include "cyclamenwind/mesh/mesh_state.h"
#include "cyclamenwind/operators/metrics.h"
#include "cyclamenwind/peer/transport.h"

#include <set>

namespace cyclamenwind {

// A service named "allowances".
class AllowanceService final : public Service, public AllowanceGate {
public:
  explicit AllowanceService(const AllowanceBounds &Bounds)
      : Bounds(Bounds), Owner(Bounds) {}

  std::string_view name() const override { return "allowances"; }
  void start(Kernel &TheKernel) override;
  void stop() override;

  AllowanceAnswer admit(const std::string &Workspace,
                        uint64_t Request) override;
  void withdraw(uint64_t Request) override;
  void giveBack(const std::string &Workspace) override;
  void onDecision(std::function<void(uint64_t, const AllowanceAnswer &)>
                      NewHandler) override {
    Handler = std::move(NewHandler);
  }

  // Sets the gauges that docs/METRICS.md lists for allowances.
  void setGauges();

private:
  TimePoint bootNow() const { return TimePoint(Time->sinceBoot()); }
  void applyConfig();
  void tick();
  void checkPause(TimePoint Now);
  void refreshOwners();
  std::optional<Address> ownerOf(const std::string &Workspace) const;
  void receiveRequest(const Address &From, std::string_view Payload);
  void receiveGrant(const Address &From, std::string_view Payload);
  void flush();
  void arm();
  void settle(const std::vector<SettledRequest> &Settled);
  std::string labelOf(const std::string &Workspace);
  void count(const std::string &Workspace, const AllowanceAnswer &Answer);

  AllowanceBounds Bounds;
  AllowanceOwner Owner;
  Clock *Time = nullptr;
  Scheduler *Timers = nullptr;
  PeerTransport *Peers = nullptr;
  MeshState *State = nullptr;
  prometheus::Family<prometheus::Counter> *Decisions = nullptr;
  Metrics *Counters = nullptr;
  std::optional<AllowanceClient> Client;
  std::function<void(uint64_t, const AllowanceAnswer &)> Handler;
  std::map<uint64_t, std::string> PendingWorkspace; // By request.

  std::vector<Workspace> Limited;
  std::vector<Address> Connected; // When the owners were worked out.
  size_t Daemons = 0;             // The same.
  std::vector<Address> Owners;
  // Peers that stated that they do not own a workspace, and until when they are
  // not asked again.
  std::map<std::string, std::map<Address, TimePoint>> NotOwners;
  TimePoint LastTickAt;
  TimerHandle TickTimer;
  TimerHandle FlushTimer;
  TimePoint FlushAt;
  std::set<std::string> Labels;
};

} // namespace cyclamenwind

#endif
