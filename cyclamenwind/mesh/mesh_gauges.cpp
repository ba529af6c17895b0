#include "cyclamenwind/mesh/mesh_gauges.h"

#include <set>

namespace cyclamenwind {
namespace {

void setConfigGauges(const MeshState &State, TimePoint Now, Metrics &Target) {
  Target.setGauge("cyclamenwind_config_revision",
                  "Revision of the configuration in force.", {},
                  static_cast<double>(State.configRevision()));
  Target.setGauge("cyclamenwind_platform_restore_epoch",
                  "How many times the platform was restored from a copy.", {},
                  static_cast<double>(State.platformEpoch()));
  if (!State.routes())
    return;
  Target.setConfigVersion(
      static_cast<uint64_t>(State.routes()->config().Version));
  Target.setGauge(
      "cyclamenwind_config_age_seconds",
      "Since the configuration in force was applied.", {},
      std::chrono::duration<double>(Now - State.configAppliedAt()).count());
}

void setServerGauges(const MeshState &State, Metrics &Target) {
  std::map<EndpointState, int> Counts;
  for (EndpointState ServerState :
       {EndpointState::Ready, EndpointState::Unreachable,
        EndpointState::Draining, EndpointState::Gone})
    Counts[ServerState] = 0;
  for (const auto &[Id, Endpoint] : State.directory().all())
    ++Counts[Endpoint.State];
  for (const auto &[ServerState, Count] : Counts)
    Target.setGauge("cyclamenwind_servers", "Backend servers known, by state.",
                    {{"state", std::string(nameOf(ServerState))}}, Count);
}

void setRolloutGauges(const MeshState &State, Metrics &Target) {
  for (const auto &[Service, Current] : State.rollouts().all()) {
    if (!Current.Recorded)
      continue;
    for (RolloutState Value : {RolloutState::Running, RolloutState::Completed,
                               RolloutState::RolledBack})
      Target.setGauge(
          "cyclamenwind_rollout_state",
          "1 for the recorded state of a service's rollout.",
          {{"service", Service}, {"state", std::string(nameOf(Value))}},
          Current.Recorded->State == Value ? 1 : 0);
    Target.setGauge("cyclamenwind_rollout_share",
                    "Share of a service's requests that the new version gets.",
                    {{"service", Service}}, Current.Recorded->Share);
  }
}

void setRetryBudgetGauges(const MeshGaugeSources &Sources, TimePoint Now,
                          Metrics &Target) {
  std::set<std::string> Services;
  if (Sources.State.routes())
    for (const MeshService &Configured :
         Sources.State.routes()->config().Services)
      Services.insert(Configured.Name);
  for (const std::string &Service : Services)
    Target.setGauge(
        "cyclamenwind_repeats_left",
        "Repeats that the allowance has room for now, by service.",
        {{"service", Service}},
        Sources.Budget.remaining(Service, Sources.State.daemons(), Now));
}

} // namespace

void setMeshGauges(const MeshGaugeSources &Sources, TimePoint Now,
                   Metrics &Target) {
  setConfigGauges(Sources.State, Now, Target);
  setServerGauges(Sources.State, Target);
  setRolloutGauges(Sources.State, Target);
  setRetryBudgetGauges(Sources, Now, Target);
  Target.setGauge("cyclamenwind_evacuated_domains",
                  "Failure domains that are evacuated.", {},
                  static_cast<double>(Sources.State.evacuations().size()));
  Target.setGauge("cyclamenwind_peers_linked", "Daemons with a stream.", {},
                  static_cast<double>(Sources.Peers.connectedPeers().size()));
  Target.setGauge("cyclamenwind_platform_reachable",
                  "1 if the platform answered the last calls.", {},
                  Sources.Store.reachable() ? 1 : 0);
  Target.setGauge("cyclamenwind_relay",
                  "1 if this daemon is a relay of its failure domain.", {},
                  Sources.Store.isRelay() ? 1 : 0);
  Target.setGauge("cyclamenwind_log_lines_dropped",
                  "Log lines that were not written since the start.", {},
                  static_cast<double>(Sources.DroppedLogLines));
}

void setMemoryGauges(const MemoryBudget &Budget, Metrics &Target) {
  Target.setGauge("cyclamenwind_memory_budget_bytes",
                  "Memory that traffic may take; 0: no limit.", {},
                  static_cast<double>(Budget.limit()));
  for (MemoryKind Kind : AllMemoryKinds)
    Target.setGauge("cyclamenwind_memory_used_bytes",
                    "Memory charged to the budget, by kind.",
                    {{"kind", std::string(nameOf(Kind))}},
                    static_cast<double>(Budget.used(Kind)));
  for (ShedCause Cause : AllShedCauses)
    Target.setGauge("cyclamenwind_memory_shed",
                    "Refused or closed for want of memory or descriptors.",
                    {{"cause", std::string(nameOf(Cause))}},
                    static_cast<double>(Budget.shed(Cause)));
}

} // namespace cyclamenwind
