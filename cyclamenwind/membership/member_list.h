// MemberList: the records of all members that this daemon knows.
//
// Only a member itself changes its record. It increases the record's revision
// with each change and its incarnation with each start. Other members may only
// raise the state (to Suspect or Dead) at the same revision; the member refutes
// that with a higher revision. Of two records the one with the higher
// (incarnation, revision, state) is kept, so that all member lists converge
// whatever the order and number of the messages.

#ifndef CYCLAMENWIND_MEMBERSHIP_MEMBER_LIST_H
#define CYCLAMENWIND_MEMBERSHIP_MEMBER_LIST_H

#include "cyclamenwind/base/address.h"
#include "cyclamenwind/base/time.h"

#include <array>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace cyclamenwind {

// At the same revision a later value supersedes an earlier one.
enum class MemberState { Alive, Suspect, Left, Dead };

std::string_view nameOf(MemberState State);

// A backend server of a service, registered with the daemon of a member.
struct ServiceInstance {
  std::string Service;
  std::string Version;
  int Slots = 0;
  bool Draining = false;

  bool operator==(const ServiceInstance &) const = default;
};

struct Member {
  std::string Id;
  int64_t Incarnation = 0;
  int64_t Revision = 0;
  MemberState State = MemberState::Alive;
  Address Peer;
  std::string FailureDomain;
  std::vector<ServiceInstance> Instances;

  bool operator==(const Member &) const = default;

  // Whether this record replaces Other, a record of the same member.
  bool supersedes(const Member &Other) const;

  // Whether calls may be sent to the member.
  bool reachable() const {
    return State == MemberState::Alive || State == MemberState::Suspect;
  }
};

class MemberList {
public:
  static constexpr size_t BucketCount = 64;
  using BucketDigests = std::array<uint32_t, BucketCount>;

  // Adds the record, or replaces the member's record if Record supersedes it.
  // Returns whether the list changed.
  bool merge(const Member &Record);

  void erase(const std::string &Id);

  const std::map<std::string, Member> &members() const { return Members; }

  // The record of the member with this Id; null if there is none.
  const Member *find(const std::string &Id) const;

  // The reachable members, ordered by id; valid until the next change.
  const std::vector<const Member *> &reachable() const;

  // Increases whenever a member is added or erased or its state changes.
  uint64_t stateEpoch() const { return StateEpoch; }

  // Hash over the reachable members' ids, incarnations, revisions and states.
  // Other members are excluded, since each daemon erases them at a different
  // time.
  uint64_t digest() const;

  // The same per bucket; a member's bucket depends only on its id.
  const BucketDigests &bucketDigests() const { return Digests; }
  static size_t bucketOf(const std::string &Id);

private:
  void toggleDigest(const Member &Record);

  std::map<std::string, Member> Members;
  BucketDigests Digests = {};
  uint64_t StateEpoch = 0;
  mutable std::vector<const Member *> Reachable;
  mutable uint64_t ReachableEpoch = ~uint64_t(0);
};

} // namespace cyclamenwind

#endif
