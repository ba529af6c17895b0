// Ranking: which members have a task, agreed without messages.
//
// Rendezvous hashing (Thaler and Ravishankar, 1998): each member has a rank for
// each task by a hash of both. Members with the same roster choose the same,
// and a member that leaves changes only its own tasks.

#ifndef CYCLAMENWIND_ROLLOUTS_RANKING_H
#define CYCLAMENWIND_ROLLOUTS_RANKING_H

#include "cyclamenwind/membership/member_list.h"

#include <string_view>

namespace cyclamenwind {

// The first Count reachable members for Task, best first; Self counts as
// reachable.
std::vector<const Member *> rankedFor(std::string_view Task, size_t Count,
                                      const MemberList &Members,
                                      const Member &Self);

} // namespace cyclamenwind

#endif
