// Subsets: which members of a service a daemon keeps streams to.
//
// Rendezvous hashing (Thaler, Ravishankar, 1998): each daemon takes the members
// with the highest hash of the pair (daemon, member). The subset survives a
// restart of the daemon, a change of the members changes few entries, and each
// member is in the subsets of about equally many daemons.

#ifndef CYCLAMENWIND_TRAFFIC_SUBSET_H
#define CYCLAMENWIND_TRAFFIC_SUBSET_H

#include "cyclamenwind/membership/endpoints.h"

namespace cyclamenwind {

// Returns at most SameDomainCount endpoints of FailureDomain and
// OtherDomainCount others for the daemon SelfId; all endpoints if there are no
// more than the smaller of the two counts.
std::vector<const Endpoint *>
subsetFor(const std::string &SelfId, const std::string &FailureDomain,
          const std::vector<const Endpoint *> &Endpoints,
          size_t SameDomainCount, size_t OtherDomainCount);

} // namespace cyclamenwind

#endif
