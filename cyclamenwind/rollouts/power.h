// How many calls a test needs before its silence means something.

#ifndef CYCLAMENWIND_ROLLOUTS_POWER_H
#define CYCLAMENWIND_ROLLOUTS_POWER_H

namespace cyclamenwind {

// A comparison of the new version's calls with the old version's.
struct PowerParameters {
  double Share = 0;          // Of calls that go to the new version.
  double OldRate = 0;        // Of errors on the old version.
  double Increase = 0;       // Of the error rate, that is to be found.
  double LogThreshold = 0;   // Of the sequential test.
  double MissDeviations = 0; // normalQuantile() of the miss rate.
};

// Calls on the new version after which a fault of the given size has been found
// but for the miss rate (normal approximation of the log likelihood).
double requiredCalls(const PowerParameters &Question);

// The value that a standard normal variable exceeds with Probability, which is
// below one half.
double normalQuantile(double Probability);

} // namespace cyclamenwind

#endif
