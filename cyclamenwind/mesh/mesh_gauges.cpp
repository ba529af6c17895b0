#include "cyclamenwind/mesh/mesh_gauges.h"

#include <set>

namespace cyclamenwind {
namespace {

void setConfigGauges(const MeshState &State, TimePoint Now, Metrics &Target) {
  Target.setGauge("cyclamenwind_config_revision",
                  "Revision of the configuration in force.", {},
                  static_cast<double>(State.configRevision()));
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
  for (EndpointState Each : {EndpointState::Ready, EndpointState::Unreachable,
                             EndpointState::Draining, EndpointState::Gone})
    Counts[Each] = 0;
  for (const auto &[Id, Each] : State.directory().all())
    ++Counts[Each.State];
  for (const auto &[Each, Count] : Counts)
    Target.setGauge("cyclamenwind_servers", "Backend servers known, by state.",
                    {{"state", std::string(nameOf(Each))}}, Count);
}

void setRolloutGauges(const MeshState &State, Metrics &Target) {
  for (const auto &[Service, Each] : State.rollouts().all()) {
    if (!Each.Recorded)
      continue;
    for (RolloutState Which : {RolloutState::Running, RolloutState::Completed,
                               RolloutState::RolledBack})
      Target.setGauge(
          "cyclamenwind_rollout_state",
          "1 for the recorded state of a service's rollout.",
          {{"service", Service}, {"state", std::string(nameOf(Which))}},
          Each.Recorded->State == Which ? 1 : 0);
    Target.setGauge("cyclamenwind_rollout_share",
                    "Share of a service's requests that the new version gets.",
                    {{"service", Service}}, Each.Recorded->Share);
  }
}

void setAllowanceGauges(const MeshGaugeSources &View, TimePoint Now,
                        Metrics &Target) {
  std::set<std::string> Services;
  if (View.State.routes())
    for (const MeshService &Each : View.State.routes()->config().Services)
      Services.insert(Each.Name);
  for (const std::string &Each : Services)
    Target.setGauge("cyclamenwind_repeats_left",
                    "Repeats that the allowance has room for now, by service.",
                    {{"service", Each}},
                    View.Allowance.left(Each, View.State.daemons(), Now));
}

} // namespace

void setMeshGauges(const MeshGaugeSources &View, TimePoint Now,
                   Metrics &Target) {
  setConfigGauges(View.State, Now, Target);
  setServerGauges(View.State, Target);
  setRolloutGauges(View.State, Target);
  setAllowanceGauges(View, Now, Target);
  Target.setGauge("cyclamenwind_peers_linked", "Daemons with a stream.", {},
                  static_cast<double>(View.Peers.connectedPeers().size()));
  Target.setGauge("cyclamenwind_platform_reachable",
                  "1 if the platform answered the last calls.", {},
                  View.Store.reachable() ? 1 : 0);
  Target.setGauge("cyclamenwind_relay",
                  "1 if this daemon is a relay of its failure domain.", {},
                  View.Store.isRelay() ? 1 : 0);
  Target.setGauge("cyclamenwind_log_lines_dropped",
                  "Log lines that were not written since the start.", {},
                  static_cast<double>(View.DroppedLogLines));
}

} // namespace cyclamenwind
