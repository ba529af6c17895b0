// Seed lists: objects on the platform's store, one per failure domain, that
// list at most MaxSeedListSize peer addresses through which new members join.
// These functions do no I/O.

#ifndef CYCLAMENWIND_MEMBERSHIP_SEED_LIST_H
#define CYCLAMENWIND_MEMBERSHIP_SEED_LIST_H

#include "cyclamenwind/base/random.h"
#include "cyclamenwind/membership/member_list.h"

#include <optional>

namespace cyclamenwind {

// The addresses in the value of a seed list; malformed ones are skipped.
std::vector<Address> decodeSeedList(const std::string &Value);
std::string encodeSeedList(const std::vector<Address> &Peers);

// The list that the daemon at Self should write in place of Listed. Returns
// nothing if Listed needs no change. If KnownMembers is not null, addresses
// other than Self that belong to none of its reachable members are removed.
// Self is added if there is room.
std::optional<std::vector<Address>>
revisedSeedList(const std::vector<Address> &Listed, const Address &Self,
                const MemberList *KnownMembers);

// At most Count of Candidates, chosen at random.
std::vector<Address> randomSample(std::vector<Address> Candidates, size_t Count,
                                  Random &Rng);

} // namespace cyclamenwind

#endif
