// VersionOutcomes: counts of call outcomes by service, version and route, and
// the canary analysis of a version.
//
// Counts are cumulative and come from several daemons: each reports its own,
// and the newest report of a daemon's process replaces its earlier one. Does no
// I/O and reads no clock.

#ifndef CYCLAMENWIND_MESH_VERSION_OUTCOMES_H
#define CYCLAMENWIND_MESH_VERSION_OUTCOMES_H

#include "cyclamenwind/base/time.h"

#include <cstdint>
#include <map>
#include <string>
#include <tuple>

namespace cyclamenwind {

struct OutcomeCounts {
  int64_t Answers = 0;  // Outcomes counted, failures included.
  int64_t Failures = 0; // Among the answers.
  int64_t TotalUs = 0;  // Sum of the response times of the successful answers.

  void add(const OutcomeCounts &Other) {
    Answers += Other.Answers;
    Failures += Other.Failures;
    TotalUs += Other.TotalUs;
  }
};

struct OutcomeKey {
  std::string Service;
  std::string Version;
  std::string Route;

  bool operator<(const OutcomeKey &Other) const {
    return std::tie(Service, Version, Route) <
           std::tie(Other.Service, Other.Version, Other.Route);
  }
};

using OutcomeTable = std::map<OutcomeKey, OutcomeCounts>;

class VersionOutcomes {
public:
  void count(const OutcomeKey &Key, bool Failed, Duration ResponseTime) {
    OutcomeCounts &Counts = Table[Key];
    ++Counts.Answers;
    if (Failed)
      ++Counts.Failures;
    else
      Counts.TotalUs += ResponseTime.count();
  }

  const OutcomeTable &table() const { return Table; }

private:
  OutcomeTable Table;
};

enum class VersionVerdict {
  Undecided,
  Good, // Enough answers were compared, and no limit was exceeded.
  Bad,
};

std::string_view nameOf(VersionVerdict Verdict);

// Canary analysis: compares the answers of Version with those of the service's
// other versions, in total and route by route.
VersionVerdict analyzeVersion(const OutcomeTable &Table,
                              const std::string &Service,
                              const std::string &Version);

} // namespace cyclamenwind

#endif
