// LatencyHistogram: latencies in buckets of constant ratio.
//
// Four buckets an octave from 250 us on; the last one takes all that is longer.
// Two histograms are summed bucket by bucket.

#ifndef CYCLAMENWIND_ROLLOUTS_HISTOGRAM_H
#define CYCLAMENWIND_ROLLOUTS_HISTOGRAM_H

#include "cyclamenwind/base/time.h"

#include <array>
#include <cstdint>

namespace cyclamenwind {

class LatencyHistogram {
public:
  static constexpr size_t BucketCount = 72;
  static constexpr double BucketsPerOctave = 4;

  static size_t bucketOf(Duration Latency);

  void add(Duration Latency) { ++Buckets[bucketOf(Latency)]; }
  void add(size_t Bucket, uint64_t Count) { Buckets[Bucket] += Count; }
  void add(const LatencyHistogram &Other);

  // Multiplies all counts by Factor, which is from 0 to 1.
  void fade(double Factor);

  uint64_t count(size_t Bucket) const { return Buckets[Bucket]; }
  uint64_t total() const;

  // Latencies in bucket First and all longer ones.
  uint64_t countFrom(size_t First) const;

  // The bucket in which the median lies.
  size_t medianBucket() const;

private:
  std::array<uint64_t, BucketCount> Buckets{};
};

} // namespace cyclamenwind

#endif
