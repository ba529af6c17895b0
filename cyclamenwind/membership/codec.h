// Conversion between membership records and their wire form.

#ifndef CYCLAMENWIND_MEMBERSHIP_CODEC_H
#define CYCLAMENWIND_MEMBERSHIP_CODEC_H

#include "cyclamenwind/membership/member_list.h"
#include "cyclamenwind/wire/gen-cpp/membership_types.h"

#include <optional>

namespace cyclamenwind {

wire::MemberRecord toWire(const Member &Record);

// Nothing if the record is malformed. Unless it is alive, only its id, counters
// and state are sure to be set.
std::optional<Member> fromWire(const wire::MemberRecord &Record);

} // namespace cyclamenwind

#endif
