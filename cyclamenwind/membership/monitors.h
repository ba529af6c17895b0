// Which members a member probes.
//
// The reachable members form a ring in which members of different failure
// domains alternate, and each member probes the next few that are alive. So a
// fixed number of others probes every member, and if a whole failure domain is
// lost, each of its members is still probed from another domain.

#ifndef CYCLAMENWIND_MEMBERSHIP_MONITORS_H
#define CYCLAMENWIND_MEMBERSHIP_MONITORS_H

#include "cyclamenwind/membership/member_list.h"

namespace cyclamenwind {

// Ids of the Count alive members that follow SelfId on the ring.
std::vector<std::string> monitoredBy(const std::string &SelfId,
                                     const MemberList &Members, size_t Count);

} // namespace cyclamenwind

#endif
