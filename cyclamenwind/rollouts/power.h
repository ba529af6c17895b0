// Statistical power: how many calls a sequential test needs before "no fault
// detected" is meaningful.

#ifndef CYCLAMENWIND_ROLLOUTS_POWER_H
#define CYCLAMENWIND_ROLLOUTS_POWER_H

namespace cyclamenwind {

// Parameters of a comparison of the two versions.
struct PowerParameters {
  double Share = 0;          // Of calls that go to the new version.
  double OldRate = 0;        // Of errors on the old version.
  double Increase = 0;       // Of the error rate, to be detected.
  double LogThreshold = 0;   // Of the sequential test.
  double MissDeviations = 0; // normalQuantile() of the miss rate.
};

// Calls on the new version after which a fault of the given size is detected,
// except with the probability of the miss rate (normal approximation of the log
// likelihood).
double requiredCalls(const PowerParameters &Parameters);

// The value that a standard normal variable exceeds with Probability, which is
// below one half.
double normalQuantile(double Probability);

} // namespace cyclamenwind

#endif
