#include "cyclamenwind/membership/roster.h"

#include "cyclamenwind/base/names.h"

#include <tuple>

#include <xxhash.h>

namespace cyclamenwind {
namespace {

constexpr std::array<EnumName<MemberState>, 4> StateNames = {{
    {MemberState::Alive, "alive"},
    {MemberState::Suspect, "suspect"},
    {MemberState::Left, "left"},
    {MemberState::Dead, "dead"},
}};

uint64_t recordDigest(const Member &Record) {
  std::string Text = Record.Id + "/" + std::to_string(Record.Incarnation) +
                     "/" + std::to_string(Record.Revision) + "/" +
                     std::to_string(static_cast<int>(Record.State));
  return XXH3_64bits(Text.data(), Text.size());
}

} // namespace

std::string_view nameOf(MemberState State) { return nameIn(StateNames, State); }

bool Member::supersedes(const Member &Other) const {
  return std::tie(Incarnation, Revision, State) >
         std::tie(Other.Incarnation, Other.Revision, Other.State);
}

bool Roster::merge(const Member &Record) {
  auto [Position, Inserted] = Members.try_emplace(Record.Id, Record);
  if (Inserted)
    return true;
  if (!Record.supersedes(Position->second))
    return false;
  Position->second = Record;
  return true;
}

const Member *Roster::find(const std::string &Id) const {
  auto Found = Members.find(Id);
  return Found == Members.end() ? nullptr : &Found->second;
}

uint64_t Roster::digest() const {
  uint64_t Sum = 0;
  for (const auto &[Id, Record] : Members)
    Sum ^= recordDigest(Record);
  return Sum;
}

} // namespace cyclamenwind
