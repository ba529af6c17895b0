// ConfigStore: the snapshot that this daemon has applied.
//
// The version never decreases. An envelope that does not parse is rejected as a
// whole, and the current snapshot stays. Two different texts with the same
// version are a conflict of the source: the current one stays and the other is
// reported in the log.

#ifndef CYCLAMENWIND_CONFIG_STORE_H
#define CYCLAMENWIND_CONFIG_STORE_H

#include "cyclamenwind/base/kernel.h"
#include "cyclamenwind/config/snapshot.h"

#include <functional>

namespace cyclamenwind {

enum class ApplyOutcome {
  Applied,
  AlreadyApplied,
  Older,
  Invalid,
  Conflicting, // Same version, different text.
};

std::string_view nameOf(ApplyOutcome Outcome);

// A service named "config".
class ConfigStore final : public Service {
public:
  std::string_view name() const override { return "config"; }
  void start(Kernel &) override {}

  // Parses EnvelopeText and applies it if it is newer.
  ApplyOutcome apply(const std::string &EnvelopeText);

  // The applied snapshot; null before the first.
  const SnapshotPtr &current() const { return Current; }

  // The applied version; 0 before the first.
  uint64_t version() const { return Current ? Current->version() : 0; }

  // Errors of the last envelope that was rejected as invalid.
  const DocumentErrors &lastErrors() const { return LastErrors; }

  // Calls Handler after each change of the applied snapshot.
  void onChange(std::function<void(const SnapshotPtr &)> Handler);

private:
  SnapshotPtr Current;
  DocumentErrors LastErrors;
  std::vector<std::function<void(const SnapshotPtr &)>> Handlers;
};

} // namespace cyclamenwind

#endif
