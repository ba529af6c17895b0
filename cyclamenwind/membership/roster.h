// Roster: what this daemon knows of the members.
//
// Each member alone changes its own record and raises the record's revision
// with each change, and its incarnation with each start. Records are merged by
// taking the higher (incarnation, revision), so that all rosters converge
// whatever the order and number of the messages.

#ifndef CYCLAMENWIND_MEMBERSHIP_ROSTER_H
#define CYCLAMENWIND_MEMBERSHIP_ROSTER_H

#include "cyclamenwind/base/address.h"
#include "cyclamenwind/base/time.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace cyclamenwind {

enum class MemberState { Alive, Suspect, Left, Dead };

std::string_view nameOf(MemberState State);

// A backend server beside a member.
struct Offer {
  std::string Service;
  std::string Version;
  int Slots = 0;
  bool Draining = false;

  bool operator==(const Offer &) const = default;
};

struct Member {
  std::string Id;
  int64_t Incarnation = 0;
  int64_t Revision = 0;
  MemberState State = MemberState::Alive;
  Address Peer;
  std::string FailureDomain;
  std::vector<Offer> Offers;
  uint64_t ConfigVersion = 0;

  bool operator==(const Member &) const = default;

  // Whether this record replaces Other, a record of the same member.
  bool supersedes(const Member &Other) const;

  // Whether calls may be sent to the member.
  bool reachable() const {
    return State == MemberState::Alive || State == MemberState::Suspect;
  }
};

class Roster {
public:
  // Adds or replaces the record if it supersedes; says whether it did.
  bool merge(const Member &Record);

  void erase(const std::string &Id) { Members.erase(Id); }

  const std::map<std::string, Member> &members() const { return Members; }
  const Member *find(const std::string &Id) const;

  // Hash over all records; equal rosters have equal digests.
  uint64_t digest() const;

private:
  std::map<std::string, Member> Members;
};

} // namespace cyclamenwind

#endif
