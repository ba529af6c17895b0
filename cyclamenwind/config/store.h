// ConfigStore: the snapshot in force on this daemon.
//
// The store only ever moves to a higher version. An envelope that does not
// parse is rejected whole and leaves the present snapshot in force. Two
// different texts under one version are a conflict of the source: the one in
// force stays and the other is reported.

#ifndef CYCLAMENWIND_CONFIG_STORE_H
#define CYCLAMENWIND_CONFIG_STORE_H

#include "cyclamenwind/base/kernel.h"
#include "cyclamenwind/config/snapshot.h"

#include <functional>

namespace cyclamenwind {

enum class ApplyOutcome {
  Applied,
  AlreadyInForce,
  Older,
  Invalid,
  Conflicting, // Same version, other text.
};

std::string_view nameOf(ApplyOutcome Outcome);

// A service named "config".
class ConfigStore final : public Service {
public:
  std::string_view name() const override { return "config"; }
  void start(Kernel &) override {}

  // Parses EnvelopeText and puts it in force if it is newer.
  ApplyOutcome apply(const std::string &EnvelopeText);

  // The snapshot in force; null before the first.
  const SnapshotPtr &current() const { return Current; }

  // Version in force; 0 before the first.
  uint64_t version() const { return Current ? Current->version() : 0; }

  // Errors of the last envelope that was rejected as invalid.
  const DocumentErrors &lastErrors() const { return LastErrors; }

  // Calls Handler after each change of the snapshot in force.
  void onChange(std::function<void(const SnapshotPtr &)> Handler);

private:
  SnapshotPtr Current;
  DocumentErrors LastErrors;
  std::vector<std::function<void(const SnapshotPtr &)>> Handlers;
};

} // namespace cyclamenwind

#endif
