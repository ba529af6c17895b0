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

// Failures that are needed before a version is called bad: fewer happen to good
// versions by the application's normal errors.
constexpr int64_t MinFailures = 3;
// A bad version fails this much more often than the others of its service.
constexpr double FailureMargin = 0.12;
constexpr double FailureFactor = 2.5;
// Answers whose mean time is compared.
constexpr int64_t MinTimedAnswers = 8;
constexpr double SlowFactor = 2.6;
constexpr double SlowMarginUs = 15e3;
// Answers on which a version is called good.
constexpr int64_t MinAnswersOfGood = 30;

double share(const OutcomeCounts &Counts) {
  return Counts.Answers == 0 ? 0
                             : static_cast<double>(Counts.Failures) /
                                   static_cast<double>(Counts.Answers);
}

double meanUs(const OutcomeCounts &Counts) {
  int64_t Timed = Counts.Answers - Counts.Failures;
  return Timed == 0
             ? 0
             : static_cast<double>(Counts.TotalUs) / static_cast<double>(Timed);
}

bool failsMore(const OutcomeCounts &New, const OutcomeCounts &Old) {
  return New.Failures >= MinFailures &&
         share(New) >
             std::max(FailureFactor * share(Old), share(Old) + FailureMargin);
}

bool isSlower(const OutcomeCounts &New, const OutcomeCounts &Old) {
  return New.Answers - New.Failures >= MinTimedAnswers &&
         Old.Answers - Old.Failures >= MinTimedAnswers &&
         meanUs(New) > SlowFactor * meanUs(Old) + SlowMarginUs;
}

} // namespace

std::string_view nameOf(VersionVerdict Verdict) {
  return nameIn(VerdictNames, Verdict);
}

VersionVerdict judgeVersion(const OutcomeTable &Table,
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
  return AllNew.Answers >= MinAnswersOfGood ? VersionVerdict::Good
                                            : VersionVerdict::Undecided;
}

} // namespace cyclamenwind
