#include "cyclamenwind/membership/repair.h"

#include "cyclamenwind/membership/codec.h"
#include "cyclamenwind/peer/frame.h"

namespace cyclamenwind {
namespace {

constexpr size_t MaxAnswerDatagrams = 4;
// Leaves room for the message's own octets in a datagram.
constexpr size_t RecordBytes = MaxDatagramBytes - 16;
constexpr size_t DigestBytes = sizeof(uint32_t);

std::vector<const Member *> differing(const MemberList &Members,
                                      const MemberList::BucketDigests &Theirs,
                                      size_t FirstBucket) {
  std::array<std::vector<const Member *>, MemberList::BucketCount> Buckets;
  for (const auto &[Id, Record] : Members.members()) {
    size_t Bucket = MemberList::bucketOf(Id);
    if (Members.bucketDigests()[Bucket] != Theirs[Bucket])
      Buckets[Bucket].push_back(&Record);
  }
  std::vector<const Member *> List;
  for (size_t I = 0; I < MemberList::BucketCount; ++I) {
    const auto &Bucket = Buckets[(FirstBucket + I) % MemberList::BucketCount];
    List.insert(List.end(), Bucket.begin(), Bucket.end());
  }
  return List;
}

} // namespace

std::string encodeBuckets(const MemberList::BucketDigests &Digests) {
  std::string Octets;
  for (uint32_t Each : Digests)
    for (int Shift = 24; Shift >= 0; Shift -= 8)
      Octets += static_cast<char>(Each >> Shift);
  return Octets;
}

std::optional<MemberList::BucketDigests>
decodeBuckets(const std::string &Octets) {
  if (Octets.size() != MemberList::BucketCount * DigestBytes)
    return std::nullopt;
  MemberList::BucketDigests Digests = {};
  for (size_t I = 0; I < Octets.size(); ++I) {
    uint32_t &Each = Digests[I / DigestBytes];
    Each = (Each << 8) | static_cast<uint8_t>(Octets[I]);
  }
  return Digests;
}

std::vector<wire::RosterRecords>
answerPull(const MemberList &Members, const MemberList::BucketDigests &Theirs,
           Random &Rng) {
  std::vector<wire::RosterRecords> Answers;
  size_t Room = 0;
  for (const Member *Each :
       differing(Members, Theirs, Rng.below(MemberList::BucketCount))) {
    wire::MemberRecord Record = toWire(*Each);
    size_t Size = encodeMessage(Record).size();
    if (Size > Room || Answers.empty()) {
      if (Answers.size() == MaxAnswerDatagrams)
        return Answers;
      Answers.emplace_back();
      Room = RecordBytes;
    }
    Room -= std::min(Room, Size);
    Answers.back().records.push_back(std::move(Record));
  }
  return Answers;
}

} // namespace cyclamenwind
