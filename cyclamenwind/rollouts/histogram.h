// LatencyHistogram: counts latencies in buckets of constant ratio.
//
// Four buckets per octave, starting at 250 us; the first bucket also counts all
// shorter latencies, the last bucket all longer ones. Histograms are added
// bucket by bucket.

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

  // Multiplies all counts by Factor, which is between 0 and 1.
  void scale(double Factor);

  uint64_t count(size_t Bucket) const { return Buckets[Bucket]; }
  uint64_t total() const;

  // Number of latencies in bucket First and above.
  uint64_t countFrom(size_t First) const;

  // The bucket that contains the median; 0 if the histogram is empty.
  size_t medianBucket() const;

private:
  std::array<uint64_t, BucketCount> Buckets{};
};

} // namespace cyclamenwind

#endif
