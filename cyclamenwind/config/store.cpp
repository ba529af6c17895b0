#include "cyclamenwind/config/store.h"

#include "cyclamenwind/base/log.h"
#include "cyclamenwind/base/names.h"

namespace cyclamenwind {
namespace {

constexpr std::array<EnumName<ApplyOutcome>, 5> OutcomeNames = {{
    {ApplyOutcome::Applied, "applied"},
    {ApplyOutcome::AlreadyApplied, "already_in_force"},
    {ApplyOutcome::Older, "older"},
    {ApplyOutcome::Invalid, "invalid"},
    {ApplyOutcome::Conflicting, "conflicting"},
}};

} // namespace

std::string_view nameOf(ApplyOutcome Outcome) {
  return nameIn(OutcomeNames, Outcome);
}

ApplyOutcome ConfigStore::apply(const std::string &EnvelopeText) {
  Result<Envelope, DocumentErrors> Parsed = parseEnvelope(EnvelopeText);
  if (!Parsed) {
    LastErrors = Parsed.error();
    logError("config_rejected", {{"path", LastErrors.front().Path},
                                 {"cause", LastErrors.front().Message}});
    return ApplyOutcome::Invalid;
  }
  if (Parsed.value().Version < version())
    return ApplyOutcome::Older;
  if (Parsed.value().Version == version()) {
    if (Current->text() == EnvelopeText)
      return ApplyOutcome::AlreadyApplied;
    logError("config_conflict", {{"version", version()}});
    return ApplyOutcome::Conflicting;
  }
  Current =
      std::make_shared<const Snapshot>(std::move(Parsed.value()), EnvelopeText);
  logInfo("config_applied",
          {{"version", version()}, {"digest", Current->digest()}});
  for (const auto &Handler : Handlers)
    Handler(Current);
  return ApplyOutcome::Applied;
}

void ConfigStore::onChange(std::function<void(const SnapshotPtr &)> Handler) {
  Handlers.push_back(std::move(Handler));
}

} // namespace cyclamenwind
