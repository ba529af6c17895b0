// Ranking: which members have a task, agreed without messages.
//
// Rendezvous hashing (Thaler and Ravishankar, 1998): each member has a rank for
// each task by a hash of both. Members with the same roster choose the same,
// and a member that leaves changes only its own tasks.

#ifndef CYCLAMENWIND_MOVES_RANKING_H
#define CYCLAMENWIND_MOVES_RANKING_H

#include "cyclamenwind/membership/roster.h"

#include <string_view>

namespace cyclamenwind {

// The first Count reachable members for Task, best first; Self counts as
// reachable.
std::vector<const Member *> rankedFor(std::string_view Task, size_t Count,
                                      const Roster &Members,
                                      const Member &Self);

} // namespace cyclamenwind

#endif
