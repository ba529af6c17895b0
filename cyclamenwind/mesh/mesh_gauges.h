// Gauges of the mesh daemon, read from its state when metrics are requested.

#ifndef CYCLAMENWIND_MESH_MESH_GAUGES_H
#define CYCLAMENWIND_MESH_MESH_GAUGES_H

#include "cyclamenwind/base/memory_budget.h"
#include "cyclamenwind/mesh/mesh_state.h"
#include "cyclamenwind/mesh/retry_budget.h"
#include "cyclamenwind/mesh/store_sync.h"
#include "cyclamenwind/operators/metrics.h"
#include "cyclamenwind/peer/transport.h"

namespace cyclamenwind {

// Objects that the gauges are read from.
struct MeshGaugeSources {
  const MeshState &State;
  const StoreSync &Store;
  const PeerTransport &Peers;
  RetryBudget &Budget;
  uint64_t DroppedLogLines = 0;
};

// Sets all gauges that docs/METRICS.md lists for the mesh daemon.
void setMeshGauges(const MeshGaugeSources &Sources, TimePoint Now,
                   Metrics &Target);

// Sets the gauges of the memory budget.
void setMemoryGauges(const MemoryBudget &Budget, Metrics &Target);

} // namespace cyclamenwind

#endif
