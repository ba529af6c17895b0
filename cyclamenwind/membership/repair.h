// Repair of rosters that differ: which records answer a pull.

#ifndef CYCLAMENWIND_MEMBERSHIP_REPAIR_H
#define CYCLAMENWIND_MEMBERSHIP_REPAIR_H

#include "cyclamenwind/base/random.h"
#include "cyclamenwind/membership/member_list.h"
#include "cyclamenwind/wire/gen-cpp/membership_types.h"

#include <optional>

namespace cyclamenwind {

std::string encodeBuckets(const MemberList::BucketDigests &Digests);

// Nothing if Octets has the wrong size.
std::optional<MemberList::BucketDigests>
decodeBuckets(const std::string &Octets);

// Records of the buckets in which Members differs from Theirs, from a random
// bucket on, as many as fit into a few datagrams. Further pulls bring the rest.
std::vector<wire::RosterRecords>
answerPull(const MemberList &Members, const MemberList::BucketDigests &Theirs,
           Random &Rng);

} // namespace cyclamenwind

#endif
