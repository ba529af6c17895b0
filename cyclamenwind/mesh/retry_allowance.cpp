#include "cyclamenwind/mesh/retry_allowance.h"

#include <algorithm>
#include <numeric>

namespace cyclamenwind {
namespace {

// Part of the allowance that is spent; the rest covers calls made by repeated
// requests, which count as repeats at the services they call.
constexpr double SpentShare = 0.6;

} // namespace

RetryAllowance::Counts &RetryAllowance::current(const std::string &Service,
                                                TimePoint Now) {
  Counts &Entry = ByService[Service];
  int64_t Step = Now.time_since_epoch() / (Options.Window / Steps);
  int64_t Passed = std::min<int64_t>(Step - Entry.Step, Steps + 1);
  for (int64_t I = 0; I < Passed; ++I) {
    std::rotate(Entry.First.begin(), Entry.First.end() - 1, Entry.First.end());
    std::rotate(Entry.Repeats.begin(), Entry.Repeats.end() - 1,
                Entry.Repeats.end());
    Entry.First[0] = Entry.Repeats[0] = 0;
  }
  Entry.Step = Step;
  return Entry;
}

void RetryAllowance::countFirst(const std::string &Service, TimePoint Now) {
  ++current(Service, Now).First[0];
}

bool RetryAllowance::takeRepeat(const std::string &Service, size_t Daemons,
                                TimePoint Now) {
  Counts &Entry = current(Service, Now);
  int First = std::accumulate(Entry.First.begin(), Entry.First.end(), 0);
  int Repeats = std::accumulate(Entry.Repeats.begin(), Entry.Repeats.end(), 0);
  double Share = Options.Extra / static_cast<double>(std::max<size_t>(1, Daemons));
  if (Repeats + 1 > SpentShare * (Options.Ratio * First + Share))
    return false;
  ++Entry.Repeats[0];
  return true;
}

} // namespace cyclamenwind
