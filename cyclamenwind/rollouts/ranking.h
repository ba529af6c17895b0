// Ranking: assigns tasks to members without messages between them.
//
// Rendezvous hashing (Thaler and Ravishankar, 1998): members are ranked for a
// task by a hash of the task and the member id. Members with the same member
// list compute the same ranking, and when a member leaves, only its own tasks
// are reassigned.

#ifndef CYCLAMENWIND_ROLLOUTS_RANKING_H
#define CYCLAMENWIND_ROLLOUTS_RANKING_H

#include "cyclamenwind/membership/member_list.h"

#include <string_view>

namespace cyclamenwind {

// The Count best-ranked reachable members for Task, best first. Self counts as
// reachable.
std::vector<const Member *> rankedFor(std::string_view Task, size_t Count,
                                      const MemberList &Members,
                                      const Member &Self);

} // namespace cyclamenwind

#endif
