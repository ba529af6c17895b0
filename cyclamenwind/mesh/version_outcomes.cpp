#include "cyclamenwind/mesh/version_outcomes.h"

#include "cyclamenwind/base/names.h"

#include <algorithm>

namespace cyclamenwind {
namespace {

constexpr std::array<EnumName<VersionVerdict>, 3> VerdictNames = {{
    {VersionVerdict::Undecided, "undecided"},
    {VersionVerdict::Good, "good"},
    {VersionVerdict::Bad, "bad"},
}};

// A version with fewer failures is not bad: the application's normal errors
// cause that many in good versions.
constexpr int64_t MinFailures = 3;
// A version is bad if its failure share exceeds that of the other versions of
// its service by both this difference and this factor.
constexpr double FailureMargin = 0.12;
constexpr double FailureFactor = 2.5;
// Successful answers that each side needs before mean response times are
// compared.
constexpr int64_t MinTimedAnswers = 8;
// A version is bad if its mean response time exceeds SlowFactor times that of
// the other versions by more than SlowMarginUs.
constexpr double SlowFactor = 2.6;
constexpr double SlowMarginUs = 15e3;
// A version that is not bad is good once it has this many answers.
constexpr int64_t MinAnswersForGood = 30;

double failureShare(const OutcomeCounts &Counts) {
  return Counts.Answers == 0 ? 0
                             : static_cast<double>(Counts.Failures) /
                                   static_cast<double>(Counts.Answers);
}

double meanResponseUs(const OutcomeCounts &Counts) {
  int64_t Successful = Counts.Answers - Counts.Failures;
  return Successful == 0 ? 0
                         : static_cast<double>(Counts.TotalUs) /
                               static_cast<double>(Successful);
}

bool failsMore(const OutcomeCounts &New, const OutcomeCounts &Old) {
  return New.Failures >= MinFailures &&
         failureShare(New) > std::max(FailureFactor * failureShare(Old),
                                      failureShare(Old) + FailureMargin);
}

bool isSlower(const OutcomeCounts &New, const OutcomeCounts &Old) {
  return New.Answers - New.Failures >= MinTimedAnswers &&
         Old.Answers - Old.Failures >= MinTimedAnswers &&
         meanResponseUs(New) > SlowFactor * meanResponseUs(Old) + SlowMarginUs;
}

} // namespace

std::string_view nameOf(VersionVerdict Verdict) {
  return nameIn(VerdictNames, Verdict);
}

VersionVerdict analyzeVersion(const OutcomeTable &Table,
                              const std::string &Service,
                              const std::string &Version) {
  std::map<std::string, OutcomeCounts> New;
  std::map<std::string, OutcomeCounts> Old;
  OutcomeCounts AllNew;
  OutcomeCounts AllOld;
  for (const auto &[Key, Counts] : Table) {
    if (Key.Service != Service)
      continue;
    bool IsNew = Key.Version == Version;
    (IsNew ? New : Old)[Key.Route].add(Counts);
    (IsNew ? AllNew : AllOld).add(Counts);
  }
  if (failsMore(AllNew, AllOld))
    return VersionVerdict::Bad;
  for (const auto &[Route, Counts] : New)
    if (failsMore(Counts, Old[Route]) || isSlower(Counts, Old[Route]))
      return VersionVerdict::Bad;
  return AllNew.Answers >= MinAnswersForGood ? VersionVerdict::Good
                                             : VersionVerdict::Undecided;
}

} // namespace cyclamenwind
