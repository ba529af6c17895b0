#include "cyclamenwind/rollouts/histogram.h"

#include <algorithm>
#include <cmath>

namespace cyclamenwind {
namespace {

constexpr double FirstBucketUs = 250;

} // namespace

size_t LatencyHistogram::bucketOf(Duration Latency) {
  double Ratio = static_cast<double>(Latency.count()) / FirstBucketUs;
  if (Ratio <= 1)
    return 0;
  auto Index = static_cast<size_t>(BucketsPerOctave * std::log2(Ratio));
  return std::min(Index, BucketCount - 1);
}

void LatencyHistogram::add(const LatencyHistogram &Other) {
  for (size_t I = 0; I < BucketCount; ++I)
    Buckets[I] += Other.Buckets[I];
}

void LatencyHistogram::scale(double Factor) {
  for (uint64_t &Count : Buckets)
    Count = static_cast<uint64_t>(static_cast<double>(Count) * Factor);
}

uint64_t LatencyHistogram::total() const { return countFrom(0); }

uint64_t LatencyHistogram::countFrom(size_t First) const {
  uint64_t Sum = 0;
  for (size_t I = First; I < BucketCount; ++I)
    Sum += Buckets[I];
  return Sum;
}

size_t LatencyHistogram::medianBucket() const {
  uint64_t Half = total() / 2;
  uint64_t Sum = 0;
  for (size_t I = 0; I < BucketCount; ++I) {
    Sum += Buckets[I];
    if (Sum > Half)
      return I;
  }
  return 0;
}

} // namespace cyclamenwind
