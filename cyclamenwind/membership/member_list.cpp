#include "cyclamenwind/membership/member_list.h"

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

uint32_t recordDigest(const Member &Record) {
  std::string Text = Record.Id + "/" + std::to_string(Record.Incarnation) +
                     "/" + std::to_string(Record.Revision) +
                     (Record.State == MemberState::Suspect ? "/suspect" : "");
  return static_cast<uint32_t>(XXH3_64bits(Text.data(), Text.size()));
}

} // namespace

std::string_view nameOf(MemberState State) { return nameIn(StateNames, State); }

bool Member::supersedes(const Member &Other) const {
  return std::tie(Incarnation, Revision, State) >
         std::tie(Other.Incarnation, Other.Revision, Other.State);
}

bool MemberList::merge(const Member &Record) {
  auto [Position, Inserted] = Members.try_emplace(Record.Id, Record);
  Member &Current = Position->second;
  if (Inserted) {
    toggleDigest(Current);
    ++StateEpoch;
    return true;
  }
  if (!Record.supersedes(Current))
    return false;
  if (Current.State != Record.State)
    ++StateEpoch;
  toggleDigest(Current);
  Current = Record;
  toggleDigest(Current);
  return true;
}

void MemberList::erase(const std::string &Id) {
  auto Found = Members.find(Id);
  if (Found == Members.end())
    return;
  toggleDigest(Found->second);
  Members.erase(Found);
  ++StateEpoch;
}

const Member *MemberList::find(const std::string &Id) const {
  auto Found = Members.find(Id);
  return Found == Members.end() ? nullptr : &Found->second;
}

const std::vector<const Member *> &MemberList::reachable() const {
  if (ReachableEpoch == StateEpoch)
    return Reachable;
  ReachableEpoch = StateEpoch;
  Reachable.clear();
  for (const auto &[Id, Record] : Members)
    if (Record.reachable())
      Reachable.push_back(&Record);
  return Reachable;
}

uint64_t MemberList::digest() const {
  return XXH3_64bits(Digests.data(), sizeof Digests);
}

size_t MemberList::bucketOf(const std::string &Id) {
  return XXH3_64bits(Id.data(), Id.size()) % BucketCount;
}

// XORs the record into its bucket's digest; a second call removes it again.
void MemberList::toggleDigest(const Member &Record) {
  if (Record.reachable())
    Digests[bucketOf(Record.Id)] ^= recordDigest(Record);
}

} // namespace cyclamenwind
