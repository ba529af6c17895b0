// Conversion between membership records and their Thrift form.

#ifndef CYCLAMENWIND_MEMBERSHIP_CODEC_H
#define CYCLAMENWIND_MEMBERSHIP_CODEC_H

#include "cyclamenwind/membership/member_list.h"
#include "cyclamenwind/wire/gen-cpp/membership_types.h"

#include <optional>

namespace cyclamenwind {

wire::MemberRecord toWire(const Member &Record);

// Returns nothing if Record is malformed. Unless the state is Alive, only the
// id, incarnation, revision and state are guaranteed to be set.
std::optional<Member> fromWire(const wire::MemberRecord &Record);

} // namespace cyclamenwind

#endif
