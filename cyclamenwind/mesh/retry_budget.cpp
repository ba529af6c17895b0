#include "cyclamenwind/mesh/retry_budget.h"

#include <algorithm>
#include <numeric>

namespace cyclamenwind {
namespace {

// Parts of localLimit() that may be spent on all retries, and on retries of
// requests that a server has already run. The rest covers the nested calls of
// retried requests, usually two per request.
constexpr double RetryShare = 0.5;
constexpr double ExecutedRetryShare = 0.2;

template <size_t N> int sum(const std::array<int, N> &Counts) {
  return std::accumulate(Counts.begin(), Counts.end(), 0);
}

} // namespace

RetryBudget::Counts &RetryBudget::advanceWindow(const std::string &Service,
                                                TimePoint Now) {
  Counts &Entry = ByService[Service];
  int64_t Step = Now.time_since_epoch() / (Options.Window / WindowSteps);
  int64_t Passed = std::min<int64_t>(Step - Entry.Step, WindowSteps);
  for (int64_t I = 0; I < Passed; ++I)
    for (auto *Series :
         {&Entry.FirstAttempts, &Entry.Retries, &Entry.ExecutedRetries}) {
      std::rotate(Series->begin(), Series->end() - 1, Series->end());
      (*Series)[0] = 0;
    }
  Entry.Step = Step;
  return Entry;
}

void RetryBudget::countFirstAttempt(const std::string &Service, TimePoint Now) {
  ++advanceWindow(Service, Now).FirstAttempts[0];
}

double RetryBudget::localLimit(const Counts &Entry, size_t Daemons) const {
  double Share =
      Options.Extra / static_cast<double>(std::max<size_t>(1, Daemons));
  return Options.Ratio * sum(Entry.FirstAttempts) + Share;
}

int RetryBudget::remaining(const std::string &Service, size_t Daemons,
                           TimePoint Now) {
  Counts &Entry = advanceWindow(Service, Now);
  double Remaining =
      RetryShare * localLimit(Entry, Daemons) - sum(Entry.Retries);
  return std::max(0, static_cast<int>(Remaining));
}

bool RetryBudget::takeRetry(const std::string &Service, bool Executed,
                            size_t Daemons, TimePoint Now) {
  Counts &Entry = advanceWindow(Service, Now);
  double Limit = localLimit(Entry, Daemons);
  if (sum(Entry.Retries) + 1 > RetryShare * Limit ||
      (Executed && sum(Entry.ExecutedRetries) + 1 > ExecutedRetryShare * Limit))
    return false;
  ++Entry.Retries[0];
  if (Executed)
    ++Entry.ExecutedRetries[0];
  return true;
}

} // namespace cyclamenwind
