// Subsets: which of a service's members a daemon keeps streams to.
//
// Rendezvous hashing (Thaler, Ravishankar, 1998): each daemon takes the members
// with the highest hash of the pair. The choice is the same after a restart, a
// change of the members moves few, and members are chosen by equally many.

#ifndef CYCLAMENWIND_TRAFFIC_SUBSET_H
#define CYCLAMENWIND_TRAFFIC_SUBSET_H

#include "cyclamenwind/membership/endpoints.h"

namespace cyclamenwind {

// At most Near endpoints of FailureDomain and Far others for the daemon SelfId.
std::vector<const Endpoint *>
subsetFor(const std::string &SelfId, const std::string &FailureDomain,
          const std::vector<const Endpoint *> &Endpoints, size_t Near,
          size_t Far);

} // namespace cyclamenwind

#endif
