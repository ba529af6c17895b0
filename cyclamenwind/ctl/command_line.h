// CommandLine: the parsed and checked command line of cyclamenctl.

#ifndef CYCLAMENWIND_CTL_COMMAND_LINE_H
#define CYCLAMENWIND_CTL_COMMAND_LINE_H

#include "cyclamenwind/base/address.h"
#include "cyclamenwind/base/result.h"
#include "cyclamenwind/base/time.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace cyclamenwind::ctl {

enum class CommandName {
  Validate,
  Accept,
  Diff,
  Status,
  History,
  Audit,
  Rollouts, // "moves" on the command line.
  RollBack, // "take-back" on the command line.
  Drain,
  Explain,
  Trace,
  Wait,
};

// Returns the name on the command line.
std::string_view nameOf(CommandName Command);

// Options that the command does not take have their defaults.
struct CommandLine {
  CommandName Command = CommandName::Status;
  std::vector<std::string> Arguments; // Without the command itself.
  std::optional<Address> Daemon;      // Its operators' address.
  std::string Author;
  std::string Token; // From CYCLAMENWIND_TOKEN only; never printed.
  std::string OperationId;
  std::optional<uint64_t> Base;
  size_t Members = 1;
  uint64_t Version = 1;
  std::string CallerKey;
  int Hours = 0;
  int Limit = 0;
  Duration Timeout{};
  bool Json = false;
};

// Text to print instead of running a command: help, or a usage error.
struct UsageText {
  bool HelpRequested = false;
  std::string Text;
};

Result<CommandLine, UsageText> parseCommandLine(int Count,
                                                const char *const *Arguments);

} // namespace cyclamenwind::ctl

#endif
