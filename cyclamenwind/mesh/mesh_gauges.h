// Gauges of the mesh, read from the daemon's state when metrics are asked for.

#ifndef CYCLAMENWIND_MESH_MESH_GAUGES_H
#define CYCLAMENWIND_MESH_MESH_GAUGES_H

#include "cyclamenwind/mesh/mesh_state.h"
#include "cyclamenwind/mesh/retry_budget.h"
#include "cyclamenwind/mesh/store_sync.h"
#include "cyclamenwind/operators/metrics.h"
#include "cyclamenwind/peer/transport.h"

namespace cyclamenwind {

// What the gauges are read from.
struct MeshGaugeSources {
  const MeshState &State;
  const StoreSync &Store;
  const PeerTransport &Peers;
  RetryBudget &Allowance;
  uint64_t DroppedLogLines = 0;
};

// Sets all gauges that docs/METRICS.md lists for the mesh daemon.
void setMeshGauges(const MeshGaugeSources &View, TimePoint Now,
                   Metrics &Target);

} // namespace cyclamenwind

#endif
