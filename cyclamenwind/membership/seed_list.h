// Meeting points: one platform object a failure domain that lists a bounded
// number of peer addresses, through which new members join. Pure deciding code.

#ifndef CYCLAMENWIND_MEMBERSHIP_SEED_LIST_H
#define CYCLAMENWIND_MEMBERSHIP_SEED_LIST_H

#include "cyclamenwind/base/random.h"
#include "cyclamenwind/membership/member_list.h"

#include <optional>

namespace cyclamenwind {

// The addresses in a meeting point's value; malformed ones are left out.
std::vector<Address> decodeSeedList(const std::string &Value);
std::string encodeSeedList(const std::vector<Address> &Peers);

// The list that Self should write in place of Listed, or nothing if it may
// stay. Self is added where there is room; with Known given, addresses that
// belong to none of its reachable members make room.
std::optional<std::vector<Address>>
revisedSeedList(const std::vector<Address> &Listed, const Address &Self,
                const MemberList *Known);

// At most Count of Candidates, chosen at random.
std::vector<Address> sampled(std::vector<Address> Candidates, size_t Count,
                             Random &Rng);

} // namespace cyclamenwind

#endif
