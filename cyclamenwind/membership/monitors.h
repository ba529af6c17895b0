// Which members a member probes.
//
// The living members form a ring in which those of different failure domains
// alternate, and each probes the next few. So every member is watched by a
// fixed number of others, and the loss of one failure domain leaves each of its
// members a watcher elsewhere.

#ifndef CYCLAMENWIND_MEMBERSHIP_MONITORS_H
#define CYCLAMENWIND_MEMBERSHIP_MONITORS_H

#include "cyclamenwind/membership/member_list.h"

namespace cyclamenwind {

// Ids of the Count living members that follow SelfId on the ring.
std::vector<std::string> monitoredBy(const std::string &SelfId,
                                     const MemberList &Members, size_t Count);

} // namespace cyclamenwind

#endif
