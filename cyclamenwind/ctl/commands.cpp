#include "cyclamenwind/ctl/commands.h"

#include <ostream>

namespace cyclamenwind::ctl {
namespace {

using nlohmann::json;

CommandResult dispatch(const CommandLine &Line, Connection &Link,
                       std::ostream &Progress) {
  switch (Line.Command) {
  case CommandName::Validate:
    return validate(Line);
  case CommandName::Accept:
    return accept(Line, Link);
  case CommandName::Diff:
    return diff(Line, Link);
  case CommandName::Status:
    return status(Line, Link);
  case CommandName::History:
    return history(Line, Link);
  case CommandName::Audit:
    return audit(Line, Link);
  case CommandName::Moves:
    return moves(Line, Link);
  case CommandName::RollBack:
    return takeBack(Line, Link);
  case CommandName::Drain:
    return drain(Line, Link);
  case CommandName::Explain:
    return explain(Line, Link);
  case CommandName::Trace:
    return trace(Line);
  case CommandName::Wait:
    return waitInForce(Line, Link, Progress);
  }
  return {BadUsage, "no such command", "", json::object()};
}

// A member of an unexpected type in a daemon's answer ends the command.
CommandResult guardedDispatch(const CommandLine &Line, Connection &Link,
                              std::ostream &Progress) {
  try {
    return dispatch(Line, Link, Progress);
  } catch (const std::exception &Error) {
    bool Write = Line.Command == CommandName::Accept ||
                 Line.Command == CommandName::RollBack ||
                 Line.Command == CommandName::Drain;
    return {Write ? OutcomeUnknown : Failed,
            std::string("the daemon's answer is malformed: ") + Error.what(),
            "check that --daemon names the operators' address of a daemon",
            json::object()};
  }
}

void printJson(const CommandResult &Result, std::ostream &Out) {
  json Whole = Result.Data;
  Whole["status"] = nameOf(Result.Status);
  Whole["exit_status"] = static_cast<int>(Result.Status);
  if (!Result.Next.empty())
    Whole["next"] = Result.Next;
  if (Result.Status != Done)
    Whole["message"] = Result.Text;
  Out << Whole.dump(2, ' ', false, json::error_handler_t::replace) << "\n";
}

void printText(const CommandResult &Result, std::ostream &Out,
               std::ostream &Errors) {
  bool Shown = Result.Status == Done || Result.Status == Incomplete;
  if (Shown)
    Out << Result.Text << "\n";
  else
    Errors << "cyclamenctl: " << Result.Text << "\n";
  if (!Result.Next.empty())
    Errors << "next: " << Result.Next << "\n";
}

} // namespace

int run(int Count, const char *const *Arguments, Connection &Link,
        std::ostream &Out, std::ostream &Errors) {
  Result<CommandLine, UsageText> Line = parseCommandLine(Count, Arguments);
  if (!Line) {
    const UsageText &Usage = Line.error();
    (Usage.HelpAsked ? Out : Errors) << Usage.Text;
    return Usage.HelpAsked ? Done : BadUsage;
  }
  CommandResult Ended = guardedDispatch(Line.value(), Link, Errors);
  if (Line.value().Json)
    printJson(Ended, Out);
  else
    printText(Ended, Out, Errors);
  return Ended.Status;
}

} // namespace cyclamenwind::ctl
