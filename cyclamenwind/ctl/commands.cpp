#include "cyclamenwind/ctl/commands.h"

#include <ostream>

namespace cyclamenwind::ctl {
namespace {

using nlohmann::json;

CommandResult dispatch(const CommandLine &Line, DaemonClient &Client,
                       std::ostream &ProgressOut) {
  switch (Line.Command) {
  case CommandName::Validate:
    return validate(Line);
  case CommandName::Accept:
    return accept(Line, Client);
  case CommandName::Diff:
    return diff(Line, Client);
  case CommandName::Status:
    return status(Line, Client);
  case CommandName::History:
    return history(Line, Client);
  case CommandName::Audit:
    return audit(Line, Client);
  case CommandName::Rollouts:
    return rollouts(Line, Client);
  case CommandName::RollBack:
    return rollBack(Line, Client);
  case CommandName::Drain:
    return drain(Line, Client);
  case CommandName::Explain:
    return explain(Line, Client);
  case CommandName::Trace:
    return trace(Line);
  case CommandName::Wait:
    return waitUntilApplied(Line, Client, ProgressOut);
  }
  return {BadUsage, "no such command", "", json::object()};
}

// Runs the command. A member of an unexpected type in a daemon's response
// throws an exception; the result is then OutcomeUnknown for writes, else
// Failed.
CommandResult dispatchGuarded(const CommandLine &Line, DaemonClient &Client,
                              std::ostream &ProgressOut) {
  try {
    return dispatch(Line, Client, ProgressOut);
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
  json Object = Result.Data;
  Object["status"] = nameOf(Result.Status);
  Object["exit_status"] = static_cast<int>(Result.Status);
  if (!Result.Advice.empty())
    Object["next"] = Result.Advice;
  if (Result.Status != Done)
    Object["message"] = Result.Text;
  Out << Object.dump(2, ' ', false, json::error_handler_t::replace) << "\n";
}

void printText(const CommandResult &Result, std::ostream &Out,
               std::ostream &Errors) {
  bool ToOutput = Result.Status == Done || Result.Status == Incomplete;
  if (ToOutput)
    Out << Result.Text << "\n";
  else
    Errors << "cyclamenctl: " << Result.Text << "\n";
  if (!Result.Advice.empty())
    Errors << "next: " << Result.Advice << "\n";
}

} // namespace

int run(int Count, const char *const *Arguments, DaemonClient &Client,
        std::ostream &Out, std::ostream &Errors) {
  Result<CommandLine, UsageText> Line = parseCommandLine(Count, Arguments);
  if (!Line) {
    const UsageText &Usage = Line.error();
    (Usage.HelpRequested ? Out : Errors) << Usage.Text;
    return Usage.HelpRequested ? Done : BadUsage;
  }
  CommandResult Outcome = dispatchGuarded(Line.value(), Client, Errors);
  if (Line.value().Json)
    printJson(Outcome, Out);
  else
    printText(Outcome, Out, Errors);
  return Outcome.Status;
}

} // namespace cyclamenwind::ctl
