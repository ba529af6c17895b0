// Anti-entropy repair of member lists that differ: selects the records sent in
// response to a pull.

#ifndef CYCLAMENWIND_MEMBERSHIP_REPAIR_H
#define CYCLAMENWIND_MEMBERSHIP_REPAIR_H

#include "cyclamenwind/base/random.h"
#include "cyclamenwind/membership/member_list.h"
#include "cyclamenwind/wire/gen-cpp/membership_types.h"

#include <optional>

namespace cyclamenwind {

std::string encodeBuckets(const MemberList::BucketDigests &Digests);

// Returns nothing if Encoded has the wrong size.
std::optional<MemberList::BucketDigests>
decodeBuckets(const std::string &Encoded);

// Records of the buckets whose digests differ from PeerDigests, starting at a
// random bucket, as many as fit into MaxReplyDatagrams datagrams. Further pulls
// deliver the rest.
std::vector<wire::RosterRecords>
recordsForPull(const MemberList &Members,
               const MemberList::BucketDigests &PeerDigests, Random &Rng);

} // namespace cyclamenwind

#endif
