#include "cyclamenwind/mesh/retry_budget.h"

#include <algorithm>
#include <numeric>

namespace cyclamenwind {
namespace {

// Parts of the allowance that are spent on all repeats, and on those of
// requests that a server has run. Two nested calls a request are the usual
// case.
constexpr double SpentShare = 0.5;
constexpr double RunShare = 0.2;

template <size_t N> int sum(const std::array<int, N> &Counts) {
  return std::accumulate(Counts.begin(), Counts.end(), 0);
}

} // namespace

RetryBudget::Counts &RetryBudget::current(const std::string &Service,
                                          TimePoint Now) {
  Counts &Entry = ByService[Service];
  int64_t Step = Now.time_since_epoch() / (Options.Window / Steps);
  int64_t Passed = std::min<int64_t>(Step - Entry.Step, Steps);
  for (int64_t I = 0; I < Passed; ++I)
    for (auto *Each : {&Entry.First, &Entry.Repeats, &Entry.RunRepeats}) {
      std::rotate(Each->begin(), Each->end() - 1, Each->end());
      (*Each)[0] = 0;
    }
  Entry.Step = Step;
  return Entry;
}

void RetryBudget::countFirst(const std::string &Service, TimePoint Now) {
  ++current(Service, Now).First[0];
}

// All that may be repeated, by this daemon's share.
double RetryBudget::room(const Counts &Entry, size_t Daemons) const {
  double Share =
      Options.Extra / static_cast<double>(std::max<size_t>(1, Daemons));
  return Options.Ratio * sum(Entry.First) + Share;
}

int RetryBudget::left(const std::string &Service, size_t Daemons,
                      TimePoint Now) {
  Counts &Entry = current(Service, Now);
  double Left = SpentShare * room(Entry, Daemons) - sum(Entry.Repeats);
  return std::max(0, static_cast<int>(Left));
}

bool RetryBudget::takeRepeat(const std::string &Service, bool Ran,
                             size_t Daemons, TimePoint Now) {
  Counts &Entry = current(Service, Now);
  double Room = room(Entry, Daemons);
  if (sum(Entry.Repeats) + 1 > SpentShare * Room ||
      (Ran && sum(Entry.RunRepeats) + 1 > RunShare * Room))
    return false;
  ++Entry.Repeats[0];
  if (Ran)
    ++Entry.RunRepeats[0];
  return true;
}

} // namespace cyclamenwind
