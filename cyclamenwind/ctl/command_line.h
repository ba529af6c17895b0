// CommandLine: the arguments of cyclamenctl, read and checked.

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
  Moves,
  RollBack,
  Drain,
  Explain,
  Trace,
  Wait,
};

std::string_view nameOf(CommandName Command);

struct CommandLine {
  CommandName Command = CommandName::Status;
  std::vector<std::string> Arguments; // After the command.
  std::optional<Address> Daemon;
  std::string Author;
  std::string Token; // From the environment only; never printed.
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

// Why there is no command to run: help was asked for, or the usage is bad.
struct UsageText {
  bool HelpAsked = false;
  std::string Text;
};

Result<CommandLine, UsageText> parseCommandLine(int Count,
                                                const char *const *Arguments);

} // namespace cyclamenwind::ctl

#endif
