// Meeting points: one platform object a failure domain that lists a bounded
// number of peer addresses, through which new members join. Pure deciding code.

#ifndef CYCLAMENWIND_MEMBERSHIP_MEETING_H
#define CYCLAMENWIND_MEMBERSHIP_MEETING_H

#include "cyclamenwind/base/random.h"
#include "cyclamenwind/membership/roster.h"

#include <optional>

namespace cyclamenwind {

// The addresses in a meeting point's value; malformed ones are left out.
std::vector<Address> decodeMeetingPoint(const std::string &Value);
std::string encodeMeetingPoint(const std::vector<Address> &Peers);

// The list that Self should write in place of Listed, or nothing if it may
// stay. Self is added where there is room; with Known given, addresses that
// belong to none of its reachable members make room.
std::optional<std::vector<Address>>
revisedMeetingPoint(const std::vector<Address> &Listed, const Address &Self,
                    const Roster *Known);

// At most Count of Candidates, chosen at random.
std::vector<Address> sampled(std::vector<Address> Candidates, size_t Count,
                             Random &Dice);

} // namespace cyclamenwind

#endif
