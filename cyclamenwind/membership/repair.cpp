#include "cyclamenwind/membership/repair.h"

#include "cyclamenwind/membership/codec.h"
#include "cyclamenwind/peer/frame.h"

namespace cyclamenwind {
namespace {

constexpr size_t MaxReplyDatagrams = 4;
// Leaves space in the datagram for the fields around the records.
constexpr size_t RecordBytes = MaxDatagramBytes - 16;
constexpr size_t DigestBytes = sizeof(uint32_t);

std::vector<const Member *>
differingRecords(const MemberList &Members,
                 const MemberList::BucketDigests &PeerDigests,
                 size_t FirstBucket) {
  std::array<std::vector<const Member *>, MemberList::BucketCount> Buckets;
  for (const auto &[Id, Record] : Members.members()) {
    size_t Bucket = MemberList::bucketOf(Id);
    if (Members.bucketDigests()[Bucket] != PeerDigests[Bucket])
      Buckets[Bucket].push_back(&Record);
  }
  std::vector<const Member *> Result;
  for (size_t I = 0; I < MemberList::BucketCount; ++I) {
    const auto &Bucket = Buckets[(FirstBucket + I) % MemberList::BucketCount];
    Result.insert(Result.end(), Bucket.begin(), Bucket.end());
  }
  return Result;
}

} // namespace

std::string encodeBuckets(const MemberList::BucketDigests &Digests) {
  std::string Encoded;
  for (uint32_t Digest : Digests)
    for (int Shift = 24; Shift >= 0; Shift -= 8)
      Encoded += static_cast<char>(Digest >> Shift);
  return Encoded;
}

std::optional<MemberList::BucketDigests>
decodeBuckets(const std::string &Encoded) {
  if (Encoded.size() != MemberList::BucketCount * DigestBytes)
    return std::nullopt;
  MemberList::BucketDigests Digests = {};
  for (size_t I = 0; I < Encoded.size(); ++I) {
    uint32_t &Digest = Digests[I / DigestBytes];
    Digest = (Digest << 8) | static_cast<uint8_t>(Encoded[I]);
  }
  return Digests;
}

std::vector<wire::RosterRecords>
recordsForPull(const MemberList &Members,
               const MemberList::BucketDigests &PeerDigests, Random &Rng) {
  std::vector<wire::RosterRecords> Replies;
  size_t BytesLeft = 0;
  for (const Member *Differing : differingRecords(
           Members, PeerDigests, Rng.below(MemberList::BucketCount))) {
    wire::MemberRecord Record = toWire(*Differing);
    size_t Size = encodeMessage(Record).size();
    if (Size > BytesLeft || Replies.empty()) {
      if (Replies.size() == MaxReplyDatagrams)
        return Replies;
      Replies.emplace_back();
      BytesLeft = RecordBytes;
    }
    BytesLeft -= std::min(BytesLeft, Size);
    Replies.back().records.push_back(std::move(Record));
  }
  return Replies;
}

} // namespace cyclamenwind
