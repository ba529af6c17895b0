// CommandResult: how a command of cyclamenctl ended, and what it tells.

#ifndef CYCLAMENWIND_CTL_RESULT_H
#define CYCLAMENWIND_CTL_RESULT_H

#include <string>
#include <string_view>

#include <nlohmann/json.hpp>

namespace cyclamenwind::ctl {

enum ExitStatus {
  Done = 0,
  Failed = 1,         // Nothing was changed.
  BadUsage = 2,       // The command line is wrong; nothing was sent.
  LostRace = 3,       // Another version is in place; nothing was changed.
  OutcomeUnknown = 4, // It could not be learned whether it took effect.
  TimedOut = 5,       // It did not come about within the time given.
  Incomplete = 6,     // What is shown is not all.
};

std::string_view nameOf(ExitStatus Status);

struct CommandResult {
  ExitStatus Status = Done;
  std::string Text; // For the operator, without a last line end.
  std::string Next; // What the operator can do about a failure.
  nlohmann::json Data = nlohmann::json::object();
};

} // namespace cyclamenwind::ctl

#endif
